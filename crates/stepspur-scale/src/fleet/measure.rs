//! Processor time, memory and bytes of the processes of a run, looked at each second.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::members::{MemberSecond, MemberUsage, Standing, usage_by_member};
use super::peers::{Addresses, Member, MemberProcesses};
use super::settings::ControlFleet;
use super::sockets::{Look, Traffic};
use crate::usage::{Usage, usage};

/// Looks at the processes come this often.
const EVERY: Duration = Duration::from_secs(1);

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// The control member that leads the council.
    Leader,
    /// Another control member.
    Control,
    /// A real conductor.
    RealConductor,
    /// A hollow conductor: its share of its process.
    HollowConductor,
    /// A process of hollow servers.
    Servers,
    /// The rig itself.
    Rig,
}

/// A process that is looked at.
#[derive(Clone, Copy, Debug)]
struct Watched {
    role: Role,
    /// Of so many things that its figures are shared among.
    members: usize,
}

/// What one process used in one span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Span {
    seconds: f64,
    cpu_s: f64,
    resident: u64,
    traffic: Traffic,
    to_control: Traffic,
}

/// One look at all processes: spans since the one before.
type Second = BTreeMap<u32, (Watched, Span)>;

/// The same of control members, with whom they exchanged what.
type MembersSecond = BTreeMap<Standing, MemberSecond>;

/// What the members of a role used: each figure for one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct RoleUsage {
    /// Members of the role that were looked at.
    pub members: usize,
    /// Processor time, in hundredths of a core, on the mean.
    pub cpu_percent: f64,
    /// The same in the worst second of the worst process.
    pub cpu_percent_worst: f64,
    /// Resident memory at most, in MB.
    pub resident_mb: f64,
    /// Bytes a second both ways without headers, on the mean; of subscribers those with control alone.
    pub bytes_per_s: f64,
    /// The same with IP and TCP headers.
    pub bytes_per_s_with_headers: f64,
    /// With headers, in the worst second of the worst process.
    pub bytes_per_s_worst: f64,
    /// Messages a second both ways.
    pub messages_per_s: f64,
}

/// What was used over a span.
#[derive(Clone, Debug, Default)]
pub(crate) struct Used {
    /// By each role.
    pub roles: BTreeMap<Role, RoleUsage>,
    /// By each control member.
    pub members: Vec<MemberUsage>,
}

#[derive(Debug, Default)]
struct State {
    watched: BTreeMap<u32, Watched>,
    leader: Option<u32>,
    control_peers: BTreeSet<String>,
    addresses: Addresses,
    members: MemberProcesses,
    seconds: Vec<Second>,
    member_seconds: Vec<MembersSecond>,
    memory_most: u64,
    /// The longest that a look at the sockets took.
    look_most: Duration,
}

/// Looks at the processes of a run until it is dropped or stopped.
#[derive(Debug)]
pub(crate) struct Sampler {
    state: Arc<Mutex<State>>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Sampler {
    /// Starts to look at a fleet with these control members.
    pub(crate) fn start(control: &ControlFleet) -> Self {
        let control_peers = control.places().iter().map(|place| place.address.to_string()).collect();
        let state = State { control_peers, addresses: Addresses::of(control), ..State::default() };
        let (state, stop) = (Arc::new(Mutex::new(state)), CancellationToken::new());
        let task = tokio::spawn(run(Arc::clone(&state), stop.clone()));
        Self { state, stop, task }
    }

    /// Control members are reached at these addresses as well.
    pub(crate) fn control_at(&self, addresses: impl IntoIterator<Item = String>) {
        lock(&self.state).control_peers.extend(addresses);
    }

    /// Looks at a process from now on.
    pub(crate) fn watch(&self, pid: u32, role: Role, members: usize) {
        lock(&self.state).watched.insert(pid, Watched { role, members });
    }

    /// Looks at a control member from now on.
    pub(crate) fn watch_member(&self, pid: u32, member: Member) {
        self.watch(pid, Role::Control, 1);
        lock(&self.state).members.insert(pid, member);
    }

    /// Looks at a process no more.
    pub(crate) fn forget(&self, pid: u32) {
        let mut state = lock(&self.state);
        state.watched.remove(&pid);
        state.members.remove(&pid);
    }

    /// Who leads the council from now on.
    pub(crate) fn leads(&self, pid: Option<u32>) {
        lock(&self.state).leader = pid;
    }

    /// Processes that are looked at.
    pub(crate) fn processes(&self) -> usize {
        lock(&self.state).watched.len()
    }

    /// Resident memory of all processes together at most so far, in bytes.
    pub(crate) fn memory_most(&self) -> u64 {
        lock(&self.state).memory_most
    }

    /// The longest that a look at the sockets has taken.
    pub(crate) fn look_most(&self) -> Duration {
        lock(&self.state).look_most
    }

    /// What was used since the last call.
    pub(crate) fn take(&self) -> Used {
        let mut state = lock(&self.state);
        let (seconds, members) =
            (std::mem::take(&mut state.seconds), std::mem::take(&mut state.member_seconds));
        drop(state);
        Used { roles: usage_by_role(&seconds), members: usage_by_member(&members) }
    }

    /// Ends it.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

/// The counts of all processes at one look.
#[derive(Default)]
struct Counts {
    at: Option<Instant>,
    usage: BTreeMap<u32, Usage>,
    look: Look,
}

async fn run(state: Arc<Mutex<State>>, stop: CancellationToken) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut before = Counts::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let pids: Vec<u32> = lock(&state).watched.keys().copied().collect();
        let Ok(counts) = tokio::task::spawn_blocking(move || count(&pids)).await else { continue };
        let mut state = lock(&state);
        state.memory_most = state.memory_most.max(counts.usage.values().map(|usage| usage.resident).sum());
        if let (Some(then), Some(at)) = (before.at, counts.at) {
            state.look_most = state.look_most.max(at.elapsed());
            let second = spans(&state, &before, &counts, at.duration_since(then).as_secs_f64());
            let members = member_spans(&state, &second, &before.look, &counts.look);
            state.member_seconds.push(members);
            state.seconds.push(second);
        }
        drop(state);
        before = counts;
    }
}

