//! A fluid model of a rolling deploy: proxies spread the requests that their levels admit over their tables by
//! weight, and the work that each warming server gets is compared with its capacity.

use std::collections::{BTreeMap, VecDeque};

use stepspur::interface::*;

use crate::common::*;

/// Time between two batches.
const STEP: Micros = 250_000;
/// Time from a server's drain to the start of its successor.
const DRAIN: Micros = 3_600_000;
/// Time from a successor's start to its entry in the list.
const LISTING_DELAY: Micros = 1_000_000;
/// Time over which the work of a warming server counts against its capacity.
const COLLAPSE_TIME: Micros = 3_000_000;
/// Time between reports, and from what they report to their receipt.
const REPORT_PERIOD: Micros = 2 * SECOND;
/// Time before the first step of the deploy.
const LEAD: Micros = 8 * SECOND;

/// A deployment in mode `RequestsPerSecond` and its deploy.
#[derive(Clone, Debug)]
pub(crate) struct RollingDeploy {
    /// Zone and weight of each server, in the order of the deploy.
    pub servers: Vec<(u16, f64)>,
    /// Servers of the deploy's end that stay.
    pub kept: usize,
    pub zones: u16,
    /// True: class 0 is zone-local.
    pub zone_local: bool,
    /// The usual load as a ratio of the capacity of the fleet.
    pub utilization: f64,
    /// Attempts that clients make for each request while the deploy lasts.
    pub attempts_per_request: f64,
    pub at_a_time: usize,
    pub interval: Micros,
    /// A server that fails for all proxies from this time of the deploy on, for 10 s.
    pub failing: Option<(usize, Micros)>,
}

/// Usual requests per second of a class at each proxy.
const USUAL_RATE: f64 = 20.0;
const PROXIES_PER_ZONE: u16 = 2;

impl RollingDeploy {
    /// The largest work that a warming server gets within [`COLLAPSE_TIME`], as a ratio of what it can do at
    /// the end of it.
    pub(crate) fn largest_relative_load(&self) -> f64 {
        let mut set = settings();
        set.zone_count = usize::from(self.zones);
        set.proxy_count = u32::from(self.zones * PROXIES_PER_ZONE);
        set.admission_mode = AdmissionMode::RequestsPerSecond;
        set.report_period = REPORT_PERIOD;
        set.classes[0].zone_local = self.zone_local;
        let warm_up = set.warm_up;
        let mut harness = Harness::new(set);
        let proxies = self.zones * PROXIES_PER_ZONE;
        let entries: Vec<_> = (0..self.servers.len()).map(|n| self.entry(n, EndpointState::Ready)).collect();
        let mut events = vec![endpoint_list(ListUpdate::Cached, &entries)];
        events.extend((0..proxies).map(|proxy| proxy_connected(proxy, proxy % self.zones)));
        harness.decide(&events);
        let mut started = BTreeMap::new();
        let mut recent: BTreeMap<ServerId, VecDeque<f64>> = BTreeMap::new();
        let mut late_reports = Vec::new();
        let mut largest: f64 = 0.0;
        let replaced = self.servers.len() - self.kept;
        let length = LEAD + self.interval * (replaced / self.at_a_time + 1) as u64 + 25 * SECOND;
        while harness.now < START + length {
            harness.now += STEP;
            let mut events = self.list_changes(harness.now - START, replaced, &mut started);
            if harness.now.is_multiple_of(REPORT_PERIOD) {
                events.append(&mut late_reports);
                late_reports = self.reports(&harness, &started);
            }
            harness.decide(&events);
            let work = self.work(&harness);
            for (server, started_at) in &started {
                let age = harness.now - started_at;
                let window = recent.entry(*server).or_default();
                window.push_back(work.get(server).copied().unwrap_or(0.0));
                if window.len() as u64 > COLLAPSE_TIME / STEP {
                    window.pop_front();
                }
                if age < warm_up {
                    let capacity = self.capacity(*server, &started, harness.now);
                    let mean = window.iter().sum::<f64>() / (COLLAPSE_TIME / STEP) as f64;
                    largest = largest.max(mean / capacity);
                }
            }
        }
        largest
    }

    fn entry(&self, n: usize, state: EndpointState) -> Endpoint {
        let (zone, weight) = self.servers[n];
        Endpoint { weight, state, ..endpoint(n as u8, zone) }
    }

