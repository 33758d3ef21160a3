//! Servers: running their models in virtual time, starts, stops and faults.

use std::collections::BTreeSet;

use rand::RngExt;
use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_model::proxy::AttemptResult;
use stepspur_model::server::{Completion, Faults, Server, WarmBy};

use super::schedule::{AttemptId, Scheduled};
use super::{World, address, micros};

impl World {
    /// Schedules the next event of a server's model, if it is earlier than the one scheduled.
    pub(super) fn schedule_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        let Some(at) = state.model.next_at().filter(|_| state.up) else { return };
        let at = at.max(self.now);
        if at < state.wake_at {
            state.wake_at = at;
            self.schedule.push(at, Scheduled::ServerDue(server));
        }
    }

    /// Runs a server's model to the present and handles its completions.
    pub(super) fn run_server(&mut self, server: usize) {
        let now = self.now;
        let state = &mut self.servers[server];
        if state.wake_at > now {
            return;
        }
        state.wake_at = Micros::MAX;
        if !state.up {
            return;
        }
        while state.model.closed(now).is_some() {}
        while let Some(done) = self.servers[server].model.poll(now) {
            self.finish_job(server, &done);
        }
        self.schedule_server(server);
    }

    /// Handles a completed job: its effect, and the response to its proxy.
    fn finish_job(&mut self, server: usize, done: &Completion) {
        if let Some((request, class)) = self.servers[server].running.remove(&done.job) {
            if done.good {
                self.record_event(Event::Ran { server: address(server), request, class });
            } else {
                self.forget_request(server, class, request.0.0);
            }
        }
        if let Some(id) = self.servers[server].jobs.remove(&done.job) {
            self.send_response(server, id, done.good);
        }
    }

    /// Sends a server's response to the proxy of an attempt, unless a fault loses it.
    fn send_response(&mut self, server: usize, id: AttemptId, good: bool) {
        let (share, by_reset) = self.servers[server].lost_answers;
        let lost = share > 0.0 && self.rng.random_bool(share.min(1.0));
        let Some(request) = self.requests.get(&id.request) else { return };
        let (from, to) = (self.plan.servers[server].zone, self.proxies[request.drawn.proxy].zone);
        let Some(delay) = self.delay(from, to) else { return };
        let end = match (lost, good) {
            (true, _) if by_reset => AttemptResult::MayHaveRun,
            (true, _) => return,
            (false, true) => AttemptResult::Success,
            (false, false) => AttemptResult::MayHaveRun,
        };
        self.schedule.push(self.now + delay, Scheduled::AttemptEnds(id, end));
    }

    /// Starts a server's process, which replaces the one before and is cold.
    pub(super) fn start_server(&mut self, server: usize) {
        let now = self.now;
        self.stop_process(server);
        let spec = &self.plan.servers[server].spec;
        let state = &mut self.servers[server];
        state.model = Server::new(spec.clone(), self.rng.random(), now, false);
        state.model.set_faults(now, state.faults);
        (state.up, state.wake_at) = (true, Micros::MAX);
        let started = Event::ServerStarted {
            server: address(server),
            capacity: spec.capacity(),
            cold_from: spec.cold_from,
            cold: (spec.warm_by == WarmBy::Time).then_some(spec.cold),
        };
        self.record_event(started);
        self.update_list_later(server, EndpointRecordState::Ready, now);
    }

    /// Stops a server's process; the server list removes it after its delay.
    pub(super) fn stop_server(&mut self, server: usize) {
        self.stop_process(server);
        self.update_list_later(server, EndpointRecordState::Gone, 0);
    }

    /// Schedules an update of the server list after its delay.
    fn update_list_later(&mut self, server: usize, state: EndpointRecordState, started: Micros) {
        let at = self.now + micros(self.plan.list_delay);
        self.schedule.push(at, Scheduled::ListUpdate(server, state, started));
    }

    /// Ends a server's process. Its jobs are lost and take no effect; their proxies see a connection reset.
    fn stop_process(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.incarnation += 1;
        state.up = false;
        let mut lost: Vec<AttemptId> = state.jobs.drain().map(|(_, id)| id).collect();
        lost.sort_unstable();
        let running = state.running.drain().map(|(_, (request, class))| (class, request.0.0));
        let running: BTreeSet<(usize, u64)> = running.collect();
        for id in lost {
            let at = self.now + self.options.near;
            self.schedule.push(at, Scheduled::AttemptEnds(id, AttemptResult::MayHaveRun));
        }
        for (class, request) in running {
            self.forget_request(server, class, request);
        }
    }

    /// Starts to drain a server.
    pub(super) fn drain_server(&mut self, server: usize) {
        self.servers[server].model.drain(self.now);
        self.schedule_server(server);
        self.update_list_later(server, EndpointRecordState::Draining, 0);
    }

    /// Changes the faults injected into servers.
    pub(super) fn change_faults(&mut self, servers: &[usize], change: impl Fn(&mut Faults)) {
        for server in servers {
            let state = &mut self.servers[*server];
            change(&mut state.faults);
            state.model.set_faults(self.now, state.faults);
            self.schedule_server(*server);
        }
    }

    /// Stops servers, or starts them again.
    pub(super) fn stop_or_start(&mut self, servers: &[usize], stop: bool) {
        for server in servers {
            if stop { self.stop_server(*server) } else { self.start_server(*server) }
        }
    }
}
