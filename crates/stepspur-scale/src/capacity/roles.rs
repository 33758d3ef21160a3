//! State and cost of each role on a day without mass failures.

use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};

use super::cell::Cell;
use super::figures::Figures;
use super::target::{Assumptions, DAY_S, USERS};
use crate::hollow::servers::address_of;
use crate::slopes::result::{Metric, Name};
use crate::traffic::HEADER_BYTES;

/// Servers that the conductor lists while the slope of proxies is measured.
pub(super) const PROXIES_SLOPE_SERVERS: f64 = 240.0;
/// Smallest request rate at which the slope of reports is measured, requests per second.
const MIN_MEASURED_REQUESTS_PER_S: f64 = 100.0;
/// Probes of the decision module as a share of the requests; each server is probed at most once a second.
pub(super) const PROBE_TO_REQUEST_RATIO: f64 = 0.15;
/// Longest time between two probes of a server, in seconds.
pub(super) const MAX_PROBE_INTERVAL_S: f64 = 8.0;
/// Default timeout of a long poll of the server list, in seconds.
pub(super) const LIST_POLL_TIMEOUT_S: f64 = 10.0;
/// Default idle time after which a side of a stream sends a ping, in seconds.
pub(super) const KEEP_ALIVE_INTERVAL_S: f64 = 5.0;
/// List changes caused by one restart: draining, then ready.
const LIST_CHANGES_PER_RESTART: f64 = 2.0;
/// Size of a command in the measurement of the slope of entries, in bytes.
const COMMAND_BYTES: f64 = 130.0;
/// Largest consensus group at which the slope of members is measured.
pub(super) const MAX_MEASURED_MEMBERS: f64 = 23.0;

/// State and cost of one role or activity.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// The role or activity.
    pub what: &'static str,
    /// Entries that it holds.
    pub entries: Cell,
    /// Size of these entries in bytes, as encoded on the wire or on disk.
    pub state_bytes: Cell,
    /// Messages per second in both directions; for consensus members TCP segments, including
    /// acknowledgements.
    pub messages: Cell,
    /// Bytes per second in both directions, including IP and TCP headers.
    pub bytes: Cell,
    /// CPU, in percent of a core.
    pub cpu: Cell,
    /// Resident memory in MiB.
    pub memory: Cell,
    /// Mechanism that does the work.
    pub mechanism: &'static str,
    /// Limit that the users set, or `none named`.
    pub allowed: &'static str,
    /// Formula behind the figures.
    pub formula: &'static str,
}

/// A conductor's probes per second: 0.15 of its requests, but each server at least every 8 s and at most once
/// a second.
pub(super) fn probes_per_s(servers: f64, requests_per_s: f64) -> f64 {
    (PROBE_TO_REQUEST_RATIO * requests_per_s).clamp(servers / MAX_PROBE_INTERVAL_S, servers)
}

/// Size in bytes of one server's entry in the HTTP list, with its separator.
pub(super) fn entry_bytes() -> f64 {
    let record = EndpointRecord {
        address: (address_of(12_345), 8_080).into(),
        zone: "zone-42".into(),
        state: EndpointRecordState::Ready,
        weight: 1.5,
        started_unix_ms: 1_764_000_000_000,
    };
    serde_json::to_string(&record).map_or(f64::NAN, |text| (text.len() + 1) as f64)
}

/// List changes per second that concern a conductor of `servers` servers, from ordinary restarts and
/// failures.
pub(super) fn list_changes_per_s(servers: f64) -> f64 {
    let fleet_changes_per_day = USERS.restarts_per_day * LIST_CHANGES_PER_RESTART + USERS.failures_per_day;
    fleet_changes_per_day / DAY_S * servers / USERS.servers
}

