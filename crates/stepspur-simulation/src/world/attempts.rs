//! Attempts of proxies at servers: connections, arrival, work and the answer's way back.

use std::net::SocketAddr;

use stepspur_conductor::config::{EffectConfig, GroupConfig};
use stepspur_emulator::trace::{Arrival, Came, Event, RequestId};
use stepspur_model::Micros;
use stepspur_model::memory::Memory;
use stepspur_model::proxy::Tried;
use stepspur_model::server::{Ask, Conn, Job, Offer};

use super::schedule::{AttemptId, Scheduled};
use super::state::Attempt;
use super::{World, address, micros};

/// Idle connections that a proxy keeps to a server.
const IDLE_CONNECTIONS_MAX: usize = 16;
/// A connection that does not stand after so long, in microseconds, has failed.
const CONNECT_TIMEOUT: Micros = 300_000;
/// Requests that a group of servers remembers at most.
const REMEMBERED_MAX: usize = 1_000_000;

/// An attempt that a server is to take in.
struct Arriving {
    id: AttemptId,
    server: usize,
    /// The request, the client's try and the attempt in it.
    request: (RequestId, u32, u32),
    class: usize,
    proxy: usize,
    /// The work of the request, and its key.
    work: f64,
    key: Option<u64>,
    conn: Option<Conn>,
    /// The work of opening the connection, and what it costs beyond that now.
    opening: f64,
    opening_extra: f64,
}