fn count(pids: &[u32]) -> Counts {
    let at = Some(Instant::now());
    let usage = pids.iter().filter_map(|pid| Some((*pid, usage(*pid).ok()?))).collect();
    Counts { at, usage, look: Look::now().unwrap_or_default() }
}

fn spans(state: &State, before: &Counts, now: &Counts, seconds: f64) -> Second {
    let traffic = now.look.since(&before.look, |_| true);
    let to_control = now.look.since(&before.look, |peer| state.control_peers.contains(peer));
    let mut second = Second::new();
    for (pid, usage) in &now.usage {
        let (Some(watched), Some(then)) = (state.watched.get(pid), before.usage.get(pid)) else { continue };
        let mut watched = *watched;
        if state.leader == Some(*pid) {
            watched.role = Role::Leader;
        }
        let span = Span {
            seconds,
            cpu_s: usage.cpu.saturating_sub(then.cpu).as_secs_f64(),
            resident: usage.resident,
            traffic: traffic.get(pid).copied().unwrap_or_default(),
            to_control: to_control.get(pid).copied().unwrap_or_default(),
        };
        second.insert(*pid, (watched, span));
    }
    second
}

/// The part of a second that is control members', with whom they exchanged what.
fn member_spans(state: &State, second: &Second, before: &Look, now: &Look) -> MembersSecond {
    let mut passed = state.addresses.passed(now, before, &state.members);
    let member = |(pid, (watched, span)): (&u32, &(Watched, Span))| {
        let standing = Standing { leads: watched.role == Role::Leader, member: *state.members.get(pid)? };
        let passed = passed.remove(pid).unwrap_or_default();
        Some((standing, MemberSecond { seconds: span.seconds, cpu_s: span.cpu_s, passed }))
    };
    second.iter().filter_map(member).collect()
}

/// Sums seconds up by role. Figures of a process are shared by its members.
fn usage_by_role(seconds: &[Second]) -> BTreeMap<Role, RoleUsage> {
    let mut sums: BTreeMap<Role, Sum> = BTreeMap::new();
    for (pid, (watched, span)) in seconds.iter().flatten() {
        sums.entry(watched.role).or_default().take(*pid, *watched, *span);
    }
    sums.into_iter().map(|(role, sum)| (role, sum.usage())).collect()
}

#[derive(Default)]
struct Sum {
    pids: BTreeMap<u32, usize>,
    /// Seconds times members.
    member_seconds: f64,
    cpu_s: f64,
    traffic: Traffic,
    worst: RoleUsage,
}

impl Sum {
    fn take(&mut self, pid: u32, watched: Watched, span: Span) {
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
        let each_second = |sum: f64| if self.member_seconds > 0.0 { sum / self.member_seconds } else { 0.0 };
        RoleUsage {
            members: self.pids.values().sum(),
            cpu_percent: each_second(self.cpu_s * 100.0),
            bytes_per_s: each_second(self.traffic.bytes() as f64),
            bytes_per_s_with_headers: each_second(self.traffic.with_headers() as f64),
            messages_per_s: each_second(self.traffic.messages as f64),
            ..self.worst
        }
    }
}
