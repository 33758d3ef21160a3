//! Results of a run, as text for people and as JSON for the generated pages.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::checker::Verdict;
use super::latency::{PropagationTimes, Spread};
use super::measure::{Role, RoleUsage};
use super::members::{Group, MemberUsage, PeerUsage};
use super::peers::PeerKind;
use crate::capacity::target::USERS;
use crate::fit::exponent;

/// Target for the control traffic of a subscriber, in bytes a second.
pub(crate) const SUBSCRIBER_BYTES_PER_S: f64 = USERS.bytes_per_s;
/// Target for the processor time of a subscriber, in hundredths of a core.
pub(crate) const SUBSCRIBER_CPU_PERCENT: f64 = USERS.cpu_percent;
/// Target for the memory of a subscriber, in MB.
pub(crate) const SUBSCRIBER_MB: f64 = USERS.memory_mib * BYTES_OF_MIB / 1e6;
const BYTES_OF_MIB: f64 = (1 << 20) as f64;
/// Target for the time until a change is in force everywhere, in every phase, in milliseconds.
pub(crate) const IN_FORCE_MS: f64 = 5_000.0;
/// Target for the same time in the phase at the mean pace, in milliseconds.
pub(crate) const IN_FORCE_AT_MEAN_PACE_MS: f64 = 1_000.0;
/// Target for the time until a full start of 2,400 conductors is in force, in milliseconds.
pub(crate) const FULL_START_MS: f64 = 30_000.0;
/// Name of the phase with changes at the mean pace.
pub(crate) const MEAN: &str = "mean";
/// Name of the phase with changes at the burst pace.
pub(crate) const BURST: &str = "burst";

/// The machine that a run used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Machine {
    /// Number of processor cores.
    pub cores: usize,
    /// Installed memory, in MB.
    pub memory_mb: u64,
    /// One-minute load average before the run: the load caused by other processes.
    pub load_before: f64,
}

/// Sizes of a run's fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fleet {
    /// Number of conductors, real and hollow.
    pub conductors: usize,
    /// Number of conductors that are processes of the real program.
    pub real: usize,
    /// Number of control members.
    pub controls: usize,
    /// Number of hollow servers.
    pub servers: usize,
    /// Number of services.
    pub services: usize,
    /// Number of routes of all services.
    pub routes: usize,
    /// Number of tenants, summed over services.
    pub tenants: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of documents before the conductors start.
    pub documents: usize,
    /// Number of processes, including the measuring one.
    pub processes: usize,
}

/// Results of starting all conductors concurrently.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct FullStart {
    /// Time until the last hollow conductor acted by all documents.
    pub hollow_ms: f64,
    /// Time until the last real conductor did; its process was started at the same time.
    pub real_ms: f64,
    /// Time until the operators' endpoint reported the documents as in force at all conductors; `None` if it
    /// did not in time.
    pub known_ms: Option<f64>,
    /// Payload bytes that all hollow conductors read.
    pub bytes_read: u64,
    /// Payload bytes that the hollow conductor with the most bytes read.
    pub bytes_read_most: u64,
}

/// Results of a phase of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Phase {
    /// Name of the phase.
    pub name: String,
    /// Duration.
    pub seconds: f64,
    /// Number of committed proposals.
    pub changes: usize,
    /// Number of proposal attempts repeated because the outcome was unknown.
    pub retries: usize,
    /// Propagation times of the changes.
    pub travel: PropagationTimes,
    /// Resource usage by role.
    pub usage: BTreeMap<Role, RoleUsage>,
    /// Resource usage of each control member by kind of peer, leaders first.
    pub members: Vec<MemberUsage>,
    /// Number of hollow conductors connected at its end.
    pub connected: usize,
    /// Time after a fault or its end until all hollow conductors had the changes committed before; 0 if they
    /// had them already, `None` if the phase has no fault.
    pub level_ms: Option<f64>,
    /// Time until the proxies of all real conductors had received their orders; `None` if the phase has no
    /// fault or some never did.
    pub level_real_ms: Option<f64>,
    /// Descriptions of what happened.
    pub notes: Vec<String>,
}

