//! Beginning and end of the faults of a plan.

use std::sync::Arc;

use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::plan::FaultAction;

use super::schedule::Scheduled;
use super::{World, micros};

/// Time until the server list removes a server whose machine is down, in multiples of the list's usual delay.
const VANISHED_LIST_DELAY_FACTOR: u64 = 3;

impl World {
    /// Begins or ends a fault, given by its index in the plan.
    pub(super) fn toggle_fault(&mut self, number: usize, on: bool) {
        let plan = Arc::clone(&self.plan);
        let fault = &plan.faults[number].trouble;
        match fault {
            FaultAction::Burst(_)
            | FaultAction::Shift(..)
            | FaultAction::Mix(..)
            | FaultAction::HeavyTail(..) => {
                self.toggle_traffic(fault, on);
            }
            FaultAction::Release(_, steps) => {
                for (step, planned) in steps.iter().enumerate() {
                    let at = self.now + micros(planned.at);
                    self.schedule.push(at, Scheduled::ReleaseDrains(number, step));
                }
            }
            FaultAction::ListDown | FaultAction::WrongList(_) | FaultAction::Ghosts(_) => {
                self.toggle_list(fault, on)
            }
            FaultAction::CutZone(_) | FaultAction::CutLink(..) | FaultAction::SlowLink(..) => {
                self.toggle_links(fault, on);
            }
            FaultAction::LoseZone(zone, with_proxies) => self.toggle_zone(*zone, *with_proxies, on),
            FaultAction::SlowChannel(_)
            | FaultAction::LateReports(_)
            | FaultAction::CutOff(_)
            | FaultAction::Stall(_) => self.toggle_proxies(fault, on),
            FaultAction::KillConductor(_) | FaultAction::RestartConductors(_) => {
                self.toggle_conductors(fault, on);
            }
            _ => self.toggle_servers(fault, on),
        }
    }

    /// Begins or ends a change of the traffic.
    fn toggle_traffic(&mut self, fault: &FaultAction, on: bool) {
        match fault {
            FaultAction::Burst(by) => toggle(&mut self.weather.bursts, *by, on),
            FaultAction::Shift(zone, share) => toggle(&mut self.weather.shifts, (*zone, *share), on),
            FaultAction::Mix(class, share) => toggle(&mut self.weather.mixes, (*class, *share), on),
            FaultAction::HeavyTail(class, share, by) => {
                toggle(&mut self.weather.tails, (*class, *share, *by), on);
            }
            _ => {}
        }
    }

    /// Begins or ends a fault of servers.
    fn toggle_servers(&mut self, fault: &FaultAction, on: bool) {
        let share = |share: f64| if on { share } else { 0.0 };
        let factor_if_on = |factor: f64| if on { factor } else { 1.0 };
        match fault {
            FaultAction::Die(servers) => self.stop_or_start(servers, on),
            FaultAction::Vanish(servers) => servers.iter().for_each(|server| self.vanish(*server, on)),
            FaultAction::Hang(servers) => self.change_faults(servers, |faults| faults.hangs = on),
            FaultAction::Fail(servers, part) => {
                self.change_faults(servers, |faults| faults.fails = share(*part))
            }
            FaultAction::Pause(servers, every, pause) => {
                let pauses = on.then_some((micros(*every), micros(*pause)));
                self.change_faults(servers, |faults| faults.pauses = pauses);
            }
            FaultAction::LoseAnswers(servers, part, by_reset) => {
                servers.iter().for_each(|k| self.servers[*k].lost_answers = (share(*part), *by_reset));
            }
            FaultAction::FalseReports(servers, false_report, slower) => {
                for server in servers {
                    let state = &mut self.servers[*server];
                    state.stuck_report = state.model.load(self.now);
                    state.false_report = on.then_some(*false_report);
                }
                self.change_faults(servers, |faults| faults.slower = share(slower - 1.0));
            }
            FaultAction::FewConnections(servers, divisor) => {
                servers
                    .iter()
                    .for_each(|k| self.servers[*k].connection_limit_divisor = factor_if_on(*divisor));
            }
            FaultAction::SlowHandshakes(servers, factor, delay) => {
                let delay = if on { micros(*delay) } else { 0 };
                servers
                    .iter()
                    .for_each(|k| self.servers[*k].handshake_slowdown = (factor_if_on(*factor), delay));
            }
            _ => {}
        }
    }

    /// Takes a server's machine down without a connection reset, or starts its process again. The server list
    /// removes the server only after a longer delay.
    fn vanish(&mut self, server: usize, on: bool) {
        self.servers[server].unresponsive = on;
        if on {
            let at = self.now + VANISHED_LIST_DELAY_FACTOR * micros(self.plan.list_delay);
            self.schedule.push(at, Scheduled::ListUpdate(server, EndpointRecordState::Gone, 0));
        } else {
            self.start_server(server);
        }
    }

