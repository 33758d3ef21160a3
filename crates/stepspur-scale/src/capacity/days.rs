//! Bad days: what each asks of whom.

use super::cell::Cell;
use super::figures::Figures;
use super::roles::{SERVERS_OF_PROXIES_SLOPE, entry_bytes, list_changes_per_s};
use super::target::{Assumptions, DAY_S, USERS};
use crate::slopes::result::{Metric, Name};

/// Servers that one measured drain takes: one of each zone.
const SERVERS_OF_DRAIN: f64 = 3.0;
/// Lines a second that leave a conductor, as set by default.
const LINES_PER_S: f64 = 20_000.0;
/// Lines that a message costs besides its own, as set by default.
const MESSAGE_HEAD: f64 = 6.0;
/// A region is cut off for so long, seconds.
pub(super) const CUT_S: f64 = 300.0;

/// The day of a lost rack.
pub(super) const RACK: &str = "a rack or switch";

/// A row of the bad days.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// The day.
    pub day: &'static str,
    /// Whom it asks what of.
    pub what: &'static str,
    /// The figure.
    pub figure: Cell,
    /// Its unit.
    pub unit: &'static str,
    /// What the users allow.
    pub allowed: &'static str,
    /// How it was worked out.
    pub formula: &'static str,
    /// What carries it.
    pub mechanism: &'static str,
}

/// All bad days, for a conductor that lists so many servers.
pub(super) fn days(figures: Figures, with: &Assumptions) -> Vec<Row> {
    let more_servers =
        figures.above(Name::Servers, Metric::DrainCpuMs, with.servers, SERVERS_OF_PROXIES_SLOPE);
    let drain = figures.at(Name::Proxies, Metric::DrainCpuMs, with.proxies).plus(more_servers);
    let servers_of_zone = USERS.servers_per_zone();
    let lost = |servers: f64| drain.times(servers.min(with.servers) / SERVERS_OF_DRAIN);
    let conductors_of_region = USERS.conductors / USERS.regions;
    let suspects = |servers: f64| Cell::counted(servers.min(with.servers) / 0.4);
    let start_list = with.servers * entry_bytes();
    // A table of a zone's share of what is listed, its head and its mark, for each proxy.
    let lines = with.proxies * (with.servers / USERS.zones.min(with.servers) + MESSAGE_HEAD + 5.0);
    let start = |metric| figures.at(Name::Proxies, metric, with.proxies);
    let day = list_changes_per_s(with.servers) * DAY_S;
    vec![
        Row {
            day: "an ordinary day: 1,100 restarts, 110 failures",
            what: "each conductor: CPU of their drains and returns, all day",
            figure: drain.times(day / SERVERS_OF_DRAIN / 1e3),
            unit: "s",
            allowed: "4.4% of a core: 3,800 s a day",
            formula: "(2 · 1,100 + 110) S/19,000 changes, D/3 each",
            mechanism: "the list's changes, tables",
        },
        Row {
            day: "a machine fails",
            what: "each conductor that lists it: CPU",
            figure: lost(1.0),
            unit: "ms",
            allowed: "none named",
            formula: "D/3; a drain of three servers D: the slope of proxies at P, and that of servers at S above 240",
            mechanism: "probes and reports withdraw it, the list drains it",
        },
        Row {
            day: RACK,
            what: "each conductor that lists it: CPU",
            figure: lost(with.rack),
            unit: "ms",
            allowed: "none named",
            formula: "24 D/3; decided together it costs less",
            mechanism: "as for a machine",
        },
        Row {
            day: RACK,
            what: "each conductor that lists it: probes until they are withdrawn",
            figure: suspects(with.rack),
            unit: "a second",
            allowed: "none named",
            formula: "24 / 0.4 s",
            mechanism: "suspects are probed every 0.4 s, 64 at once",
        },
        Row {
            day: "a zone",
            what: "each conductor that lists it: CPU",
            figure: lost(servers_of_zone),
            unit: "ms",
            allowed: "none named",
            formula: "240 D/3, as above",
            mechanism: "as for a machine; probes that fail from here alone withdraw nobody",
        },
        Row {
            day: "a zone",
            what: "conductors that are gone with it",
            figure: Cell::counted(USERS.conductors / USERS.zones),
            unit: "conductors",
            allowed: "none named",
            formula: "2,400 / 79",
            mechanism: "none: nothing tells their proxies of another conductor; they keep their tables",
        },
        Row {
            day: "a region cut off for 5 minutes",
            what: "conductors that hear nothing",
            figure: Cell::counted(conductors_of_region),
            unit: "conductors",
            allowed: "none named",
            formula: "2,400 / 22",
            mechanism: "tables and the last list stand",
        },
        Row {
            day: "a region cut off for 5 minutes",
            what: "changes of configuration that it misses, mean",
            figure: Cell::counted(USERS.changes_per_day / DAY_S * CUT_S),
            unit: "changes",
            allowed: "in force within 5 s",
            formula: "3,000 / 86,400 · 300 s",
            mechanism: "none: calls fail, and nobody knows which conductors lack what",
        },
        Row {
            day: "a region cut off for 5 minutes",
            what: "changes that it misses if the burst falls into it",
            figure: Cell::counted(with.burst_per_s * with.burst_s),
            unit: "changes",
            allowed: "in force within 5 s",
            formula: "10 · 60 s",
            mechanism: "none",
        },
        Row {
            day: "a control machine fails",
            what: "conductors that it served",
            figure: Cell::counted(USERS.conductors / USERS.machines),
            unit: "conductors",
            allowed: "none named",
            formula: "2,400 / 15",
            mechanism: "none: a control machine serves nobody yet; those that follow fetch elsewhere",
        },
        Row {
            day: "the leader fails",
            what: "until another leads",
            figure: Cell::NOT_KNOWN,
            unit: "",
            allowed: "in force within 5 s",
            formula: "not measured here: see the scale run",
            mechanism: "an election, within 1 to 2 s of silence as set",
        },
        Row {
            day: "all conductors of a region start at once",
            what: "the list source sends",
            figure: Cell::counted(conductors_of_region * start_list / 1e6),
            unit: "MB",
            allowed: "none named",
            formula: "109 whole lists of S entries",
            mechanism: "none that paces: each asks for the whole list at once",
        },
        Row {
            day: "all conductors of a region start at once",
            what: "each conductor: CPU until its proxies hold tables",
            figure: start(Metric::StartCpuS),
            unit: "s",
            allowed: "none named",
            formula: "the slope of proxies at P, 240 servers",
            mechanism: "streams; their queue holds 4,096",
        },
        Row {
            day: "all conductors of a region start at once",
            what: "each conductor: until its proxies hold tables, unpaced",
            figure: start(Metric::StartS),
            unit: "s",
            allowed: "none named",
            formula: "the slope of proxies at P, 240 servers, alone on its machine",
            mechanism: "streams",
        },
        Row {
            day: "all conductors of a region start at once",
            what: "the same at the default pace of orders, more by",
            figure: Cell::counted(lines / LINES_PER_S),
            unit: "s",
            allowed: "none named",
            formula: "P (S/79 + 11) lines / 20,000 a second",
            mechanism: "`channel.lines_per_s`",
        },
        Row {
            day: "all conductors of a region start at once",
            what: "first probes, all conductors together",
            figure: Cell::counted(conductors_of_region * with.servers),
            unit: "a second",
            allowed: "none named",
            formula: "109 · S: before reports come each server is probed every second",
            mechanism: "64 at once a conductor",
        },
    ]
}