/// Control traffic under the same load with real conductors, and with hollow ones in their place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Swap {
    /// Number of replaced conductors.
    pub conductors: usize,
    /// Payload bytes a second between one real conductor and control.
    pub real_bytes_per_s: f64,
    /// Payload bytes a second between one hollow conductor and control.
    pub hollow_bytes_per_s: f64,
    /// Segments with data a second of one real conductor.
    pub real_messages_per_s: f64,
    /// Segments with data a second of one hollow conductor.
    pub hollow_messages_per_s: f64,
}

impl Swap {
    /// Returns the relative error of the hollow conductors' bytes and messages; infinite if the real ones had
    /// none.
    pub(crate) fn off_by(&self) -> (f64, f64) {
        let off =
            |hollow: f64, real: f64| if real > 0.0 { (hollow / real - 1.0).abs() } else { f64::INFINITY };
        (
            off(self.hollow_bytes_per_s, self.real_bytes_per_s),
            off(self.hollow_messages_per_s, self.real_messages_per_s),
        )
    }
}

/// A target and the measured figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TargetResult {
    /// Name of the figure, with its unit.
    pub what: String,
    /// Bound that the figure must stay below.
    pub at_most: f64,
    /// Measured figure.
    pub figure: f64,
    /// True if the figure is below the bound and no change is missing.
    pub met: bool,
}

/// Complete results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Seed of all random draws.
    pub seed: u64,
    /// Machine that the run used.
    pub machine: Machine,
    /// Sizes of the fleet.
    pub fleet: Fleet,
    /// Interval between two rollout status requests, in milliseconds.
    pub ask_every_ms: u64,
    /// Changes a second in the phase `mean`.
    pub mean_pace_per_s: f64,
    /// Changes a second in the phase `burst`.
    pub burst_pace_per_s: f64,
    /// Results of the full start.
    pub start: FullStart,
    /// Results of the phases, in order.
    pub phases: Vec<Phase>,
    /// Comparison of real and hollow conductors, if it was requested.
    pub swap: Option<Swap>,
    /// Probes that servers answered a second, for each real conductor.
    pub probes_per_s: f64,
    /// Payload of these probes in bytes a second, for each real conductor.
    pub probe_bytes_per_s: f64,
    /// Peak resident memory of all processes together, in MB.
    pub memory_mb: f64,
    /// Longest time that a sample of the sockets took, in milliseconds.
    pub look_most_ms: f64,
    /// Result of the checks of the recorded history.
    pub verdict: Verdict,
}

impl Report {
    /// Returns the targets with the measured figures, in the order of the users' list.
    pub(crate) fn target_results(&self) -> Vec<TargetResult> {
        let target_result = |what: String, at_most: f64, figure: f64| TargetResult {
            what,
            at_most,
            figure,
            met: figure < at_most,
        };
        let mut target_results = Vec::new();
        for phase in &self.phases {
            let at_most = if phase.name == MEAN { IN_FORCE_AT_MEAN_PACE_MS } else { IN_FORCE_MS };
            let PropagationTimes { in_force, at_proxies, missing, missing_at_proxies, .. } = phase.travel;
            for (what, spread, missing) in [
                ("in force at the last", in_force, missing),
                ("ordered at the last proxy", at_proxies, missing_at_proxies),
            ] {
                if spread.count + missing == 0 {
                    continue;
                }
                let mut target_result =
                    target_result(format!("{}: {what}, ms", phase.name), at_most, spread.most_ms);
                if missing > 0 {
                    target_result.met = false;
                    target_result.what = format!("{} ({missing} changes never)", target_result.what);
                }
                target_results.push(target_result);
            }
        }
        let of = |role: Role, figure: fn(&RoleUsage) -> f64| {
            let figures = self.phases.iter().filter_map(|phase| phase.usage.get(&role)).map(figure);
            figures.fold(0.0, f64::max)
        };
        let real = Role::RealConductor;
        target_results.push(target_result(
            "a subscriber's bytes a second with headers, probes apart, on the mean of its worst phase".into(),
            SUBSCRIBER_BYTES_PER_S,
            of(real, |usage| usage.bytes_per_s_with_headers),
        ));
        target_results.push(target_result(
            "a real conductor's processor time, percent of a core, on the mean of its worst phase".into(),
            SUBSCRIBER_CPU_PERCENT,
            of(real, |usage| usage.cpu_percent),
        ));
        target_results.push(target_result(
            "a real conductor's memory, MB".into(),
            SUBSCRIBER_MB,
            of(real, |usage| usage.resident_mb),
        ));
        target_results.push(target_result(
            "a full start in force at the last hollow conductor, ms".into(),
            FULL_START_MS,
            self.start.hollow_ms,
        ));
        target_results.push(target_result(
            "a full start in force at the last real conductor, ms".into(),
            FULL_START_MS,
            self.start.real_ms,
        ));
        target_results
    }
}

