//! The sans-IO engine: what happened goes in with its time, orders come out.
//!
//! It has no clock, no socket and no chance of its own: the same inputs at the same times give the same outputs.
//! All decisions on tables, weights, levels, tries again and withdrawals are [`stepspur::Policy`]'s; the engine
//! feeds it in batches, keeps numbers and tables, paces what leaves, and turns away what makes no sense.
//!
//! Use: [`Engine::handle`] for all that happens, [`Engine::poll`] at [`Engine::next_at`] and after handling, and
//! act on every [`Output`].

mod channel;
mod doubt;
mod ids;
mod intake;
mod marks;
mod order;
mod probes;
mod tables;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Serialize;
use stepspur::Policy;
use stepspur::interface::Settings;
use stepspur::interface::{
    Action, ClassId, Event, ListEntry, ListHow, ListState, Micros, ProbeOutcome, ProxyId, ServerId, ZoneId,
};
use stepspur_proto::{FromConductor, FromProxy, VERSION, address_of, frame, from_conductor, from_proxy, v1};

use crate::config::{AdmitConfig, Config, micros};
use channel::{Channel, Message};
use doubt::{Doubter, Taken};
use ids::ProxyNumbers;
use intake::{Counts, Intake, Key};
use marks::Marks;
use probes::Probes;
use tables::Tables;

pub use ids::{ServerIds, named_id};
pub use order::{Admitted, Dialect, Farewell, Framed, Level, Order, Stamp};
pub use probes::ProbeTarget;

/// A proxy's stream, by a number that is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct StreamId(pub u64);

/// A server as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// Its name, where lists name servers: then that is what it is known by, and its address may change.
    pub name: Option<String>,
    /// Its address.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its state.
    pub state: ListState,
    /// Its weight; 0: none is listed.
    pub weight: f64,
    /// Its last start, microseconds since 1970; 0: long ago.
    pub started: Micros,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// News of the list of servers.
    List {
        /// How it builds on the list before.
        how: ListHow,
        /// The servers that it names.
        entries: Vec<NodeEntry>,
    },
    /// What the machine's clock shows. Starts are told by such clocks, and it may have been set since the engine's
    /// own time, which only goes forward, was taken from it.
    Wall {
        /// Microseconds since 1970.
        unix: Micros,
    },
    /// The result of a probe. It counts only while the list has its server at that address and with that start.
    Probed {
        /// What it was sent to, as ordered.
        target: ProbeTarget,
        /// The outcome.
        outcome: ProbeOutcome,
        /// Time since it was sent.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// A frame came on a stream; its first must be a `Hello`.
    Frame {
        /// The stream.
        stream: StreamId,
        /// The frame.
        frame: FromProxy,
    },
    /// A proxy whose protocol gives it its number has joined: its stream stands.
    Joined {
        /// The stream.
        stream: StreamId,
        /// The proxy's number, below the fleet's.
        proxy: ProxyId,
        /// Its zone, one of the fleet's.
        zone: ZoneId,
        /// Requests a second that it usually gets.
        rate: f64,
        /// True: it holds only its standing tables.
        fresh: bool,
    },
    /// A proxy has applied what carried this mark.
    Applied {
        /// Its stream.
        stream: StreamId,
        /// The mark.
        mark: u32,
        /// From the order to its taking effect, if the protocol tells it.
        latency: Option<Micros>,
    },
    /// What the joined proxies of a zone met at a server, summed elsewhere.
    ZoneReport {
        /// The server.
        server: ServerId,
        /// The zone.
        zone: ZoneId,
        /// Time over which it was counted.
        period: Micros,
        /// Tries, and those of them with no good answer.
        tries: [u32; 2],
        /// Mean time of the good ones.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// Requests of a class that came to a proxy, summed elsewhere.
    Usage {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Time over which it was counted.
        period: Micros,
        /// Requests that came, and those let in that got no answer.
        requests: [u32; 2],
    },
    /// A message of a joined caller made no sense and was passed over.
    Spoilt {
        /// Who sent it.
        by: String,
        /// What was wrong.
        what: String,
    },
    /// A stream has ended.
    Ended {
        /// The stream.
        stream: StreamId,
    },
    /// A stream must end: what came on it was no frame, or nothing came, or nothing was taken.
    Broken {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// In words.
        detail: String,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write a frame to a stream.
    Send {
        /// The stream.
        stream: StreamId,
        /// The whole frame.
        frame: Bytes,
    },
    /// End a stream after a last frame; no `Ended` is needed for it.
    Close {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// The last frame.
        frame: Bytes,
    },
    /// Probe a server.
    Probe {
        /// What to send it to.
        target: ProbeTarget,
    },
    /// Ask the source for changes from now on.
    Track,
    /// Ask the source for the whole list once.
    Lookup,
    /// A line for the log.
    Note(Note),
}

/// What an operator orders. It is no decision of the module's: the module is told what follows from it.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// A server is held to be draining, whatever the list says, until it is lifted.
    Drain {
        /// The server.
        server: SocketAddr,
        /// False: lifted.
        on: bool,
    },
    /// A server is held to be gone, whatever the list says, until it is lifted.
    Withdraw {
        /// The server.
        server: SocketAddr,
        /// False: lifted.
        on: bool,
    },
    /// No more than this share of a class is let in, whatever the module orders; 1 lifts it.
    Level {
        /// The class's name.
        class: String,
        /// The share.
        share: f64,
    },
}

/// Why an operation cannot be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// No list has named the server.
    #[error("no list has named this server")]
    UnknownServer,
    /// The class is none of the fleet's.
    #[error("no class of this name")]
    UnknownClass,
    /// Not a share.
    #[error("a share lies between 0 and 1")]
    Share,
    /// Levels of this fleet are rates, or not heeded.
    #[error("levels of this fleet are no shares")]
    NoShares,
}

