//! A harness for tests of the decision module: passes events to it and applies its actions as proxies would.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use stepspur::Policy;
use stepspur::interface::*;

pub(crate) const SECOND: Micros = 1_000_000;
/// Time at which every harness starts.
pub(crate) const START: Micros = 100 * SECOND;

/// Identifier of test server `n`, which is its fourth byte.
pub(crate) fn server_id(n: u8) -> ServerId {
    ServerId([10, 0, 0, n, 0, 80])
}

/// Settings with three zones, one conductor and two classes: class 0 is safe to repeat, class 1 is not and
/// has five times its priority weight.
pub(crate) fn settings() -> Settings {
    let class = |idempotency, priority_weight| RequestClass {
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: 5 * SECOND,
        latency_objective: SECOND,
        deadline: 4 * SECOND,
        priority_weight,
        zone_local: false,
    };
    Settings {
        zone_count: 3,
        conductor_count: 1,
        classes: vec![class(Idempotency::Safe, 1.0), class(Idempotency::NonIdempotent, 5.0)],
        active_health_checks: true,
        proxy_count: 6,
        max_pending_lines: 20_000.0,
        channel_lines_per_second: 10_000.0,
        message_overhead_lines: 6.0,
        message_window: 10 * SECOND,
        max_message_delay: 500_000,
        report_period: SECOND,
        warm_up: 16 * SECOND,
        collapse_ratio: 3.0,
        initial_capacity_ratio: 0.3,
        ..Settings::default()
    }
}

/// A ready, warm server of weight 1.
pub(crate) fn endpoint(n: u8, zone: u16) -> Endpoint {
    Endpoint { server: server_id(n), zone: ZoneId(zone), weight: 1.0, ..Endpoint::default() }
}

pub(crate) fn endpoint_list(update: ListUpdate, entries: &[Endpoint]) -> Event {
    Event::EndpointList { update, entries: entries.to_vec().into() }
}

pub(crate) fn proxy_connected(proxy: u16, zone: u16) -> Event {
    Event::ProxyConnected {
        proxy: ProxyId(proxy),
        zone: ZoneId(zone),
        usual_request_rate: 10.0,
        has_only_static_tables: true,
    }
}

/// A report of one second without a load report: attempts at server `n`, failed ones and mean latency.
pub(crate) fn upstream_stats(n: u8, zone: u16, total: u32, errors: u32, latency: Micros) -> Event {
    let load = Vec::new();
    Event::UpstreamStats {
        server: server_id(n),
        zone: ZoneId(zone),
        period: SECOND,
        attempts: total,
        failed_attempts: errors,
        latency,
        load,
    }
}

/// A report of one second: `total` requests of class 0 at a proxy.
pub(crate) fn client_stats(proxy: u16, total: u32) -> Event {
    Event::ClientStats {
        proxy: ProxyId(proxy),
        class: ClassId(0),
        period: SECOND,
        requests: total,
        unanswered: 0,
    }
}

pub(crate) fn probe_result(n: u8, outcome: ProbeOutcome) -> Event {
    Event::ProbeResult { server: server_id(n), outcome, latency: 5_000, load: Vec::new() }
}

/// A policy, and the state of the proxies that results from its actions.
pub(crate) struct Harness {
    pub policy: Policy,
    /// Time of the next batch.
    pub now: Micros,
    /// Weights of each table.
    pub tables: BTreeMap<TableId, BTreeMap<ServerId, f32>>,
    /// Retry policy and level of each class of each table.
    pub admission: BTreeMap<(TableId, ClassId), (RetryPolicy, f32)>,
    pub assigned: BTreeMap<ProxyId, TableId>,
    /// Times of the messages to each proxy since it connected.
    pub messages: BTreeMap<ProxyId, Vec<Micros>>,
    pub connected: BTreeSet<ProxyId>,
    /// Acknowledgements that are delivered with the next batch.
    pub pending_acks: Vec<Event>,
}

impl Harness {
    pub(crate) fn new(set: Settings) -> Self {
        Harness {
            policy: Policy::new(set, 1, START),
            now: START,
            tables: BTreeMap::new(),
            admission: BTreeMap::new(),
            assigned: BTreeMap::new(),
            messages: BTreeMap::new(),
            connected: BTreeSet::new(),
            pending_acks: Vec::new(),
        }
    }

    /// A harness with `servers` warm servers spread over three zones and two proxies in each zone, four
    /// seconds after the start, so that lending is enabled.
    pub(crate) fn running(set: Settings, servers: u8) -> Self {
        let mut harness = Harness::new(set);
        let entries: Vec<_> = (0..servers).map(|n| endpoint(n, u16::from(n % 3))).collect();
        let mut events = vec![endpoint_list(ListUpdate::Cached, &entries)];
        events.extend((0..6).map(|p| proxy_connected(p, p % 3)));
        harness.decide(&events);
        harness.run_for(4 * SECOND, |_| Vec::new());
        harness
    }

