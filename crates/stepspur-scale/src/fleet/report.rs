//! What a run found: a table for people, JSON for the pages.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::judge::Verdict;
use super::latency::{Spread, Travel};
use super::measure::{Role, RoleUsage};
use super::members::{Group, MemberUsage, PeerUsage};
use super::peers::PeerKind;
use crate::capacity::target::USERS;
use crate::fit::exponent;

/// What the users allow a subscriber for control, in bytes a second.
pub(crate) const SUBSCRIBER_BYTES_PER_S: f64 = USERS.bytes_per_s;
/// In hundredths of a core.
pub(crate) const SUBSCRIBER_CPU_PERCENT: f64 = USERS.cpu_percent;
/// In MB.
pub(crate) const SUBSCRIBER_MB: f64 = USERS.memory_mib * BYTES_OF_MIB / 1e6;
const BYTES_OF_MIB: f64 = (1 << 20) as f64;
/// A change is in force everywhere within this, in every case.
pub(crate) const IN_FORCE_MS: f64 = 5_000.0;
/// The same at the mean pace.
pub(crate) const IN_FORCE_AT_MEAN_PACE_MS: f64 = 1_000.0;
/// A full start of 2,400 conductors is in force within this.
pub(crate) const FULL_START_MS: f64 = 30_000.0;
/// The phase at the mean pace, and that of the burst.
pub(crate) const MEAN: &str = "mean";
/// See [`MEAN`].
pub(crate) const BURST: &str = "burst";

/// The machine of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Machine {
    /// Processor cores.
    pub cores: usize,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// The load average of the minute before the run: what others did beside it.
    pub load_before: f64,
}

/// How large the run was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Fleet {
    /// Conductors, real and hollow.
    pub conductors: usize,
    /// Of them, processes of the real program.
    pub real: usize,
    /// Control members.
    pub controls: usize,
    /// Hollow servers.
    pub servers: usize,
    /// Services.
    pub services: usize,
    /// Routes of all services.
    pub routes: usize,
    /// Tenants' scopes.
    pub tenants: usize,
    /// Regions.
    pub regions: usize,
    /// Documents before the start.
    pub documents: usize,
    /// Processes, the rig among them.
    pub processes: usize,
}

/// The start of all conductors at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct FullStart {
    /// Until the last hollow conductor acted by all documents.
    pub hollow_ms: f64,
    /// Until the last real conductor did; its process was started at the same time.
    pub real_ms: f64,
    /// Until the operators' endpoint counted all and said so of all; none: not in time.
    pub known_ms: Option<f64>,
    /// Bytes that hollow conductors read, without headers.
    pub bytes_read: u64,
    /// Of the one that read most.
    pub bytes_read_most: u64,
}

/// A phase of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Phase {
    /// Its name.
    pub name: String,
    /// How long it took.
    pub seconds: f64,
    /// Proposals that were agreed.
    pub changes: usize,
    /// Proposals whose outcome was asked for again.
    pub retries: usize,
    /// How they travelled.
    pub travel: Travel,
    /// What each role used.
    pub usage: BTreeMap<Role, RoleUsage>,
    /// What each control member used, and with whom, leaders first.
    pub members: Vec<MemberUsage>,
    /// Hollow conductors that were attached at its end.
    pub connected: usize,
    /// After a fault or its end: until all hollow conductors had what was agreed by then; 0: they had it already.
    pub level_ms: Option<f64>,
    /// The same until the proxies of all real conductors were ordered it; none: no fault, or some never were.
    pub level_real_ms: Option<f64>,
    /// What happened, in words.
    pub notes: Vec<String>,
}

/// The same span with real conductors, and with hollow ones in their places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Swap {
    /// Conductors that were swapped.
    pub conductors: usize,
    /// Bytes a second with control of one real one, without headers.
    pub real_bytes_per_s: f64,
    /// Of a hollow one.
    pub hollow_bytes_per_s: f64,
    /// Messages a second of a real one.
    pub real_messages_per_s: f64,
    /// Of a hollow one.
    pub hollow_messages_per_s: f64,
}

impl Swap {
    /// How far the hollow ones are off, as a share: bytes, messages.
    pub(crate) fn off_by(&self) -> (f64, f64) {
        let off =
            |hollow: f64, real: f64| if real > 0.0 { (hollow / real - 1.0).abs() } else { f64::INFINITY };
        (
            off(self.hollow_bytes_per_s, self.real_bytes_per_s),
            off(self.hollow_messages_per_s, self.real_messages_per_s),
        )
    }
}

/// An aim and what was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Aim {
    /// What.
    pub what: String,
    /// At most so much.
    pub at_most: f64,
    /// So much it was.
    pub figure: f64,
    /// True: it is kept.
    pub met: bool,
}

