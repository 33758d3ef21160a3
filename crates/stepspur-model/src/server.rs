//! A model of a server: cores, slots, a bounded queue, a cold start, pauses, and a load at which it
//! collapses.
//!
//! Requests in service share the cores evenly (processor sharing). Requests that find no free slot wait in
//! FIFO order; requests that find the queue full are rejected. Work is measured in microseconds on a core of
//! speed 1. After a start, capacity rises linearly from [`Spec::cold_from`] to its full value over
//! [`Spec::cold`], or with the number of answered requests.
//!
//! The driver calls [`Server::connect`], [`Server::offer`], [`Server::cancel`] and [`Server::drain`] when
//! these events occur, and [`Server::poll`] and [`Server::closed`] at the time returned by
//! [`Server::next_at`]. The time that it passes never decreases.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};
use serde::{Deserialize, Serialize};

use crate::Micros;

// The doc comments of types that derive `JsonSchema` are published as descriptions in
// `rehearsals/scenario.schema.json`; after a change, update that file with the output of `rehearse --schema`.

/// Effect of a cancel on a request that the server holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum Cancel {
    /// No effect: the request completes.
    None,
    /// The request is dropped if it is still queued.
    #[default]
    Queued,
    /// The request is dropped, queued or in service.
    All,
}

/// What the warm-up of a cold server depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum WarmBy {
    /// Time since its start; `cold` is the time until it is warm.
    #[default]
    Time,
    /// Requests answered since its start; `cold_requests` is the number until it is warm.
    Requests,
}

/// How a draining server handles new connections and requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum Draining {
    /// It closes idle connections, and accepts connections and requests until it stops.
    #[default]
    Serves,
    /// It closes idle connections, accepts no new ones, and rejects requests on those still open.
    Refuses,
}

/// Parameters of a server. Times are in microseconds; work is the time that it takes on a core of speed 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Number of cores; default 2.
    pub cores: u32,
    /// Speed of each core: seconds of work done per second. Default 1.
    pub speed: f64,
    /// Maximum number of requests in service; if there are more than `cores`, they share the cores evenly. At
    /// least 1, default 8.
    pub slots: u32,
    /// Maximum number of queued requests; further ones are rejected. Default 32.
    pub room: u32,
    /// Number of requests, queued or in service, above which efficiency falls; default 16.
    pub knee: f64,
    /// Loss of efficiency above `knee`: with n times `knee` requests, the speed is divided by 1 + `thrash` *
    /// (n - 1). Default 0.1.
    pub thrash: f64,
    /// Share of its capacity at a cold start, from 0 to 1; it rises linearly to 1 during warm-up. Default
    /// 0.35.
    pub cold_from: f64,
    /// What the warm-up depends on; default `time`.
    pub warm_by: WarmBy,
    /// For `warm_by` `time`: time from a cold start until it is warm, in microseconds; default 15 s.
    pub cold: Micros,
    /// For `warm_by` `requests`: number of answered requests until it is warm; default 1000.
    pub cold_requests: u64,
    /// A cold server collapses if, within `fall_span`, it receives more work than this multiple of its
    /// present capacity; default 3. Scenarios set it by `rules.fall_multiple`.
    pub fall_multiple: f64,
    /// Time span over which work is summed for `fall_multiple`, in microseconds; default 3 s. Scenarios set
    /// it by `rules.fall_span`.
    pub fall_span: Micros,
    /// Effect of a cancel on a request that it holds; default `queued`.
    pub cancel: Cancel,
    /// Share of requests that fail at once and at random, from 0 to 1; default 0.
    pub error_rate: f64,
    /// Maximum number of open connections; 0: unlimited. Default 0. Scenarios set it by `connections` of the
    /// kind.
    pub connections: usize,
    /// Work of a new connection, in microseconds, added to that of its first request; default 0.
    pub handshake_work: f64,
    /// Idle timeout: time after which a connection without requests is closed, in microseconds; 0: never.
    /// Default 0.
    pub idle: Micros,
    /// How it handles new connections and requests while it drains; default `serves`.
    pub draining: Draining,
    /// Mean time from the end of a pause to the start of the next, in microseconds; default 0.
    pub pause_every: Micros,
    /// Duration of each pause, during which no work is done, in microseconds; 0: no pauses. Default 0.
    pub pause: Micros,
    /// Work of a health probe, in microseconds; default 0.
    pub probe_work: f64,
    /// Minimum time between two refreshes of the load report, in microseconds; default 500 ms.
    pub report_every: Micros,
    /// Delay after which a refreshed load report is published, in microseconds; default 0.
    pub report_late: Micros,
    /// Standard deviation of the normally distributed error of load reports, as a share of the true value;
    /// default 0.
    pub report_noise: f64,
    /// Time span within which a repeated key reduces the work of a request, in microseconds; default 0.
    pub key_span: Micros,
    /// Share by which a key repeated within `key_span` reduces the work, from 0 to 1; 0: no reduction.
    /// Default 0.
    pub key_gain: f64,
    /// Maximum number of keys remembered; default 1000.
    pub keys: usize,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            cores: 2,
            speed: 1.0,
            slots: 8,
            room: 32,
            knee: 16.0,
            thrash: 0.1,
            cold_from: 0.35,
            warm_by: WarmBy::Time,
            cold: 15_000_000,
            cold_requests: 1000,
            fall_multiple: 3.0,
            fall_span: 3_000_000,
            cancel: Cancel::Queued,
            error_rate: 0.0,
            connections: 0,
            handshake_work: 0.0,
            idle: 0,
            draining: Draining::Serves,
            pause_every: 0,
            pause: 0,
            probe_work: 0.0,
            report_every: 500_000,
            report_late: 0,
            report_noise: 0.0,
            key_span: 0,
            key_gain: 0.0,
            keys: 1000,
        }
    }
}

