//! Starts and ends the faults of a plan on schedule.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_model::Micros;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::world::World;
use crate::node::Node;
use crate::plan::{FalseReport, FaultAction, ScheduledFault};
use crate::proxy::{Proxy, ProxyFaults};
use crate::trace::lock;

/// The discard port: nothing listens there, so connections to servers listed at this port are refused.
const DISCARD_PORT: u16 = 9;

impl World {
    /// Applies the faults that are in effect before any conductor starts.
    pub(super) async fn begin_initial_faults(self: &Arc<Self>) {
        for fault in self.plan.faults.iter().filter(|fault| fault.from_the_start()) {
            self.set_fault(&fault.trouble, true).await;
        }
    }

    /// Starts a task for each fault of the plan; the tasks end when the returned set is shut down.
    pub(super) fn schedule_faults(self: &Arc<Self>, begin: Instant) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for fault in &self.plan.faults {
            tasks.spawn(Arc::clone(self).run_fault(fault.clone(), begin));
        }
        tasks
    }

    /// Runs one fault from its start to its end, and lists it among the active faults meanwhile.
    async fn run_fault(self: Arc<Self>, fault: ScheduledFault, day_begin: Instant) {
        let begin = day_begin + fault.at;
        sleep_until(begin).await;
        lock(&self.active_faults).push(fault.name.clone());
        match &fault.trouble {
            FaultAction::Release(drain, steps) => self.release(*drain, steps, begin).await,
            FaultAction::RestartConductors(conductors) => {
                self.restart_in_turn(conductors, begin, fault.duration).await;
            }
            _ => self.run_lasting_fault(&fault, begin).await,
        }
        remove_first(&mut lock(&self.active_faults), &fault.name);
    }

    /// Applies a fault at its start and reverts it at its end.
    async fn run_lasting_fault(self: &Arc<Self>, fault: &ScheduledFault, begin: Instant) {
        if !fault.from_the_start() {
            self.set_fault(&fault.trouble, true).await;
        }
        sleep_until(begin + fault.duration).await;
        self.set_fault(&fault.trouble, false).await;
    }

    /// Restarts conductors one after the other, at even intervals over `duration`.
    async fn restart_in_turn(&self, conductors: &[usize], begin: Instant, duration: Duration) {
        let interval = duration / (conductors.len() as u32).max(1);
        for (position, conductor) in conductors.iter().enumerate() {
            sleep_until(begin + interval * position as u32).await;
            self.restart_conductor(*conductor).await;
        }
    }

    /// Applies (`on`) or reverts a fault.
    async fn set_fault(self: &Arc<Self>, fault: &FaultAction, on: bool) {
        match fault {
            FaultAction::Burst(_)
            | FaultAction::Shift(..)
            | FaultAction::Mix(..)
            | FaultAction::HeavyTail(..) => {
                self.set_traffic_fault(fault, on);
            }
            FaultAction::Die(servers) => self.set_stopped(servers, on),
            FaultAction::Vanish(servers) => self.set_silent(servers, on),
            FaultAction::Hang(_)
            | FaultAction::Fail(..)
            | FaultAction::Pause(..)
            | FaultAction::LoseAnswers(..)
            | FaultAction::FalseReports(..)
            | FaultAction::FewConnections(..)
            | FaultAction::SlowHandshakes(..) => self.set_server_fault(fault, on),
            FaultAction::ListDown => self.registry.down(on),
            FaultAction::WrongList(servers) => self.hide_from_list(servers, on),
            FaultAction::Ghosts(count) => self.list_nonexistent(*count, on),
            FaultAction::LoseZone(zone, with_proxies) => self.lose_zone(*zone, *with_proxies, on),
            FaultAction::CutZone(zone) => self.links.cut(*zone, on),
            FaultAction::CutLink(a, b) => self.links.cut_link(*a, *b, on),
            FaultAction::SlowLink(a, b, delay, loss) => self.links.slow(*a, *b, *delay, *loss, on),
            FaultAction::SlowChannel(_)
            | FaultAction::LateReports(_)
            | FaultAction::CutOff(_)
            | FaultAction::Stall(_) => {
                self.set_proxy_fault(fault, on);
            }
            FaultAction::KillConductor(conductors) => self.set_killed(conductors, on).await,
            // These two span their whole duration: see `run_fault`.
            FaultAction::Release(..) | FaultAction::RestartConductors(_) => {}
        }
    }

    fn set_traffic_fault(&self, fault: &FaultAction, on: bool) {
        let mut traffic_faults = lock(&self.clients.traffic_faults);
        match fault {
            FaultAction::Burst(factor) => toggle(&mut traffic_faults.bursts, *factor, on),
            FaultAction::Shift(zone, share) => toggle(&mut traffic_faults.shifts, (*zone, *share), on),
            FaultAction::Mix(class, share) => toggle(&mut traffic_faults.mixes, (*class, *share), on),
            FaultAction::HeavyTail(class, share, factor) => {
                toggle(&mut traffic_faults.tails, (*class, *share, *factor), on);
            }
            _ => {}
        }
    }

    fn set_server_fault(&self, fault: &FaultAction, on: bool) {
        let share = |share: f64| if on { share } else { 0.0 };
        let factor = |factor: f64| if on { factor } else { 1.0 };
        match fault {
            FaultAction::Hang(servers) => {
                self.each_node(servers, |node| node.change_faults(|faults| faults.hangs = on))
            }
            FaultAction::Fail(servers, part) => {
                self.each_node(servers, |node| node.change_faults(|faults| faults.fails = share(*part)));
            }
            FaultAction::Pause(servers, every, pause) => {
                let pauses = on.then_some((micros(*every), micros(*pause)));
                self.each_node(servers, |node| node.change_faults(|faults| faults.pauses = pauses));
            }
            FaultAction::LoseAnswers(servers, part, by_reset) => {
                self.each_node(servers, |node| node.set_lost_answers(share(*part), *by_reset));
            }
            FaultAction::FalseReports(servers, false_report, slowdown) => {
                self.set_false_reports(servers, on.then_some(*false_report), share(slowdown - 1.0));
            }
            FaultAction::FewConnections(servers, divisor) => {
                self.each_node(servers, |node| node.set_connections_divisor(factor(*divisor)));
            }
            FaultAction::SlowHandshakes(servers, work, delay) => {
                let delay = if on { *delay } else { Duration::ZERO };
                self.each_node(servers, |node| node.set_slow_handshakes(factor(*work), delay));
            }
            _ => {}
        }
    }

    fn each_node(&self, servers: &[usize], change: impl FnMut(&Arc<Node>)) {
        self.nodes_at(servers).for_each(change);
    }

    fn set_false_reports(&self, servers: &[usize], false_report: Option<FalseReport>, slower: f64) {
        for node in self.nodes_at(servers) {
            node.set_false_reports(false_report);
            node.change_faults(|faults| faults.slower = slower);
        }
    }

    fn set_proxy_fault(&self, fault: &FaultAction, on: bool) {
        match fault {
            FaultAction::SlowChannel(factor) => {
                let slow = if on { *factor } else { 0.0 };
                self.each_proxy(|faults| faults.slow = slow);
            }
            FaultAction::LateReports(by) => {
                let late = if on { *by } else { Duration::ZERO };
                self.each_proxy(|faults| faults.late = late);
            }
            FaultAction::CutOff(proxies) => self.proxies_at(proxies).for_each(|proxy| set_cut_off(proxy, on)),
            FaultAction::Stall(proxies) => {
                self.proxies_at(proxies).for_each(|proxy| proxy.change_faults(|faults| faults.stalled = on));
            }
            _ => {}
        }
    }

    fn each_proxy(&self, change: impl Fn(&mut ProxyFaults)) {
        self.proxies.iter().for_each(|proxy| proxy.change_faults(&change));
    }

    /// The proxies at these indices; indices without a proxy are ignored.
    fn proxies_at<'a>(&'a self, indices: &'a [usize]) -> impl Iterator<Item = &'a Arc<Proxy>> {
        indices.iter().filter_map(|index| self.proxies.get(*index))
    }

    async fn set_killed(&self, conductors: &[usize], killed: bool) {
        for conductor in conductors {
            if killed {
                self.kill_conductor(*conductor).await;
            } else {
                self.start_conductor_again(*conductor).await;
            }
        }
    }

    /// Hides running servers from the node list, or lists them again.
    fn hide_from_list(&self, servers: &[usize], hidden: bool) {
        let addresses: Vec<_> = self.nodes_at(servers).map(|node| node.address).collect();
        self.registry.hide(&addresses, hidden);
    }

    /// Lists servers that do not exist, or removes them from the list.
    fn list_nonexistent(&self, count: usize, listed: bool) {
        let state = if listed { EndpointRecordState::Ready } else { EndpointRecordState::Gone };
        let record = |index: usize| EndpointRecord {
            address: SocketAddr::from(([127, 9, (index >> 8) as u8, index as u8], DISCARD_PORT)),
            zone: self.plan.zones[index % self.plan.zones.len()].0.clone(),
            state,
            weight: 1.0,
            started_unix_ms: 0,
        };
        self.registry.set((0..count).map(record));
    }

    /// Stops all servers of a zone and, with `with_proxies`, cuts off its proxies; or reverts both.
    fn lose_zone(self: &Arc<Self>, zone: usize, with_proxies: bool, lost: bool) {
        let servers: Vec<_> = self.servers_to_toggle(zone, lost).collect();
        self.set_stopped(&servers, lost);
        let proxies = self.proxies.iter().filter(|proxy| with_proxies && proxy.zone == zone);
        proxies.for_each(|proxy| set_cut_off(proxy, lost));
    }

    /// The running servers of a zone if it is lost; otherwise the servers to start again: those that are down
    /// and ran when the rehearsal began.
    fn servers_to_toggle(&self, zone: usize, lost: bool) -> impl Iterator<Item = usize> + '_ {
        let in_state = move |node: &Arc<Node>| node.zone == zone && node.is_up() == lost;
        let up_from_start = |index: usize| self.plan.servers[index].up;
        (0..self.nodes.len())
            .filter(move |index| in_state(&self.nodes[*index]) && (lost || up_from_start(*index)))
    }
}

/// Cuts a proxy off from all conductors, or reverts that. Overlapping faults are counted: the proxy connects
/// again when the last one ends.
fn set_cut_off(proxy: &Proxy, on: bool) {
    proxy.change_faults(|faults| {
        faults.cut_off = if on { faults.cut_off + 1 } else { faults.cut_off.saturating_sub(1) }
    });
}

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T, on: bool) {
    if on {
        list.push(item);
    } else {
        remove_first(list, &item);
    }
}

/// Removes the first entry that equals `item`, if there is one.
fn remove_first<T: PartialEq>(list: &mut Vec<T>, item: &T) {
    if let Some(position) = list.iter().position(|other| other == item) {
        list.remove(position);
    }
}

fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}
