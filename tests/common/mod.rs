//! A small driver for module tests: feeds events, keeps what the orders amount to.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use stepspur::Policy;
use stepspur::interface::*;

pub(crate) const SECOND: Micros = 1_000_000;
pub(crate) const START: Micros = 100 * SECOND;

pub(crate) fn id(n: u8) -> ServerId {
    ServerId([10, 0, 0, n, 0, 80])
}

/// Three zones, two classes, one conductor.
pub(crate) fn settings() -> Settings {
    let class = |effect, worth| RequestClass {
        idempotency: effect,
        dedup_scope: DedupScope::All,
        dedup_window: 5 * SECOND,
        latency_objective: SECOND,
        deadline: 4 * SECOND,
        priority_weight: worth,
        zone_local: false,
    };
    Settings {
        zone_count: 3,
        conductor_count: 1,
        classes: vec![class(Idempotency::Safe, 1.0), class(Idempotency::NonIdempotent, 5.0)],
        health_checks: true,
        proxy_count: 6,
        max_pending_lines: 20_000.0,
        lines_per_second: 10_000.0,
        message_overhead_lines: 6.0,
        message_window: 10 * SECOND,
        max_transit: 500_000,
        report_period: SECOND,
        warm_up: 16 * SECOND,
        collapse_ratio: 3.0,
        initial_capacity_ratio: 0.3,
        ..Settings::default()
    }
}

pub(crate) fn entry(n: u8, zone: u16) -> Endpoint {
    Endpoint { server: id(n), zone: ZoneId(zone), weight: 1.0, ..Endpoint::default() }
}

pub(crate) fn list(how: ListUpdate, entries: &[Endpoint]) -> Event {
    Event::EndpointList { update: how, entries: entries.to_vec().into() }
}

pub(crate) fn joined(proxy: u16, zone: u16) -> Event {
    Event::ProxyConnected { proxy: ProxyId(proxy), zone: ZoneId(zone), rate: 10.0, fresh: true }
}

pub(crate) fn tally(n: u8, zone: u16, total: u32, errors: u32, latency: Micros) -> Event {
    let load = Vec::new();
    Event::UpstreamStats { server: id(n), zone: ZoneId(zone), period: SECOND, total, errors, latency, load }
}

pub(crate) fn traffic(proxy: u16, total: u32) -> Event {
    Event::ClientStats { proxy: ProxyId(proxy), class: ClassId(0), period: SECOND, total, errors: 0 }
}

pub(crate) fn probed(n: u8, outcome: ProbeOutcome) -> Event {
    Event::ProbeResult { server: id(n), outcome, latency: 5_000, load: Vec::new() }
}

/// A policy with what its orders amount to.
pub(crate) struct Site {
    pub policy: Policy,
    pub now: Micros,
    pub tables: BTreeMap<TableId, BTreeMap<ServerId, f32>>,
    pub levels: BTreeMap<(TableId, ClassId), (RetryPolicy, f32)>,
    pub bound: BTreeMap<ProxyId, TableId>,
    pub messages: BTreeMap<ProxyId, Vec<Micros>>,
    pub joined: BTreeSet<ProxyId>,
    /// Answers to marks, given with the next batch.
    pub answers: Vec<Event>,
}

impl Site {
    pub(crate) fn new(set: Settings) -> Self {
        Site {
            policy: Policy::new(set, 1, START),
            now: START,
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
            bound: BTreeMap::new(),
            messages: BTreeMap::new(),
            joined: BTreeSet::new(),
            answers: Vec::new(),
        }
    }

    /// `servers` warm servers dealt over three zones, and two proxies in each zone, after the settling time.
    pub(crate) fn running(set: Settings, servers: u8) -> Self {
        let mut site = Site::new(set);
        let entries: Vec<_> = (0..servers).map(|n| entry(n, u16::from(n % 3))).collect();
        let mut events = vec![list(ListUpdate::Cached, &entries)];
        events.extend((0..6).map(|p| joined(p, p % 3)));
        site.feed(&events);
        site.pass(4 * SECOND, |_| Vec::new());
        site
    }

    /// One batch now.
    pub(crate) fn feed(&mut self, events: &[Event]) -> Vec<Action> {
        for event in events {
            match event {
                Event::ProxyConnected { proxy, .. } => {
                    self.joined.insert(*proxy);
                    self.bound.remove(proxy);
                    self.messages.remove(proxy);
                }
                Event::ProxyDisconnected { proxy } => {
                    self.joined.remove(proxy);
                    self.bound.remove(proxy);
                }
                _ => {}
            }
        }
        let mut told = std::mem::take(&mut self.answers);
        told.extend_from_slice(events);
        let actions = self.policy.decide(self.now, &told);
        self.take(&actions);
        actions
    }

    /// Batches four times a second for a span, with the events that each second brings.
    pub(crate) fn pass(&mut self, span: Micros, each_second: impl Fn(&Site) -> Vec<Event>) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 250_000;
            let events = if self.now.is_multiple_of(SECOND) { each_second(self) } else { Vec::new() };
            all.extend(self.feed(&events));
        }
        all
    }

    fn take(&mut self, actions: &[Action]) {
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
                    reached.extend(self.bound.iter().filter(|(_, t)| *t == table).map(|(p, _)| *p));
                }
                Action::SetAdmission { table, class, retry_policy: resend, level } => {
                    self.levels.insert((*table, *class), (*resend, *level));
                    reached.extend(self.bound.iter().filter(|(_, t)| *t == table).map(|(p, _)| *p));
                }
                Action::AssignTable { proxy, table } => {
                    self.bound.insert(*proxy, *table);
                    reached.insert(*proxy);
                }
                _ => {}
            }
        }
        let marks = actions
            .iter()
            .filter_map(|a| if let Action::RequestAck { nonce: mark } = a { Some(*mark) } else { None });
        for mark in marks.map(u32::from) {
            self.answers.extend(reached.iter().map(|p| Event::Acknowledged {
                proxy: *p,
                nonce: mark,
                latency: 0,
            }));
        }
        for proxy in reached {
            self.messages.entry(proxy).or_default().push(self.now);
        }
    }

    /// The servers in the table of a zone's proxies, by number.
    pub(crate) fn servers(&self, zone: u16) -> Vec<u8> {
        let table = self.bound[&ProxyId(zone)];
        self.tables[&table].keys().map(|server| server.0[3]).collect()
    }

    pub(crate) fn weight(&self, zone: u16, n: u8) -> f32 {
        self.tables[&self.bound[&ProxyId(zone)]].get(&id(n)).copied().unwrap_or(0.0)
    }
}
