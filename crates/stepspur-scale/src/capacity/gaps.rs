//! Targets that are not met: first those that no mechanism serves, then those over their limit, the furthest
//! first.

use super::cell::Cell;
use super::figures::Figures;
use super::roles::{self, Row};
use super::target::{Assumptions, ListScope, USERS};
use crate::slopes::result::{Metric, Name};

/// Why a target is not met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum GapKind {
    /// No mechanism serves it.
    Unsupported,
    /// The cost exceeds its limit by this factor.
    OverLimit(f64),
}

/// A target that is not met.
#[derive(Clone, Debug)]
pub(super) struct Gap {
    /// The target.
    pub target: String,
    /// Why it is not met.
    pub kind: GapKind,
    /// Current behaviour or measured cost.
    pub found: String,
    /// Mechanism that would meet it.
    pub mechanism: &'static str,
    /// Cost of that mechanism, where known.
    pub cost: String,
}

/// Sorts the gaps by severity and leaves out targets that are within their limit or whose cost is not known.
pub(super) fn ordered(mut all: Vec<Gap>) -> Vec<Gap> {
    all.retain(|gap| !matches!(gap.kind, GapKind::OverLimit(factor) if factor.is_nan() || factor <= 1.0));
    let rank = |gap: &Gap| match gap.kind {
        GapKind::Unsupported => f64::NEG_INFINITY,
        GapKind::OverLimit(factor) => -factor,
    };
    all.sort_by(|gap, other| rank(gap).total_cmp(&rank(other)));
    all
}

/// Every target that is known not to be met, the most severe first.
pub(super) fn gaps(figures: Figures) -> Vec<Gap> {
    let mut all = unsupported(figures);
    for listed in ListScope::ALL {
        all.extend(over_limit(figures, listed));
    }
    ordered(all)
}

fn unsupported(figures: Figures) -> Vec<Gap> {
    let calls_per_s = USERS.conductors * USERS.changes_per_s();
    let burst_calls_per_s = USERS.conductors * Assumptions::with_servers(0.0).burst_per_s;
    let log_bytes_per_s = figures.at(Name::Entries, Metric::LeaderWireBytesPerS, USERS.changes_per_s());
    let max_tenants = figures.largest(Name::Tenants).unwrap_or(0.0);
    let tenants_cost = |metric| figures.at(Name::Tenants, metric, max_tenants).text();
    vec![
        Gap {
            target: "3,000 changes of configuration a day, in force everywhere within 5 s".into(),
            kind: GapKind::Unsupported,
            found: format!(
                "a call to each conductor: {calls_per_s:.0} calls a second in the mean, {burst_calls_per_s:.0} \
                 in the burst; nobody knows where a change is in force, and a restart loses it"
            ),
            mechanism: "configuration agreed on once and pushed to subscribers by version (distribution.md)",
            cost: format!(
                "the log at the day's mean: {} bytes/s at the leader, 3 voters and 2 that follow; a subscriber's \
                 heartbeat and its share of the changes: see the scale run",
                log_bytes_per_s.text()
            ),
        },
        Gap {
            target: "2,400 conductors as one fleet".into(),
            kind: GapKind::Unsupported,
            found: "settings refuse it: `council.conductors` and `fleet.conductors` are 1,000 at most, \
                    `fleet.proxies` 65,000 at most where 50 proxies a conductor are 120,000; one conductor more \
                    means 2,400 files"
                .into(),
            mechanism: "conductors as subscribers that learn addresses, not as members named in every file",
            cost: "part of the above; the two bounds of `[fleet]` are a change of settings".into(),
        },
        Gap {
            target: "99,000 tenants".into(),
            kind: GapKind::Unsupported,
            found: format!(
                "each tenant is a section of every conductor's file with an engine of its own: {max_tenants:.0} started \
                 at most, and hold {} MiB at {} % of a core with no proxy at all, {} s until it listens",
                tenants_cost(Metric::ResidentMib),
                tenants_cost(Metric::CpuPercent),
                tenants_cost(Metric::StartS)
            ),
            mechanism: "tenants as scopes of the configuration that a conductor asks for, engines only where used",
            cost: "a tenant without an engine is a document's scope: see the scale run".into(),
        },
        Gap {
            target: "11,000 routes".into(),
            kind: GapKind::Unsupported,
            found: "a conductor knows classes, 16 at most, and no routes".into(),
            mechanism: "none is designed; which decisions need a route is open",
            cost: "not known".into(),
        },
        Gap {
            target: "a lost zone's proxies find another conductor".into(),
            kind: GapKind::Unsupported,
            found: format!(
                "{:.0} conductors go with a zone; who tells their proxies where to dial is left to the users",
                USERS.conductors / USERS.zones
            ),
            mechanism: "an order of conductors for each proxy, as control members have for subscribers",
            cost: "not known".into(),
        },
    ]
}

/// A conductor's costs against their limits, for one case of the servers that it lists.
fn over_limit(figures: Figures, listed: ListScope) -> Vec<Gap> {
    let assumptions = Assumptions::with_servers(listed.servers());
    let rows = roles::conductor(figures, &assumptions);
    let is_probes = |row: &Row| row.what == roles::PROBES;
    let is_control = |row: &Row| roles::CONTROL.contains(&row.what);
    let conductors_per_server = USERS.conductors * assumptions.servers / USERS.servers;
    let target = |what: &str| format!("{what}, a conductor that lists {}", listed.label());
    let gap = |what: &str, cell: Cell, limit: f64, unit: &str, mechanism, cost: String| Gap {
        target: target(what),
        kind: GapKind::OverLimit(cell.mean().map_or(f64::NAN, |mean| mean / limit)),
        found: format!("{} {unit} where {limit} are allowed", cell.text()),
        mechanism,
        cost,
    };
    let probe_bytes = roles::sum(&rows, is_probes, |row| row.bytes);
    let probe_cpu = roles::sum(&rows, is_probes, |row| row.cpu);
    vec![
        gap(
            "bytes of probes",
            probe_bytes,
            USERS.bytes_per_s,
            "bytes/s",
            "shared probing: one conductor probes a server for all that list it",
            format!(
                "{conductors_per_server:.1} conductors list a server; by one of them alone it is {} bytes/s each, and the \
                 sharing of what was seen, which is not measured",
                probe_bytes.times(1.0 / conductors_per_server.max(1.0)).text()
            ),
        ),
        gap(
            "CPU of probes",
            probe_cpu,
            USERS.cpu_percent,
            "% of a core",
            "shared probing, as above",
            format!(
                "{} % of a core each if one probes for all",
                probe_cpu.times(1.0 / conductors_per_server.max(1.0)).text()
            ),
        ),
        gap(
            "bytes of control, probes apart",
            roles::sum(&rows, is_control, |row| row.bytes),
            USERS.bytes_per_s,
            "bytes/s",
            "a subscriber's heartbeat in place of a member that follows",
            "see the scale run".into(),
        ),
        gap(
            "CPU of control, probes apart",
            roles::sum(&rows, is_control, |row| row.cpu),
            USERS.cpu_percent,
            "% of a core",
            "a subscriber's heartbeat in place of a member that follows",
            "see the scale run".into(),
        ),
        gap(
            "memory in all",
            roles::sum_known(&rows, &|_| true, |row| row.memory),
            USERS.memory_mib.round(),
            "MiB",
            "lists of what a conductor's proxies need alone",
            "not known".into(),
        ),
    ]
}