/// The cost of a conductor, one row for each activity.
pub(super) fn conductor(figures: Figures, assumptions: &Assumptions) -> Vec<Row> {
    let Assumptions { proxies, servers, requests_per_s, .. } = *assumptions;
    let proxies_cost = |metric| figures.at(Name::Proxies, metric, proxies);
    let listed_servers_cost =
        |metric| figures.cost_difference(Name::Servers, metric, servers, PROXIES_SLOPE_SERVERS);
    let reported_requests = requests_per_s.max(MIN_MEASURED_REQUESTS_PER_S);
    let reported = |metric| {
        figures.cost_difference(Name::Reports, metric, reported_requests, MIN_MEASURED_REQUESTS_PER_S)
    };
    let probes = probes_per_s(servers, requests_per_s);
    let per_server = |metric| figures.marginal_cost(Name::Probes, metric);
    let per_call = |metric| per_server(metric).times(servers_per_probe(figures));
    let calls = 1.0 / LIST_POLL_TIMEOUT_S + list_changes_per_s(servers);
    let entries = Cell::counted(list_changes_per_s(servers) * entry_bytes());
    let follower_cost = |metric| figures.at(Name::Members, metric, MAX_MEASURED_MEMBERS);
    let follower_segments = segments_per_s(
        figures,
        MAX_MEASURED_MEMBERS,
        Metric::FollowerWireBytesPerS,
        Metric::FollowerPayloadBytesPerS,
    );
    vec![
        Row {
            what: "itself, streams, tables, a report a second",
            entries: Cell::counted(proxies),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(proxies * (1.0 + 2.0 / KEEP_ALIVE_INTERVAL_S)),
            bytes: proxies_cost(Metric::WireBytesPerS),
            cpu: proxies_cost(Metric::CpuPercent),
            memory: proxies_cost(Metric::ResidentMib),
            mechanism: "`stepspur run`, streams of frames",
            allowed: "see the sums",
            formula: "the slope of proxies at P, 240 servers; messages P (1 + 2/5)",
        },
        Row {
            what: "reports: further requests told",
            entries: Cell::counted(requests_per_s),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(0.0),
            bytes: reported(Metric::WireBytesPerS),
            cpu: reported(Metric::CpuPercent),
            memory: reported(Metric::ResidentMib),
            mechanism: "reports, summed by server and zone",
            allowed: "see the sums",
            formula: "the slope of reports at R above that at 100, the least measured; a line a request",
        },
        Row {
            what: "servers listed, above 240 (or below)",
            entries: Cell::counted(servers),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(0.0),
            bytes: Cell::counted(0.0),
            cpu: listed_servers_cost(Metric::CpuPercent),
            memory: listed_servers_cost(Metric::ResidentMib),
            mechanism: "the engine's tables",
            allowed: "see the sums",
            formula: "the slope of servers at S above that at 240, 300 proxies",
        },
        Row {
            what: "probes",
            entries: Cell::counted(servers),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(2.0 * probes),
            bytes: per_call(Metric::WireBytesPerS).times(probes),
            cpu: per_call(Metric::CpuPercent).times(probes),
            memory: Cell::NOT_KNOWN,
            mechanism: "each conductor by itself, a connection a probe",
            allowed: "see the sums",
            formula: "n = 0.15 R, at least S/8, at most S; n b(probes)",
        },
        Row {
            what: "the list of servers",
            entries: Cell::counted(servers),
            state_bytes: Cell::counted(servers * entry_bytes()),
            messages: Cell::counted(2.0 * calls),
            bytes: per_call(Metric::WireBytesPerS).times(calls).plus(entries),
            cpu: per_call(Metric::CpuPercent).times(calls),
            memory: Cell::counted(0.0),
            mechanism: "a long poll of 10 s, a connection a call",
            allowed: "see the sums",
            formula: "calls c = 1/10 + changes, (2 · 1,100 + 110) S/19,000 a day; c b(probes) + entries of the list",
        },
        Row {
            what: "configuration",
            entries: Cell::counted(0.0),
            state_bytes: Cell::counted(0.0),
            messages: Cell::counted(0.0),
            bytes: Cell::counted(0.0),
            cpu: Cell::counted(0.0),
            memory: Cell::counted(0.0),
            mechanism: "none: a call to each conductor by hand, lost at its restart",
            allowed: "see the sums",
            formula: "nothing is there to spend",
        },
        Row {
            what: "council of 23, following only",
            entries: Cell::counted(MAX_MEASURED_MEMBERS),
            state_bytes: Cell::NOT_KNOWN,
            messages: follower_segments,
            bytes: follower_cost(Metric::FollowerWireBytesPerS),
            cpu: follower_cost(Metric::FollowerCpuPercent),
            memory: Cell::counted(0.0),
            mechanism: "a member that fetches; 1,000 members at most",
            allowed: "see the sums",
            formula: "the slope of members at 23, 3 voters; the whole of an idle conductor, so that its idle part counts twice",
        },
    ]
}

