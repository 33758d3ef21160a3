//! What each role holds and spends on an ordinary day.

use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};

use super::cell::Cell;
use super::figures::Figures;
use super::target::{Assumptions, DAY_S, USERS};
use crate::hollow::servers::address_of;
use crate::slopes::result::{Metric, Name};
use crate::traffic::HEADER_BYTES;

/// Servers behind the slope of proxies.
pub(super) const SERVERS_OF_PROXIES_SLOPE: f64 = 240.0;
/// The least requests a second behind the slope of reports.
const LEAST_REQUESTS_MEASURED: f64 = 100.0;
/// The decision module's probes: a part of the requests, each server once in a second at most and in eight at least.
pub(super) const PROBED_PART: f64 = 0.15;
pub(super) const PROBE_LONGEST_S: f64 = 8.0;
/// A long poll of the list ends after this, as set by default.
pub(super) const LIST_POLL_S: f64 = 10.0;
/// A side of a stream that sent nothing for so long pings, as set by default.
pub(super) const KEEP_ALIVE_S: f64 = 5.0;
/// Changes of the list that a restart makes: draining, ready again.
const ENTRIES_OF_RESTART: f64 = 2.0;
/// Bytes of a command behind the slope of entries.
const COMMAND_BYTES: f64 = 130.0;
/// Members of a council that the slope was measured up to.
pub(super) const COUNCIL_MEASURED: f64 = 23.0;

/// A row of a table of roles.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// The role, or what it does.
    pub what: &'static str,
    /// What it holds, in entries.
    pub entries: Cell,
    /// The same in bytes, as it is worded on the wire or on disk.
    pub state_bytes: Cell,
    /// Messages a second, both ways; of a council TCP segments, acknowledgements among them.
    pub messages: Cell,
    /// Bytes a second, both ways, with headers.
    pub bytes: Cell,
    /// Percent of a core.
    pub cpu: Cell,
    /// MiB.
    pub memory: Cell,
    /// What carries it.
    pub mechanism: &'static str,
    /// What the users allow.
    pub allowed: &'static str,
    /// How it was worked out.
    pub formula: &'static str,
}

/// Probes a second of a conductor: 0.15 of its requests, between its servers once in 8 s and once a second.
pub(super) fn probes_per_s(servers: f64, requests_per_s: f64) -> f64 {
    (PROBED_PART * requests_per_s).clamp(servers / PROBE_LONGEST_S, servers)
}

/// Bytes of a server in the HTTP list.
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

/// Changes of the list a second that concern a conductor, on an ordinary day.
pub(super) fn list_changes_per_s(servers: f64) -> f64 {
    let of_fleet = USERS.restarts_per_day * ENTRIES_OF_RESTART + USERS.failures_per_day;
    of_fleet / DAY_S * servers / USERS.servers
}

/// A conductor by what it does.
pub(super) fn conductor(figures: Figures, with: &Assumptions) -> Vec<Row> {
    let Assumptions { proxies, servers, requests_per_s, .. } = *with;
    let joined = |metric| figures.at(Name::Proxies, metric, proxies);
    let more_servers = |metric| figures.above(Name::Servers, metric, servers, SERVERS_OF_PROXIES_SLOPE);
    let further = requests_per_s.max(LEAST_REQUESTS_MEASURED);
    let told = |metric| figures.above(Name::Reports, metric, further, LEAST_REQUESTS_MEASURED);
    let probes = probes_per_s(servers, requests_per_s);
    let call = |metric| figures.more(Name::Probes, metric);
    let per_call = |metric| call(metric).times(servers_per_probe(figures));
    let calls = 1.0 / LIST_POLL_S + list_changes_per_s(servers);
    let entries = Cell::counted(list_changes_per_s(servers) * entry_bytes());
    let following = |metric| figures.at(Name::Members, metric, COUNCIL_MEASURED);
    let following_segments = segments_per_s(
        figures,
        COUNCIL_MEASURED,
        Metric::FollowerWireBytesPerS,
        Metric::FollowerPayloadBytesPerS,
    );
    vec![
        Row {
            what: "itself, streams, tables, a report a second",
            entries: Cell::counted(proxies),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(proxies * (1.0 + 2.0 / KEEP_ALIVE_S)),
            bytes: joined(Metric::WireBytesPerS),
            cpu: joined(Metric::CpuPercent),
            memory: joined(Metric::ResidentMib),
            mechanism: "`stepspur run`, streams of frames",
            allowed: "see the sums",
            formula: "the slope of proxies at P, 240 servers; messages P (1 + 2/5)",
        },
        Row {
            what: "reports: further requests told",
            entries: Cell::counted(requests_per_s),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(0.0),
            bytes: told(Metric::WireBytesPerS),
            cpu: told(Metric::CpuPercent),
            memory: told(Metric::ResidentMib),
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
            cpu: more_servers(Metric::CpuPercent),
            memory: more_servers(Metric::ResidentMib),
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
            entries: Cell::counted(COUNCIL_MEASURED),
            state_bytes: Cell::NOT_KNOWN,
            messages: following_segments,
            bytes: following(Metric::FollowerWireBytesPerS),
            cpu: following(Metric::FollowerCpuPercent),
            memory: Cell::counted(0.0),
            mechanism: "a member that fetches; 1,000 members at most",
            allowed: "see the sums",
            formula: "the slope of members at 23, 3 voters; the whole of an idle conductor, so that its idle part counts twice",
        },
    ]
}