impl Spec {
    /// Returns the work done in a second when warm and at or below [`Spec::knee`], in seconds of a core of
    /// speed 1.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}

/// Identifies a request at a server; the caller assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Job(pub u64);

/// Identifies a connection; the server assigns the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// A request as it is offered to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its work, in microseconds on a core of speed 1.
    pub work: f64,
    /// Key of the data that it reads; a recently used key reduces the work by [`Spec::key_gain`].
    pub key: Option<u64>,
    /// The connection that carries it; `None` if the caller does not model connections.
    pub conn: Option<Conn>,
}

impl Request {
    /// Creates a request with this work and neither key nor connection.
    pub fn of(work: f64) -> Self {
        Self { work, ..Self::default() }
    }
}

/// The immediate result of offering a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Accepted; [`Server::poll`] returns its completion.
    Accepted,
    /// Rejected because the queue is full or the server drains; it never ran.
    Rejected,
    /// Failed at once, by [`Spec::error_rate`] or [`Faults::fails`].
    Failed,
    /// The server has collapsed, and every request that it held is lost.
    Collapsed,
}

/// The completion of an accepted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The request that completed.
    pub job: Job,
    /// True if it was answered; false if it was lost when the server collapsed.
    pub good: bool,
}

/// A load report of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight, in service or queued.
    pub rif: f64,
    /// Requests in the queue.
    pub q: f64,
    /// Share of the cores in use, from 0 to 1, smoothed over the last reports.
    pub busy: f64,
    /// Recent mean service time without queueing, in milliseconds.
    pub lat_ms: f64,
}

/// The faults that are injected into a server at present.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Accepts requests and works on none.
    pub hangs: bool,
    /// Share of requests that fail at once, from 0 to 1, in addition to [`Spec::error_rate`].
    pub fails: f64,
    /// Slowdown: 0.5 makes work take 1.5 times as long; 0 is full speed.
    pub slower: f64,
    /// Pauses as (interval, duration) in microseconds; `None` leaves those of the [`Spec`].
    pub pauses: Option<(Micros, Micros)>,
}

