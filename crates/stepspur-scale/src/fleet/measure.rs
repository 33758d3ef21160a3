//! Samples processor time, memory and traffic of the processes of a run once a second.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::members::{MemberRole, MemberSample, MemberUsage, usage_by_member};
use super::peers::{Addresses, Member, MemberProcesses};
use super::settings::ControlFleet;
use super::sockets::{Snapshot, Traffic};
use crate::usage::{Usage, usage};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The part that a process plays in a run. Reports contain the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// The control member that leads the consensus group.
    Leader,
    /// A control member that does not lead.
    Control,
    /// A process of the real program.
    RealConductor,
    /// A hollow conductor: its share of the process that runs it.
    HollowConductor,
    /// A process of hollow servers.
    Servers,
    /// The measuring process itself.
    Rig,
}

/// A process that is sampled.
#[derive(Clone, Copy, Debug)]
struct WatchedProcess {
    role: Role,
    /// Number of members (such as hollow conductors) among which the process's figures are divided.
    members: usize,
}

/// Resource usage of one process between two samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct UsageSpan {
    seconds: f64,
    cpu_s: f64,
    /// Resident memory at the end, in bytes.
    resident: u64,
    traffic: Traffic,
    /// Part of `traffic` that was exchanged with control members.
    to_control: Traffic,
}

/// Usage between two samples, by process id.
type UsageSample = BTreeMap<u32, (WatchedProcess, UsageSpan)>;

/// The same for control members, with their traffic by kind of peer.
type MemberSamples = BTreeMap<MemberRole, MemberSample>;

/// Resource usage of one member of a role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct RoleUsage {
    /// Number of sampled members of the role.
    pub members: usize,
    /// Mean processor time, in hundredths of a core.
    pub cpu_percent: f64,
    /// The same in the worst second of the worst process.
    pub cpu_percent_worst: f64,
    /// Peak resident memory of one member, in MB.
    pub resident_mb: f64,
    /// Mean payload bytes a second in both directions; for conductors only those exchanged with control.
    pub bytes_per_s: f64,
    /// The same with IP and TCP headers.
    pub bytes_per_s_with_headers: f64,
    /// Bytes a second with headers, in the worst second of the worst process.
    pub bytes_per_s_worst: f64,
    /// Mean number of segments with data a second, in both directions.
    pub messages_per_s: f64,
}

/// Resource usage of a phase.
#[derive(Clone, Debug, Default)]
pub(crate) struct Used {
    /// Mean usage of a member, by role.
    pub roles: BTreeMap<Role, RoleUsage>,
    /// Usage of each control member.
    pub members: Vec<MemberUsage>,
}

/// State shared by the sampler and its task.
#[derive(Debug, Default)]
struct SamplerState {
    watched: BTreeMap<u32, WatchedProcess>,
    leader: Option<u32>,
    control_peers: BTreeSet<String>,
    addresses: Addresses,
    members: MemberProcesses,
    /// Samples since the last [`Sampler::take_usage`].
    samples: Vec<UsageSample>,
    member_samples: Vec<MemberSamples>,
    peak_memory: u64,
    /// Longest time that a sample of the sockets took.
    longest_sample: Duration,
}

/// Samples the processes of a run in a task until it is stopped.
#[derive(Debug)]
pub(crate) struct Sampler {
    state: Arc<Mutex<SamplerState>>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

fn lock(state: &Mutex<SamplerState>) -> MutexGuard<'_, SamplerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Sampler {
    /// Starts sampling; connections to these control members count as traffic with control.
    pub(crate) fn start(control: &ControlFleet) -> Self {
        let control_peers = control.places().iter().map(|member| member.address.to_string()).collect();
        let state =
            SamplerState { control_peers, addresses: Addresses::of(control), ..SamplerState::default() };
        let (state, stop) = (Arc::new(Mutex::new(state)), CancellationToken::new());
        let task = tokio::spawn(run(Arc::clone(&state), stop.clone()));
        Self { state, stop, task }
    }

    /// Adds addresses at which control members are reached as well, such as those of relays.
    pub(crate) fn add_control_addresses(&self, addresses: impl IntoIterator<Item = String>) {
        lock(&self.state).control_peers.extend(addresses);
    }

    /// Samples a process from now on and divides its figures by `members`.
    pub(crate) fn watch(&self, pid: u32, role: Role, members: usize) {
        lock(&self.state).watched.insert(pid, WatchedProcess { role, members });
    }

    /// Samples a control member from now on.
    pub(crate) fn watch_member(&self, pid: u32, member: Member) {
        self.watch(pid, Role::Control, 1);
        lock(&self.state).members.insert(pid, member);
    }

    /// Stops sampling a process.
    pub(crate) fn unwatch(&self, pid: u32) {
        let mut state = lock(&self.state);
        state.watched.remove(&pid);
        state.members.remove(&pid);
    }

    /// Sets the process of the current leader, `None` while there is none.
    pub(crate) fn set_leader(&self, pid: Option<u32>) {
        lock(&self.state).leader = pid;
    }

    /// Number of sampled processes.
    pub(crate) fn processes(&self) -> usize {
        lock(&self.state).watched.len()
    }

    /// Peak of the sum of all processes' resident memory, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        lock(&self.state).peak_memory
    }

    /// Longest time that a sample of the sockets took.
    pub(crate) fn longest_sample(&self) -> Duration {
        lock(&self.state).longest_sample
    }

    /// Returns the usage since the last call.
    pub(crate) fn take_usage(&self) -> Used {
        let mut state = lock(&self.state);
        let (seconds, members) =
            (std::mem::take(&mut state.samples), std::mem::take(&mut state.member_samples));
        drop(state);
        Used { roles: usage_by_role(&seconds), members: usage_by_member(&members) }
    }

    /// Cancels the task and waits until it has ended.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

