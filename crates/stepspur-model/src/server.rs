//! A server: cores, slots, a waiting room, a cold start, pauses, and a limit beyond which it falls over.
//!
//! Requests in work share the cores evenly; those that find no slot wait in order; those that find no room are
//! turned away. Work is told in microseconds of a core of speed 1. Capacity after a start rises evenly from
//! [`Spec::cold_from`] to the full over [`Spec::cold`], or with every request that it answers.
//!
//! The driver calls [`Server::connect`], [`Server::offer`], [`Server::cancel`] and [`Server::drain`] as things
//! happen, and [`Server::poll`] and [`Server::closed`] when [`Server::next_at`] says so. Time never goes back.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, StandardNormal};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// What a cancel does to a request in hand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum Cancel {
    /// Nothing: it is worked off.
    None,
    /// It goes if it still waits.
    #[default]
    Queued,
    /// It goes, in work or not.
    All,
}

/// What warms a server up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum WarmBy {
    /// Time since its start: [`Spec::cold`].
    #[default]
    Time,
    /// Requests answered since its start: [`Spec::cold_requests`].
    Requests,
}

/// What a server that drains does with what still comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum Draining {
    /// It closes idle connections and serves whatever comes until it is stopped.
    #[default]
    Serves,
    /// It closes idle connections, accepts none, and turns away what comes on those that are left.
    Refuses,
}

/// A server's make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Cores.
    pub cores: u32,
    /// Work that a core does in a second, in seconds.
    pub speed: f64,
    /// Requests in work at once; above `cores` they share.
    pub slots: u32,
    /// Requests that may wait.
    pub room: u32,
    /// Requests held beyond which it becomes less efficient.
    pub knee: f64,
    /// How much: at `knee` times two it does 1 / (1 + `thrash`) of its work.
    pub thrash: f64,
    /// Share of its capacity at a cold start.
    pub cold_from: f64,
    /// What warms it up.
    pub warm_by: WarmBy,
    /// Time until it is warm, microseconds.
    pub cold: Micros,
    /// Requests until it is warm, by [`WarmBy::Requests`].
    pub cold_requests: u64,
    /// It falls over when, while cold, work for more than this many times its present capacity comes...
    pub fall_multiple: f64,
    /// ... within this span, microseconds.
    pub fall_span: Micros,
    /// What a cancel does.
    pub cancel: Cancel,
    /// Share of requests that fail at once for no reason.
    pub error_rate: f64,
    /// Connections that it accepts; 0: as many as come.
    pub connections: usize,
    /// Work of a new connection, microseconds; done with its first request.
    pub handshake_work: f64,
    /// A connection without a request for so long is closed, microseconds; 0: never.
    pub idle: Micros,
    /// What it does while it drains.
    pub draining: Draining,
    /// It stands still every so often, microseconds, by itself ...
    pub pause_every: Micros,
    /// ... for so long, microseconds; 0: never.
    pub pause: Micros,
    /// Work of a probe, microseconds.
    pub probe_work: f64,
    /// Load reports are refreshed so often, microseconds.
    pub report_every: Micros,
    /// A load report is shown so much later, microseconds.
    pub report_late: Micros,
    /// Load reports are off by this standard deviation, as a share of the truth.
    pub report_noise: f64,
    /// Keys met within this span, microseconds, ...
    pub key_span: Micros,
    /// ... need this share less work; 0: none.
    pub key_gain: f64,
    /// Keys remembered at most.
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
    /// Work that it does in a second when warm and not crowded, in seconds.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }
}

/// A request, by a number of the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Job(pub u64);

/// A connection, by a number of the server's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// What is asked of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ask {
    /// Its work, microseconds of a core of speed 1.
    pub work: f64,
    /// A key that the server may have met lately.
    pub key: Option<u64>,
    /// The connection on which it comes, if connections are played.
    pub conn: Option<Conn>,
}

impl Ask {
    /// Work alone, on no connection in particular.
    pub fn of(work: f64) -> Self {
        Self { work, ..Self::default() }
    }
}

