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
use crate::plan::{Lie, Strike, Trouble};
use crate::proxy::{Proxy, ProxyFaults};
use crate::trace::lock;

/// The discard port: nothing listens there, so connections to servers listed at this port are refused.
const DISCARD_PORT: u16 = 9;

impl World {
    /// Applies the faults that are in effect before any conductor starts.
    pub(super) async fn begin_initial_faults(self: &Arc<Self>) {
        for strike in self.plan.strikes.iter().filter(|strike| strike.from_the_start()) {
            self.set_fault(&strike.trouble, true).await;
        }
    }

    /// Starts a task for each fault of the plan; the tasks end when the returned set is shut down.
    pub(super) fn schedule_faults(self: &Arc<Self>, begin: Instant) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for strike in &self.plan.strikes {
            tasks.spawn(Arc::clone(self).run_fault(strike.clone(), begin));
        }
        tasks
    }

    /// Runs one fault from its start to its end, and lists it among the active faults meanwhile.
    async fn run_fault(self: Arc<Self>, strike: Strike, day_begin: Instant) {
        let begin = day_begin + strike.at;
        sleep_until(begin).await;
        lock(&self.active_faults).push(strike.name.clone());
        match &strike.trouble {
            Trouble::Release(drain, steps) => self.release(*drain, steps, begin).await,
            Trouble::RestartConductors(conductors) => {
                self.restart_in_turn(conductors, begin, strike.lasts).await;
            }
            _ => self.run_lasting_fault(&strike, begin).await,
        }
        remove_first(&mut lock(&self.active_faults), &strike.name);
    }

    /// Applies a fault at its start and reverts it at its end.
    async fn run_lasting_fault(self: &Arc<Self>, strike: &Strike, begin: Instant) {
        if !strike.from_the_start() {
            self.set_fault(&strike.trouble, true).await;
        }
        sleep_until(begin + strike.lasts).await;
        self.set_fault(&strike.trouble, false).await;
    }

    /// Restarts conductors one after the other, at even intervals over `lasts`.
    async fn restart_in_turn(&self, conductors: &[usize], begin: Instant, lasts: Duration) {
        let interval = lasts / (conductors.len() as u32).max(1);
        for (position, conductor) in conductors.iter().enumerate() {
            sleep_until(begin + interval * position as u32).await;
            self.restart_conductor(*conductor).await;
        }
    }

    /// Applies (`on`) or reverts a fault.
    async fn set_fault(self: &Arc<Self>, fault: &Trouble, on: bool) {
        match fault {
            Trouble::Burst(_) | Trouble::Shift(..) | Trouble::Mix(..) | Trouble::HeavyTail(..) => {
                self.set_traffic_fault(fault, on);
            }
            Trouble::Die(servers) => self.set_stopped(servers, on),
            Trouble::Vanish(servers) => self.set_silent(servers, on),
            Trouble::Hang(_)
            | Trouble::Fail(..)
            | Trouble::Pause(..)
            | Trouble::LoseAnswers(..)
            | Trouble::FalseReports(..)
            | Trouble::FewConnections(..)
            | Trouble::SlowHandshakes(..) => self.set_server_fault(fault, on),
            Trouble::ListDown => self.registry.down(on),
            Trouble::WrongList(servers) => self.hide_from_list(servers, on),
            Trouble::Ghosts(count) => self.list_nonexistent(*count, on),
            Trouble::LoseZone(zone, with_proxies) => self.lose_zone(*zone, *with_proxies, on),
            Trouble::CutZone(zone) => self.links.cut(*zone, on),
            Trouble::CutLink(a, b) => self.links.cut_link(*a, *b, on),
            Trouble::SlowLink(a, b, delay, loss) => self.links.slow(*a, *b, *delay, *loss, on),
            Trouble::SlowChannel(_) | Trouble::LateReports(_) | Trouble::CutOff(_) | Trouble::Stall(_) => {
                self.set_proxy_fault(fault, on);
            }
            Trouble::KillConductor(conductors) => self.set_killed(conductors, on).await,
            // These two span their whole duration: see `run_fault`.
            Trouble::Release(..) | Trouble::RestartConductors(_) => {}
        }
    }

    fn set_traffic_fault(&self, fault: &Trouble, on: bool) {
        let mut traffic_faults = lock(&self.clients.traffic_faults);
        match fault {
            Trouble::Burst(factor) => toggle(&mut traffic_faults.bursts, *factor, on),
            Trouble::Shift(zone, share) => toggle(&mut traffic_faults.shifts, (*zone, *share), on),
            Trouble::Mix(class, share) => toggle(&mut traffic_faults.mixes, (*class, *share), on),
            Trouble::HeavyTail(class, share, factor) => {
                toggle(&mut traffic_faults.tails, (*class, *share, *factor), on);
            }
            _ => {}
        }
    }

    fn set_server_fault(&self, fault: &Trouble, on: bool) {
        let share = |share: f64| if on { share } else { 0.0 };
        let factor = |factor: f64| if on { factor } else { 1.0 };
        match fault {
            Trouble::Hang(servers) => {
                self.each_node(servers, |node| node.change_faults(|faults| faults.hangs = on))
            }
            Trouble::Fail(servers, part) => {
                self.each_node(servers, |node| node.change_faults(|faults| faults.fails = share(*part)));
            }
            Trouble::Pause(servers, every, pause) => {
                let pauses = on.then_some((micros(*every), micros(*pause)));
                self.each_node(servers, |node| node.change_faults(|faults| faults.pauses = pauses));
            }
            Trouble::LoseAnswers(servers, part, by_reset) => {
                self.each_node(servers, |node| node.set_lost_answers(share(*part), *by_reset));
            }
            Trouble::FalseReports(servers, false_report, slowdown) => {
                self.set_false_reports(servers, on.then_some(*false_report), share(slowdown - 1.0));
            }
            Trouble::FewConnections(servers, divisor) => {
                self.each_node(servers, |node| node.set_connections_divisor(factor(*divisor)));
            }
            Trouble::SlowHandshakes(servers, work, delay) => {
                let delay = if on { *delay } else { Duration::ZERO };
                self.each_node(servers, |node| node.set_slow_handshakes(factor(*work), delay));
            }
            _ => {}
        }
    }

    fn each_node(&self, servers: &[usize], change: impl FnMut(&Arc<Node>)) {
        self.nodes_at(servers).for_each(change);
    }

    fn set_false_reports(&self, servers: &[usize], false_report: Option<Lie>, slower: f64) {
        for node in self.nodes_at(servers) {
            node.set_false_reports(false_report);
            node.change_faults(|faults| faults.slower = slower);
        }
    }

    fn set_proxy_fault(&self, fault: &Trouble, on: bool) {
        match fault {
            Trouble::SlowChannel(factor) => {
                let slow = if on { *factor } else { 0.0 };
                self.each_proxy(|faults| faults.slow = slow);
            }
            Trouble::LateReports(by) => {
                let late = if on { *by } else { Duration::ZERO };
                self.each_proxy(|faults| faults.late = late);
            }
            Trouble::CutOff(proxies) => self.proxies_at(proxies).for_each(|proxy| set_cut_off(proxy, on)),
            Trouble::Stall(proxies) => {
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
