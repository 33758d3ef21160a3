//! What is missing, in order: what nothing carries first, then what is over its allowance, by how far.

use super::cell::Cell;
use super::figures::Figures;
use super::roles::{self, Row};
use super::target::{Assumptions, Listed, USERS};
use crate::slopes::result::{Metric, Name};

/// How a target line stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Standing {
    /// Nothing carries it.
    NotCarried,
    /// So many times its allowance.
    Over(f64),
}

/// Something that is missing.
#[derive(Clone, Debug)]
pub(super) struct Missing {
    /// The target line.
    pub line: String,
    /// How it stands.
    pub standing: Standing,
    /// What was found.
    pub found: String,
    /// What it needs.
    pub mechanism: &'static str,
    /// What that would cost.
    pub cost: String,
}

/// Sorts what is missing, and leaves out what is within its allowance.
pub(super) fn ordered(mut all: Vec<Missing>) -> Vec<Missing> {
    all.retain(|one| !matches!(one.standing, Standing::Over(times) if times.is_nan() || times <= 1.0));
    let rank = |one: &Missing| match one.standing {
        Standing::NotCarried => f64::NEG_INFINITY,
        Standing::Over(times) => -times,
    };
    all.sort_by(|one, other| rank(one).total_cmp(&rank(other)));
    all
}

/// All target lines that are known not to be met.
pub(super) fn missing(figures: Figures) -> Vec<Missing> {
    let mut all = not_carried(figures);
    for listed in Listed::ALL {
        all.extend(over(figures, listed));
    }
    ordered(all)
}

fn not_carried(figures: Figures) -> Vec<Missing> {
    let calls = USERS.conductors * USERS.changes_per_s();
    let burst = USERS.conductors * Assumptions::taken(0.0).burst_per_s;
    let entries = figures.at(Name::Entries, Metric::LeaderWireBytesPerS, USERS.changes_per_s());
    let most = figures.largest(Name::Tenants).unwrap_or(0.0);
    let of_tenants = |metric| figures.at(Name::Tenants, metric, most).text();
    vec![
        Missing {
            line: "3,000 changes of configuration a day, in force everywhere within 5 s".into(),
            standing: Standing::NotCarried,
            found: format!(
                "a call to each conductor: {calls:.0} calls a second in the mean, {burst:.0} in the burst; nobody \
                 knows where a change is in force, and a restart loses it"
            ),
            mechanism: "configuration agreed on once and pushed to subscribers by version (distribution.md)",
            cost: format!(
                "the log at the day's mean: {} bytes/s at the leader, 3 voters and 2 that follow; a subscriber's \
                 heartbeat and its share of the changes: see the scale run",
                entries.text()
            ),
        },
        Missing {
            line: "2,400 conductors as one fleet".into(),
            standing: Standing::NotCarried,
            found: "settings refuse it: `council.conductors` and `fleet.conductors` are 1,000 at most, \
                    `fleet.proxies` 65,000 at most where 50 proxies a conductor are 120,000; one conductor more \
                    means 2,400 files"
                .into(),
            mechanism: "conductors as subscribers that learn addresses, not as members named in every file",
            cost: "part of the above; the two bounds of `[fleet]` are a change of settings".into(),
        },
        Missing {
            line: "99,000 tenants".into(),
            standing: Standing::NotCarried,
            found: format!(
                "each tenant is a section of every conductor's file with an engine of its own: {most:.0} started at \
                 most, and hold {} MiB at {} % of a core with no proxy at all, {} s until it listens",
                of_tenants(Metric::ResidentMib),
                of_tenants(Metric::CpuPercent),
                of_tenants(Metric::StartS)
            ),
            mechanism: "tenants as scopes of the configuration that a conductor asks for, engines only where used",
            cost: "a tenant without an engine is a document's scope: see the scale run".into(),
        },
        Missing {
            line: "11,000 routes".into(),
            standing: Standing::NotCarried,
            found: "a conductor knows classes, 16 at most, and no routes".into(),
            mechanism: "none is designed; which decisions need a route is open",
            cost: "not known".into(),
        },
        Missing {
            line: "a lost zone's proxies find another conductor".into(),
            standing: Standing::NotCarried,
            found: format!(
                "{:.0} conductors go with a zone; who tells their proxies where to dial is left to the users",
                USERS.conductors / USERS.zones
            ),
            mechanism: "an order of conductors for each proxy, as control members have for subscribers",
            cost: "not known".into(),
        },
    ]
}

/// Lines of a conductor that are over, for one case of what it lists.
fn over(figures: Figures, listed: Listed) -> Vec<Missing> {
    let with = Assumptions::taken(listed.servers());
    let rows = roles::conductor(figures, &with);
    let probes = |row: &Row| row.what == roles::PROBES;
    let control = |row: &Row| roles::CONTROL.contains(&row.what);
    let shared = USERS.conductors * with.servers / USERS.servers;
    let line = |what: &str| format!("{what}, a conductor that lists {}", listed.label());
    let entry = |what: &str, cell: Cell, allowance: f64, unit: &str, mechanism, cost: String| Missing {
        line: line(what),
        standing: Standing::Over(cell.mean().map_or(f64::NAN, |mean| mean / allowance)),
        found: format!("{} {unit} where {allowance} are allowed", cell.text()),
        mechanism,
        cost,
    };
    let probe_bytes = roles::sum(&rows, probes, |row| row.bytes);
    let probe_cpu = roles::sum(&rows, probes, |row| row.cpu);
    vec![
        entry(
            "bytes of probes",
            probe_bytes,
            USERS.bytes_per_s,
            "bytes/s",
            "shared probing: one conductor probes a server for all that list it",
            format!(
                "{shared:.1} conductors list a server; by one of them alone it is {} bytes/s each, and the sharing \
                 of what was seen, which is not measured",
                probe_bytes.times(1.0 / shared.max(1.0)).text()
            ),
        ),
        entry(
            "CPU of probes",
            probe_cpu,
            USERS.cpu_percent,
            "% of a core",
            "shared probing, as above",
            format!(
                "{} % of a core each if one probes for all",
                probe_cpu.times(1.0 / shared.max(1.0)).text()
            ),
        ),
        entry(
            "bytes of control, probes apart",
            roles::sum(&rows, control, |row| row.bytes),
            USERS.bytes_per_s,
            "bytes/s",
            "a subscriber's heartbeat in place of a member that follows",
            "see the scale run".into(),
        ),
        entry(
            "CPU of control, probes apart",
            roles::sum(&rows, control, |row| row.cpu),
            USERS.cpu_percent,
            "% of a core",
            "a subscriber's heartbeat in place of a member that follows",
            "see the scale run".into(),
        ),
        entry(
            "memory in all",
            roles::sum_known(&rows, &|_| true, |row| row.memory),
            USERS.memory_mib.round(),
            "MiB",
            "lists of what a conductor's proxies need alone",
            "not known".into(),
        ),
    ]
}