    /// Passes a batch of events at the current time, with the pending acknowledgements, and applies the
    /// actions.
    pub(crate) fn decide(&mut self, events: &[Event]) -> Vec<Action> {
        for event in events {
            match event {
                Event::ProxyConnected { proxy, .. } => {
                    self.connected.insert(*proxy);
                    self.assigned.remove(proxy);
                    self.messages.remove(proxy);
                }
                Event::ProxyDisconnected { proxy } => {
                    self.connected.remove(proxy);
                    self.assigned.remove(proxy);
                }
                _ => {}
            }
        }
        let mut all_events = std::mem::take(&mut self.pending_acks);
        all_events.extend_from_slice(events);
        let actions = self.policy.decide(self.now, &all_events);
        self.apply(&actions);
        actions
    }

    /// Passes a batch every 250 ms for the duration `span`. Batches at full seconds contain the events of
    /// `each_second`. Returns all actions.
    pub(crate) fn run_for(
        &mut self,
        span: Micros,
        each_second: impl Fn(&Harness) -> Vec<Event>,
    ) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 250_000;
            let events = if self.now.is_multiple_of(SECOND) { each_second(self) } else { Vec::new() };
            all.extend(self.decide(&events));
        }
        all
    }

    /// Applies actions at the proxies and queues their acknowledgements.
    fn apply(&mut self, actions: &[Action]) {
        let mut reached = BTreeSet::new();
        for action in actions {
            match action {
                Action::SetWeight { table, server, weight } => {
                    let lines = self.tables.entry(*table).or_default();
                    if *weight > 0.0 {
                        lines.insert(*server, *weight);
                    } else {
                        lines.remove(server);
                    }
                    reached.extend(self.assigned.iter().filter(|(_, t)| *t == table).map(|(p, _)| *p));
                }
                Action::SetAdmission { table, class, retry_policy, level } => {
                    self.admission.insert((*table, *class), (*retry_policy, *level));
                    reached.extend(self.assigned.iter().filter(|(_, t)| *t == table).map(|(p, _)| *p));
                }
                Action::AssignTable { proxy, table } => {
                    self.assigned.insert(*proxy, *table);
                    reached.insert(*proxy);
                }
                _ => {}
            }
        }
        let nonces = actions
            .iter()
            .filter_map(|a| if let Action::RequestAck { nonce } = a { Some(*nonce) } else { None });
        for nonce in nonces.map(u32::from) {
            self.pending_acks.extend(reached.iter().map(|p| Event::Acknowledged {
                proxy: *p,
                nonce,
                latency: 0,
            }));
        }
        for proxy in reached {
            self.messages.entry(proxy).or_default().push(self.now);
        }
    }

    /// The numbers of the servers in the table of the first proxy of a zone, ascending.
    pub(crate) fn servers_of_zone(&self, zone: u16) -> Vec<u8> {
        let table = self.assigned[&ProxyId(zone)];
        self.tables[&table].keys().map(|server| server.0[3]).collect()
    }

    /// The weight of server `n` in the table of the first proxy of a zone; 0 if it is absent.
    pub(crate) fn weight(&self, zone: u16, n: u8) -> f32 {
        self.tables[&self.assigned[&ProxyId(zone)]].get(&server_id(n)).copied().unwrap_or(0.0)
    }
}

/// Reports of one second in which each server's own zone made 20 attempts there, all successful at this
/// latency.
pub(crate) fn successful_stats(servers: u8, latency: Micros) -> Vec<Event> {
    (0..servers).map(|n| upstream_stats(n, u16::from(n % 3), 20, 0, latency)).collect()
}

pub(crate) fn count(actions: &[Action], wanted: impl Fn(&Action) -> bool) -> usize {
    actions.iter().filter(|a| wanted(a)).count()
}

/// [`harness_with_subsets_of`] with the usual settings and this many proxies.
pub(crate) fn harness_with_subsets(proxies: u16) -> Harness {
    harness_with_subsets_of(Settings { proxy_count: u32::from(proxies), ..settings() })
}

/// A harness with 30 warm servers and as many proxies as the settings name, spread evenly over three zones.
/// Servers accept 20 connections.
pub(crate) fn harness_with_subsets_of(set: Settings) -> Harness {
    let proxies = set.proxy_count as u16;
    let mut harness =
        Harness::new(Settings { min_server_connections: 20.0, max_pending_lines: 200_000.0, ..set });
    let entries: Vec<_> = (0..30).map(|n| endpoint(n, u16::from(n % 3))).collect();
    let mut events = vec![endpoint_list(ListUpdate::Cached, &entries)];
    events.extend((0..proxies).map(|p| proxy_connected(p, p % 3)));
    harness.decide(&events);
    harness.run_for(4 * SECOND, |_| Vec::new());
    harness
}

/// A successful probe whose load report has one column, the queue length.
pub(crate) fn probe_result_with_queue(n: u8, queue: f32) -> Event {
    Event::ProbeResult { server: server_id(n), outcome: ProbeOutcome::Ok, latency: 5_000, load: vec![queue] }
}

/// True: the action changes weights, assignments or admission at proxies.
pub(crate) fn is_change(action: &Action) -> bool {
    matches!(action, Action::SetWeight { .. } | Action::AssignTable { .. } | Action::SetAdmission { .. })
}
