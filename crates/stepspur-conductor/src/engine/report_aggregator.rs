//! Sums load reports between decisions and limits how many entries the decision module gets per second.

use std::collections::{BTreeMap, VecDeque};

use stepspur::interface::{ClassId, Event, Micros, ProxyId, ServerId, ZoneId};

/// Number of report periods over which unused budget accumulates at most.
const MAX_BUDGET_PERIODS: u64 = 2;
/// Rounding tolerance, in entries, for converting the budget to whole entries.
const BUDGET_TOLERANCE: f64 = 1e-6;

/// The subject of an entry: entries with the same key are summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportKey {
    /// Attempts at a server by the proxies of a zone.
    Upstream {
        /// Server that the attempts were sent to.
        server: ServerId,
        /// Zone of the proxies that sent them.
        zone: ZoneId,
    },
    /// Requests of a class that clients sent to a proxy.
    Client {
        /// Proxy that received the requests.
        proxy: ProxyId,
        /// Class of the requests.
        class: ClassId,
    },
}

/// Counts and latencies summed over a time span.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportSums {
    /// Start of the time span, in microseconds of the engine's clock.
    pub(crate) from: Micros,
    /// End of the time span, in microseconds of the engine's clock.
    pub(crate) to: Micros,
    /// Number of attempts or requests, failed ones included.
    pub(crate) total: u64,
    /// Number of failed attempts or requests.
    pub(crate) errors: u64,
    /// Sum of the latencies of the successful attempts, in microseconds.
    pub(crate) latency_sum: f64,
    /// The newest load report, empty if there is none.
    pub(crate) load: Vec<f32>,
}

/// Queue of entries for the decision module, oldest first, with a rate limit. A report with the key of a
/// queued entry is added to it, so that memory is bounded by servers times zones plus proxies times classes.
#[derive(Debug)]
pub(crate) struct ReportAggregator {
    /// Queued entries by key.
    sums: BTreeMap<ReportKey, ReportSums>,
    /// Keys of the queued entries, oldest first.
    queue: VecDeque<ReportKey>,
    entries_per_second: f64,
    /// Interval between batches of entries, in microseconds.
    period: Micros,
    /// Number of entries that may be passed on, as of `budget_updated_at`.
    budget: f64,
    budget_updated_at: Micros,
    /// When the next batch of entries is due.
    next_at: Micros,
}

impl ReportAggregator {
    /// Creates an empty aggregator that passes on at most `entries_per_second`, once every `period`
    /// microseconds.
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

    /// Queues an entry of a report, or adds it to the queued entry with the same key.
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

    /// Returns when entries are next due; `None` if none is queued.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        (!self.queue.is_empty()).then_some(self.next_at)
    }

    /// Removes the entries that are due, oldest first and within the budget, and returns their events. Does
    /// so once every period.
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

    /// Adds the budget for the time since the last refill, up to its maximum.
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

    /// Returns the number of queued entries.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }
}

/// Converts summed entries to an event for the decision module.
fn event(key: ReportKey, sums: ReportSums) -> Event {
    let period = (sums.to - sums.from).max(1);
    let total = saturating_u32(sums.total);
    let errors = saturating_u32(sums.errors);
    match key {
        ReportKey::Upstream { server, zone } => {
            let successes = sums.total - sums.errors;
            let latency = if successes > 0 { (sums.latency_sum / successes as f64) as Micros } else { 0 };
            Event::UpstreamStats {
                server,
                zone,
                period,
                attempts: total,
                failed_attempts: errors,
                latency,
                load: sums.load,
            }
        }
        ReportKey::Client { proxy, class } => {
            Event::ClientStats { proxy, class, period, requests: total, unanswered: errors }
        }
    }
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