    /// A successor has the number of the server that it replaces, plus 100.
    fn weight(&self, server: ServerId) -> f64 {
        self.servers[usize::from(server.0[3] % 100)].1
    }

    /// Changes of the list at this time of the run. Adds the successors that start.
    fn list_changes(
        &self,
        at: Micros,
        replaced: usize,
        started: &mut BTreeMap<ServerId, Micros>,
    ) -> Vec<Event> {
        let mut changed = Vec::new();
        for n in 0..replaced {
            let drains_at = LEAD + self.interval * (n / self.at_a_time) as u64;
            let starts_at = drains_at + DRAIN;
            if at.abs_diff(drains_at) < STEP && at >= drains_at {
                changed.push(self.entry(n, EndpointState::Draining));
            }
            if at.abs_diff(starts_at + LISTING_DELAY) < STEP && at >= starts_at + LISTING_DELAY {
                changed.push(self.entry(n, EndpointState::Removed));
                let server = server_id(n as u8 + 100);
                started.insert(server, START + starts_at);
                let successor =
                    Endpoint { server, started_at: START + starts_at, ..self.entry(n, EndpointState::Ready) };
                changed.push(successor);
            }
        }
        if changed.is_empty() { Vec::new() } else { vec![endpoint_list(ListUpdate::Delta, &changed)] }
    }

    fn attempts(&self, now: Micros) -> f64 {
        if now < START + LEAD { USUAL_RATE } else { USUAL_RATE * self.attempts_per_request }
    }

    /// Attempts per second of each class that a proxy admits.
    fn admitted(&self, harness: &Harness, table: TableId, class: u8) -> f64 {
        let level =
            harness.admission.get(&(table, ClassId(class))).map_or(f32::INFINITY, |(_, level)| *level);
        self.attempts(harness.now).min(f64::from(level))
    }

    /// The work per second that each server gets, in weight.
    fn work(&self, harness: &Harness) -> BTreeMap<ServerId, f64> {
        let total_weight: f64 = self.servers.iter().map(|(_, weight)| weight).sum();
        let usual = USUAL_RATE * 2.0 * harness.assigned.len().max(1) as f64;
        let work_per_request = self.utilization * total_weight / usual;
        let mut work = BTreeMap::new();
        for (proxy, table) in &harness.assigned {
            for class in 0..2 {
                let local = self.zone_local && class == 0;
                let zone = proxy.0 % self.zones;
                let may_use =
                    |server: &ServerId| !local || self.servers[usize::from(server.0[3] % 100)].0 == zone;
                let lines: Vec<_> =
                    harness.tables[table].iter().filter(|(server, _)| may_use(server)).collect();
                let weights: f64 = lines.iter().map(|(_, weight)| f64::from(**weight)).sum();
                for (server, weight) in lines {
                    let share = f64::from(*weight) / weights;
                    *work.entry(*server).or_default() +=
                        work_per_request * share * self.admitted(harness, *table, class);
                }
            }
        }
        work
    }

    /// What a server can do now, in weight.
    fn capacity(&self, server: ServerId, started: &BTreeMap<ServerId, Micros>, now: Micros) -> f64 {
        let age = started.get(&server).map_or(f64::INFINITY, |at| (now - at) as f64);
        self.weight(server) * (0.3 + 0.7 * age / settings().warm_up as f64).min(1.0)
    }

    fn reports(&self, harness: &Harness, started: &BTreeMap<ServerId, Micros>) -> Vec<Event> {
        let mut reports = Vec::new();
        for proxy in harness.assigned.keys() {
            reports.extend((0..2).map(|class| Event::ClientStats {
                proxy: *proxy,
                class: ClassId(class),
                period: SECOND,
                requests: self.attempts(harness.now) as u32,
                unanswered: 0,
            }));
        }
        let failing = |n: u8| {
            self.failing.is_some_and(|(index, from)| {
                index == usize::from(n) && (from..from + 10 * SECOND).contains(&(harness.now - START))
            })
        };
        for (server, work) in self.work(harness) {
            let n = server.0[3];
            let zone = self.servers[usize::from(n % 100)].0;
            let utilization = work / self.capacity(server, started, harness.now);
            // An overloaded server answers what it can, late.
            let answered = if failing(n) { 0.0 } else { (20.0 / utilization).min(20.0) };
            let latency = if utilization > 1.0 { 900_000 } else { 200_000 };
            reports.push(upstream_stats(n, zone, 20, 20 - answered as u32, latency));
        }
        reports
    }
}
