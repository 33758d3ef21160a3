//! The decision module: all decisions of stepspur, one submodule for each rule. Its input and output types
//! are in `src/interface.rs`.
//!
//! [`Policy::decide`] applies a batch of events, evaluates load and server health when a round is due, and
//! returns the changes to publish. State that a single rule uses is a type of that rule's module. Values that
//! several rules use are computed once a round by `load`.

mod admission;
mod channel;
mod connection_budget;
mod connections;
mod eligibility;
mod endpoints;
mod flow_control;
mod goodput;
mod health_check;
mod load;
mod locality;
mod median;
mod outlier_detection;
mod plausibility;
mod proxy;
mod publish;
mod retry;
mod route_gaps;
mod server;
mod sharding;
mod slow_start;
mod spill_over;
mod subset;
mod table;
mod table_plan;
mod throughput;
mod update_size;
mod warming_load;
mod zone_local;

use std::collections::{BTreeMap, BTreeSet};

use admission::AdmissionController;
use channel::ChannelQueue;
use endpoints::DiscoveryPolling;
use health_check::FleetProbes;
use load::{FleetLoad, UpstreamReport};
use outlier_detection::OutlierDetection;
use plausibility::ReferenceRates;
use proxy::Proxy;
use route_gaps::RouteGaps;
use server::Server;
use sharding::Shard;
use table::Table;

use crate::interface::{Action, Event, Micros, ProxyId, ServerId, Settings, TableId, ZoneId};

/// Interval between rounds. Changes of the endpoint list, shard assignments and connecting proxies are
/// handled in the batch that reports them, without waiting for the next round.
const ROUND_PERIOD: Micros = 250_000;

/// The decision state of one conductor: what it knows of servers, proxies, load and tables.
pub struct Policy {
    settings: Settings,
    /// Time of the current batch of events.
    now: Micros,
    started_at: Micros,
    next_round_at: Micros,
    /// Actions that the current batch has produced so far, in order.
    actions: Vec<Action>,
    /// True: tables are planned in this batch even if no round is due.
    tables_outdated: bool,

    servers: BTreeMap<ServerId, Server>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Number of connected proxies in each zone.
    connected_by_zone: BTreeMap<ZoneId, usize>,
    /// Connected proxies that are not yet assigned to their current table.
    unassigned_proxies: BTreeSet<ProxyId>,
    tables: BTreeMap<TableId, Table>,
    shards: BTreeMap<TableId, Shard>,

    discovery: DiscoveryPolling,
    load: FleetLoad,
    reference_rates: ReferenceRates,
    fleet_probes: FleetProbes,
    outlier_detection: OutlierDetection,
    admission: AdmissionController,
    /// True: each zone has its own tables; false: all proxies share one table.
    zone_aware: bool,
    channel: ChannelQueue,
    route_gaps: RouteGaps,
    /// True: servers that are warm or nearly so can carry the fleet's load, so that others may be excluded.
    others_carry_the_load: bool,
    /// True: the newest plans send a warming server more than its safe load.
    warming_servers_overloaded: bool,
}

impl Policy {
    /// Creates an instance without endpoints, proxies or tables that starts at `now`. The seed is unused, as
    /// no decision is random.
    pub fn new(settings: Settings, _seed: u64, now: Micros) -> Self {
        let channel = ChannelQueue::new(settings.channel_lines_per_second, settings.max_message_delay);
        let first_poll_at = settings.poll_discovery.then_some(now);
        Policy {
            settings,
            now,
            started_at: now,
            next_round_at: now,
            actions: Vec::new(),
            tables_outdated: false,
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            connected_by_zone: BTreeMap::new(),
            unassigned_proxies: BTreeSet::new(),
            tables: BTreeMap::new(),
            shards: BTreeMap::new(),
            discovery: DiscoveryPolling::start(first_poll_at),
            load: FleetLoad::new(),
            reference_rates: ReferenceRates::default(),
            fleet_probes: FleetProbes::default(),
            outlier_detection: OutlierDetection::default(),
            admission: AdmissionController::default(),
            zone_aware: false,
            channel,
            route_gaps: RouteGaps::default(),
            others_carry_the_load: true,
            warming_servers_overloaded: false,
        }
    }

