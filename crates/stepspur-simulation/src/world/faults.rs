//! Troubles of a plan as they begin and end.

use std::sync::Arc;

use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::plan::Trouble;

use super::schedule::Scheduled;
use super::{World, micros};

/// A server that vanishes is missed by the list after so many times its usual delay.
const VANISHED_DELAYS: u64 = 3;

impl World {
    /// A trouble begins or ends.
    pub(super) fn toggle_trouble(&mut self, number: usize, on: bool) {
        let plan = Arc::clone(&self.plan);
        let trouble = &plan.strikes[number].trouble;
        match trouble {
            Trouble::Burst(_) | Trouble::Shift(..) | Trouble::Mix(..) | Trouble::HeavyTail(..) => {
                self.toggle_traffic(trouble, on);
            }
            Trouble::Release(_, steps) => {
                for (step, planned) in steps.iter().enumerate() {
                    let at = self.now + micros(planned.at);
                    self.schedule.put(at, Scheduled::ReleaseDrains(number, step));
                }
            }
            Trouble::ListDown | Trouble::WrongList(_) | Trouble::Ghosts(_) => self.toggle_list(trouble, on),
            Trouble::CutZone(_) | Trouble::CutLink(..) | Trouble::SlowLink(..) => {
                self.toggle_links(trouble, on);
            }
            Trouble::LoseZone(zone, with_proxies) => self.toggle_zone(*zone, *with_proxies, on),
            Trouble::SlowChannel(_) | Trouble::LateReports(_) | Trouble::CutOff(_) | Trouble::Stall(_) => {
                self.toggle_proxies(trouble, on)
            }
            Trouble::KillConductor(_) | Trouble::RestartConductors(_) => {
                self.toggle_conductors(trouble, on);
            }
            _ => self.toggle_servers(trouble, on),
        }
    }

    fn toggle_traffic(&mut self, trouble: &Trouble, on: bool) {
        match trouble {
            Trouble::Burst(by) => toggle(&mut self.weather.bursts, *by, on),
            Trouble::Shift(zone, share) => toggle(&mut self.weather.shifts, (*zone, *share), on),
            Trouble::Mix(class, share) => toggle(&mut self.weather.mixes, (*class, *share), on),
            Trouble::HeavyTail(class, share, by) => {
                toggle(&mut self.weather.tails, (*class, *share, *by), on);
            }
            _ => {}
        }
    }

    fn toggle_servers(&mut self, trouble: &Trouble, on: bool) {
        let share = |share: f64| if on { share } else { 0.0 };
        let times = |times: f64| if on { times } else { 1.0 };
        match trouble {
            Trouble::Die(servers) => self.kill_or_start(servers, on),
            Trouble::Vanish(servers) => servers.iter().for_each(|server| self.vanish(*server, on)),
            Trouble::Hang(servers) => self.change_ails(servers, |ails| ails.hangs = on),
            Trouble::Fail(servers, part) => self.change_ails(servers, |ails| ails.fails = share(*part)),
            Trouble::Pause(servers, every, pause) => {
                let rhythm = on.then_some((micros(*every), micros(*pause)));
                self.change_ails(servers, |ails| ails.pauses = rhythm);
            }
            Trouble::LoseAnswers(servers, part, by_reset) => {
                servers.iter().for_each(|k| self.servers[*k].lose = (share(*part), *by_reset));
            }
            Trouble::FalseReports(servers, lie, slower) => {
                for server in servers {
                    let state = &mut self.servers[*server];
                    state.stuck = state.model.load(self.now);
                    state.lie = on.then_some(*lie);
                }
                self.change_ails(servers, |ails| ails.slower = share(slower - 1.0));
            }
            Trouble::FewConnections(servers, divide) => {
                servers.iter().for_each(|k| self.servers[*k].connections_divide = times(*divide));
            }
            Trouble::SlowHandshakes(servers, factor, delay) => {
                let delay = if on { micros(*delay) } else { 0 };
                servers.iter().for_each(|k| self.servers[*k].handshakes = (times(*factor), delay));
            }
            _ => {}
        }
    }

    /// A server's machine goes silent, or its process starts again.
    fn vanish(&mut self, server: usize, on: bool) {
        self.servers[server].silent = on;
        if on {
            let at = self.now + VANISHED_DELAYS * micros(self.plan.list_delay);
            self.schedule.put(at, Scheduled::ListLearns(server, EndpointRecordState::Gone, 0));
        } else {
            self.start_server(server);
        }
    }

