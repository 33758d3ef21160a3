//! Load that failures and mass restarts put on each role, with an ordinary day for comparison.

use super::cell::Cell;
use super::figures::Figures;
use super::roles::{PROXIES_SLOPE_SERVERS, entry_bytes, list_changes_per_s};
use super::target::{Assumptions, DAY_S, USERS};
use crate::slopes::result::{Metric, Name};

/// Servers withdrawn by one measured drain: one in each of the three zones.
const SERVERS_PER_DRAIN: f64 = 3.0;
/// Default rate at which a conductor sends table lines (`channel.lines_per_s`).
const PACED_LINES_PER_S: f64 = 20_000.0;
/// Default overhead that pacing charges for each message, in lines.
const MESSAGE_OVERHEAD_LINES: f64 = 6.0;
/// Length of the outage in which a region is cut off, in seconds.
pub(super) const REGION_OUTAGE_S: f64 = 300.0;

/// The failure of a rack or its switch.
pub(super) const RACK_FAILURE: &str = "a rack or switch";

/// One row of the failure table.
#[derive(Clone, Debug)]
pub(super) struct FailureLoad {
    /// The failure.
    pub failure: &'static str,
    /// The affected role and the quantity.
    pub what: &'static str,
    /// The load, in `unit`.
    pub figure: Cell,
    /// Unit of the figure.
    pub unit: &'static str,
    /// Limit that the users set, or `none named`.
    pub allowed: &'static str,
    /// Formula behind the figure.
    pub formula: &'static str,
    /// Mechanism that handles the load.
    pub mechanism: &'static str,
}