/// What became of an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in hand; [`Server::poll`] tells its end.
    Taken,
    /// No room: it never ran.
    Full,
    /// It failed at once.
    Failed,
    /// The server has fallen over, with all that it held.
    Fallen,
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The request.
    pub job: Job,
    /// True: answered; false: lost as the server fell over.
    pub good: bool,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in hand.
    pub rif: f64,
    /// Requests waiting.
    pub q: f64,
    /// Share of the cores that is busy.
    pub busy: f64,
    /// Recent service time without waiting, milliseconds.
    pub lat_ms: f64,
}

/// What goes wrong with a server now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ails {
    /// It takes requests and works on none.
    pub hangs: bool,
    /// Share of requests that fail at once.
    pub fails: f64,
    /// It works this much slower: 0.5 takes one and a half times as long.
    pub slower: f64,
    /// Pauses: every so often, for so long, microseconds.
    pub pauses: Option<(Micros, Micros)>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    since: Micros,
    conn: Option<Conn>,
    /// Holding no slot any more: cancelled.
    gone: bool,
}

/// A connection that stands.
#[derive(Clone, Copy, Debug)]
struct Open {
    /// No request has come on it yet.
    new: bool,
    /// Requests in hand on it.
    held: usize,
    /// Since when it has had none.
    idle: Micros,
}

/// A server in given time.
#[derive(Debug)]
pub struct Server {
    spec: Spec,
    rng: ChaCha8Rng,
    now: Micros,
    /// Its last start; 0: long ago.
    started: Micros,
    /// Work that each request in work has been given since the beginning, microseconds.
    given: f64,
    /// Requests in work by the `given` at which they are done.
    running: BinaryHeap<Reverse<(u64, Job)>>,
    held: BTreeMap<Job, Running>,
    in_work: usize,
    waiting: VecDeque<(Job, f64)>,
    ails: Ails,
    paused_until: Micros,
    next_pause: Micros,
    /// Work that came within the span of the fall, while cold.
    pushed: VecDeque<(Micros, f64)>,
    pushed_sum: f64,
    fallen: bool,
    keys: BTreeMap<u64, Micros>,
    key_order: VecDeque<(Micros, u64)>,
    done: VecDeque<Done>,
    conns: BTreeMap<Conn, Open>,
    /// Connections with no request, by the time since when.
    idle: BTreeSet<(Micros, Conn)>,
    next_conn: u64,
    closed: VecDeque<Conn>,
    drains: bool,
    answered: u64,
    /// Load reports by the time at which they were made, the one shown first.
    reports: VecDeque<(Micros, Load)>,
    latency: f64,
    busy: f64,
}

/// Capacity that rises is reckoned anew so often, microseconds.
const STEP: Micros = 50_000;
/// The `given` scale of the heap: a hundredth of a microsecond.
const FINE: f64 = 100.0;