/// What the operators may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The decision module's own line.
    Decision(String),
    /// A proxy joined.
    Joined {
        /// Its name.
        proxy: String,
        /// Its stream.
        stream: StreamId,
    },
    /// A proxy's stream ended.
    Left {
        /// Its name.
        proxy: String,
        /// Its stream.
        stream: StreamId,
    },
    /// A stream was refused or cut off.
    Refused {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// In words.
        detail: String,
    },
    /// Part of a report made no sense and was passed over.
    BadReport {
        /// The proxy.
        proxy: String,
        /// What was wrong.
        what: String,
    },
    /// Part of an entry of a list made no sense; what was known before stands, if anything.
    BadEntry {
        /// The server: its name, or its address.
        server: String,
        /// What was wrong.
        what: String,
    },
    /// A whole list lacked too many servers and is not believed yet.
    DoubtedList {
        /// Ready servers that it lacks.
        lacking: usize,
        /// Servers that it names.
        named: usize,
    },
    /// The source failed; the old list stands.
    ListFailed,
}

impl Note {
    /// True: it tells of input that made no sense, of which there may be any amount.
    pub fn is_about_nonsense(&self) -> bool {
        matches!(self, Note::BadReport { .. } | Note::BadEntry { .. } | Note::Refused { .. })
    }
}

/// A proxy whose stream stands.
#[derive(Debug)]
struct Session {
    stream: StreamId,
    /// When messages were written to it, within the window.
    written: VecDeque<Micros>,
}

/// Counts since the start, for the status page and the tests.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Stats {
    /// The epoch.
    pub epoch: u64,
    /// The newest order.
    pub sequence: u64,
    /// Proxies joined now.
    pub joined: usize,
    /// Of them, those not bound to a table yet.
    pub unbound: usize,
    /// Names that have a number.
    pub proxies_known: usize,
    /// Servers listed ready, draining and in all.
    pub servers: [usize; 3],
    /// Tables with users.
    pub tables: usize,
    /// Servers withdrawn from proxies that wait for a table.
    pub withdrawn: usize,
    /// Lines that wait in the channel, and the most that ever did.
    pub channel: [f64; 2],
    /// The most messages written to one proxy within the window.
    pub messages_most: usize,
    /// Marks that wait for answers.
    pub marks: usize,
    /// Lines of reports that wait.
    pub reports_waiting: usize,
    /// Orders, messages, lines sent.
    pub orders: u64,
    /// Messages sent.
    pub messages: u64,
    /// Parts of reports and lists that made no sense.
    pub nonsense: u64,
    /// Streams refused or cut off.
    pub refused: u64,
    /// Events that the decisions were given.
    pub events: u64,
}

/// One conductor's engine.
pub struct Engine {
    config: Config,
    epoch: u64,
    sequence: u64,
    policy: Policy,
    batch: Vec<Event>,
    /// When the newest batch was decided on.
    decided_at: Micros,
    alarms: BTreeSet<(Micros, u64)>,
    ids: ServerIds,
    numbers: ProxyNumbers,
    by_stream: BTreeMap<StreamId, ProxyId>,
    sessions: BTreeMap<ProxyId, Session>,
    /// Streams that were closed and may not have ended yet: what still comes on them counts for nothing.
    closed: BTreeSet<StreamId>,
    zone_of: BTreeMap<ProxyId, ZoneId>,
    servers: BTreeMap<ServerId, Listed>,
    /// States that operators hold servers to be in.
    held: BTreeMap<ServerId, ListState>,
    doubter: Doubter,
    probes: Probes,
    tables: Tables,
    dialect: Box<dyn Dialect>,
    channel: Channel,
    intake: Intake,
    marks: Marks,
    swept_at: Micros,
    /// How far the engine's time is ahead of the machine's clock.
    clock_off: i64,
    turned_at: Micros,
    forgives_until: Micros,
    out: VecDeque<Output>,
    stats: Stats,
}