    fn toggle_list(&mut self, trouble: &Trouble, on: bool) {
        match trouble {
            Trouble::Ghosts(many) => {
                self.ghosts = if on { *many } else { 0 };
                self.list_changed(Vec::new());
            }
            Trouble::ListDown => {
                self.list_down = on;
                if on {
                    self.list_changed(Vec::new());
                }
            }
            Trouble::WrongList(servers) => {
                servers.iter().for_each(|server| self.servers[*server].hidden = on);
                self.list_changed(servers.clone());
            }
            _ => {}
        }
    }

    fn toggle_links(&mut self, trouble: &Trouble, on: bool) {
        match trouble {
            Trouble::CutZone(zone) => {
                self.links.cut(*zone, on);
                self.break_cut_streams();
            }
            Trouble::CutLink(a, b) => {
                self.links.cut_link(*a, *b, on);
                self.break_cut_streams();
            }
            Trouble::SlowLink(a, b, delay, loss) => self.links.slow(*a, *b, *delay, *loss, on),
            _ => {}
        }
    }

    /// A zone is lost, or its servers come back cold.
    fn toggle_zone(&mut self, zone: usize, with_proxies: bool, on: bool) {
        let is_meant = |server: &usize| {
            let plan = &self.plan.servers[*server];
            plan.zone == zone && self.servers[*server].up == on && (on || plan.up)
        };
        let servers: Vec<usize> = (0..self.servers.len()).filter(is_meant).collect();
        self.kill_or_start(&servers, on);
        for proxy in 0..self.proxies.len() {
            if with_proxies && self.proxies[proxy].zone == zone {
                self.cut_off(proxy, on);
            }
        }
    }

    fn toggle_proxies(&mut self, trouble: &Trouble, on: bool) {
        match trouble {
            Trouble::SlowChannel(by) => {
                let slow = if on { *by } else { 0.0 };
                self.proxies.iter_mut().for_each(|proxy| proxy.impairment.slow = slow);
            }
            Trouble::LateReports(by) => {
                let late = self.options.reports_late + if on { micros(*by) } else { 0 };
                self.proxies.iter_mut().for_each(|proxy| proxy.impairment.late = late);
            }
            Trouble::CutOff(proxies) => proxies.iter().for_each(|proxy| self.cut_off(*proxy, on)),
            Trouble::Stall(proxies) => proxies.iter().for_each(|proxy| self.stall(*proxy, on)),
            _ => {}
        }
    }

    fn toggle_conductors(&mut self, trouble: &Trouble, on: bool) {
        if self.options.baseline.is_some() {
            return;
        }
        match trouble {
            Trouble::KillConductor(conductors) => {
                for conductor in conductors {
                    if on { self.kill_conductor(*conductor) } else { self.start_conductor(*conductor) }
                }
            }
            // In virtual time a restart takes none, and all come at its begin.
            Trouble::RestartConductors(conductors) => {
                for conductor in conductors.iter().filter(|_| on) {
                    self.kill_conductor(*conductor);
                    self.start_conductor(*conductor);
                }
            }
            _ => {}
        }
    }

    /// A step of a release begins: its old servers drain, its new ones start.
    pub(super) fn begin_release_step(&mut self, number: usize, step: usize) {
        let plan = Arc::clone(&self.plan);
        let Trouble::Release(drain, steps) = &plan.strikes[number].trouble else { return };
        let Some(planned) = steps.get(step) else { return };
        planned.stop.iter().for_each(|server| self.drain_server(*server));
        planned.start.iter().for_each(|server| self.start_server(*server));
        let at = self.now + micros(plan.list_delay + *drain);
        self.schedule.put(at, Scheduled::ReleaseStops(number, step));
    }

    /// The old servers of a release's step stop.
    pub(super) fn end_release_step(&mut self, number: usize, step: usize) {
        let plan = Arc::clone(&self.plan);
        let Trouble::Release(_, steps) = &plan.strikes[number].trouble else { return };
        let Some(planned) = steps.get(step) else { return };
        planned.stop.iter().for_each(|server| self.stop_server(*server));
    }
}

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T, on: bool) {
    if on {
        list.push(item);
    } else if let Some(place) = list.iter().position(|i| *i == item) {
        list.remove(place);
    }
}