impl World {
    /// A proxy sends a request to a server.
    pub(super) fn start_attempt(&mut self, request_id: u64, to: SocketAddr, until: Micros) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.serial += 1;
        let (id, proxy) = (AttemptId { request: request_id, serial: request.serial }, request.drawn.proxy);
        let Some(server) = self.server_at(to) else {
            // A ghost: nobody listens there.
            return self.never_ran(id, 2 * self.options.near);
        };
        let life = self.servers[server].life;
        let conn = self.idle_connection(proxy, server, life);
        let way = self.way(self.proxies[proxy].zone, self.plan.servers[server].zone);
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.attempt = Some(Attempt { server, life, conn, job: None });
        }
        self.schedule.put(until, Scheduled::GiveUp(id));
        let slow = self.servers[server].handshakes.1;
        match (way, conn) {
            // Over a cut link, or to a machine that has gone, nothing comes back: dials fail, the rest hangs.
            (None, None) => self.never_ran(id, CONNECT_TIMEOUT),
            (Some(_), None) if self.servers[server].silent => self.never_ran(id, CONNECT_TIMEOUT),
            (None, Some(_)) => {}
            (Some(way), Some(_)) => self.schedule.put(self.now + way, Scheduled::AttemptArrives(id)),
            // A dial goes there and back first; one that takes too long is none.
            (Some(way), None) if 2 * way > CONNECT_TIMEOUT => self.never_ran(id, CONNECT_TIMEOUT),
            (Some(way), None) => {
                self.schedule.put(self.now + 3 * way + slow, Scheduled::AttemptArrives(id));
            }
        }
    }

    /// An attempt fails before its server has it.
    fn never_ran(&mut self, id: AttemptId, after: Micros) {
        self.schedule.put(self.now + after, Scheduled::AttemptEnds(id, Tried::NeverRan));
    }

    /// An idle connection that still stands.
    fn idle_connection(&mut self, proxy: usize, server: usize, life: u64) -> Option<Conn> {
        let kept = self.proxies[proxy].idle.get_mut(&server)?;
        while let Some((of_life, conn)) = kept.pop() {
            if of_life == life && self.servers[server].model.is_open(conn) {
                return Some(conn);
            }
        }
        None
    }

    /// An attempt reaches its server.
    pub(super) fn attempt_arrives(&mut self, id: AttemptId) {
        let Some(server) = self.attempt_server(id) else { return };
        let back = self.way_back(id, server);
        if !self.servers[server].up {
            // The port is closed; a connection of an earlier life is reset with nothing sent.
            return self.never_ran(id, back);
        }
        if self.servers[server].silent {
            return;
        }
        if !self.connect(id, server) {
            return self.never_ran(id, back);
        }
        let Some(arriving) = self.arriving(id, server) else { return };
        let (came, fell) = self.take_in(&arriving);
        if fell {
            self.fallen += 1;
            self.note(Event::Fell { server: address(server) });
        }
        self.note(Event::Arrived(Arrival {
            server: address(server),
            proxy: arriving.proxy,
            request: arriving.request,
            class: arriving.class,
            work: arriving.work + arriving.opening + arriving.opening_extra,
            came,
        }));
        if let Some(end) = self.immediate_end(came) {
            self.schedule.put(self.now + back, Scheduled::AttemptEnds(id, end));
        }
        self.schedule_server(server);
    }

    /// The server of an attempt that is still under way.
    fn attempt_server(&self, id: AttemptId) -> Option<usize> {
        let request = self.requests.get(&id.request).filter(|request| request.serial == id.serial)?;
        Some(request.attempt.as_ref()?.server)
    }

    /// How long a server's word takes to the proxy of an attempt.
    fn way_back(&self, id: AttemptId, server: usize) -> Micros {
        let proxy = self.requests[&id.request].drawn.proxy;
        let is_near = self.proxies[proxy].zone == self.plan.servers[server].zone;
        if is_near { self.options.near } else { self.options.far }
    }

    /// True: the attempt has a connection that stands, a new one where it had none.
    fn connect(&mut self, id: AttemptId, server: usize) -> bool {
        let Some(attempt) = self.requests.get_mut(&id.request).and_then(|r| r.attempt.as_mut()) else {
            return false;
        };
        let state = &mut self.servers[server];
        if attempt.life != state.life {
            (attempt.life, attempt.conn) = (state.life, None);
        }
        if attempt.conn.is_none_or(|conn| !state.model.is_open(conn)) {
            let accepted = self.plan.servers[server].spec.connections;
            let most = (accepted as f64 / state.connections_divide) as usize;
            let has_room = accepted == 0 || state.model.connections() < most;
            attempt.conn = if has_room { state.model.connect(self.now) } else { None };
        }
        attempt.conn.is_some()
    }

    fn arriving(&self, id: AttemptId, server: usize) -> Option<Arriving> {
        let request = self.requests.get(&id.request)?;
        let attempts = request.serving.as_ref().map_or(0, |serving| serving.attempts().saturating_sub(1));
        let conn = request.attempt.as_ref()?.conn;
        let state = &self.servers[server];
        let is_new = conn.is_some_and(|conn| state.model.is_new(conn));
        let opening = if is_new { self.plan.servers[server].spec.handshake_work } else { 0.0 };
        Some(Arriving {
            id,
            server,
            request: (RequestId(id.request), request.client_try, attempts as u32),
            class: request.drawn.class,
            proxy: request.drawn.proxy,
            work: request.drawn.work,
            key: request.drawn.key,
            conn,
            opening,
            opening_extra: opening * (state.handshakes.0 - 1.0),
        })
    }

    /// A server takes a request in, or not; true beside it: the server fell over by it.
    fn take_in(&mut self, arriving: &Arriving) -> (Came, bool) {
        let Arriving { id, server, class, .. } = *arriving;
        let group = self.memory_group(server, class);
        let window = micros(self.plan.classes[class].window);
        let memory = group.map(|group| {
            self.memories.entry((class, group)).or_insert_with(|| Memory::new(window, REMEMBERED_MAX))
        });
        if memory.map(|memory| memory.meet(self.now, id.request)) == Some(true) {
            return (Came::Known, false);
        }
        self.next_job += 1;
        let job = Job(self.next_job);
        let model = &mut self.servers[server].model;
        let had_fallen = model.fallen();
        let work = arriving.work + arriving.opening_extra;
        let offer = model.offer(self.now, job, Ask { work, key: arriving.key, conn: arriving.conn });
        let fell = model.fallen() && !had_fallen;
        let came = match offer {
            Offer::Taken => Came::Taken,
            Offer::Full => Came::Full,
            Offer::Failed => Came::Failed,
            Offer::Fallen => Came::Fallen,
        };
        if came == Came::Taken {
            self.keep_job(arriving, job);
        } else if let Some(memory) = group.and_then(|group| self.memories.get_mut(&(class, group))) {
            memory.forget(id.request);
        }
        (came, fell)
    }

    fn keep_job(&mut self, arriving: &Arriving, job: Job) {
        let request = self.requests.get_mut(&arriving.id.request);
        if let Some(attempt) = request.and_then(|request| request.attempt.as_mut()) {
            attempt.job = Some(job);
        }
        let state = &mut self.servers[arriving.server];
        state.jobs.insert(job, arriving.id);
        state.running.insert(job, (arriving.request, arriving.class));
    }

    /// The group of servers that remembers keys of a class with a server; none if keys are not remembered.
    fn memory_group(&self, server: usize, class: usize) -> Option<usize> {
        let class = &self.plan.classes[class];
        (class.effect == EffectConfig::IdempotencyKey).then(|| self.group(server, class.group))
    }

    fn group(&self, server: usize, group: GroupConfig) -> usize {
        match group {
            GroupConfig::All => 0,
            GroupConfig::Zone => self.plan.servers[server].zone,
            GroupConfig::Cell => server,
        }
    }

    /// A server's group no longer knows a request of a class.
    pub(super) fn forget_request(&mut self, server: usize, class: usize, request: u64) {
        let group = self.group(server, self.plan.classes[class].group);
        if let Some(memory) = self.memories.get_mut(&(class, group)) {
            memory.forget(request);
        }
    }

    /// What an attempt's proxy is told at once; none while its work is under way.
    fn immediate_end(&self, came: Came) -> Option<Tried> {
        match came {
            Came::Known => Some(Tried::Good),
            Came::Full if self.plan.rules.full_may_have_run => Some(Tried::MayHaveRun),
            Came::Full => Some(Tried::NeverRan),
            Came::Failed | Came::Fallen => Some(Tried::MayHaveRun),
            Came::Taken => None,
        }
    }

    /// An attempt's end reaches its proxy.
    pub(super) fn attempt_ended(&mut self, id: AttemptId, end: Tried) {
        let request = self.requests.get_mut(&id.request);
        let Some(request) = request.filter(|request| request.serial == id.serial) else { return };
        let proxy = &mut self.proxies[request.drawn.proxy];
        if let Some(Attempt { server, life, conn: Some(conn), .. }) = request.attempt.take() {
            let idle = proxy.idle.entry(server).or_default();
            let state = &mut self.servers[server];
            if end != Tried::MayHaveRun && idle.len() < IDLE_CONNECTIONS_MAX && state.life == life {
                idle.push((life, conn));
            } else if state.life == life {
                state.model.disconnect(self.now, conn);
            }
        }
        let Some(serving) = &mut request.serving else { return };
        request.serial += 1;
        let next = serving.ended(&mut proxy.model, self.now, end);
        self.proceed(id.request, next);
    }

    /// An attempt, or the client's try, is given up.
    pub(super) fn give_up(&mut self, id: AttemptId) {
        let request = self.requests.get_mut(&id.request);
        let Some(request) = request.filter(|request| request.serial == id.serial) else { return };
        // The connection is closed: the server learns that nobody waits.
        if let Some(attempt) = request.attempt.take()
            && self.servers[attempt.server].life == attempt.life
        {
            self.cancel(&attempt);
        }
        self.attempt_ended(id, Tried::MayHaveRun);
    }

    /// A server learns that nobody waits for an attempt.
    fn cancel(&mut self, attempt: &Attempt) {
        let (server, now) = (attempt.server, self.now);
        if let Some(job) = attempt.job {
            let state = &mut self.servers[server];
            state.jobs.remove(&job);
            if state.model.cancel(now, job)
                && let Some((request, class)) = state.running.remove(&job)
            {
                self.forget_request(server, class, request.0.0);
            }
        }
        if let Some(conn) = attempt.conn {
            self.servers[server].model.disconnect(now, conn);
        }
        self.schedule_server(server);
    }
}