/// A server of the list.
#[derive(Clone, Debug)]
struct Listed {
    entry: NodeEntry,
    /// Its last start by the engine's time, or when that was first told if it lay ahead.
    born: Micros,
    ahead: bool,
    gone_at: Option<Micros>,
}

impl Listed {
    /// True: the same start, or none is told.
    fn is_same_start(&self, started: Micros) -> bool {
        started == 0 || started.abs_diff(self.entry.started) < SAME_START
    }

    /// True: a start before the one that is known. One that lay ahead was wrong, and may be corrected.
    fn is_older(&self, started: Micros) -> bool {
        started < self.entry.started && !self.ahead && !self.is_same_start(started)
    }
}

/// Weights that lists may tell, besides 0 for none.
const WEIGHTS: std::ops::RangeInclusive<f64> = 1e-3..=1e6;
/// Starts that differ by less are one: lists reckon them from clocks that differ.
const SAME_START: Micros = 1_000_000;
/// A report's span may begin so long ago at most, and a server that is gone is forgotten after it.
const LONG_AGO: Micros = 600_000_000;
/// Bounds of one report: more entries than this are no report.
const REPORT_ENTRIES: usize = 20_000;
/// Decisions come every 250 ms at least: one that did nothing for so long stood still.
const STOOD_STILL: Micros = 1_000_000;
/// Servers that are gone are looked for so often.
const SWEEP: Micros = 10_000_000;

impl Engine {
    /// A conductor at its start: it knows no list and no proxy. `epoch` must be higher than that of any start
    /// before; `config` must have no faults.
    pub fn new(config: Config, epoch: u64, seed: u64, now: Micros) -> Self {
        let settings = config.settings();
        Self::with(config, settings, Box::new(Framed), epoch, seed, now)
    }

    /// One whose orders leave in this dialect, and whose decisions are told these settings of the fleet.
    pub fn with(
        config: Config,
        settings: Settings,
        dialect: Box<dyn Dialect>,
        epoch: u64,
        seed: u64,
        now: Micros,
    ) -> Self {
        let numbers = ProxyNumbers::new(config.listen.proxies_max, micros(config.listen.number_rest));
        let list = Event::List { how: ListHow::Cached, entries: [].into() };
        Self {
            epoch,
            sequence: 0,
            tables: Tables::new(settings.admit, dialect.keeps_withdrawals()),
            dialect,
            policy: Policy::new(settings, seed, now),
            batch: vec![list],
            decided_at: 0,
            alarms: BTreeSet::new(),
            ids: ServerIds::default(),
            numbers,
            by_stream: BTreeMap::new(),
            sessions: BTreeMap::new(),
            closed: BTreeSet::new(),
            zone_of: BTreeMap::new(),
            servers: BTreeMap::new(),
            held: BTreeMap::new(),
            doubter: Doubter::new(config.source.doubt().clone()),
            probes: Probes::default(),
            channel: Channel::new(config.channel.lines_per_s),
            intake: Intake::new(config.reports.intake_per_s, micros(config.reports.gather), now),
            marks: Marks::default(),
            swept_at: now,
            clock_off: 0,
            turned_at: now,
            forgives_until: 0,
            out: VecDeque::new(),
            stats: Stats { epoch, ..Stats::default() },
            config,
        }
    }