/// Growth of a figure with the number of conductors over the runs of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Growth {
    /// Name of the figure.
    pub what: String,
    /// Number of conductors and the figure, for each run.
    pub points: Vec<(f64, f64)>,
    /// Exponent of the fitted power law; `None` if it cannot be fitted.
    pub exponent: Option<f64>,
}

/// Returns the growth of the figures of the phase at the mean pace; the leader's traffic is also split by
/// kind of peer.
pub(crate) fn growth(reports: &[Report]) -> Vec<Growth> {
    let of = |what: String, figure: &dyn Fn(&Phase) -> Option<f64>| {
        let point = |report: &Report| {
            let mean = report.phases.iter().find(|phase| phase.name == MEAN)?;
            Some((report.fleet.conductors as f64, figure(mean)?))
        };
        let points: Vec<(f64, f64)> = reports.iter().filter_map(point).collect();
        Growth { what, exponent: exponent(&points), points }
    };
    let mut growth = Vec::new();
    for (name, role) in [
        ("leader", Role::Leader),
        ("control member", Role::Control),
        ("hollow conductor", Role::HollowConductor),
    ] {
        growth.push(of(format!("{name}: percent of a core"), &|phase| {
            phase.usage.get(&role).map(|usage| usage.cpu_percent)
        }));
        growth.push(of(format!("{name}: bytes a second"), &|phase| {
            phase.usage.get(&role).map(|usage| usage.bytes_per_s_with_headers)
        }));
    }
    for kind in PeerKind::ALL {
        let leader = |phase: &Phase| Group::Leader.mean(&phase.members, kind);
        growth.push(of(format!("leader: bytes a second with {}", kind.label()), &|phase| {
            leader(phase).map(|usage| usage.bytes_per_s_with_headers)
        }));
        growth.push(of(format!("leader: segments a second with {}", kind.label()), &|phase| {
            leader(phase).map(|usage| usage.segments_per_s)
        }));
    }
    growth.retain(|growth| !growth.points.is_empty());
    growth
}

fn write_spread(f: &mut fmt::Formatter<'_>, what: &str, spread: &Spread) -> fmt::Result {
    let Spread { count, p50_ms, p99_ms, most_ms } = spread;
    if *count == 0 {
        return Ok(());
    }
    writeln!(f, "  {what:<34} {count:>6}   p50 {p50_ms:>9.1}   p99 {p99_ms:>9.1}   most {most_ms:>9.1} ms")
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Phase { name, seconds, changes, retries, travel, connected, .. } = self;
        writeln!(
            f,
            "{name}: {seconds:.0} s, {changes} changes, {retries} asked again, {connected} attached at its end"
        )?;
        write_spread(f, "proposed to agreed", &travel.agreed)?;
        write_spread(f, "proposed to in force at the last", &travel.in_force)?;
        write_spread(f, "proposed to the last proxy's socket", &travel.at_proxies)?;
        write_spread(f, "proposed to known everywhere", &travel.known)?;
        let PropagationTimes { missing, missing_at_proxies, late, .. } = travel;
        writeln!(
            f,
            "  later than 5 s {late}, never at some conductor {missing}, never at some proxy {missing_at_proxies}"
        )?;
        if let Some(level) = self.level_ms {
            writeln!(
                f,
                "  all hollow level again after {level:.0} ms, real at their proxies after {:.0?} ms",
                self.level_real_ms
            )?;
        }
        self.notes.iter().try_for_each(|note| writeln!(f, "  {note}"))?;
        if !self.usage.is_empty() {
            writeln!(
                f,
                "  {:<16} {:>5} {:>7} {:>7} {:>8} {:>9} {:>9} {:>10} {:>7}",
                "each", "count", "cpu %", "worst", "MB", "B/s", "+headers", "worst", "msg/s"
            )?;
        }
        for (role, usage) in &self.usage {
            let name = format!("{role:?}");
            writeln!(
                f,
                "  {name:<16} {:>5} {:>7.2} {:>7.1} {:>8.1} {:>9.0} {:>9.0} {:>10.0} {:>7.1}",
                usage.members,
                usage.cpu_percent,
                usage.cpu_percent_worst,
                usage.resident_mb,
                usage.bytes_per_s,
                usage.bytes_per_s_with_headers,
                usage.bytes_per_s_worst,
                usage.messages_per_s,
            )?;
        }
        write_peer_table(f, &self.members)
    }
}