/// Servers for each probe per second in the slope of probes: converts its cost per server into a cost per
/// probe.
fn servers_per_probe(figures: Figures) -> f64 {
    let probed_per_s = figures.marginal_cost(Name::Probes, Metric::ProbesPerS).mean();
    probed_per_s.filter(|each| *each > 0.0).map_or(f64::NAN, |each| 1.0 / each)
}

/// TCP segments per second of a consensus member, from the header bytes: traffic with headers less payload.
fn segments_per_s(figures: Figures, members: f64, wire: Metric, payload: Metric) -> Cell {
    let at = |metric| figures.at(Name::Members, metric, members);
    at(wire).plus(at(payload).times(-1.0)).times(1.0 / HEADER_BYTES as f64)
}

/// Rows of [`conductor`] that count as control traffic, without probes.
pub(super) const CONTROL: [&str; 3] =
    ["the list of servers", "configuration", "council of 23, following only"];
/// Row of [`conductor`] for probes.
pub(super) const PROBES: &str = "probes";

/// The sum of a column over the selected rows; not known if one of them is not known.
pub(super) fn sum(rows: &[Row], selected: impl Fn(&Row) -> bool, cell: impl Fn(&Row) -> Cell) -> Cell {
    rows.iter().filter(|row| selected(row)).map(cell).fold(Cell::counted(0.0), Cell::plus)
}

/// The sum of a column over the selected rows with known values; not known if there are none.
pub(super) fn sum_known(rows: &[Row], selected: &dyn Fn(&Row) -> bool, cell: fn(&Row) -> Cell) -> Cell {
    let known = |row: &Row| selected(row) && cell(row).mean().is_some();
    if rows.iter().any(known) { sum(rows, known, cell) } else { Cell::NOT_KNOWN }
}