/// An accepted request that is queued or in service.
#[derive(Clone, Copy, Debug)]
struct HeldJob {
    /// When it was accepted; once it is in service, when service began.
    since: Micros,
    conn: Option<Conn>,
    /// Cancelled while in service: its slot is already free.
    cancelled: bool,
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct OpenConn {
    /// No request has used it yet.
    unused: bool,
    /// Requests on it that are queued or in service.
    held: usize,
    /// Time since which it has carried no request.
    idle: Micros,
}

/// A server model; the caller passes the time to each call.
#[derive(Debug)]
pub struct Server {
    spec: Spec,
    rng: ChaCha8Rng,
    now: Micros,
    /// Time of the last start; 0 for a server that is warm from the beginning.
    started: Micros,
    /// Attained service: the work that a request in service since the beginning would have received, in
    /// microseconds.
    attained: f64,
    /// Requests in service, by the attained service at which they complete, in units of 1 / `TICKS_PER_US`.
    running: BinaryHeap<Reverse<(u64, Job)>>,
    held: BTreeMap<Job, HeldJob>,
    in_service: usize,
    /// The queue: requests without a slot, with their work in microseconds.
    waiting: VecDeque<(Job, f64)>,
    faults: Faults,
    paused_until: Micros,
    next_pause: Micros,
    /// Work that arrived within `Spec::fall_span` while cold: arrival time and work, in microseconds.
    cold_work: VecDeque<(Micros, f64)>,
    cold_work_sum: f64,
    collapsed: bool,
    /// Time of the last use of each remembered key.
    keys: BTreeMap<u64, Micros>,
    key_order: VecDeque<(Micros, u64)>,
    done: VecDeque<Completion>,
    conns: BTreeMap<Conn, OpenConn>,
    /// Connections without a request, by the time since which they are idle.
    idle: BTreeSet<(Micros, Conn)>,
    next_conn: u64,
    closed: VecDeque<Conn>,
    drains: bool,
    answered: u64,
    /// Load reports by the time at which they were made; the first one is the one published.
    reports: VecDeque<(Micros, Load)>,
    /// Moving average of the service time, in microseconds.
    latency: f64,
    /// Moving average of the share of cores in use.
    busy: f64,
}

/// Step at which the service rate is recomputed while capacity rises after a start, in microseconds.
const WARM_UP_STEP: Micros = 50_000;
/// Resolution of the completion heap: ticks per microsecond of attained service.
const TICKS_PER_US: f64 = 100.0;

impl Server {
    /// Creates a server that is warm, or one that starts cold at `now`. A cold start needs `now` above 0,
    /// because a start time of 0 marks a warm server.
    pub fn new(spec: Spec, seed: u64, now: Micros, warm: bool) -> Self {
        let mut server = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            started: if warm { 0 } else { now },
            attained: 0.0,
            running: BinaryHeap::new(),
            held: BTreeMap::new(),
            in_service: 0,
            waiting: VecDeque::new(),
            faults: Faults::default(),
            paused_until: 0,
            next_pause: 0,
            cold_work: VecDeque::new(),
            cold_work_sum: 0.0,
            collapsed: false,
            keys: BTreeMap::new(),
            key_order: VecDeque::new(),
            done: VecDeque::new(),
            conns: BTreeMap::new(),
            idle: BTreeSet::new(),
            // Differs from the connection numbers of an earlier process at the same address.
            next_conn: now,
            closed: VecDeque::new(),
            drains: false,
            answered: 0,
            reports: VecDeque::new(),
            latency: 0.0,
            busy: 0.0,
            spec,
        };
        server.schedule_next_pause(now);
        server
    }