impl Server {
    /// A server that is warm, or has started just now.
    pub fn new(spec: Spec, seed: u64, now: Micros, warm: bool) -> Self {
        let mut server = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            started: if warm { 0 } else { now },
            given: 0.0,
            running: BinaryHeap::new(),
            held: BTreeMap::new(),
            in_work: 0,
            waiting: VecDeque::new(),
            ails: Ails::default(),
            paused_until: 0,
            next_pause: 0,
            pushed: VecDeque::new(),
            pushed_sum: 0.0,
            fallen: false,
            keys: BTreeMap::new(),
            key_order: VecDeque::new(),
            done: VecDeque::new(),
            conns: BTreeMap::new(),
            idle: BTreeSet::new(),
            // Not the numbers of an earlier life at the same address.
            next_conn: now,
            closed: VecDeque::new(),
            drains: false,
            answered: 0,
            reports: VecDeque::new(),
            latency: 0.0,
            busy: 0.0,
            spec,
        };
        server.time_pauses(now);
        server
    }

    fn pauses(&self) -> Option<(Micros, Micros)> {
        let own = (self.spec.pause > 0).then_some((self.spec.pause_every, self.spec.pause));
        self.ails.pauses.or(own)
    }

    fn time_pauses(&mut self, now: Micros) {
        self.next_pause = match self.pauses() {
            Some((every, _)) => now + self.rng.random_range(0..every.max(1)),
            None => 0,
        };
    }

    /// Its make.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Its last start; 0: long ago.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// True: it fell over and stays down.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Requests in hand.
    pub fn held(&self) -> usize {
        self.in_work + self.waiting.len()
    }

    /// The share of its capacity that it has.
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

    /// Sets what goes wrong from now on.
    pub fn ail(&mut self, now: Micros, ails: Ails) {
        self.advance(now);
        let other = ails.pauses != self.ails.pauses;
        self.ails = ails;
        if other {
            self.time_pauses(now);
        }
    }

    /// A connection is dialled; none if the server has as many as it accepts, drains, or has fallen over.
    pub fn connect(&mut self, now: Micros) -> Option<Conn> {
        self.advance(now);
        let full = self.spec.connections > 0 && self.conns.len() >= self.spec.connections;
        let refuses = self.drains && self.spec.draining == Draining::Refuses;
        if full || refuses || self.fallen {
            return None;
        }
        self.next_conn += 1;
        let conn = Conn(self.next_conn);
        self.conns.insert(conn, Open { new: true, held: 0, idle: now });
        // While it drains, one who dials is served once before the connection is closed.
        if !self.drains {
            self.idle.insert((now, conn));
        }
        Some(conn)
    }

    /// The other side has closed a connection. Requests on it go on until they are cancelled.
    pub fn disconnect(&mut self, now: Micros, conn: Conn) {
        self.advance(now);
        self.close(conn);
    }

    /// True: no request has come on it yet.
    pub fn is_new(&self, conn: Conn) -> bool {
        self.conns.get(&conn).is_some_and(|open| open.new)
    }

    /// True: the connection stands.
    pub fn is_open(&self, conn: Conn) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Connections that stand.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// The next connection that the server has closed by now: idle for too long, or with nothing to do while it
    /// drains.
    pub fn closed(&mut self, now: Micros) -> Option<Conn> {
        self.advance(now);
        if self.spec.idle > 0 || self.drains {
            let patience = if self.drains { 0 } else { self.spec.idle };
            while let Some((since, conn)) = self.idle.first().copied().filter(|(at, _)| at + patience <= now)
            {
                self.idle.remove(&(since, conn));
                self.conns.remove(&conn);
                self.closed.push_back(conn);
            }
        }
        self.closed.pop_front()
    }

    /// It drains from now on: what it holds is worked off.
    pub fn drain(&mut self, now: Micros) {
        self.advance(now);
        self.drains = true;
    }

    /// True: it drains and holds nothing.
    pub fn drained(&self) -> bool {
        self.drains && self.held.is_empty()
    }

    fn close(&mut self, conn: Conn) {
        if let Some(open) = self.conns.remove(&conn) {
            self.idle.remove(&(open.idle, conn));
        }
    }

    fn occupy(&mut self, conn: Conn) {
        if let Some(open) = self.conns.get_mut(&conn) {
            if open.held == 0 {
                self.idle.remove(&(open.idle, conn));
            }
            open.held += 1;
        }
    }

    fn release(&mut self, conn: Option<Conn>) {
        if let Some((conn, open)) = conn.and_then(|conn| Some((conn, self.conns.get_mut(&conn)?))) {
            open.held -= 1;
            if open.held == 0 {
                open.idle = self.now;
                self.idle.insert((self.now, conn));
            }
        }
    }

    /// A request comes.
    pub fn offer(&mut self, now: Micros, job: Job, ask: Ask) -> Offer {
        self.advance(now);
        if self.fallen {
            return Offer::Fallen;
        }
        let gain = if ask.key.is_some_and(|key| self.knows(key)) { self.spec.key_gain } else { 0.0 };
        let work = ask.work * (1.0 - gain) + self.opening(ask.conn);
        if self.push(work) {
            return Offer::Fallen;
        }
        let fails = self.spec.error_rate + self.ails.fails;
        if fails > 0.0 && self.rng.random_bool(fails.min(1.0)) {
            return Offer::Failed;
        }
        let full = self.in_work >= self.spec.slots.max(1) as usize;
        let refuses = self.drains && self.spec.draining == Draining::Refuses;
        if refuses || full && self.waiting.len() >= self.spec.room as usize {
            return Offer::Full;
        }
        self.held.insert(job, Running { since: now, conn: ask.conn, gone: false });
        if let Some(conn) = ask.conn {
            self.occupy(conn);
        }
        if full {
            self.waiting.push_back((job, work));
        } else {
            self.begin(job, work);
        }
        Offer::Taken
    }

    /// What the first request on a connection costs beside its own work.
    fn opening(&mut self, conn: Option<Conn>) -> f64 {
        let open = conn.and_then(|conn| self.conns.get_mut(&conn));
        let new = open.is_some_and(|open| std::mem::replace(&mut open.new, false));
        if new { self.spec.handshake_work } else { 0.0 }
    }

    /// Whoever sent it waits no longer; true: it has gone, and nothing more comes of it.
    pub fn cancel(&mut self, now: Micros, job: Job) -> bool {
        self.advance(now);
        if self.spec.cancel == Cancel::None {
            return false;
        }
        if let Some(place) = self.waiting.iter().position(|(waiting, _)| *waiting == job) {
            self.waiting.remove(place);
            let held = self.held.remove(&job);
            self.release(held.and_then(|held| held.conn));
            return true;
        }
        if self.spec.cancel != Cancel::All {
            return false;
        }
        let Some(running) = self.held.get_mut(&job).filter(|r| !r.gone) else { return false };
        running.gone = true;
        let conn = running.conn;
        self.release(conn);
        self.in_work -= 1;
        self.fill();
        true
    }

    /// When [`Server::poll`] next has something to tell.
    pub fn next_at(&self) -> Option<Micros> {
        if !self.done.is_empty() || !self.closed.is_empty() {
            return Some(self.now);
        }
        let patience = if self.drains { Some(0) } else { Some(self.spec.idle).filter(|idle| *idle > 0) };
        let closes =
            patience.and_then(|patience| Some(self.idle.first()?.0 + patience)).map(|at| at.max(self.now));
        match (self.works_at(), closes) {
            (Some(works), Some(closes)) => Some(works.min(closes)),
            (works, closes) => works.or(closes),
        }
    }

    /// When the work in hand next changes.
    fn works_at(&self) -> Option<Micros> {
        if self.ails.hangs || self.in_work == 0 {
            return None;
        }
        if self.now < self.paused_until {
            return Some(self.paused_until);
        }
        let rate = self.rate();
        let due = self.running.peek().map(|Reverse((at, _))| (*at as f64 / FINE - self.given).max(0.0))?;
        let mut at = self.now + (due / rate).ceil().max(1.0) as Micros;
        if self.pauses().is_some() {
            at = at.min(self.next_pause.max(self.now + 1));
        }
        // Rates are those at a step's beginning while capacity rises.
        Some(if self.warmth(self.now) < 1.0 { at.min(self.now + STEP) } else { at })
    }

    /// The next request that has ended by now.
    pub fn poll(&mut self, now: Micros) -> Option<Done> {
        self.advance(now);
        self.done.pop_front()
    }

    /// A probe: it costs work, and is answered unless the server hangs or has fallen.
    pub fn probe(&mut self, now: Micros) -> Option<Load> {
        self.advance(now);
        if self.fallen || self.ails.hangs || now < self.paused_until {
            return None;
        }
        self.push(self.spec.probe_work);
        // The work of a probe is taken from all in work alike.
        self.given -= self.spec.probe_work / (self.in_work.max(1) as f64);
        Some(self.load(now))
    }

    /// The load report that shows now: refreshed now and then, told late and with an error, as its make says.
    pub fn load(&mut self, now: Micros) -> Load {
        if self.reports.back().is_none_or(|(at, _)| now >= at + self.spec.report_every) {
            let busy = (self.in_work as f64 / f64::from(self.spec.cores.max(1))).min(1.0);
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
        let shown = self.reports.front().filter(|(at, _)| at + self.spec.report_late <= now);
        shown.map_or(Load::default(), |(_, load)| *load)
    }

    fn knows(&mut self, key: u64) -> bool {
        if self.spec.key_gain <= 0.0 {
            return false;
        }
        let old = self.now.saturating_sub(self.spec.key_span);
        let met = self.keys.insert(key, self.now).is_some_and(|at| at >= old);
        self.key_order.push_back((self.now, key));
        while self.keys.len() > self.spec.keys || self.key_order.front().is_some_and(|(at, _)| *at < old) {
            let Some((at, key)) = self.key_order.pop_front() else { break };
            if self.keys.get(&key) == Some(&at) {
                self.keys.remove(&key);
            }
        }
        met
    }

    /// Counts work that comes while cold; true if it falls over by it.
    fn push(&mut self, work: f64) -> bool {
        let warmth = self.warmth(self.now);
        if warmth >= 1.0 {
            return false;
        }
        self.pushed.push_back((self.now, work));
        self.pushed_sum += work;
        let from = self.now.saturating_sub(self.spec.fall_span);
        while self.pushed.front().is_some_and(|(at, _)| *at < from) {
            self.pushed_sum -= self.pushed.pop_front().map_or(0.0, |(_, work)| work);
        }
        let budget = self.spec.fall_multiple * self.spec.capacity() * warmth * self.spec.fall_span as f64;
        if self.pushed_sum <= budget {
            return false;
        }
        self.fallen = true;
        self.closed.extend(std::mem::take(&mut self.conns).into_keys());
        self.idle.clear();
        self.waiting.clear();
        self.running.clear();
        self.in_work = 0;
        let lost = std::mem::take(&mut self.held);
        self.done.extend(lost.into_iter().filter(|(_, r)| !r.gone).map(|(job, _)| Done { job, good: false }));
        true
    }

    fn begin(&mut self, job: Job, work: f64) {
        self.in_work += 1;
        if let Some(running) = self.held.get_mut(&job) {
            running.since = self.now;
        }
        self.running.push(Reverse((((self.given + work.max(1.0)) * FINE) as u64, job)));
    }

    fn fill(&mut self) {
        while self.in_work < self.spec.slots.max(1) as usize {
            let Some((job, work)) = self.waiting.pop_front() else { break };
            self.begin(job, work);
        }
    }

    /// Work that each request in work is given in a microsecond.
    fn rate(&self) -> f64 {
        let crowd = (self.held() as f64 / self.spec.knee.max(1.0) - 1.0).max(0.0);
        let efficiency = 1.0 / (1.0 + self.spec.thrash * crowd);
        let share = (f64::from(self.spec.cores) / self.in_work.max(1) as f64).min(1.0);
        let speed = self.spec.speed / (1.0 + self.ails.slower);
        (speed * self.warmth(self.now) * efficiency * share).max(1e-9)
    }

    /// Plays the time up to `now`.
    fn advance(&mut self, now: Micros) {
        while self.now < now {
            if self.ails.hangs || self.fallen || self.in_work == 0 && self.pauses().is_none() {
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
            let mut until = self.works_at().unwrap_or(now).clamp(self.now + 1, now);
            if self.pauses().is_some() {
                until = until.min(self.next_pause.max(self.now + 1));
            }
            let rate = self.rate();
            self.given += rate * (until - self.now) as f64;
            self.now = until;
            self.finish();
        }
    }

    fn finish(&mut self) {
        while let Some(Reverse((at, job))) = self.running.peek().copied() {
            if at as f64 / FINE > self.given {
                break;
            }
            self.running.pop();
            let Some(running) = self.held.remove(&job) else { continue };
            if !running.gone {
                self.release(running.conn);
                self.answered += 1;
                self.in_work -= 1;
                self.latency += 0.2 * ((self.now - running.since) as f64 - self.latency);
                self.done.push_back(Done { job, good: true });
            }
            self.fill();
        }
    }
}
