//! Every decision of stepspur, a module for each rule. The types that it takes and gives are in
//! `src/interface.rs`.
//!
//! [`Policy::decide`] is one round of decisions: it learns events, judges servers and load, and sends what
//! has changed. State that one rule owns is a type of that rule's module. What several rules need is computed
//! once a round by `load`.

mod admission;
mod channel;
mod connections;
mod eligibility;
mod endpoints;
mod flow_control;
mod health_check;
mod load;
mod locality;
mod median;
mod outlier_detection;
mod proxy;
mod publish;
mod retry;
mod server;
mod sharding;
mod slow_start;
mod subset;
mod table;
mod table_plan;

use std::collections::{BTreeMap, BTreeSet};

use admission::AdmissionController;
use channel::ChannelQueue;
use endpoints::DiscoveryPolling;
use health_check::FleetProbes;
use load::{FleetLoad, UpstreamReport};
use outlier_detection::OutlierDetection;
use proxy::Proxy;
use server::Server;
use sharding::Shard;
use table::Table;

use crate::interface::{Action, Event, Micros, ProxyId, ServerId, Settings, TableId, ZoneId};

/// Time between rounds. Only a change of the endpoint list and a connecting proxy are acted on at once.
const ROUND_PERIOD: Micros = 250_000;

/// One conductor's decisions.
pub struct Policy {
    settings: Settings,
    /// Time of the batch that is decided.
    now: Micros,
    started_at: Micros,
    next_round_at: Micros,
    actions: Vec<Action>,
    /// True: tables must be planned now, before the next round.
    tables_outdated: bool,

    servers: BTreeMap<ServerId, Server>,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Number of connected proxies by zone.
    connected_by_zone: BTreeMap<ZoneId, usize>,
    /// Connected proxies that wait for their table.
    unassigned_proxies: BTreeSet<ProxyId>,
    tables: BTreeMap<TableId, Table>,
    shards: BTreeMap<TableId, Shard>,

    discovery: DiscoveryPolling,
    load: FleetLoad,
    fleet_probes: FleetProbes,
    outlier_detection: OutlierDetection,
    admission: AdmissionController,
    /// True: tables are by zone; false: all proxies share one.
    zone_aware: bool,
    channel: ChannelQueue,
}

impl Policy {
    /// An instance at its start: no endpoints, proxies or tables. The seed is not used yet.
    pub fn new(settings: Settings, _seed: u64, now: Micros) -> Self {
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
            fleet_probes: FleetProbes::default(),
            outlier_detection: OutlierDetection::default(),
            admission: AdmissionController::default(),
            zone_aware: false,
            channel: ChannelQueue::default(),
        }
    }

    /// Takes a batch of events and its time, and gives the actions.
    pub fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now;
        self.channel.begin_decision();
        for event in events {
            self.learn(event);
        }
        self.poll_discovery();
        let round_due = now >= self.next_round_at;
        if round_due {
            self.run_round();
        }
        if round_due || self.tables_outdated {
            self.tables_outdated = false;
            self.update_tables();
        }
        self.assign_tables();
        if let Some(nonce) = self.channel.finish_decision() {
            self.actions.push(Action::RequestAck { nonce });
        }
        std::mem::take(&mut self.actions)
    }

    /// Judges servers and load once a round.
    fn run_round(&mut self) {
        let elapsed = self.now.saturating_sub(self.next_round_at) + ROUND_PERIOD;
        self.next_round_at = self.now + ROUND_PERIOD;
        self.actions.push(Action::SetTimer { after: ROUND_PERIOD, token: 0 });
        self.remove_servers();
        self.remove_proxies();
        self.update_load();
        self.update_health();
        self.eject_outliers();
        self.update_outlier_weights();
        self.send_probes();
        self.update_admission(elapsed as f64 * 1e-6);
    }

    fn update_tables(&mut self) {
        if self.settings.shard_count > 0 {
            self.place_shards();
        } else {
            self.update_subsets();
            self.publish_tables();
        }
    }

    fn learn(&mut self, event: &Event) {
        match event {
            Event::EndpointList { update, entries } => self.learn_list(*update, entries),
            Event::ProbeResult { server, outcome, load, .. } => {
                self.learn_load_report(*server, load);
                self.learn_probe(*server, *outcome);
            }
            Event::ProxyConnected { proxy, zone, rate, .. } => self.connect_proxy(*proxy, *zone, *rate),
            Event::ProxyDisconnected { proxy } => self.disconnect_proxy(*proxy),
            Event::Acknowledged { proxy, nonce, .. } => self.channel.acknowledge(*proxy, *nonce),
            Event::UpstreamStats { server, zone, period, total, errors, latency, load } => {
                self.learn_load_report(*server, load);
                self.load.responses_carry_load |= !load.is_empty();
                self.learn_upstream_stats(&UpstreamReport {
                    server: *server,
                    zone: *zone,
                    period: *period,
                    attempts: *total,
                    errors: *errors,
                    latency: *latency,
                });
            }
            Event::ClientStats { proxy, class, period, total, .. } if *period > 0 => {
                self.learn_client_stats(*proxy, *class, *period, *total);
            }
            Event::ShardAssignment { shard, granted } => self.learn_shard_assignment(*shard, *granted),
            Event::StoredLine { shard, server, weight } => self.record_weight(*shard, *server, *weight),
            Event::ClientStats { .. }
            | Event::Timer { .. }
            | Event::ShardTraffic { .. }
            | Event::PeerMessage => {}
        }
    }
}