/// A run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Where draws started.
    pub seed: u64,
    /// The machine.
    pub machine: Machine,
    /// How large it was.
    pub fleet: Fleet,
    /// Operators asked so often where a version is in force, in milliseconds.
    pub ask_every_ms: u64,
    /// Changes a second in the phase `mean`.
    pub mean_pace_per_s: f64,
    /// Changes a second in the phase `burst`.
    pub burst_pace_per_s: f64,
    /// The start.
    pub start: FullStart,
    /// The phases.
    pub phases: Vec<Phase>,
    /// Real against hollow conductors, if it was asked for.
    pub swap: Option<Swap>,
    /// Probes that servers answered each second for each real conductor, and their payload in bytes.
    pub probes_per_s: f64,
    /// See [`Report::probes_per_s`].
    pub probe_bytes_per_s: f64,
    /// Resident memory of all processes together at most, in MB.
    pub memory_mb: f64,
    /// The longest that a look at the sockets took, in milliseconds.
    pub look_most_ms: f64,
    /// What the judge says.
    pub verdict: Verdict,
}

impl Report {
    /// The aims with what was measured, in the order of the users' list.
    pub(crate) fn aims(&self) -> Vec<Aim> {
        let aim =
            |what: String, at_most: f64, figure: f64| Aim { what, at_most, figure, met: figure < at_most };
        let mut aims = Vec::new();
        for phase in &self.phases {
            let at_most = if phase.name == MEAN { IN_FORCE_AT_MEAN_PACE_MS } else { IN_FORCE_MS };
            let Travel { in_force, at_proxies, missing, missing_at_proxies, .. } = phase.travel;
            for (what, spread, missing) in [
                ("in force at the last", in_force, missing),
                ("ordered at the last proxy", at_proxies, missing_at_proxies),
            ] {
                if spread.count + missing == 0 {
                    continue;
                }
                let mut aim = aim(format!("{}: {what}, ms", phase.name), at_most, spread.most_ms);
                if missing > 0 {
                    aim.met = false;
                    aim.what = format!("{} ({missing} changes never)", aim.what);
                }
                aims.push(aim);
            }
        }
        let of = |role: Role, figure: fn(&RoleUsage) -> f64| {
            let figures = self.phases.iter().filter_map(|phase| phase.usage.get(&role)).map(figure);
            figures.fold(0.0, f64::max)
        };
        let real = Role::RealConductor;
        aims.push(aim(
            "a subscriber's bytes a second with headers, probes apart, on the mean of its worst phase".into(),
            SUBSCRIBER_BYTES_PER_S,
            of(real, |usage| usage.bytes_per_s_with_headers),
        ));
        aims.push(aim(
            "a real conductor's processor time, percent of a core, on the mean of its worst phase".into(),
            SUBSCRIBER_CPU_PERCENT,
            of(real, |usage| usage.cpu_percent),
        ));
        aims.push(aim(
            "a real conductor's memory, MB".into(),
            SUBSCRIBER_MB,
            of(real, |usage| usage.resident_mb),
        ));
        aims.push(aim(
            "a full start in force at the last hollow conductor, ms".into(),
            FULL_START_MS,
            self.start.hollow_ms,
        ));
        aims.push(aim(
            "a full start in force at the last real conductor, ms".into(),
            FULL_START_MS,
            self.start.real_ms,
        ));
        aims
    }
}

/// How a figure grows with conductors over the runs of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Growth {
    /// The figure.
    pub what: String,
    /// Conductors and the figure, run by run.
    pub points: Vec<(f64, f64)>,
    /// The exponent.
    pub exponent: Option<f64>,
}

/// How figures of the phase at the mean pace grow with conductors; of the leader also by whom it exchanges bytes with.
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

fn spread(f: &mut fmt::Formatter<'_>, what: &str, spread: &Spread) -> fmt::Result {
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
        spread(f, "proposed to agreed", &travel.agreed)?;
        spread(f, "proposed to in force at the last", &travel.in_force)?;
        spread(f, "proposed to the last proxy's socket", &travel.at_proxies)?;
        spread(f, "proposed to known everywhere", &travel.known)?;
        let Travel { missing, missing_at_proxies, late, .. } = travel;
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
        peers(f, &self.members)
    }
}

/// With whom control members exchange what.
fn peers(f: &mut fmt::Formatter<'_>, members: &[MemberUsage]) -> fmt::Result {
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
        for Aim { what, at_most, figure, met } in self.aims() {
            writeln!(
                f,
                "{} {what}: {figure:.1}, aim under {at_most:.1}",
                if met { "met   " } else { "MISSED" }
            )?;
        }
        write!(f, "judge: {}", self.verdict)
    }
}
