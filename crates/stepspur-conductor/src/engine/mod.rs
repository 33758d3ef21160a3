//! The sans-IO engine: what happened goes in with its time, orders come out.
//!
//! It has no clock, no socket and no chance of its own: the same inputs at the same times give the same outputs.
//! All decisions on tables, weights, levels, tries again and withdrawals are [`stepspur::Policy`]'s; the engine
//! feeds it in batches, keeps numbers and tables, paces what leaves, and turns away what makes no sense.
//!
//! Use: [`Engine::handle`] for all that happens, [`Engine::poll`] at [`Engine::next_at`] and after handling, and
//! act on every [`Output`].
//!
//! - [`Input`], [`Output`], [`Operation`] and [`Stats`]: what goes in and comes out (`input`, `output`, `operation`,
//!   `stats`).
//! - `joins`, `reports`, `servers`, `probes`: what proxies, collectors, lists and probes tell; `streams`, `ids` and
//!   `doubt` serve them.
//! - `decisions`: batches for the decision module and what follows from its actions, by `tables`, `order`, `channel`
//!   and `marks`; `intake` sums reports until then.

mod channel;
mod decisions;
mod doubt;
mod ids;
mod input;
mod intake;
mod joins;
mod marks;
mod operation;
mod order;
mod output;
mod probes;
mod reports;
mod servers;
mod stats;
mod streams;
mod tables;

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use stepspur::Policy;
use stepspur::interface::{Event, ListUpdate, Micros, Settings};
use stepspur_proto::v1;

use crate::config::{Config, micros};
use channel::Channel;
use ids::ProxyNumbers;
use intake::ReportAggregator;
use joins::Joining;
use marks::PendingAcks;
use probes::Probes;
use reports::ZoneTally;
use servers::ServerList;
use streams::Streams;
use tables::Tables;

pub use ids::{ServerIds, named_id};
pub use input::{DiscoveredEndpoint, Input, StreamId};
pub use operation::{HoldKind, Operation, OperationError};
pub use order::{
    AdmissionLevel, ClassAdmission, FramedProtocol, GoAway, ProxyProtocol, ProxyUpdate, UpdateStamp,
};
pub use output::{LogEvent, Output};
pub use probes::ProbeTarget;
pub use stats::Stats;

/// One conductor's engine.
pub struct Engine {
    config: Config,
    epoch: u64,
    /// The number of the newest order.
    sequence: u64,
    policy: Policy,
    /// Events for the next decision.
    batch: Vec<Event>,
    /// When the newest batch was decided on.
    decided_at: Micros,
    /// Timers of the decision module, with their tokens.
    alarms: BTreeSet<(Micros, u64)>,
    numbers: ProxyNumbers,
    streams: Streams,
    servers: ServerList,
    probes: Probes,
    tables: Tables,
    dialect: Box<dyn ProxyProtocol>,
    channel: Channel,
    intake: ReportAggregator,
    marks: PendingAcks,
    /// When it last did what was due.
    ran_at: Micros,
    /// No mark's deadline lies before this, after the engine has stood still itself.
    marks_extended_until: Micros,
    /// What the caller has not yet been given.
    out: VecDeque<Output>,
    stats: Stats,
}

impl Engine {
    /// A conductor at its start: it knows no list and no proxy. `epoch` must be higher than that of any start
    /// before; `config` must have no faults.
    pub fn new(config: Config, epoch: u64, seed: u64, now: Micros) -> Self {
        let settings = config.settings();
        Self::with(config, settings, Box::new(FramedProtocol), epoch, seed, now)
    }

    /// One whose orders leave in this dialect, and whose decisions are told these settings of the fleet.
    pub fn with(
        config: Config,
        settings: Settings,
        dialect: Box<dyn ProxyProtocol>,
        epoch: u64,
        seed: u64,
        now: Micros,
    ) -> Self {
        let no_list = Event::EndpointList { update: ListUpdate::Cached, entries: [].into() };
        Self {
            epoch,
            sequence: 0,
            tables: Tables::new(settings.admission_mode, dialect.ejections_persist()),
            dialect,
            policy: Policy::new(settings, seed, now),
            batch: vec![no_list],
            decided_at: 0,
            alarms: BTreeSet::new(),
            numbers: ProxyNumbers::new(config.listen.proxies_max, micros(config.listen.number_rest)),
            streams: Streams::new(config.listen.connections_max as usize),
            servers: ServerList::new(config.fleet.zones.clone(), config.source.doubt().clone(), now),
            probes: Probes::default(),
            channel: Channel::new(config.channel.lines_per_s),
            intake: ReportAggregator::new(config.reports.intake_per_s, micros(config.reports.gather), now),
            marks: PendingAcks::default(),
            ran_at: now,
            marks_extended_until: 0,
            out: VecDeque::new(),
            stats: Stats { epoch, ..Stats::default() },
            config,
        }
    }

    /// Takes what happened. Decisions come with the next [`Engine::poll`].
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::EndpointList { how, entries } => self.take_list(now, how, entries),
            Input::WallClock { unix } => self.servers.set_clock(now, unix),
            Input::ProbeResult { target, outcome, latency, load } => {
                self.take_outcome(target, outcome, latency, load);
            }
            Input::Frame { stream, frame } => self.take_frame(now, stream, frame),
            Input::ProxyConnected { stream, proxy, zone, rate, fresh } => {
                self.take_join(now, stream, Joining { proxy, zone, rate, fresh });
            }
            Input::Acknowledged { stream, mark, latency } => {
                self.take_acknowledgement(now, stream, mark, latency);
            }
            Input::UpstreamStats { server, zone, period, tries, latency, load } => {
                self.take_zone_report(server, ZoneTally { zone, period, tries, latency, load });
            }
            Input::ClientStats { proxy, class, period, requests } => {
                self.take_usage(proxy, class, period, requests);
            }
            Input::InvalidMessage { by, what } => self.bad_report_by(by, what),
            Input::StreamEnded { stream } => self.take_end(now, stream),
            Input::StreamFailed { stream, reason, detail } => self.terminate(now, stream, reason, &detail),
        }
    }

    /// Does what is due and gives the next thing to do; call it until there is none.
    pub fn poll(&mut self, now: Micros) -> Option<Output> {
        if self.out.is_empty() {
            self.run_due(now);
        }
        self.out.pop_front()
    }

    /// When [`Engine::poll`] is next due, if nothing happens before.
    pub fn next_at(&self) -> Option<Micros> {
        if !self.out.is_empty() {
            return Some(0);
        }
        let batch = (!self.batch.is_empty()).then(|| self.batch_at());
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let mark = self.marks.oldest().map(|(at, _)| self.mark_deadline(at)).filter(|at| *at < Micros::MAX);
        let lookup = self.servers.lookup_at();
        [batch, alarm, mark, lookup, self.channel.next_at(), self.intake.next_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The last frame for a stream when the conductor stops.
    pub fn go_away_frame(&self, reason: v1::Reason, detail: &str) -> Bytes {
        self.dialect.go_away(self.stamp(), GoAway { reason, detail, retry_after: 0 })
    }

    /// News of the list of servers.
    fn take_list(&mut self, now: Micros, how: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        let update = self.servers.update(now, how, entries);
        for server in update.suspects {
            self.tables.suspect(server);
        }
        for note in update.notes {
            self.stats.nonsense += u64::from(matches!(note, LogEvent::InvalidEntry { .. }));
            self.note(note);
        }
        self.batch.push(update.event);
    }

    /// A line for the log.
    fn note(&mut self, note: LogEvent) {
        self.out.push_back(Output::Log(note));
    }
}