    /// Returns the pauses in force as (interval, duration), in microseconds: injected ones replace those of
    /// the spec.
    fn pauses(&self) -> Option<(Micros, Micros)> {
        let from_spec = (self.spec.pause > 0).then_some((self.spec.pause_every, self.spec.pause));
        self.faults.pauses.or(from_spec)
    }

    /// Draws the start of the next pause, uniformly within one interval from now.
    fn schedule_next_pause(&mut self, now: Micros) {
        self.next_pause = match self.pauses() {
            Some((every, _)) => now + self.rng.random_range(0..every.max(1)),
            None => 0,
        };
    }

    /// Returns the parameters of the server.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the time of the last start; 0 for a server that is warm from the beginning.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// Returns true if the server has collapsed. It does not recover by itself.
    pub fn collapsed(&self) -> bool {
        self.collapsed
    }

    /// Returns the number of requests queued or in service.
    pub fn held(&self) -> usize {
        self.in_service + self.waiting.len()
    }

    /// Returns the share of full capacity that is available now, from [`Spec::cold_from`] to 1.
    pub fn warmth(&self, now: Micros) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let age = match self.spec.warm_by {
            WarmBy::Time => now.saturating_sub(self.started) as f64 / self.spec.cold.max(1) as f64,
            WarmBy::Requests => self.answered as f64 / self.spec.cold_requests.max(1) as f64,
        };
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    /// Replaces the injected faults from now on.
    pub fn set_faults(&mut self, now: Micros, faults: Faults) {
        self.advance(now);
        let rescheduled = faults.pauses != self.faults.pauses;
        self.faults = faults;
        if rescheduled {
            self.schedule_next_pause(now);
        }
    }

    /// Opens a connection. Returns `None` if the server is at its limit, refuses while it drains, or has
    /// collapsed.
    pub fn connect(&mut self, now: Micros) -> Option<Conn> {
        self.advance(now);
        let full = self.spec.connections > 0 && self.conns.len() >= self.spec.connections;
        let refuses = self.drains && self.spec.draining == Draining::Refuses;
        if full || refuses || self.collapsed {
            return None;
        }
        self.next_conn += 1;
        let conn = Conn(self.next_conn);
        self.conns.insert(conn, OpenConn { unused: true, held: 0, idle: now });
        // A new connection to a draining server carries one request before the server closes it.
        if !self.drains {
            self.idle.insert((now, conn));
        }
        Some(conn)
    }

    /// Handles a connection closed by the peer. Its requests continue until they are cancelled.
    pub fn disconnect(&mut self, now: Micros, conn: Conn) {
        self.advance(now);
        self.close(conn);
    }

    /// Returns true if no request has used the connection yet.
    pub fn is_new(&self, conn: Conn) -> bool {
        self.conns.get(&conn).is_some_and(|open| open.unused)
    }

    /// Returns true if the connection is open.
    pub fn is_open(&self, conn: Conn) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Returns the next connection that the server has closed by now: idle for at least [`Spec::idle`], idle
    /// while the server drains, or open when the server collapsed.
    pub fn closed(&mut self, now: Micros) -> Option<Conn> {
        self.advance(now);
        if self.spec.idle > 0 || self.drains {
            let idle_timeout = if self.drains { 0 } else { self.spec.idle };
            while let Some((since, conn)) =
                self.idle.first().copied().filter(|(at, _)| at + idle_timeout <= now)
            {
                self.idle.remove(&(since, conn));
                self.conns.remove(&conn);
                self.closed.push_back(conn);
            }
        }
        self.closed.pop_front()
    }

    /// Starts to drain; requests queued or in service are completed.
    pub fn drain(&mut self, now: Micros) {
        self.advance(now);
        self.drains = true;
    }

    /// Returns true if the server drains and holds no request.
    pub fn drained(&self) -> bool {
        self.drains && self.held.is_empty()
    }

    /// Forgets a connection.
    fn close(&mut self, conn: Conn) {
        if let Some(open) = self.conns.remove(&conn) {
            self.idle.remove(&(open.idle, conn));
        }
    }

