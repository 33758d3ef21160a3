//! Attempts of proxies at servers: connections, arrival at the server, and results.

use std::net::SocketAddr;

use stepspur_conductor::config::{DedupScopeConfig, IdempotencyConfig};
use stepspur_emulator::trace::{Arrival, ArrivalOutcome, Event, RequestId};
use stepspur_model::Micros;
use stepspur_model::memory::Memory;
use stepspur_model::proxy::AttemptResult;
use stepspur_model::server::{Conn, Job, Offer, Request};

use super::schedule::{AttemptId, Scheduled};
use super::state::Attempt;
use super::{World, address, micros};

/// Largest number of idle connections that a proxy holds open to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Connect timeout of a proxy, in microseconds.
const CONNECT_TIMEOUT: Micros = 300_000;
/// Largest number of requests that a group of servers remembers for deduplication, for each class.
const MAX_REMEMBERED_REQUESTS: usize = 1_000_000;

/// An attempt at the moment it arrives at its server.
struct ArrivingAttempt {
    id: AttemptId,
    server: usize,
    /// The request, the client's try and the attempt in it.
    request: (RequestId, u32, u32),
    class: usize,
    proxy: usize,
    /// The work of the request in microseconds, and its key.
    work: f64,
    key: Option<u64>,
    conn: Option<Conn>,
    /// Handshake work in microseconds, 0 on a used connection, and the extra work that a fault adds to it.
    handshake_work: f64,
    extra_handshake_work: f64,
}