/// Writes the table of control members' traffic by kind of peer.
fn write_peer_table(f: &mut fmt::Formatter<'_>, members: &[MemberUsage]) -> fmt::Result {
    if members.is_empty() {
        return Ok(());
    }
    writeln!(
        f,
        "  {:<14} {:<18} {:>7} {:>9} {:>9} {:>10} {:>8}",
        "control", "with", "links", "B/s", "+headers", "segments/s", "msg/s"
    )?;
    for group in Group::ALL {
        for kind in PeerKind::ALL {
            let Some(usage) = group.mean(members, kind) else { continue };
            let PeerUsage {
                connections,
                bytes_per_s,
                bytes_per_s_with_headers,
                segments_per_s,
                messages_per_s,
            } = usage;
            writeln!(
                f,
                "  {:<14} {:<18} {connections:>7.1} {bytes_per_s:>9.0} {bytes_per_s_with_headers:>9.0} \
                 {segments_per_s:>10.1} {messages_per_s:>8.1}",
                group.label(),
                kind.label()
            )?;
        }
    }
    Ok(())
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Machine { cores, memory_mb, load_before } = self.machine;
        writeln!(f, "seed {}, {cores} cores, {memory_mb} MB, load before {load_before:.2}", self.seed)?;
        writeln!(f, "operators ask each {} ms", self.ask_every_ms)?;
        let fleet = self.fleet;
        writeln!(
            f,
            "{} conductors ({} real), {} control, {} servers, {} services, {} routes, {} tenants, {} regions, {} documents, {} processes, {:.0} MB",
            fleet.conductors,
            fleet.real,
            fleet.controls,
            fleet.servers,
            fleet.services,
            fleet.routes,
            fleet.tenants,
            fleet.regions,
            fleet.documents,
            fleet.processes,
            self.memory_mb
        )?;
        let start = self.start;
        writeln!(
            f,
            "full start: in force at the last hollow {:.0} ms, real {:.0} ms, known {:.0?} ms; {} bytes read, {} by one at most",
            start.hollow_ms, start.real_ms, start.known_ms, start.bytes_read, start.bytes_read_most
        )?;
        self.phases.iter().try_for_each(|phase| write!(f, "{phase}"))?;
        writeln!(
            f,
            "probes of a real conductor: {:.1} a second, {:.0} bytes a second without headers",
            self.probes_per_s, self.probe_bytes_per_s
        )?;
        if let Some(swap) = self.swap {
            let (bytes, messages) = swap.off_by();
            writeln!(
                f,
                "{} real swapped for hollow: bytes a second {:.1} and {:.1} ({:.1}% off), messages {:.3} and {:.3} ({:.1}% off)",
                swap.conductors,
                swap.real_bytes_per_s,
                swap.hollow_bytes_per_s,
                bytes * 100.0,
                swap.real_messages_per_s,
                swap.hollow_messages_per_s,
                messages * 100.0
            )?;
        }
        for TargetResult { what, at_most, figure, met } in self.target_results() {
            writeln!(
                f,
                "{} {what}: {figure:.1}, aim under {at_most:.1}",
                if met { "met   " } else { "MISSED" }
            )?;
        }
        write!(f, "judge: {}", self.verdict)
    }
}