    /// Adds one request to a connection.
    fn occupy(&mut self, conn: Conn) {
        if let Some(open) = self.conns.get_mut(&conn) {
            if open.held == 0 {
                self.idle.remove(&(open.idle, conn));
            }
            open.held += 1;
        }
    }

    /// Removes one request from a connection; its idle time starts with the last one.
    fn release(&mut self, conn: Option<Conn>) {
        if let Some((conn, open)) = conn.and_then(|conn| Some((conn, self.conns.get_mut(&conn)?))) {
            open.held -= 1;
            if open.held == 0 {
                open.idle = self.now;
                self.idle.insert((self.now, conn));
            }
        }
    }

    /// Offers a request to the server. The outcome decides whether it runs, is queued, or ends at once.
    pub fn offer(&mut self, now: Micros, job: Job, ask: Request) -> Offer {
        self.advance(now);
        if self.collapsed {
            return Offer::Collapsed;
        }
        let gain = if ask.key.is_some_and(|key| self.touch_key(key)) { self.spec.key_gain } else { 0.0 };
        let work = ask.work * (1.0 - gain) + self.take_handshake_work(ask.conn);
        if self.add_cold_work(work) {
            return Offer::Collapsed;
        }
        let fails = self.spec.error_rate + self.faults.fails;
        if fails > 0.0 && self.rng.random_bool(fails.min(1.0)) {
            return Offer::Failed;
        }
        let full = self.in_service >= self.spec.slots.max(1) as usize;
        let refuses = self.drains && self.spec.draining == Draining::Refuses;
        if refuses || full && self.waiting.len() >= self.spec.room as usize {
            return Offer::Rejected;
        }
        self.held.insert(job, HeldJob { since: now, conn: ask.conn, cancelled: false });
        if let Some(conn) = ask.conn {
            self.occupy(conn);
        }
        if full {
            self.waiting.push_back((job, work));
        } else {
            self.start_service(job, work);
        }
        Offer::Accepted
    }

    /// Returns the handshake work, in microseconds, that the first request on a connection adds to its own.
    fn take_handshake_work(&mut self, conn: Option<Conn>) -> f64 {
        let open = conn.and_then(|conn| self.conns.get_mut(&conn));
        let new = open.is_some_and(|open| std::mem::replace(&mut open.unused, false));
        if new { self.spec.handshake_work } else { 0.0 }
    }

    /// Cancels a request because its sender no longer waits. Returns true if the request was dropped: it
    /// neither takes effect nor completes.
    pub fn cancel(&mut self, now: Micros, job: Job) -> bool {
        self.advance(now);
        if self.spec.cancel == Cancel::None {
            return false;
        }
        if let Some(position) = self.waiting.iter().position(|(waiting, _)| *waiting == job) {
            self.waiting.remove(position);
            let held = self.held.remove(&job);
            self.release(held.and_then(|held| held.conn));
            return true;
        }
        if self.spec.cancel != Cancel::All {
            return false;
        }
        let Some(running) = self.held.get_mut(&job).filter(|r| !r.cancelled) else { return false };
        running.cancelled = true;
        let conn = running.conn;
        self.release(conn);
        self.in_service -= 1;
        self.fill_slots();
        true
    }

    /// Returns when to call [`Server::poll`] and [`Server::closed`] next; `None` if nothing is due.
    pub fn next_at(&self) -> Option<Micros> {
        if !self.done.is_empty() || !self.closed.is_empty() {
            return Some(self.now);
        }
        let idle_timeout = if self.drains { Some(0) } else { Some(self.spec.idle).filter(|idle| *idle > 0) };
        let close_at = idle_timeout
            .and_then(|idle_timeout| Some(self.idle.first()?.0 + idle_timeout))
            .map(|at| at.max(self.now));
        match (self.next_work_at(), close_at) {
            (Some(work_at), Some(close_at)) => Some(work_at.min(close_at)),
            (work_at, close_at) => work_at.or(close_at),
        }
    }