impl World {
    /// Sends an attempt from a proxy to a server, on an idle connection or a new one. Without a result by
    /// `until`, the attempt times out.
    pub(super) fn start_attempt(&mut self, request_id: u64, to: SocketAddr, until: Micros) {
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        request.serial += 1;
        let (id, proxy) = (AttemptId { request: request_id, serial: request.serial }, request.drawn.proxy);
        let Some(server) = self.server_at(to) else {
            // The server list named a server that does not exist; the connection is refused.
            return self.never_ran(id, 2 * self.options.near);
        };
        let incarnation = self.servers[server].incarnation;
        let conn = self.idle_connection(proxy, server, incarnation);
        let delay = self.delay(self.proxies[proxy].zone, self.plan.servers[server].zone);
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.attempt = Some(Attempt { server, incarnation, conn, job: None });
        }
        self.schedule.push(until, Scheduled::AttemptTimeout(id));
        let extra_handshake_time = self.servers[server].handshake_slowdown.1;
        match (delay, conn) {
            // A cut link or a machine that is down returns nothing: a connect times out, and a request on an
            // open connection stays without a response.
            (None, None) => self.never_ran(id, CONNECT_TIMEOUT),
            (Some(_), None) if self.servers[server].unresponsive => self.never_ran(id, CONNECT_TIMEOUT),
            (None, Some(_)) => {}
            (Some(delay), Some(_)) => self.schedule.push(self.now + delay, Scheduled::AttemptArrives(id)),
            // A new connection takes one round trip before the request; above the timeout, the connect fails.
            (Some(delay), None) if 2 * delay > CONNECT_TIMEOUT => self.never_ran(id, CONNECT_TIMEOUT),
            (Some(delay), None) => {
                self.schedule
                    .push(self.now + 3 * delay + extra_handshake_time, Scheduled::AttemptArrives(id));
            }
        }
    }

    /// Ends an attempt that never reached its server, after the given time in microseconds.
    fn never_ran(&mut self, id: AttemptId, after: Micros) {
        self.schedule.push(self.now + after, Scheduled::AttemptEnds(id, AttemptResult::NeverRan));
    }

    /// Takes an idle connection to a server that is still open, the most recently used first.
    fn idle_connection(&mut self, proxy: usize, server: usize, incarnation: u64) -> Option<Conn> {
        let idle = self.proxies[proxy].idle.get_mut(&server)?;
        while let Some((of_incarnation, conn)) = idle.pop() {
            if of_incarnation == incarnation && self.servers[server].model.is_open(conn) {
                return Some(conn);
            }
        }
        None
    }

    /// Handles the arrival of an attempt at its server.
    pub(super) fn attempt_arrives(&mut self, id: AttemptId) {
        let Some(server) = self.attempt_server(id) else { return };
        let return_delay = self.return_delay(id, server);
        if !self.servers[server].up {
            // The port is closed; a connection to an earlier process is reset before the request is sent.
            return self.never_ran(id, return_delay);
        }
        if self.servers[server].unresponsive {
            return;
        }
        if !self.connect(id, server) {
            return self.never_ran(id, return_delay);
        }
        let Some(arrival) = self.describe_arrival(id, server) else { return };
        let (came, collapsed) = self.offer_request(&arrival);
        if collapsed {
            self.fallen += 1;
            self.record_event(Event::Fell { server: address(server) });
        }
        self.record_event(Event::Arrived(Arrival {
            server: address(server),
            proxy: arrival.proxy,
            request: arrival.request,
            class: arrival.class,
            work: arrival.work + arrival.handshake_work + arrival.extra_handshake_work,
            came,
        }));
        if let Some(end) = self.immediate_result(came) {
            self.schedule.push(self.now + return_delay, Scheduled::AttemptEnds(id, end));
        }
        self.schedule_server(server);
    }

    /// Returns the server of an attempt, if the attempt is still in flight.
    fn attempt_server(&self, id: AttemptId) -> Option<usize> {
        let request = self.requests.get(&id.request).filter(|request| request.serial == id.serial)?;
        Some(request.attempt.as_ref()?.server)
    }

    /// Returns the one-way delay from a server to the proxy of an attempt, in microseconds, without link
    /// faults.
    fn return_delay(&self, id: AttemptId, server: usize) -> Micros {
        let proxy = self.requests[&id.request].drawn.proxy;
        let same_zone = self.proxies[proxy].zone == self.plan.servers[server].zone;
        if same_zone { self.options.near } else { self.options.far }
    }

    /// Opens a connection for an attempt that has none. Returns false if the server does not accept it.
    fn connect(&mut self, id: AttemptId, server: usize) -> bool {
        let Some(attempt) = self.requests.get_mut(&id.request).and_then(|r| r.attempt.as_mut()) else {
            return false;
        };
        let state = &mut self.servers[server];
        if attempt.incarnation != state.incarnation {
            (attempt.incarnation, attempt.conn) = (state.incarnation, None);
        }
        if attempt.conn.is_none_or(|conn| !state.model.is_open(conn)) {
            let planned_limit = self.plan.servers[server].spec.connections;
            let connection_limit = (planned_limit as f64 / state.connection_limit_divisor) as usize;
            let accepts = planned_limit == 0 || state.model.connections() < connection_limit;
            attempt.conn = if accepts { state.model.connect(self.now) } else { None };
        }
        attempt.conn.is_some()
    }

    fn describe_arrival(&self, id: AttemptId, server: usize) -> Option<ArrivingAttempt> {
        let request = self.requests.get(&id.request)?;
        let attempts = request.serving.as_ref().map_or(0, |serving| serving.attempts().saturating_sub(1));
        let conn = request.attempt.as_ref()?.conn;
        let state = &self.servers[server];
        let is_new = conn.is_some_and(|conn| state.model.is_new(conn));
        let handshake_work = if is_new { self.plan.servers[server].spec.handshake_work } else { 0.0 };
        Some(ArrivingAttempt {
            id,
            server,
            request: (RequestId(id.request), request.client_try, attempts as u32),
            class: request.drawn.class,
            proxy: request.drawn.proxy,
            work: request.drawn.work,
            key: request.drawn.key,
            conn,
            handshake_work,
            extra_handshake_work: handshake_work * (state.handshake_slowdown.0 - 1.0),
        })
    }

    /// Offers a request to its server, unless the request is a duplicate. Returns the outcome, and true if
    /// the server collapsed under the request.
    fn offer_request(&mut self, arrival: &ArrivingAttempt) -> (ArrivalOutcome, bool) {
        let ArrivingAttempt { id, server, class, .. } = *arrival;
        let group = self.memory_group(server, class);
        let window = micros(self.plan.classes[class].window);
        let memory = group.map(|group| {
            self.memories
                .entry((class, group))
                .or_insert_with(|| Memory::new(window, MAX_REMEMBERED_REQUESTS))
        });
        if memory.map(|memory| memory.record_arrival(self.now, id.request)) == Some(true) {
            return (ArrivalOutcome::Known, false);
        }
        self.next_job += 1;
        let job = Job(self.next_job);
        let model = &mut self.servers[server].model;
        let was_collapsed = model.collapsed();
        let work = arrival.work + arrival.extra_handshake_work;
        let offer = model.offer(self.now, job, Request { work, key: arrival.key, conn: arrival.conn });
        let collapsed = model.collapsed() && !was_collapsed;
        let came = match offer {
            Offer::Accepted => ArrivalOutcome::Taken,
            Offer::Rejected => ArrivalOutcome::Full,
            Offer::Failed => ArrivalOutcome::Failed,
            Offer::Collapsed => ArrivalOutcome::Fallen,
        };
        if came == ArrivalOutcome::Taken {
            self.track_job(arrival, job);
        } else if let Some(memory) = group.and_then(|group| self.memories.get_mut(&(class, group))) {
            memory.forget(id.request);
        }
        (came, collapsed)
    }

    /// Remembers an accepted job, for its response and its effect.
    fn track_job(&mut self, arrival: &ArrivingAttempt, job: Job) {
        let request = self.requests.get_mut(&arrival.id.request);
        if let Some(attempt) = request.and_then(|request| request.attempt.as_mut()) {
            attempt.job = Some(job);
        }
        let state = &mut self.servers[arrival.server];
        state.jobs.insert(job, arrival.id);
        state.running.insert(job, (arrival.request, arrival.class));
    }

    /// Returns the group in which a server deduplicates requests of a class; `None` if the class has no
    /// idempotency keys.
    fn memory_group(&self, server: usize, class: usize) -> Option<usize> {
        let class = &self.plan.classes[class];
        (class.effect == IdempotencyConfig::IdempotencyKey).then(|| self.group(server, class.group))
    }

    /// Returns the number of a server's group within the fleet, by the scope of the group.
    fn group(&self, server: usize, group: DedupScopeConfig) -> usize {
        match group {
            DedupScopeConfig::All => 0,
            DedupScopeConfig::Zone => self.plan.servers[server].zone,
            DedupScopeConfig::Cell => server,
        }
    }

    /// Removes a request from the deduplication memory of a server's group, because it did not take effect.
    pub(super) fn forget_request(&mut self, server: usize, class: usize, request: u64) {
        let group = self.group(server, self.plan.classes[class].group);
        if let Some(memory) = self.memories.get_mut(&(class, group)) {
            memory.forget(request);
        }
    }

    /// Returns the result that a proxy gets at once; `None` if the server has accepted the request.
    fn immediate_result(&self, came: ArrivalOutcome) -> Option<AttemptResult> {
        match came {
            ArrivalOutcome::Known => Some(AttemptResult::Success),
            ArrivalOutcome::Full if self.plan.rules.full_may_have_run => Some(AttemptResult::MayHaveRun),
            ArrivalOutcome::Full => Some(AttemptResult::NeverRan),
            ArrivalOutcome::Failed | ArrivalOutcome::Fallen => Some(AttemptResult::MayHaveRun),
            ArrivalOutcome::Taken => None,
        }
    }

    /// Handles the result of an attempt at its proxy. The connection goes back to the idle pool, unless the
    /// attempt may have run, the pool is full ([`MAX_IDLE_CONNECTIONS`]) or the server has restarted.
    pub(super) fn attempt_ended(&mut self, id: AttemptId, end: AttemptResult) {
        let request = self.requests.get_mut(&id.request);
        let Some(request) = request.filter(|request| request.serial == id.serial) else { return };
        let proxy = &mut self.proxies[request.drawn.proxy];
        if let Some(Attempt { server, incarnation, conn: Some(conn), .. }) = request.attempt.take() {
            let idle = proxy.idle.entry(server).or_default();
            let state = &mut self.servers[server];
            if end != AttemptResult::MayHaveRun
                && idle.len() < MAX_IDLE_CONNECTIONS
                && state.incarnation == incarnation
            {
                idle.push((incarnation, conn));
            } else if state.incarnation == incarnation {
                state.model.disconnect(self.now, conn);
            }
        }
        let Some(serving) = &mut request.serving else { return };
        request.serial += 1;
        let next = serving.ended(&mut proxy.model, self.now, end);
        self.proceed(id.request, next);
    }

    /// Handles the timeout of an attempt, or of the client's try: the proxy closes the connection.
    pub(super) fn time_out_attempt(&mut self, id: AttemptId) {
        let request = self.requests.get_mut(&id.request);
        let Some(request) = request.filter(|request| request.serial == id.serial) else { return };
        // The server sees the closed connection and cancels the job.
        if let Some(attempt) = request.attempt.take()
            && self.servers[attempt.server].incarnation == attempt.incarnation
        {
            self.cancel(&attempt);
        }
        self.attempt_ended(id, AttemptResult::MayHaveRun);
    }

    /// Cancels an attempt at its server and closes its connection.
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