/// Counters of all processes at one sample.
#[derive(Default)]
struct ProcessCounters {
    at: Option<Instant>,
    usage: BTreeMap<u32, Usage>,
    snapshot: Snapshot,
}

async fn run(state: Arc<Mutex<SamplerState>>, stop: CancellationToken) {
    let mut ticks = interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut before = ProcessCounters::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let pids: Vec<u32> = lock(&state).watched.keys().copied().collect();
        let Ok(counters) = tokio::task::spawn_blocking(move || read_counters(&pids)).await else { continue };
        let mut state = lock(&state);
        state.peak_memory = state.peak_memory.max(counters.usage.values().map(|usage| usage.resident).sum());
        if let (Some(then), Some(at)) = (before.at, counters.at) {
            state.longest_sample = state.longest_sample.max(at.elapsed());
            let sample = usage_between(&state, &before, &counters, at.duration_since(then).as_secs_f64());
            let members = member_usage_between(&state, &sample, &before.snapshot, &counters.snapshot);
            state.member_samples.push(members);
            state.samples.push(sample);
        }
        drop(state);
        before = counters;
    }
}

fn read_counters(pids: &[u32]) -> ProcessCounters {
    let at = Some(Instant::now());
    let usage = pids.iter().filter_map(|pid| Some((*pid, usage(*pid).ok()?))).collect();
    ProcessCounters { at, usage, snapshot: Snapshot::now().unwrap_or_default() }
}

/// Returns the usage of each process that is in both samples; `seconds` is the time between them.
fn usage_between(
    state: &SamplerState,
    before: &ProcessCounters,
    now: &ProcessCounters,
    seconds: f64,
) -> UsageSample {
    let traffic = now.snapshot.since(&before.snapshot, |_| true);
    let to_control = now.snapshot.since(&before.snapshot, |peer| state.control_peers.contains(peer));
    let mut sample = UsageSample::new();
    for (pid, usage) in &now.usage {
        let (Some(watched), Some(then)) = (state.watched.get(pid), before.usage.get(pid)) else { continue };
        let mut watched = *watched;
        if state.leader == Some(*pid) {
            watched.role = Role::Leader;
        }
        let span = UsageSpan {
            seconds,
            cpu_s: usage.cpu.saturating_sub(then.cpu).as_secs_f64(),
            resident: usage.resident,
            traffic: traffic.get(pid).copied().unwrap_or_default(),
            to_control: to_control.get(pid).copied().unwrap_or_default(),
        };
        sample.insert(*pid, (watched, span));
    }
    sample
}

/// Selects the control members' part of a sample and adds their traffic by kind of peer.
fn member_usage_between(
    state: &SamplerState,
    sample: &UsageSample,
    before: &Snapshot,
    now: &Snapshot,
) -> MemberSamples {
    let mut traffic_by_peer = state.addresses.traffic_by_peer(now, before, &state.members);
    let member = |(pid, (watched, span)): (&u32, &(WatchedProcess, UsageSpan))| {
        let member_role =
            MemberRole { leads: watched.role == Role::Leader, member: *state.members.get(pid)? };
        let traffic_by_peer = traffic_by_peer.remove(pid).unwrap_or_default();
        Some((member_role, MemberSample { seconds: span.seconds, cpu_s: span.cpu_s, traffic_by_peer }))
    };
    sample.iter().filter_map(member).collect()
}

/// Sums samples by role. Figures of a process are divided by its members.
fn usage_by_role(seconds: &[UsageSample]) -> BTreeMap<Role, RoleUsage> {
    let mut sums: BTreeMap<Role, Sum> = BTreeMap::new();
    for (pid, (watched, span)) in seconds.iter().flatten() {
        sums.entry(watched.role).or_default().take(*pid, *watched, *span);
    }
    sums.into_iter().map(|(role, sum)| (role, sum.usage())).collect()
}

/// Sums over the samples of one role.
#[derive(Default)]
struct Sum {
    pids: BTreeMap<u32, usize>,
    /// Sampled seconds times members.
    member_seconds: f64,
    cpu_s: f64,
    traffic: Traffic,
    worst: RoleUsage,
}

impl Sum {
    fn take(&mut self, pid: u32, watched: WatchedProcess, span: UsageSpan) {
        let members = watched.members.max(1);
        let share = 1.0 / (members as f64 * span.seconds.max(f64::EPSILON));
        let traffic = match watched.role {
            Role::RealConductor | Role::HollowConductor => span.to_control,
            _ => span.traffic,
        };
        self.pids.insert(pid, members);
        self.member_seconds += span.seconds * members as f64;
        self.cpu_s += span.cpu_s;
        self.traffic.add(traffic);
        let worst = &mut self.worst;
        worst.cpu_percent_worst = worst.cpu_percent_worst.max(span.cpu_s * 100.0 * share);
        worst.bytes_per_s_worst = worst.bytes_per_s_worst.max(traffic.with_headers() as f64 * share);
        worst.resident_mb = worst.resident_mb.max(span.resident as f64 / 1e6 / members as f64);
    }

    fn usage(self) -> RoleUsage {
        let per_second = |sum: f64| if self.member_seconds > 0.0 { sum / self.member_seconds } else { 0.0 };
        RoleUsage {
            members: self.pids.values().sum(),
            cpu_percent: per_second(self.cpu_s * 100.0),
            bytes_per_s: per_second(self.traffic.bytes() as f64),
            bytes_per_s_with_headers: per_second(self.traffic.with_headers() as f64),
            messages_per_s: per_second(self.traffic.messages as f64),
            ..self.worst
        }
    }
}