    /// Begins or ends a fault of the server list.
    fn toggle_list(&mut self, fault: &FaultAction, on: bool) {
        match fault {
            FaultAction::Ghosts(many) => {
                self.ghosts = if on { *many } else { 0 };
                self.notify_list_change(Vec::new());
            }
            FaultAction::ListDown => {
                self.list_down = on;
                if on {
                    self.notify_list_change(Vec::new());
                }
            }
            FaultAction::WrongList(servers) => {
                servers.iter().for_each(|server| self.servers[*server].unlisted = on);
                self.notify_list_change(servers.clone());
            }
            _ => {}
        }
    }

    /// Begins or ends a fault of the links between zones.
    fn toggle_links(&mut self, fault: &FaultAction, on: bool) {
        match fault {
            FaultAction::CutZone(zone) => {
                self.links.cut(*zone, on);
                self.break_cut_streams();
            }
            FaultAction::CutLink(a, b) => {
                self.links.cut_link(*a, *b, on);
                self.break_cut_streams();
            }
            FaultAction::SlowLink(a, b, delay, loss) => self.links.slow(*a, *b, *delay, *loss, on),
            _ => {}
        }
    }

    /// Stops all servers of a zone, or starts them again cold.
    fn toggle_zone(&mut self, zone: usize, with_proxies: bool, on: bool) {
        let is_affected = |server: &usize| {
            let plan = &self.plan.servers[*server];
            plan.zone == zone && self.servers[*server].up == on && (on || plan.up)
        };
        let servers: Vec<usize> = (0..self.servers.len()).filter(is_affected).collect();
        self.stop_or_start(&servers, on);
        for proxy in 0..self.proxies.len() {
            if with_proxies && self.proxies[proxy].zone == zone {
                self.cut_off(proxy, on);
            }
        }
    }

    /// Begins or ends a fault of proxies.
    fn toggle_proxies(&mut self, fault: &FaultAction, on: bool) {
        match fault {
            FaultAction::SlowChannel(by) => {
                let slow = if on { *by } else { 0.0 };
                self.proxies.iter_mut().for_each(|proxy| proxy.impairment.slow = slow);
            }
            FaultAction::LateReports(by) => {
                let late = self.options.reports_late + if on { micros(*by) } else { 0 };
                self.proxies.iter_mut().for_each(|proxy| proxy.impairment.late = late);
            }
            FaultAction::CutOff(proxies) => proxies.iter().for_each(|proxy| self.cut_off(*proxy, on)),
            FaultAction::Stall(proxies) => proxies.iter().for_each(|proxy| self.stall(*proxy, on)),
            _ => {}
        }
    }

    /// Begins or ends a fault of conductors. A baseline has none.
    fn toggle_conductors(&mut self, fault: &FaultAction, on: bool) {
        if self.options.baseline.is_some() {
            return;
        }
        match fault {
            FaultAction::KillConductor(conductors) => {
                for conductor in conductors {
                    if on { self.kill_conductor(*conductor) } else { self.start_conductor(*conductor) }
                }
            }
            // In virtual time a restart takes no time, and all conductors restart at the beginning of the
            // fault.
            FaultAction::RestartConductors(conductors) => {
                for conductor in conductors.iter().filter(|_| on) {
                    self.kill_conductor(*conductor);
                    self.start_conductor(*conductor);
                }
            }
            _ => {}
        }
    }

    /// Begins a step of a release: its old servers drain, its new ones start.
    pub(super) fn begin_release_step(&mut self, number: usize, step: usize) {
        let plan = Arc::clone(&self.plan);
        let FaultAction::Release(drain, steps) = &plan.faults[number].trouble else { return };
        let Some(planned) = steps.get(step) else { return };
        planned.stop.iter().for_each(|server| self.drain_server(*server));
        planned.start.iter().for_each(|server| self.start_server(*server));
        let at = self.now + micros(plan.list_delay + *drain);
        self.schedule.push(at, Scheduled::ReleaseStops(number, step));
    }

    /// Ends a step of a release: its old servers stop.
    pub(super) fn end_release_step(&mut self, number: usize, step: usize) {
        let plan = Arc::clone(&self.plan);
        let FaultAction::Release(_, steps) = &plan.faults[number].trouble else { return };
        let Some(planned) = steps.get(step) else { return };
        planned.stop.iter().for_each(|server| self.stop_server(*server));
    }
}

/// Adds an item to a list, or removes its first occurrence.
fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T, on: bool) {
    if on {
        list.push(item);
    } else if let Some(index) = list.iter().position(|i| *i == item) {
        list.remove(index);
    }
}
