//! Sums load reports between decisions and limits how many entries the decision module gets per second.

use std::collections::{BTreeMap, VecDeque};

use stepspur::interface::{ClassId, Event, Micros, ProxyId, ServerId, ZoneId};

/// Unused budget accumulates over this many report periods at most.
const MAX_BUDGET_PERIODS: u64 = 2;
/// Tolerance for rounding when the budget is converted to whole entries.
const BUDGET_TOLERANCE: f64 = 1e-6;

/// What an entry of a report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportKey {
    /// Attempts at a server by the proxies of a zone.
    Upstream {
        /// The server.
        server: ServerId,
        /// The zone.
        zone: ZoneId,
    },
    /// Requests of a class that clients sent to a proxy.
    Client {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
    },
}

/// Sums over a time span.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportSums {
    /// Start of the time span.
    pub(crate) from: Micros,
    /// End of the time span.
    pub(crate) to: Micros,
    /// Attempts or requests.
    pub(crate) total: u64,
    /// Those that failed.
    pub(crate) errors: u64,
    /// Sum of the latencies of the successful ones, in microseconds.
    pub(crate) latency_sum: f64,
    /// The newest load report.
    pub(crate) load: Vec<f32>,
}

/// Entries that wait for the decision module, the oldest first. A report about a waiting entry adds to it, so
/// memory is bounded by servers times zones plus proxies times classes.
#[derive(Debug)]
pub(crate) struct ReportAggregator {
    sums: BTreeMap<ReportKey, ReportSums>,
    queue: VecDeque<ReportKey>,
    entries_per_second: f64,
    period: Micros,
    /// Entries that may be taken, as of `budget_updated_at`.
    budget: f64,
    budget_updated_at: Micros,
    next_at: Micros,
}

impl ReportAggregator {
    /// Passes on at most `entries_per_second`, once a `period`.
    pub(crate) fn new(entries_per_second: f64, period: Micros, now: Micros) -> Self {
        Self {
            sums: BTreeMap::new(),
            queue: VecDeque::new(),
            entries_per_second,
            period,
            budget: 0.0,
            budget_updated_at: now,
            next_at: now + period,
        }
    }

    /// Adds an entry of a report.
    pub(crate) fn add(&mut self, key: ReportKey, added: ReportSums) {
        let Some(sums) = self.sums.get_mut(&key) else {
            self.sums.insert(key, added);
            self.queue.push_back(key);
            return;
        };
        sums.from = sums.from.min(added.from);
        sums.to = sums.to.max(added.to);
        sums.total += added.total;
        sums.errors += added.errors;
        sums.latency_sum += added.latency_sum;
        if !added.load.is_empty() {
            sums.load = added.load;
        }
    }

    /// When entries are next due; none if none waits.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        (!self.queue.is_empty()).then_some(self.next_at)
    }

    /// Takes the entries that are due, once a period.
    pub(crate) fn take_due(&mut self, now: Micros) -> Vec<Event> {
        if now < self.next_at {
            return Vec::new();
        }
        self.next_at = now + self.period;
        self.refill_budget(now);
        let count = ((self.budget + BUDGET_TOLERANCE) as usize).min(self.queue.len());
        self.budget -= count as f64;
        let mut events = Vec::with_capacity(count);
        for key in self.queue.drain(..count) {
            if let Some(sums) = self.sums.remove(&key) {
                events.push(event(key, sums));
            }
        }
        events
    }

    fn refill_budget(&mut self, now: Micros) {
        let max_span = MAX_BUDGET_PERIODS * self.period;
        let elapsed = now.saturating_sub(self.budget_updated_at).min(max_span) as f64 * 1e-6;
        let max_budget = (self.entries_per_second * max_span as f64 * 1e-6).max(1.0);
        self.budget = (self.budget + self.entries_per_second * elapsed).min(max_budget);
        self.budget_updated_at = now;
    }

    /// Removes the entries of a proxy that has disconnected.
    pub(crate) fn remove_proxy(&mut self, removed: ProxyId) {
        let is_removed =
            |key: &ReportKey| matches!(key, ReportKey::Client { proxy, .. } if *proxy == removed);
        self.queue.retain(|key| !is_removed(key));
        self.sums.retain(|key, _| !is_removed(key));
    }

    /// How many entries wait.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}

fn event(key: ReportKey, sums: ReportSums) -> Event {
    let period = (sums.to - sums.from).max(1);
    let total = saturating_u32(sums.total);
    let errors = saturating_u32(sums.errors);
    match key {
        ReportKey::Upstream { server, zone } => {
            let successes = sums.total - sums.errors;
            let latency = if successes > 0 { (sums.latency_sum / successes as f64) as Micros } else { 0 };
            Event::UpstreamStats { server, zone, period, total, errors, latency, load: sums.load }
        }
        ReportKey::Client { proxy, class } => Event::ClientStats { proxy, class, period, total, errors },
    }
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