    /// Returns when the state of the requests in service next changes: a completion, a pause or a rate step.
    fn next_work_at(&self) -> Option<Micros> {
        if self.faults.hangs || self.in_service == 0 {
            return None;
        }
        if self.now < self.paused_until {
            return Some(self.paused_until);
        }
        let rate = self.rate();
        let due = self
            .running
            .peek()
            .map(|Reverse((at, _))| (*at as f64 / TICKS_PER_US - self.attained).max(0.0))?;
        let mut at = self.now + (due / rate).ceil().max(1.0) as Micros;
        if self.pauses().is_some() {
            at = at.min(self.next_pause.max(self.now + 1));
        }
        // While capacity rises, the rate at the beginning of a step holds for the whole step.
        Some(if self.warmth(self.now) < 1.0 { at.min(self.now + WARM_UP_STEP) } else { at })
    }

    /// Returns the next request that has been answered by now, or was lost when the server collapsed.
    pub fn poll(&mut self, now: Micros) -> Option<Completion> {
        self.advance(now);
        self.done.pop_front()
    }

    /// Handles a health probe, which costs [`Spec::probe_work`]. Returns `None`, meaning no answer, while the
    /// server hangs, pauses or has collapsed.
    pub fn probe(&mut self, now: Micros) -> Option<Load> {
        self.advance(now);
        if self.collapsed || self.faults.hangs || now < self.paused_until {
            return None;
        }
        self.add_cold_work(self.spec.probe_work);
        // All requests in service share the cost of the probe evenly.
        self.attained -= self.spec.probe_work / (self.in_service.max(1) as f64);
        Some(self.load(now))
    }

    /// Returns the load report published now: refreshed, delayed and noisy as the [`Spec`] says. All values
    /// are 0 until the first report is published.
    pub fn load(&mut self, now: Micros) -> Load {
        if self.reports.back().is_none_or(|(at, _)| now >= at + self.spec.report_every) {
            let busy = (self.in_service as f64 / f64::from(self.spec.cores.max(1))).min(1.0);
            self.busy += 0.5 * (busy - self.busy);
            let truth = [self.held() as f64, self.waiting.len() as f64, self.busy, self.latency / 1e3];
            let noise = self.spec.report_noise;
            let [rif, q, busy, lat_ms] = truth.map(|value| match noise > 0.0 {
                true => {
                    let error: f64 = StandardNormal.sample(&mut self.rng);
                    (value * (1.0 + noise * error)).max(0.0)
                }
                false => value,
            });
            self.reports.push_back((now, Load { rif, q, busy: busy.min(1.0), lat_ms }));
        }
        while self.reports.get(1).is_some_and(|(at, _)| at + self.spec.report_late <= now) {
            self.reports.pop_front();
        }
        let published = self.reports.front().filter(|(at, _)| at + self.spec.report_late <= now);
        published.map_or(Load::default(), |(_, load)| *load)
    }

    /// Records the use of a key. Returns true if it was already used within [`Spec::key_span`].
    fn touch_key(&mut self, key: u64) -> bool {
        if self.spec.key_gain <= 0.0 {
            return false;
        }
        let old = self.now.saturating_sub(self.spec.key_span);
        let hit = self.keys.insert(key, self.now).is_some_and(|at| at >= old);
        self.key_order.push_back((self.now, key));
        while self.keys.len() > self.spec.keys || self.key_order.front().is_some_and(|(at, _)| *at < old) {
            let Some((at, key)) = self.key_order.pop_front() else { break };
            if self.keys.get(&key) == Some(&at) {
                self.keys.remove(&key);
            }
        }
        hit
    }