/// The cost of every role other than a conductor, one row each.
pub(super) fn others(figures: Figures, assumptions: &Assumptions) -> Vec<Row> {
    let member_cost = |metric| figures.at(Name::Members, metric, USERS.machines);
    let segments = |members, wire, payload| segments_per_s(figures, members, wire, payload);
    let burst_cost = |metric| figures.at(Name::Entries, metric, assumptions.burst_per_s);
    let probers = USERS.conductors * assumptions.servers / USERS.servers;
    let probed_per_s =
        probers * probes_per_s(assumptions.servers, assumptions.requests_per_s) / assumptions.servers;
    let per_probe = |metric| figures.marginal_cost(Name::Probes, metric).times(servers_per_probe(figures));
    let calls = USERS.conductors * (1.0 / LIST_POLL_TIMEOUT_S + list_changes_per_s(assumptions.servers));
    let list_bytes = USERS.conductors * list_changes_per_s(assumptions.servers) * entry_bytes();
    let choose = figures.at(Name::Choose, Metric::ChooseUs, 40.0);
    let rate = USERS.requests_per_conductor() / assumptions.proxies;
    vec![
        Row {
            what: "voter",
            entries: Cell::NOT_KNOWN,
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::NOT_KNOWN,
            bytes: member_cost(Metric::VoterWireBytesPerS),
            cpu: member_cost(Metric::VoterCpuPercent),
            memory: member_cost(Metric::LeaderResidentMib),
            mechanism: "`[council]`",
            allowed: "one of 15 machines",
            formula: "the slope of members at 15; idle",
        },
        Row {
            what: "leader, idle",
            entries: Cell::NOT_KNOWN,
            state_bytes: Cell::NOT_KNOWN,
            messages: segments(USERS.machines, Metric::LeaderWireBytesPerS, Metric::LeaderPayloadBytesPerS),
            bytes: member_cost(Metric::LeaderWireBytesPerS),
            cpu: member_cost(Metric::LeaderCpuPercent),
            memory: member_cost(Metric::LeaderResidentMib),
            mechanism: "`[council]`",
            allowed: "one of 15 machines",
            formula: "the slope of members at 15",
        },
        Row {
            what: "leader, in the burst of changes",
            entries: Cell::counted(assumptions.burst_per_s * assumptions.burst_s),
            state_bytes: Cell::counted(assumptions.burst_per_s * assumptions.burst_s * COMMAND_BYTES),
            messages: Cell::NOT_KNOWN,
            bytes: burst_cost(Metric::LeaderWireBytesPerS),
            cpu: burst_cost(Metric::LeaderCpuPercent),
            memory: burst_cost(Metric::LeaderResidentMib),
            mechanism: "`[council]`; no configuration is in its log",
            allowed: "one of 15 machines",
            formula: "the slope of entries at 10 a second, 130 bytes each, 3 voters and 2 that follow",
        },
        Row {
            what: "leader, if all 2,400 conductors were members",
            entries: Cell::counted(USERS.conductors),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::NOT_KNOWN,
            bytes: figures.at(Name::Members, Metric::LeaderWireBytesPerS, USERS.conductors),
            cpu: figures.at(Name::Members, Metric::LeaderCpuPercent, USERS.conductors),
            memory: figures.at(Name::Members, Metric::LeaderResidentMib, USERS.conductors),
            mechanism: "none: settings take 1,000",
            allowed: "one of 15 machines",
            formula: "a(members) + 2,400 b(members): a hundred times beyond what was measured, to weigh by alone",
        },
        Row {
            what: "control machine that only follows",
            entries: Cell::NOT_KNOWN,
            state_bytes: Cell::NOT_KNOWN,
            messages: segments(
                USERS.machines,
                Metric::FollowerWireBytesPerS,
                Metric::FollowerPayloadBytesPerS,
            ),
            bytes: member_cost(Metric::FollowerWireBytesPerS),
            cpu: member_cost(Metric::FollowerCpuPercent),
            memory: member_cost(Metric::FollowerResidentMib),
            mechanism: "a member that fetches; it serves nobody",
            allowed: "one of 15 machines",
            formula: "the slope of members at 15; nothing to serve",
        },
        Row {
            what: "list source",
            entries: Cell::counted(USERS.servers),
            state_bytes: Cell::counted(USERS.servers * entry_bytes()),
            messages: Cell::counted(2.0 * calls),
            bytes: per_probe(Metric::WireBytesPerS).times(calls).plus(Cell::counted(list_bytes)),
            cpu: Cell::NOT_KNOWN,
            memory: Cell::NOT_KNOWN,
            mechanism: "the users' own; one call a conductor and 10 s, and one a change",
            allowed: "none named",
            formula: "2,400 times the list's row of a conductor",
        },
        Row {
            what: "operators' endpoint, all of them",
            entries: Cell::counted(0.0),
            state_bytes: Cell::counted(0.0),
            messages: Cell::counted(2.0 * USERS.conductors * USERS.changes_per_s()),
            bytes: Cell::NOT_KNOWN,
            cpu: Cell::NOT_KNOWN,
            memory: Cell::NOT_KNOWN,
            mechanism: "none: a change for all is 2,400 calls",
            allowed: "none named",
            formula: "2 · 2,400 · 3,000/86,400; in the burst 2 · 2,400 · 10",
        },
        Row {
            what: "server, as far as probes load it",
            entries: Cell::counted(probers),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(2.0 * probed_per_s),
            bytes: per_probe(Metric::WireBytesPerS).times(probed_per_s),
            cpu: Cell::NOT_KNOWN,
            memory: Cell::NOT_KNOWN,
            mechanism: "none that shares: every conductor that lists it probes it",
            allowed: "none named",
            formula: "K = 2,400 S/19,000 conductors list it; K n/S probes a second",
        },
        Row {
            what: "proxy, to choose",
            entries: Cell::counted(assumptions.servers),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(1.0 + 2.0 / KEEP_ALIVE_INTERVAL_S),
            bytes: figures.marginal_cost(Name::Proxies, Metric::WireBytesPerS),
            cpu: choose.times(rate / 1e6 * 100.0),
            memory: Cell::NOT_KNOWN,
            mechanism: "its table; no request passes a conductor",
            allowed: "2.6 ms a request",
            formula: "R/P requests a second, each the time to choose among 40 lines; bytes b(proxies)",
        },
    ]
}
