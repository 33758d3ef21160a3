//! Reports: summed by server and zone, looked at no faster than the limit, with the time that they truly cover.

use std::collections::{BTreeMap, VecDeque};

use stepspur::interface::{ClassId, Event, Micros, ProxyId, ServerId, ZoneId};

/// What a line of reports is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Key {
    /// Tries at a server by the proxies of a zone.
    Met(ServerId, ZoneId),
    /// Requests of a class that came to a proxy.
    Came(ProxyId, ClassId),
}

/// Counts over a span of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub from: Micros,
    pub to: Micros,
    pub total: u64,
    pub errors: u64,
    /// Summed time of the good ones.
    pub time: f64,
    /// The newest load report and its time.
    pub load: Vec<f32>,
}

/// Lines that wait to be looked at, the oldest first. What comes for a line that still waits adds to it, so
/// memory is bounded by servers times zones and proxies times classes.
#[derive(Debug)]
pub(crate) struct ReportAggregator {
    waiting: BTreeMap<Key, Counts>,
    order: VecDeque<Key>,
    per_s: f64,
    gather: Micros,
    /// Lines that may be looked at now, and when that was reckoned.
    budget: f64,
    at: Micros,
    next: Micros,
}

impl ReportAggregator {
    pub(crate) fn new(per_s: f64, gather: Micros, now: Micros) -> Self {
        let (waiting, order) = (BTreeMap::new(), VecDeque::new());
        Self { waiting, order, per_s, gather, budget: 0.0, at: now, next: now + gather }
    }

    pub(crate) fn add(&mut self, key: Key, counts: Counts) {
        if let Some(sum) = self.waiting.get_mut(&key) {
            (sum.from, sum.to) = (sum.from.min(counts.from), sum.to.max(counts.to));
            sum.total += counts.total;
            sum.errors += counts.errors;
            sum.time += counts.time;
            sum.load = if counts.load.is_empty() { std::mem::take(&mut sum.load) } else { counts.load };
            return;
        }
        self.waiting.insert(key, counts);
        self.order.push_back(key);
    }

    /// When lines may next be looked at.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        (!self.order.is_empty()).then_some(self.next)
    }

    /// The lines that are due, once a gathering span.
    pub(crate) fn take(&mut self, now: Micros) -> Vec<Event> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + self.gather;
        // What was not used does not pile up beyond two spans.
        let most = 2 * self.gather;
        let span = now.saturating_sub(self.at).min(most) as f64 * 1e-6;
        self.budget = (self.budget + self.per_s * span).min((self.per_s * most as f64 * 1e-6).max(1.0));
        self.at = now;
        let many = ((self.budget + 1e-6) as usize).min(self.order.len());
        self.budget -= many as f64;
        let keys: Vec<Key> = self.order.drain(..many).collect();
        keys.into_iter().filter_map(|key| Some(event(key, self.waiting.remove(&key)?))).collect()
    }

    /// A proxy has left: what came to it is of no more use.
    pub(crate) fn forget(&mut self, proxy: ProxyId) {
        let gone = |key: &Key| matches!(key, Key::Came(p, _) if *p == proxy);
        self.order.retain(|key| !gone(key));
        self.waiting.retain(|key, _| !gone(key));
    }

    /// Lines that wait.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}

fn event(key: Key, counts: Counts) -> Event {
    let period = (counts.to - counts.from).max(1);
    let [total, errors] = [counts.total, counts.errors].map(|n| u32::try_from(n).unwrap_or(u32::MAX));
    match key {
        Key::Met(server, zone) => {
            let good = counts.total - counts.errors;
            let latency = if good > 0 { (counts.time / good as f64) as Micros } else { 0 };
            Event::UpstreamStats { server, zone, period, total, errors, latency, load: counts.load }
        }
        Key::Came(proxy, class) => Event::ClientStats { proxy, class, period, total, errors },
    }
}

#[cfg(test)]
mod tests;