/// The slope of probes counts servers; each was probed so often a second.
fn servers_per_probe(figures: Figures) -> f64 {
    let probed = figures.more(Name::Probes, Metric::ProbesPerS).mean();
    probed.filter(|each| *each > 0.0).map_or(f64::NAN, |each| 1.0 / each)
}

/// TCP segments a second of a council's member: what headers make more than payload.
fn segments_per_s(figures: Figures, members: f64, wire: Metric, payload: Metric) -> Cell {
    let at = |metric| figures.at(Name::Members, metric, members);
    at(wire).plus(at(payload).times(-1.0)).times(1.0 / HEADER_BYTES as f64)
}

/// Rows of [`conductor`] that are control, probes apart.
pub(super) const CONTROL: [&str; 3] =
    ["the list of servers", "configuration", "council of 23, following only"];
/// The row of probes.
pub(super) const PROBES: &str = "probes";

/// The sum of some rows.
pub(super) fn sum(rows: &[Row], of: impl Fn(&Row) -> bool, cell: impl Fn(&Row) -> Cell) -> Cell {
    rows.iter().filter(|row| of(row)).map(cell).fold(Cell::counted(0.0), Cell::plus)
}

/// The sum of some rows as far as they are known; not known where none is.
pub(super) fn sum_known(rows: &[Row], of: &dyn Fn(&Row) -> bool, cell: fn(&Row) -> Cell) -> Cell {
    let known = |row: &Row| of(row) && cell(row).mean().is_some();
    if rows.iter().any(known) { sum(rows, known, cell) } else { Cell::NOT_KNOWN }
}

/// All other roles.
pub(super) fn others(figures: Figures, with: &Assumptions) -> Vec<Row> {
    let leader = |metric| figures.at(Name::Members, metric, USERS.machines);
    let segments = |members, wire, payload| segments_per_s(figures, members, wire, payload);
    let in_burst = |metric| figures.at(Name::Entries, metric, with.burst_per_s);
    let probers = USERS.conductors * with.servers / USERS.servers;
    let probed = probers * probes_per_s(with.servers, with.requests_per_s) / with.servers;
    let per_probe = |metric| figures.more(Name::Probes, metric).times(servers_per_probe(figures));
    let calls = USERS.conductors * (1.0 / LIST_POLL_S + list_changes_per_s(with.servers));
    let told = USERS.conductors * list_changes_per_s(with.servers) * entry_bytes();
    let choose = figures.at(Name::Choose, Metric::ChooseUs, 40.0);
    let rate = USERS.requests_per_conductor() / with.proxies;
    vec![
        Row {
            what: "voter",
            entries: Cell::NOT_KNOWN,
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::NOT_KNOWN,
            bytes: leader(Metric::VoterWireBytesPerS),
            cpu: leader(Metric::VoterCpuPercent),
            memory: leader(Metric::LeaderResidentMib),
            mechanism: "`[council]`",
            allowed: "one of 15 machines",
            formula: "the slope of members at 15; idle",
        },
        Row {
            what: "leader, idle",
            entries: Cell::NOT_KNOWN,
            state_bytes: Cell::NOT_KNOWN,
            messages: segments(USERS.machines, Metric::LeaderWireBytesPerS, Metric::LeaderPayloadBytesPerS),
            bytes: leader(Metric::LeaderWireBytesPerS),
            cpu: leader(Metric::LeaderCpuPercent),
            memory: leader(Metric::LeaderResidentMib),
            mechanism: "`[council]`",
            allowed: "one of 15 machines",
            formula: "the slope of members at 15",
        },
        Row {
            what: "leader, in the burst of changes",
            entries: Cell::counted(with.burst_per_s * with.burst_s),
            state_bytes: Cell::counted(with.burst_per_s * with.burst_s * COMMAND_BYTES),
            messages: Cell::NOT_KNOWN,
            bytes: in_burst(Metric::LeaderWireBytesPerS),
            cpu: in_burst(Metric::LeaderCpuPercent),
            memory: in_burst(Metric::LeaderResidentMib),
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
            bytes: leader(Metric::FollowerWireBytesPerS),
            cpu: leader(Metric::FollowerCpuPercent),
            memory: leader(Metric::FollowerResidentMib),
            mechanism: "a member that fetches; it serves nobody",
            allowed: "one of 15 machines",
            formula: "the slope of members at 15; nothing to serve",
        },
        Row {
            what: "list source",
            entries: Cell::counted(USERS.servers),
            state_bytes: Cell::counted(USERS.servers * entry_bytes()),
            messages: Cell::counted(2.0 * calls),
            bytes: per_probe(Metric::WireBytesPerS).times(calls).plus(Cell::counted(told)),
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
            messages: Cell::counted(2.0 * probed),
            bytes: per_probe(Metric::WireBytesPerS).times(probed),
            cpu: Cell::NOT_KNOWN,
            memory: Cell::NOT_KNOWN,
            mechanism: "none that shares: every conductor that lists it probes it",
            allowed: "none named",
            formula: "K = 2,400 S/19,000 conductors list it; K n/S probes a second",
        },
        Row {
            what: "proxy, to choose",
            entries: Cell::counted(with.servers),
            state_bytes: Cell::NOT_KNOWN,
            messages: Cell::counted(1.0 + 2.0 / KEEP_ALIVE_S),
            bytes: figures.more(Name::Proxies, Metric::WireBytesPerS),
            cpu: choose.times(rate / 1e6 * 100.0),
            memory: Cell::NOT_KNOWN,
            mechanism: "its table; no request passes a conductor",
            allowed: "2.6 ms a request",
            formula: "R/P requests a second, each the time to choose among 40 lines; bytes b(proxies)",
        },
    ]
}
