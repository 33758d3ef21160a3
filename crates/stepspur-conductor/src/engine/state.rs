//! The engine's state and its construction.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use stepspur::Policy;
use stepspur::interface::{Event, ListUpdate, Micros, Settings};
use stepspur_proto::v1;

use super::acks::PendingAcks;
use super::channel::Channel;
use super::channel_stats::ChannelMeter;
use super::endpoints::EndpointStore;
use super::framed_protocol::FramedProtocol;
use super::output::{LogEvent, Output};
use super::pending_probes::PendingProbes;
use super::protocol::{GoAway, ProxyProtocol, UpdateStamp};
use super::proxy_ids::ProxyIds;
use super::report_aggregator::ReportAggregator;
use super::stats::Stats;
use super::streams::Streams;
use super::tables::Tables;
use crate::config::{Config, micros};

/// The engine of one tenant of a conductor: all state that its decisions and messages depend on.
pub struct Engine {
    pub(super) config: Config,
    /// Number of this start of the conductor, higher than that of every earlier start.
    pub(super) epoch: u64,
    /// Sequence number of the newest update within the epoch; 0 before the first.
    pub(super) sequence: u64,
    pub(super) policy: Policy,
    /// Events that the next decision takes into account.
    pub(super) batch: Vec<Event>,
    /// Time of the last decision; 0 before the first.
    pub(super) decided_at: Micros,
    /// Timers that the decision module has set and that have not expired.
    pub(super) timers: BTreeSet<PolicyTimer>,
    pub(super) proxy_ids: ProxyIds,
    pub(super) streams: Streams,
    pub(super) endpoints: EndpointStore,
    pub(super) probes: PendingProbes,
    pub(super) tables: Tables,
    pub(super) protocol: Box<dyn ProxyProtocol>,
    pub(super) channel: Channel,
    pub(super) meter: ChannelMeter,
    pub(super) reports: ReportAggregator,
    pub(super) pending_acks: PendingAcks,
    /// When the engine last ran its scheduled work. A long gap shows that its process was suspended.
    pub(super) last_run_at: Micros,
    /// No acknowledgement is overdue before this time. Set after a suspension of the engine, during which
    /// it could not read the acknowledgements that arrived.
    pub(super) ack_deadlines_extended_until: Micros,
    /// Outputs that the caller has not polled yet.
    pub(super) outputs: VecDeque<Output>,
    pub(super) stats: Stats,
}

/// A timer of the decision module, ordered by its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PolicyTimer {
    /// When the timer expires.
    pub(super) due_at: Micros,
    /// Opaque value that [`Event::Timer`] returns to the decision module.
    pub(super) token: u64,
}

impl Engine {
    /// Creates an engine without an endpoint list and without proxies that uses [`FramedProtocol`].
    ///
    /// `epoch` must exceed that of every earlier start, `config` must be valid, and `seed` seeds the decision
    /// module's randomness.
    pub fn new(config: Config, epoch: u64, seed: u64, now: Micros) -> Self {
        let settings = config.settings();
        Self::with_protocol(config, settings, Box::new(FramedProtocol), epoch, seed, now)
    }

    /// Creates an engine as [`Engine::new`] does, with the given protocol and decision module's settings.
    pub fn with_protocol(
        config: Config,
        settings: Settings,
        protocol: Box<dyn ProxyProtocol>,
        epoch: u64,
        seed: u64,
        now: Micros,
    ) -> Self {
        let settings = Settings { ejections_persist: protocol.ejections_persist(), ..settings };
        let no_endpoints = Event::EndpointList { update: ListUpdate::Cached, entries: [].into() };
        let mass_removal_guard = config.source.mass_removal_guard().clone();
        let report_period = micros(config.reports.gather);
        let id_reuse_delay = micros(config.listen.number_rest);
        Self {
            epoch,
            sequence: 0,
            tables: Tables::new(settings.admission_mode, settings.ejections_persist),
            protocol,
            policy: Policy::new(settings, seed, now),
            batch: vec![no_endpoints],
            decided_at: 0,
            timers: BTreeSet::new(),
            proxy_ids: ProxyIds::new(config.listen.proxies_max, id_reuse_delay),
            streams: Streams::new(config.listen.connections_max as usize),
            endpoints: EndpointStore::new(config.fleet.zones.clone(), mass_removal_guard, now),
            probes: PendingProbes::default(),
            channel: Channel::new(config.channel.lines_per_s),
            meter: ChannelMeter::default(),
            reports: ReportAggregator::new(config.reports.intake_per_s, report_period, now),
            pending_acks: PendingAcks::default(),
            last_run_at: now,
            ack_deadlines_extended_until: 0,
            outputs: VecDeque::new(),
            stats: Stats { epoch, ..Stats::default() },
            config,
        }
    }

    /// Returns the epoch that the engine was created with.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Encodes the last frame of a stream, for streams that the caller closes when the conductor stops.
    pub fn go_away_frame(&self, reason: v1::Reason, detail: &str) -> Bytes {
        self.protocol.go_away(self.stamp(), GoAway { reason, detail, retry_after: 0 })
    }

    /// Returns the epoch and sequence number of the newest update.
    pub(super) fn stamp(&self) -> UpdateStamp {
        UpdateStamp { epoch: self.epoch, sequence: self.sequence }
    }

    /// Queues an output that logs an event.
    pub(super) fn log(&mut self, event: LogEvent) {
        self.outputs.push_back(Output::Log(event));
    }
}
