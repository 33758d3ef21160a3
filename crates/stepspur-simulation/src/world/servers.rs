//! Servers: their work in time, starts, stops and ailments.

use std::collections::BTreeSet;

use rand::RngExt;
use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_model::proxy::Tried;
use stepspur_model::server::{Ails, Done, Server, WarmBy};

use super::schedule::{AttemptId, Scheduled};
use super::{World, address, micros};

impl World {
    /// Schedules a server for when it next has something to tell.
    pub(super) fn schedule_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        let Some(at) = state.model.next_at().filter(|_| state.up) else { return };
        let at = at.max(self.now);
        if at < state.wake {
            state.wake = at;
            self.schedule.put(at, Scheduled::Server(server));
        }
    }

    /// A server has something to tell.
    pub(super) fn run_server(&mut self, server: usize) {
        let now = self.now;
        let state = &mut self.servers[server];
        if state.wake > now {
            return;
        }
        state.wake = Micros::MAX;
        if !state.up {
            return;
        }
        while state.model.closed(now).is_some() {}
        while let Some(done) = self.servers[server].model.poll(now) {
            self.finish_job(server, &done);
        }
        self.schedule_server(server);
    }

    /// A server's work on a request is done.
    fn finish_job(&mut self, server: usize, done: &Done) {
        if let Some((request, class)) = self.servers[server].running.remove(&done.job) {
            if done.good {
                self.note(Event::Ran { server: address(server), request, class });
            } else {
                self.forget_request(server, class, request.0.0);
            }
        }
        if let Some(id) = self.servers[server].jobs.remove(&done.job) {
            self.send_answer(server, id, done.good);
        }
    }

    /// A server's answer goes to the proxy of an attempt, or is lost.
    fn send_answer(&mut self, server: usize, id: AttemptId, good: bool) {
        let (share, by_reset) = self.servers[server].lose;
        let lost = share > 0.0 && self.rng.random_bool(share.min(1.0));
        let Some(request) = self.requests.get(&id.request) else { return };
        let (from, to) = (self.plan.servers[server].zone, self.proxies[request.drawn.proxy].zone);
        let Some(way) = self.way(from, to) else { return };
        let end = match (lost, good) {
            (true, _) if by_reset => Tried::MayHaveRun,
            (true, _) => return,
            (false, true) => Tried::Good,
            (false, false) => Tried::MayHaveRun,
        };
        self.schedule.put(self.now + way, Scheduled::AttemptEnds(id, end));
    }

    /// A server's process starts, in place of the one before.
    pub(super) fn start_server(&mut self, server: usize) {
        let now = self.now;
        self.stop_process(server);
        let spec = &self.plan.servers[server].spec;
        let state = &mut self.servers[server];
        state.model = Server::new(spec.clone(), self.rng.random(), now, false);
        state.model.ail(now, state.ails);
        (state.up, state.wake) = (true, Micros::MAX);
        let started = Event::ServerStarted {
            server: address(server),
            capacity: spec.capacity(),
            cold_from: spec.cold_from,
            cold: (spec.warm_by == WarmBy::Time).then_some(spec.cold),
        };
        self.note(started);
        self.list_learns_later(server, EndpointRecordState::Ready, now);
    }

    /// A server's process stops.
    pub(super) fn stop_server(&mut self, server: usize) {
        self.stop_process(server);
        self.list_learns_later(server, EndpointRecordState::Gone, 0);
    }

    fn list_learns_later(&mut self, server: usize, state: EndpointRecordState, started: Micros) {
        let at = self.now + micros(self.plan.list_delay);
        self.schedule.put(at, Scheduled::ListLearns(server, state, started));
    }

    /// What a process held is lost: whoever waits learns it by a reset.
    fn stop_process(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.life += 1;
        state.up = false;
        let mut lost: Vec<AttemptId> = state.jobs.drain().map(|(_, id)| id).collect();
        lost.sort_unstable();
        let running = state.running.drain().map(|(_, (request, class))| (class, request.0.0));
        let running: BTreeSet<(usize, u64)> = running.collect();
        for id in lost {
            let at = self.now + self.options.near;
            self.schedule.put(at, Scheduled::AttemptEnds(id, Tried::MayHaveRun));
        }
        for (class, request) in running {
            self.forget_request(server, class, request);
        }
    }

    /// A server begins to drain.
    pub(super) fn drain_server(&mut self, server: usize) {
        self.servers[server].model.drain(self.now);
        self.schedule_server(server);
        self.list_learns_later(server, EndpointRecordState::Draining, 0);
    }

    /// Changes what servers suffer from.
    pub(super) fn change_ails(&mut self, servers: &[usize], change: impl Fn(&mut Ails)) {
        for server in servers {
            let state = &mut self.servers[*server];
            change(&mut state.ails);
            state.model.ail(self.now, state.ails);
            self.schedule_server(*server);
        }
    }

    /// Servers die, or start again.
    pub(super) fn kill_or_start(&mut self, servers: &[usize], die: bool) {
        for server in servers {
            if die { self.stop_server(*server) } else { self.start_server(*server) }
        }
    }
}