    /// Takes what happened. Decisions come with the next [`Engine::poll`].
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::List { how, entries } => self.take_list(now, how, entries),
            Input::Wall { unix } => self.clock_off = now as i64 - unix as i64,
            Input::Probed { target, outcome, latency, load } => {
                self.take_outcome(target, outcome, latency, load);
            }
            Input::Frame { stream, frame } => self.take_frame(now, stream, frame),
            Input::Joined { stream, proxy, zone, rate, fresh } => {
                if !self.closed.contains(&stream) && !self.by_stream.contains_key(&stream) {
                    self.enter(now, stream, proxy, zone, rate, fresh);
                }
            }
            Input::Applied { stream, mark, latency } => {
                let proxy = self.by_stream.get(&stream).copied();
                let owed = proxy.and_then(|proxy| Some((proxy, self.marks.answered(proxy, mark, now)?)));
                match (owed, proxy) {
                    (Some((proxy, since)), _) => {
                        let latency = latency.unwrap_or(since);
                        self.batch.push(Event::Applied { proxy, mark, latency });
                    }
                    (None, Some(proxy)) => self.bad_report(proxy, "a mark that it does not owe".to_owned()),
                    (None, None) => {}
                }
            }
            Input::ZoneReport { server, zone, period, tries: [total, errors], latency, load } => {
                if self.servers.contains_key(&server) {
                    let tally = Event::Tally { server, zone, period, total, errors, latency, load };
                    self.batch.push(tally);
                } else {
                    self.stats.nonsense += 1;
                }
            }
            Input::Usage { proxy, class, period, requests: [total, errors] } => {
                if self.sessions.contains_key(&proxy) {
                    self.batch.push(Event::Traffic { proxy, class, period, total, errors });
                }
            }
            Input::Spoilt { by, what } => {
                self.stats.nonsense += 1;
                self.note(Note::BadReport { proxy: by, what });
            }
            Input::Ended { stream } => {
                self.closed.remove(&stream);
                self.leave(now, stream);
            }
            Input::Broken { stream, reason, detail } => self.cut(now, stream, reason, &detail),
        }
    }

    /// Does what is due and gives the next thing to do; call it until there is none.
    pub fn poll(&mut self, now: Micros) -> Option<Output> {
        if self.out.is_empty() {
            self.turn(now);
        }
        self.out.pop_front()
    }

    /// When [`Engine::poll`] is next due, if nothing happens before.
    pub fn next_at(&self) -> Option<Micros> {
        if !self.out.is_empty() {
            return Some(0);
        }
        let batch = (!self.batch.is_empty()).then(|| self.decided_at + micros(self.config.channel.batch));
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let mark = self.marks.oldest().map(|(at, _)| self.blamed_at(at)).filter(|at| *at < Micros::MAX);
        let doubt = self.doubter.next_at();
        [batch, alarm, mark, doubt, self.channel.next_at(), self.intake.next_at()].into_iter().flatten().min()
    }

    /// Counts, now.
    pub fn stats(&self) -> Stats {
        let count = |state| self.servers.values().filter(|s| s.entry.state == state).count();
        let depth = self.channel.depth();
        Stats {
            sequence: self.sequence,
            joined: self.sessions.len(),
            unbound: self.tables.unbound(),
            proxies_known: self.numbers.known(),
            servers: [count(ListState::Ready), count(ListState::Draining), self.servers.len()],
            tables: self.tables.all().values().filter(|t| !t.users.is_empty()).count(),
            withdrawn: self.tables.withdrawn().len(),
            channel: [depth.0, depth.1],
            marks: self.marks.len(),
            reports_waiting: self.intake.len(),
            ..self.stats.clone()
        }
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The last frame for a stream when the conductor stops.
    pub fn goodbye(&self, reason: v1::Reason, detail: &str) -> Bytes {
        self.dialect.farewell(self.stamp(), Farewell { reason, detail, retry_after: 0 })
    }

    /// Does what an operator orders.
    ///
    /// # Errors
    /// See [`OperationError`]; nothing has changed then.
    pub fn operate(&mut self, now: Micros, operation: Operation) -> Result<(), OperationError> {
        match operation {
            Operation::Drain { server, on } => self.hold(server, ListState::Draining, on),
            Operation::Withdraw { server, on } => self.hold(server, ListState::Gone, on),
            Operation::Level { class, share } => {
                let place = self.config.fleet.classes.iter().position(|c| c.name == class);
                let place = place.ok_or(OperationError::UnknownClass)?;
                if !(0.0..=1.0).contains(&share) {
                    return Err(OperationError::Share);
                }
                if self.config.fleet.admit != AdmitConfig::Share {
                    return Err(OperationError::NoShares);
                }
                let orders = self.tables.cap(ClassId(place as u8), share as f32, now);
                self.order(now, orders);
                Ok(())
            }
        }
    }

    /// Holds a server to be in a state, or believes the list again.
    fn hold(&mut self, server: SocketAddr, state: ListState, on: bool) -> Result<(), OperationError> {
        let id = self.ids.get(server).ok_or(OperationError::UnknownServer)?;
        let listed = self.servers.get(&id).ok_or(OperationError::UnknownServer)?.clone();
        if on {
            self.held.insert(id, state);
        } else if self.held.get(&id) == Some(&state) {
            self.held.remove(&id);
        }
        let entry = self.told(id, &listed);
        self.batch.push(Event::List { how: ListHow::Delta, entries: [entry].into() });
        Ok(())
    }

    fn turn(&mut self, now: Micros) {
        // One that stood still itself has answers waiting that it has not read: it blames nobody for them.
        if now > self.turned_at + STOOD_STILL {
            self.forgives_until = now.saturating_add(micros(self.config.channel.mark_timeout));
        }
        self.turned_at = now;
        while let Some((_, proxy)) = self.marks.oldest().filter(|(at, _)| now >= self.blamed_at(*at)) {
            let Some(stream) = self.sessions.get(&proxy).map(|s| s.stream) else {
                self.marks.forget(proxy);
                continue;
            };
            self.cut(now, stream, v1::Reason::Slow, "a mark stayed unanswered");
        }
        if self.doubter.ask(now) {
            self.out.push_back(Output::Lookup);
        }
        let lines = self.intake.take(now);
        self.batch.extend(lines);
        while let Some((at, token)) = self.alarms.first().copied().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, token));
            self.batch.push(Event::Alarm { token });
        }
        if !self.batch.is_empty() && now >= self.decided_at + micros(self.config.channel.batch) {
            self.decide(now);
        }
        while let Some(message) = self.channel.pop(now) {
            self.stats.messages += 1;
            if let Some(mark) = message.mark {
                self.marks.sent(message.proxy, mark, now);
            }
            self.out.push_back(Output::Send { stream: message.stream, frame: message.frame });
        }
        if now >= self.swept_at + SWEEP {
            self.swept_at = now;
            self.sweep(now);
        }
    }

    /// When a proxy is cut off whose mark left at that time.
    fn blamed_at(&self, left: Micros) -> Micros {
        left.saturating_add(micros(self.config.channel.mark_timeout)).max(self.forgives_until)
    }

    fn decide(&mut self, now: Micros) {
        self.decided_at = now;
        let batch = std::mem::take(&mut self.batch);
        self.stats.events += batch.len() as u64;
        let actions = self.policy.decide(now, &batch);
        for action in &actions {
            match action {
                Action::Wake { after, token } => _ = self.alarms.insert((now + after.max(&1), *token)),
                Action::Probe { server } => self.probe(*server),
                Action::Track => self.out.push_back(Output::Track),
                Action::Lookup => self.out.push_back(Output::Lookup),
                Action::Log(text) => self.note(Note::Decision(self.ids.readable(text))),
                _ => {}
            }
        }
        let orders = self.tables.apply(&actions, now);
        self.order(now, orders);
    }

    /// Sends a probe to a server where the list has it now.
    fn probe(&mut self, server: ServerId) {
        let Some(target) = self.probe_target(server) else { return };
        self.probes.sent(target);
        self.out.push_back(Output::Probe { target });
    }

    /// What a probe of a server is sent to now; none if it is not listed.
    fn probe_target(&self, server: ServerId) -> Option<ProbeTarget> {
        let started = self.servers.get(&server)?.entry.started;
        Some(ProbeTarget { server, address: self.ids.address(server)?, started })
    }

    /// Takes the outcome of a probe. Where its server has moved or restarted since, the outcome tells nothing of it,
    /// and it is probed again if no later probe has been sent there.
    fn take_outcome(&mut self, target: ProbeTarget, outcome: ProbeOutcome, latency: Micros, load: Vec<f32>) {
        let server = target.server;
        let Some(current) = self.probe_target(server) else { return };
        if current == target {
            let load = if load.iter().all(|v| v.is_finite()) { load } else { Vec::new() };
            self.batch.push(Event::Probed { server, outcome, latency, load });
        } else if self.is_ready(server) && !self.probes.is_newest(&current) {
            self.probe(server);
        }
    }

    /// True: the list has the server as ready.
    fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|listed| listed.entry.state == ListState::Ready)
    }

    fn stamp(&self) -> Stamp {
        Stamp { epoch: self.epoch, sequence: self.sequence }
    }

    fn order(&mut self, now: Micros, orders: Vec<tables::Addressed>) {
        if orders.is_empty() {
            return;
        }
        self.sequence += 1;
        self.stats.orders += 1;
        for addressed in orders {
            self.send(now, addressed);
        }
    }

    /// One frame, made once, for all who get the same order.
    fn send(&mut self, now: Micros, addressed: tables::Addressed) {
        let tables::Addressed { to, order } = addressed;
        let (mark, lines) =
            (order.mark.map(u32::from), order.cost() as f64 + self.config.channel.message_head);
        let largest = self.config.listen.largest_frame;
        let frame = match self.dialect.order(self.stamp(), &order, &self.ids, largest) {
            Ok(frame) => frame,
            Err(error) => {
                let streams: Vec<_> = to.iter().filter_map(|p| Some(self.sessions.get(p)?.stream)).collect();
                for stream in streams {
                    self.cut(now, stream, v1::Reason::BadFrame, &error.to_string());
                }
                return;
            }
        };
        let window = micros(self.config.channel.message_window);
        for proxy in to {
            let Some(session) = self.sessions.get_mut(&proxy) else { continue };
            session.written.push_back(now);
            while session.written.front().is_some_and(|at| at + window < now) {
                session.written.pop_front();
            }
            self.stats.messages_most = self.stats.messages_most.max(session.written.len());
            let stream = session.stream;
            self.channel.push(Message { stream, proxy, frame: frame.clone(), mark, lines, ordered: now });
        }
    }

    fn take_list(&mut self, now: Micros, how: ListHow, entries: Vec<NodeEntry>) {
        if how == ListHow::Failed {
            self.note(Note::ListFailed);
            self.batch.push(Event::List { how, entries: [].into() });
            return;
        }
        let ready = self.servers.iter().filter(|(_, s)| s.entry.state == ListState::Ready);
        let ready: BTreeSet<ServerId> = ready.map(|(id, _)| *id).collect();
        let mut told = Vec::with_capacity(entries.len());
        let mut named = BTreeSet::new();
        for entry in entries {
            let Some((server, entry)) = self.sound(entry) else { continue };
            let known = self.servers.get(&server);
            if let Some(known) = known.filter(|k| k.is_older(entry.started)) {
                // It is named, though: what is known of it stands.
                told.push(self.told(server, known));
                named.insert(server);
                self.bad_entry(&entry, "it tells of an earlier start than is known".to_owned());
                continue;
            }
            if how != ListHow::Delta && !named.insert(server) {
                let further = known.is_some_and(|k| entry.state as u8 > k.entry.state as u8);
                self.bad_entry(&entry, "it is named twice: the state further on counts".to_owned());
                if !further {
                    continue;
                }
            }
            named.insert(server);
            let known = self.servers.get(&server).filter(|k| k.is_same_start(entry.started));
            // A start that lies ahead is a clock that goes wrong: it started when it was first told at the latest.
            let by_own_clock =
                if entry.started > 0 { entry.started.saturating_add_signed(self.clock_off) } else { 0 };
            let (born, ahead) =
                known.map_or((by_own_clock.min(now), by_own_clock > now), |k| (k.born, k.ahead));
            let started = known.map_or(entry.started, |k| k.entry.started);
            let gone_at = (entry.state == ListState::Gone).then_some(now);
            let listed = Listed { entry: NodeEntry { started, ..entry }, born, ahead, gone_at };
            told.push(self.told(server, &listed));
            if started > 0 || listed.entry.state != ListState::Ready {
                self.tables.suspect(server);
            }
            self.servers.insert(server, listed);
        }
        let how = match self.doubter.judge(how, &ready, &named, now) {
            Taken::Whole => how,
            Taken::Named { lacking } => {
                self.note(Note::DoubtedList { lacking, named: named.len() });
                ListHow::Delta
            }
        };
        if how != ListHow::Delta {
            for (id, server) in self.servers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                self.tables.suspect(*id);
                server.entry.state = ListState::Gone;
                server.gone_at.get_or_insert(now);
            }
        }
        self.batch.push(Event::List { how, entries: told.into() });
    }

    /// An entry as it can be used, with the server that it names: what makes no sense is noted, and what was known
    /// before stands in its place. None if there is nothing to stand in.
    fn sound(&mut self, mut entry: NodeEntry) -> Option<(ServerId, NodeEntry)> {
        let id = match &entry.name {
            Some(name) => Some(named_id(name)),
            None => self.ids.get(entry.address),
        };
        let known = id.and_then(|id| self.servers.get(&id)).map(|k| k.entry.clone());
        if self.zone(&entry.zone).is_none() {
            self.bad_entry(&entry, format!("`{}` is no zone of this fleet", entry.zone));
            // A server is not gone for a zone that is misspelt, and its drain counts.
            entry.zone = known.as_ref()?.zone.clone();
        }
        if entry.weight != 0.0 && !WEIGHTS.contains(&entry.weight) {
            let [least, most] = [WEIGHTS.start(), WEIGHTS.end()];
            self.bad_entry(&entry, format!("a weight of {} is not between {least} and {most}", entry.weight));
            entry.weight = known.map_or(0.0, |k| k.weight);
        }
        let server = match &entry.name {
            Some(name) => self.ids.intern_named(name, entry.address),
            None => self.ids.intern(entry.address),
        };
        if server.is_none() {
            self.bad_entry(&entry, "no server can have this name or address".to_owned());
        }
        Some((server?, entry))
    }

    fn zone(&self, name: &str) -> Option<ZoneId> {
        let place = self.config.fleet.zones.iter().position(|zone| zone == name)?;
        Some(ZoneId(place as u16))
    }

    /// A server as the decisions are told of it: a hold counts where the list's state is not further on.
    fn told(&self, server: ServerId, listed: &Listed) -> ListEntry {
        let state = listed.entry.state;
        let held = self.held.get(&server).copied().filter(|held| *held as u8 > state as u8);
        let zone = self.zone(&listed.entry.zone).unwrap_or_default();
        let weight = listed.entry.weight;
        ListEntry { server, born: listed.born, zone, state: held.unwrap_or(state), weight }
    }

    fn bad_entry(&mut self, entry: &NodeEntry, what: String) {
        self.stats.nonsense += 1;
        let server = entry.name.clone().unwrap_or_else(|| entry.address.to_string());
        self.note(Note::BadEntry { server, what });
    }

    fn take_frame(&mut self, now: Micros, stream: StreamId, frame: FromProxy) {
        let FromProxy { epoch, sequence, kind } = frame;
        let Some(kind) = kind.filter(|_| !self.closed.contains(&stream)) else { return };
        if let from_proxy::Kind::Hello(hello) = kind {
            return self.join(now, stream, hello);
        }
        let Some(proxy) = self.by_stream.get(&stream).copied() else {
            return self.cut(now, stream, v1::Reason::BadMessage, "the first message must be Hello");
        };
        match kind {
            from_proxy::Kind::Applied(applied) => {
                let latency = (epoch == self.epoch).then(|| self.marks.answered(proxy, applied.mark, now));
                if let Some(latency) = latency.flatten() {
                    self.batch.push(Event::Applied { proxy, mark: applied.mark, latency });
                }
            }
            from_proxy::Kind::Report(report) => {
                let ahead = epoch == self.epoch && sequence > self.sequence;
                if ahead {
                    self.bad_report(proxy, "it names an order that was not given yet".to_owned());
                } else {
                    self.take_report(now, proxy, report);
                }
            }
            from_proxy::Kind::Ping(ping) => {
                let pong = from_conductor::Kind::Pong(v1::Pong { token: ping.token });
                self.answer(stream, pong);
            }
            from_proxy::Kind::Goodbye(_) => self.leave(now, stream),
            // Rights are the session's matter.
            from_proxy::Kind::Renew(_) | from_proxy::Kind::Pong(_) | from_proxy::Kind::Hello(_) => {}
        }
    }

    fn join(&mut self, now: Micros, stream: StreamId, hello: v1::Hello) {
        let zone = self.config.fleet.zones.iter().position(|z| *z == hello.zone);
        let refusal = if self.by_stream.contains_key(&stream) {
            Some((v1::Reason::BadMessage, "Hello came twice".to_owned()))
        } else if hello.version != VERSION {
            Some((v1::Reason::Version, format!("this conductor speaks version {VERSION}")))
        } else if hello.name.is_empty() || hello.name.len() > 128 {
            Some((v1::Reason::BadMessage, "a name has 1 to 128 bytes".to_owned()))
        } else if zone.is_none() {
            Some((v1::Reason::UnknownZone, "not a zone of this fleet".to_owned()))
        } else {
            None
        };
        let (Some(zone), None) = (zone, &refusal) else {
            let (reason, detail) = refusal.unwrap_or((v1::Reason::UnknownZone, String::new()));
            return self.cut(now, stream, reason, &detail);
        };
        let proxy = match self.numbers.claim(&hello.name, now) {
            Ok(proxy) => proxy,
            Err(full) => {
                let (reason, detail) = (v1::Reason::Full, "no number is left");
                return self.close(stream, Farewell { reason, detail, retry_after: full.retry_after });
            }
        };
        let rate = if hello.usual_rate.is_finite() { hello.usual_rate.clamp(0.0, 1e6) } else { 0.0 };
        self.enter(now, stream, proxy, ZoneId(zone as u16), rate, hello.fresh);
        let _ = self.numbers.claim(&hello.name, now);
        let welcome = v1::Welcome {
            version: VERSION,
            capabilities: Vec::new(),
            zones: self.config.fleet.zones.clone(),
            classes: self.config.fleet.classes.iter().map(|c| c.name.clone()).collect(),
            report_every_us: micros(self.config.reports.every),
            keepalive_us: micros(self.config.listen.keepalive),
            largest_frame: self.config.listen.largest_frame as u64,
        };
        self.answer(stream, from_conductor::Kind::Welcome(welcome));
    }

    /// A proxy's stream stands. The newer stream wins: the old one may be dead without our knowing.
    fn enter(&mut self, now: Micros, stream: StreamId, proxy: ProxyId, zone: ZoneId, rate: f64, fresh: bool) {
        if let Some(old) = self.sessions.get(&proxy).map(|s| s.stream) {
            self.cut(now, old, v1::Reason::Replaced, "a newer stream has this name");
        }
        self.by_stream.insert(stream, proxy);
        self.sessions.insert(proxy, Session { stream, written: VecDeque::new() });
        self.zone_of.insert(proxy, zone);
        self.tables.join(proxy);
        self.batch.push(Event::Joined { proxy, zone, rate, fresh });
        self.note(Note::Joined { proxy: self.proxy_name(proxy), stream });
    }

    /// A frame that needs no turn in the channel.
    fn answer(&mut self, stream: StreamId, kind: from_conductor::Kind) {
        let message = FromConductor::new(self.epoch, self.sequence, kind);
        if let Ok(frame) = frame(&message, usize::MAX) {
            self.out.push_back(Output::Send { stream, frame });
        }
    }

    fn take_report(&mut self, now: Micros, proxy: ProxyId, report: v1::Report) {
        let to = now.saturating_sub(report.age_us);
        let from = to.saturating_sub(report.period_us);
        let entries = report.met.len() + report.came.len();
        if report.period_us == 0 || now - from > LONG_AGO || entries > REPORT_ENTRIES {
            return self.bad_report(proxy, format!("it covers {} us and has {entries} entries", now - from));
        }
        let zone = self.zone_of.get(&proxy).copied().unwrap_or_default();
        for met in report.met {
            let known = address_of(&met.server).ok().and_then(|address| self.ids.get(address));
            let Some(server) = known.filter(|id| self.servers.contains_key(id)) else {
                self.bad_report(proxy, "a server that no list named".to_owned());
                continue;
            };
            let sound = met.load.iter().all(|v| v.is_finite() && *v >= 0.0) && met.latency_us <= LONG_AGO;
            if !sound || met.errors > met.total || met.total == 0 {
                self.bad_report(proxy, "figures that cannot be".to_owned());
                continue;
            }
            let [total, errors] = [met.total, met.errors].map(u64::from);
            let time = (total - errors) as f64 * met.latency_us as f64;
            self.intake.add(Key::Met(server, zone), Counts { from, to, total, errors, time, load: met.load });
        }
        for came in report.came {
            let class =
                u8::try_from(came.class).ok().filter(|k| usize::from(*k) < self.config.fleet.classes.len());
            let Some(class) = class.filter(|_| came.errors <= came.total) else {
                self.bad_report(proxy, "a class or figures that cannot be".to_owned());
                continue;
            };
            let [total, errors] = [came.total, came.errors].map(u64::from);
            let counts = Counts { from, to, total, errors, ..Counts::default() };
            self.intake.add(Key::Came(proxy, ClassId(class)), counts);
        }
    }

    /// Its name, or its number where its protocol gives it.
    fn proxy_name(&self, proxy: ProxyId) -> String {
        match self.numbers.name(proxy) {
            "" => proxy.0.to_string(),
            name => name.to_owned(),
        }
    }

    fn bad_report(&mut self, proxy: ProxyId, what: String) {
        self.stats.nonsense += 1;
        let proxy = self.proxy_name(proxy);
        self.note(Note::BadReport { proxy, what });
    }

    /// A stream has ended, or is ended: its proxy has left.
    fn leave(&mut self, now: Micros, stream: StreamId) {
        let Some(proxy) = self.by_stream.remove(&stream) else { return };
        self.channel.forget(stream);
        self.sessions.remove(&proxy);
        self.zone_of.remove(&proxy);
        self.marks.forget(proxy);
        self.intake.forget(proxy);
        self.tables.leave(proxy);
        self.numbers.release(proxy, now);
        self.batch.push(Event::Left { proxy });
        self.note(Note::Left { proxy: self.proxy_name(proxy), stream });
    }

    fn cut(&mut self, now: Micros, stream: StreamId, reason: v1::Reason, detail: &str) {
        self.leave(now, stream);
        self.close(stream, Farewell { reason, detail, retry_after: 0 });
    }

    fn close(&mut self, stream: StreamId, farewell: Farewell<'_>) {
        let Farewell { reason, detail, .. } = farewell;
        self.stats.refused += 1;
        self.closed.insert(stream);
        if self.closed.len() > self.config.listen.connections_max as usize {
            self.closed.pop_first();
        }
        let frame = self.dialect.farewell(self.stamp(), farewell);
        self.out.push_back(Output::Close { stream, reason, frame });
        self.note(Note::Refused { stream, reason, detail: detail.to_owned() });
    }

    /// Servers long gone that no table names are forgotten, so that a fleet that is replaced costs no memory.
    fn sweep(&mut self, now: Micros) {
        let old = |s: &Listed| s.gone_at.is_some_and(|at| now > at + LONG_AGO);
        let gone = self.servers.iter().filter(|(id, s)| old(s) && !self.tables.names(**id));
        for id in gone.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.servers.remove(&id);
            self.held.remove(&id);
            self.ids.forget(id);
            self.tables.forget(id);
            self.probes.forget(id);
        }
    }

    fn note(&mut self, note: Note) {
        self.out.push_back(Output::Note(note));
    }
}