    /// Applies a batch of events that arrived by `now` and returns the actions to take, in order.
    pub fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now;
        self.channel.begin_decision(now);
        for event in events {
            self.handle_event(event);
        }
        self.poll_discovery();
        let round_due = now >= self.next_round_at;
        if round_due {
            self.run_round();
        }
        let tables_due = round_due || self.tables_outdated;
        if tables_due {
            self.tables_outdated = false;
            self.update_tables();
        }
        self.assign_tables();
        if let Some(nonce) = self.channel.finish_decision() {
            self.actions.push(Action::RequestAck { nonce });
        }
        std::mem::take(&mut self.actions)
    }

    /// Records the size of the messages that were made of the newest decision, in lines with their overhead,
    /// in place of its own reckoning. With another nonce, or none, the messages are others' and are added.
    pub fn record_messages(&mut self, nonce: Option<u16>, messages: BTreeMap<ProxyId, f64>) {
        self.channel.record_messages(self.now, nonce, messages);
    }

    /// Records that the conductor closes a proxy's stream: its lines still use the channel. The event of the
    /// disconnection follows.
    pub fn record_closed_stream(&mut self, proxy: ProxyId) {
        self.channel.close_stream(proxy);
    }

    /// The lines that may still wait in the channel to the proxies.
    pub fn lines_in_flight(&self) -> f64 {
        self.channel.lines_in_flight()
    }

    /// Updates load, server health, ejections, probes and admission, and schedules the next round.
    fn run_round(&mut self) {
        let elapsed = self.now.saturating_sub(self.next_round_at) + ROUND_PERIOD;
        self.next_round_at = self.now + ROUND_PERIOD;
        self.actions.push(Action::SetTimer { after: ROUND_PERIOD, token: 0 });
        self.remove_servers();
        self.remove_proxies();
        self.update_load();
        self.update_reference_rates();
        self.update_warming_exclusion();
        self.update_health();
        self.eject_outliers();
        self.update_outlier_weights();
        self.send_probes();
        self.update_admission(elapsed as f64 * 1e-6);
    }

    /// Assigns servers to shards; in deployments without shards, updates the subsets and publishes the
    /// tables.
    fn update_tables(&mut self) {
        if self.settings.shard_count > 0 {
            self.assign_shards();
        } else {
            self.update_warming_exclusion();
            self.update_subsets();
            self.publish_tables();
            self.eject_at_waiting_proxies();
            self.log_route_gaps();
        }
    }

    /// Applies one event to the state. Some events have no effect.
    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::EndpointList { update, entries } => self.merge_endpoint_list(*update, entries),
            Event::ProbeResult { server, outcome, load, .. } => {
                self.record_load_report(*server, load);
                self.record_probe_result(*server, *outcome);
            }
            Event::ProxyConnected { proxy, zone, usual_request_rate, .. } => {
                self.connect_proxy(*proxy, *zone, *usual_request_rate)
            }
            Event::ProxyDisconnected { proxy } => self.disconnect_proxy(*proxy),
            Event::Acknowledged { proxy, nonce, .. } => {
                self.channel.acknowledge(self.now, *proxy, *nonce);
                self.confirm_shard_removals(*proxy, *nonce);
            }
            Event::UpstreamStats { server, zone, period, attempts, failed_attempts, latency, load } => {
                self.record_load_report(*server, load);
                self.load.responses_carry_load |= !load.is_empty();
                self.record_upstream_stats(&UpstreamReport {
                    server: *server,
                    zone: *zone,
                    period: *period,
                    attempts: *attempts,
                    errors: *failed_attempts,
                    latency: *latency,
                });
            }
            Event::ClientStats { proxy, class, period, requests, .. } if *period > 0 => {
                self.record_client_stats(*proxy, *class, *period, *requests);
            }
            Event::ShardAssignment { shard, granted } => self.apply_shard_assignment(*shard, *granted),
            Event::StoredWeight { shard, server, weight } => self.record_weight(*shard, *server, *weight),
            Event::ClientStats { .. }
            | Event::Timer { .. }
            | Event::ShardTraffic { .. }
            | Event::PeerMessage => {}
        }
    }
}