    /// Counts work that arrives while the server is cold, in microseconds. Returns true if the server
    /// collapses: it has received more than [`Spec::fall_multiple`] times its present capacity within
    /// [`Spec::fall_span`].
    fn add_cold_work(&mut self, work: f64) -> bool {
        let warmth = self.warmth(self.now);
        if warmth >= 1.0 {
            return false;
        }
        self.cold_work.push_back((self.now, work));
        self.cold_work_sum += work;
        let from = self.now.saturating_sub(self.spec.fall_span);
        while self.cold_work.front().is_some_and(|(at, _)| *at < from) {
            self.cold_work_sum -= self.cold_work.pop_front().map_or(0.0, |(_, work)| work);
        }
        let budget = self.spec.fall_multiple * self.spec.capacity() * warmth * self.spec.fall_span as f64;
        if self.cold_work_sum <= budget {
            return false;
        }
        self.collapsed = true;
        self.closed.extend(std::mem::take(&mut self.conns).into_keys());
        self.idle.clear();
        self.waiting.clear();
        self.running.clear();
        self.in_service = 0;
        let lost = std::mem::take(&mut self.held);
        self.done.extend(
            lost.into_iter().filter(|(_, r)| !r.cancelled).map(|(job, _)| Completion { job, good: false }),
        );
        true
    }

    /// Puts a request into service.
    fn start_service(&mut self, job: Job, work: f64) {
        self.in_service += 1;
        if let Some(running) = self.held.get_mut(&job) {
            running.since = self.now;
        }
        self.running.push(Reverse((((self.attained + work.max(1.0)) * TICKS_PER_US) as u64, job)));
    }

    /// Puts queued requests into service while slots are free.
    fn fill_slots(&mut self) {
        while self.in_service < self.spec.slots.max(1) as usize {
            let Some((job, work)) = self.waiting.pop_front() else { break };
            self.start_service(job, work);
        }
    }

    /// Returns the service that each request in service receives per microsecond of time. Efficiency falls
    /// once more requests are held than [`Spec::knee`].
    fn rate(&self) -> f64 {
        let overload = (self.held() as f64 / self.spec.knee.max(1.0) - 1.0).max(0.0);
        let efficiency = 1.0 / (1.0 + self.spec.thrash * overload);
        let share = (f64::from(self.spec.cores) / self.in_service.max(1) as f64).min(1.0);
        let speed = self.spec.speed / (1.0 + self.faults.slower);
        (speed * self.warmth(self.now) * efficiency * share).max(1e-9)
    }

    /// Advances the model to `now`.
    fn advance(&mut self, now: Micros) {
        while self.now < now {
            if self.faults.hangs || self.collapsed || self.in_service == 0 && self.pauses().is_none() {
                self.now = now;
                return;
            }
            if self.now < self.paused_until {
                self.now = now.min(self.paused_until);
                continue;
            }
            if let Some((every, pause)) = self.pauses().filter(|_| self.now >= self.next_pause) {
                self.paused_until = self.now + pause;
                let jitter = self.rng.random_range(0.8..1.2);
                self.next_pause = self.paused_until + (every as f64 * jitter) as Micros;
                continue;
            }
            let mut until = self.next_work_at().unwrap_or(now).clamp(self.now + 1, now);
            if self.pauses().is_some() {
                until = until.min(self.next_pause.max(self.now + 1));
            }
            let rate = self.rate();
            self.attained += rate * (until - self.now) as f64;
            self.now = until;
            self.complete_due();
        }
    }

    /// Completes the requests whose service is done, and refills their slots.
    fn complete_due(&mut self) {
        while let Some(Reverse((at, job))) = self.running.peek().copied() {
            if at as f64 / TICKS_PER_US > self.attained {
                break;
            }
            self.running.pop();
            let Some(running) = self.held.remove(&job) else { continue };
            if !running.cancelled {
                self.release(running.conn);
                self.answered += 1;
                self.in_service -= 1;
                self.latency += 0.2 * ((self.now - running.since) as f64 - self.latency);
                self.done.push_back(Completion { job, good: true });
            }
            self.fill_slots();
        }
    }
}