/// Every failure with its load on a conductor that lists `assumptions.servers` servers.
pub(super) fn failure_loads(figures: Figures, assumptions: &Assumptions) -> Vec<FailureLoad> {
    let more_servers = figures.cost_difference(
        Name::Servers,
        Metric::DrainCpuMs,
        assumptions.servers,
        PROXIES_SLOPE_SERVERS,
    );
    let drain = figures.at(Name::Proxies, Metric::DrainCpuMs, assumptions.proxies).plus(more_servers);
    let servers_of_zone = USERS.servers_per_zone();
    let withdrawal_cpu_ms = |servers: f64| drain.times(servers.min(assumptions.servers) / SERVERS_PER_DRAIN);
    let conductors_of_region = USERS.conductors / USERS.regions;
    let suspect_probes_per_s = |servers: f64| Cell::counted(servers.min(assumptions.servers) / 0.4);
    let list_bytes = assumptions.servers * entry_bytes();
    // Lines of one table for each proxy: a zone's share of the listed servers, the message overhead, and 5
    // for the mark.
    let table_lines = assumptions.proxies
        * (assumptions.servers / USERS.zones.min(assumptions.servers) + MESSAGE_OVERHEAD_LINES + 5.0);
    let start_cost = |metric| figures.at(Name::Proxies, metric, assumptions.proxies);
    let list_changes_per_day = list_changes_per_s(assumptions.servers) * DAY_S;
    vec![
        FailureLoad {
            failure: "an ordinary day: 1,100 restarts, 110 failures",
            what: "each conductor: CPU of their drains and returns, all day",
            figure: drain.times(list_changes_per_day / SERVERS_PER_DRAIN / 1e3),
            unit: "s",
            allowed: "4.4% of a core: 3,800 s a day",
            formula: "(2 · 1,100 + 110) S/19,000 changes, D/3 each",
            mechanism: "the list's changes, tables",
        },
        FailureLoad {
            failure: "a machine fails",
            what: "each conductor that lists it: CPU",
            figure: withdrawal_cpu_ms(1.0),
            unit: "ms",
            allowed: "none named",
            formula: "D/3; a drain of three servers D: the slope of proxies at P, and that of servers at S above 240",
            mechanism: "probes and reports withdraw it, the list drains it",
        },
        FailureLoad {
            failure: RACK_FAILURE,
            what: "each conductor that lists it: CPU",
            figure: withdrawal_cpu_ms(assumptions.rack),
            unit: "ms",
            allowed: "none named",
            formula: "24 D/3; decided together it costs less",
            mechanism: "as for a machine",
        },
        FailureLoad {
            failure: RACK_FAILURE,
            what: "each conductor that lists it: probes until they are withdrawn",
            figure: suspect_probes_per_s(assumptions.rack),
            unit: "a second",
            allowed: "none named",
            formula: "24 / 0.4 s",
            mechanism: "suspects are probed every 0.4 s, 64 at once",
        },
        FailureLoad {
            failure: "a zone",
            what: "each conductor that lists it: CPU",
            figure: withdrawal_cpu_ms(servers_of_zone),
            unit: "ms",
            allowed: "none named",
            formula: "240 D/3, as above",
            mechanism: "as for a machine; probes that fail from here alone withdraw nobody",
        },
        FailureLoad {
            failure: "a zone",
            what: "conductors that are gone with it",
            figure: Cell::counted(USERS.conductors / USERS.zones),
            unit: "conductors",
            allowed: "none named",
            formula: "2,400 / 79",
            mechanism: "none: nothing tells their proxies of another conductor; they keep their tables",
        },
        FailureLoad {
            failure: "a region cut off for 5 minutes",
            what: "conductors that hear nothing",
            figure: Cell::counted(conductors_of_region),
            unit: "conductors",
            allowed: "none named",
            formula: "2,400 / 22",
            mechanism: "tables and the last list stand",
        },
        FailureLoad {
            failure: "a region cut off for 5 minutes",
            what: "changes of configuration that it misses, mean",
            figure: Cell::counted(USERS.changes_per_day / DAY_S * REGION_OUTAGE_S),
            unit: "changes",
            allowed: "in force within 5 s",
            formula: "3,000 / 86,400 · 300 s",
            mechanism: "none: calls fail, and nobody knows which conductors lack what",
        },
        FailureLoad {
            failure: "a region cut off for 5 minutes",
            what: "changes that it misses if the burst falls into it",
            figure: Cell::counted(assumptions.burst_per_s * assumptions.burst_s),
            unit: "changes",
            allowed: "in force within 5 s",
            formula: "10 · 60 s",
            mechanism: "none",
        },
        FailureLoad {
            failure: "a control machine fails",
            what: "conductors that it served",
            figure: Cell::counted(USERS.conductors / USERS.machines),
            unit: "conductors",
            allowed: "none named",
            formula: "2,400 / 15",
            mechanism: "none: a control machine serves nobody yet; those that follow fetch elsewhere",
        },
        FailureLoad {
            failure: "the leader fails",
            what: "until another leads",
            figure: Cell::NOT_KNOWN,
            unit: "",
            allowed: "in force within 5 s",
            formula: "not measured here: see the scale run",
            mechanism: "an election, within 1 to 2 s of silence as set",
        },
        FailureLoad {
            failure: "all conductors of a region start at once",
            what: "the list source sends",
            figure: Cell::counted(conductors_of_region * list_bytes / 1e6),
            unit: "MB",
            allowed: "none named",
            formula: "109 whole lists of S entries",
            mechanism: "none that paces: each asks for the whole list at once",
        },
        FailureLoad {
            failure: "all conductors of a region start at once",
            what: "each conductor: CPU until its proxies hold tables",
            figure: start_cost(Metric::StartCpuS),
            unit: "s",
            allowed: "none named",
            formula: "the slope of proxies at P, 240 servers",
            mechanism: "streams; their queue holds 4,096",
        },
        FailureLoad {
            failure: "all conductors of a region start at once",
            what: "each conductor: until its proxies hold tables, unpaced",
            figure: start_cost(Metric::StartS),
            unit: "s",
            allowed: "none named",
            formula: "the slope of proxies at P, 240 servers, alone on its machine",
            mechanism: "streams",
        },
        FailureLoad {
            failure: "all conductors of a region start at once",
            what: "the same at the default pace of orders, more by",
            figure: Cell::counted(table_lines / PACED_LINES_PER_S),
            unit: "s",
            allowed: "none named",
            formula: "P (S/79 + 11) lines / 20,000 a second",
            mechanism: "`channel.lines_per_s`",
        },
        FailureLoad {
            failure: "all conductors of a region start at once",
            what: "first probes, all conductors together",
            figure: Cell::counted(conductors_of_region * assumptions.servers),
            unit: "a second",
            allowed: "none named",
            formula: "109 · S: before reports come each server is probed every second",
            mechanism: "64 at once a conductor",
        },
    ]
}
