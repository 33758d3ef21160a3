//! Bookkeeping of the records and sums over them. No decision and no tuned value stands here.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{
    ClassId, EndpointState, Micros, ProbeOutcome, ProxyId, RetryPolicy, ServerId, TableId, ZoneId,
};
use crate::state::{ByPool, Link, Policy, Pools, Proxy, Server};

/// The value that the median unit of weight has, of pairs of value and weight; 0 of none.
pub(crate) fn median(mut values: Vec<(f64, f64)>) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = values.iter().map(|v| v.1).sum::<f64>() / 2.0;
    let beyond = |v: &&(f64, f64)| {
        left -= v.1;
        left <= 0.0
    };
    values.iter().find(beyond).map_or(0.0, |v| v.0)
}

impl Server {
    pub(crate) fn ready(&self) -> bool {
        self.listed.state == EndpointState::Ready
    }

    /// Counts a probe's result: answered or failed in a row. Being turned away tells nothing.
    pub(crate) fn note_probe(&mut self, outcome: ProbeOutcome) {
        match outcome {
            ProbeOutcome::Ok => (self.oks, self.fails) = (self.oks + 1, 0),
            ProbeOutcome::Rejected => {}
            _ => (self.oks, self.fails) = (0, self.fails + 1),
        }
    }
}

impl Link {
    /// Adds a report to evidence of which so much is kept.
    pub(crate) fn add(&mut self, keep: f64, total: f64, errors: f64, time: f64) {
        self.tries = self.tries * keep + total;
        self.errors = self.errors * keep + errors;
        self.time = self.time * keep + time;
        self.failed_run = if errors >= total { self.failed_run + total } else { 0.0 };
    }
}

impl Pools {
    pub(crate) fn held(&self, pool: TableId) -> f64 {
        self.held.get(&pool).copied().unwrap_or(0.0)
    }

    fn expected(&self, pool: TableId) -> f64 {
        self.expected.get(&pool).copied().unwrap_or(0.0)
    }

    /// Servers that a pool holds beyond what it is expected to have.
    pub(crate) fn spare(&self, pool: TableId) -> f64 {
        self.held(pool) - self.expected(pool)
    }

    /// How many times the servers that a pool would have without these it is expected to have.
    pub(crate) fn strain(&self, pool: TableId, without: f64) -> f64 {
        self.expected(pool) / (self.held(pool) - without).max(1e-3)
    }
}

impl Policy {
    /// A proxy's stream stands; it belongs to this table and is bound to none yet.
    pub(crate) fn note_joined(&mut self, proxy: ProxyId, zone: ZoneId, pool: TableId, listed_rate: f64) {
        *self.joined.entry(zone).or_default() += 1;
        self.unbound.insert(proxy);
        self.tables.entry(pool).or_default().load += listed_rate;
        let before = self.proxies.remove(&proxy).unwrap_or_default();
        let known = Proxy { bound: None, messages: Vec::new(), ..before };
        self.proxies.insert(proxy, Proxy { zone, pool, joined: true, listed_rate, ..known });
    }

    /// A proxy's stream has broken: what was on its way is lost, and its binding ends.
    pub(crate) fn note_left(&mut self, proxy: ProxyId) {
        let Some(p) = self.proxies.get_mut(&proxy).filter(|p| p.joined) else { return };
        (p.joined, p.left_at) = (false, self.now);
        self.unbound.remove(&proxy);
        self.ledger.lost(proxy);
        self.joined.entry(p.zone).and_modify(|joined| *joined -= 1);
        self.tables.entry(p.pool).and_modify(|t| t.load -= p.listed_rate);
        if let Some(table) = p.bound.take().and_then(|id| self.tables.get_mut(&id)) {
            table.users.remove(&proxy);
        }
    }

    /// A proxy is bound to a table, and to no other.
    pub(crate) fn note_bound(&mut self, proxy: ProxyId, id: TableId) {
        self.unbound.remove(&proxy);
        let old = self.proxies.get_mut(&proxy).and_then(|p| p.bound.replace(id));
        if let Some(old) = old.and_then(|old| self.tables.get_mut(&old)) {
            old.users.remove(&proxy);
        }
        self.tables.entry(id).or_default().users.insert(proxy);
    }

    /// A table's line is so; without weight there is none.
    pub(crate) fn note_line(&mut self, id: TableId, server: ServerId, weight: f64) {
        let table = self.tables.entry(id).or_default();
        table.sent_at = self.now;
        if weight > 0.0 {
            table.lines.insert(server, weight);
        } else {
            table.lines.remove(&server);
        }
    }

    /// A table's level and way of trying again are so.
    pub(crate) fn note_level(&mut self, id: TableId, class: ClassId, resend: RetryPolicy, level: f64) {
        let table = self.tables.entry(id).or_default();
        table.sent_at = self.now;
        table.levels.insert(class, (resend, level));
    }

    /// A slice is given into this conductor's charge, or taken away.
    pub(crate) fn note_slice(&mut self, slice: TableId, given: bool) {
        self.news = true;
        self.tables.remove(&slice);
        self.slices.remove(&slice);
        self.slices.extend(given.then_some((slice, self.now)));
    }

    /// Books so many lines for each of these proxies in this reply: one message each.
    pub(crate) fn charge<'a>(&mut self, to: impl IntoIterator<Item = &'a ProxyId>, lines: usize) {
        let since: Micros = self.now.saturating_sub(self.set.message_window);
        for id in to {
            let Some(proxy) = self.proxies.get_mut(id) else { continue };
            proxy.messages.retain(|at| *at >= since);
            let new = proxy.messages.last() != Some(&self.now);
            proxy.messages.extend(new.then_some(self.now));
            let head = if new { self.set.message_overhead_lines + 1.0 } else { 0.0 };
            self.ledger.charge(*id, lines as f64 + head);
        }
    }

    /// The median heat of the fleet and of each zone by links with reports since then, each heat and its weight as
    /// told; tries and errors there.
    pub(crate) fn sum_links(
        &mut self,
        since: Micros,
        told: impl Fn(&Server, &Link) -> (f64, f64),
    ) -> (f64, f64) {
        let mut zones: BTreeMap<ZoneId, Vec<_>> = BTreeMap::new();
        let (mut tries, mut errors, mut fleet) = (0.0, 0.0, Vec::new());
        let links = self.servers.values().flat_map(|s| s.links.iter().map(move |(zone, l)| (s, zone, l)));
        for (server, zone, link) in links.filter(|(_, _, l)| l.at >= since) {
            let value = told(server, link);
            (tries, errors) = (tries + link.tries, errors + link.errors);
            if value.1 <= 0.0 {
                continue;
            }
            zones.entry(*zone).or_default().push(value);
            fleet.extend(link.out_until.is_none().then_some(value));
        }
        self.zone_heat = zones.into_iter().map(|(zone, heats)| (zone, median(heats))).collect();
        self.median = median(fleet);
        (tries, errors)
    }

    /// A load report: requests waiting at a server, where reports tell them.
    pub(crate) fn note_load(&mut self, server: ServerId, load: &[f32]) {
        let queue = self.set.load_columns.iter().position(|c| c == "q").and_then(|k| load.get(k));
        let Some(queue) = queue.filter(|queue| queue.is_finite()) else { return };
        if let Some(s) = self.servers.get_mut(&server) {
            (s.queue, s.loaded_at) = (f64::from(*queue).max(0.0), Some(self.now));
        }
    }

    /// Requests waiting where the median try goes, if load reports that came since then tell it for most tries.
    pub(crate) fn median_queue(&self, since: Micros) -> Option<f64> {
        let tries = |s: &Server| s.links.values().map(|l| l.tries).sum::<f64>();
        let ready = || self.servers.values().filter(|s| s.ready()).map(|s| (s, tries(s)));
        let told = ready().filter(|(s, _)| s.loaded_at.is_some_and(|at| at >= since));
        let queues: Vec<_> = told.map(|(s, tries)| (s.queue, tries)).collect();
        let [known, all] = [queues.iter().map(|q| q.1).sum::<f64>(), ready().map(|s| s.1).sum()];
        (known * 2.0 > all).then(|| median(queues))
    }

    /// By zone: servers listed ready that its tables hold, and those of them that are fit.
    pub(crate) fn fit_by_zone(&self, fit: impl Fn(&Server) -> bool) -> BTreeMap<ZoneId, (usize, usize)> {
        let mut zones: BTreeMap<ZoneId, (usize, usize)> = BTreeMap::new();
        for server in self.servers.values().filter(|s| s.ready()) {
            let (held, is_fit) = zones.entry(self.zone_of(server.home)).or_default();
            (*held, *is_fit) = (*held + 1, *is_fit + usize::from(fit(server)));
        }
        zones
    }

    /// The zone of a table that is a zone's or a part of one: parts of the same number stand side by side.
    pub(crate) fn zone_of(&self, pool: TableId) -> ZoneId {
        ZoneId(pool.0 % self.set.zone_count.max(1) as u16)
    }

    /// True: proxies of the table's zone are joined.
    pub(crate) fn in_use(&self, pool: TableId) -> bool {
        self.joined.get(&self.zone_of(pool)).is_some_and(|joined| *joined > 0)
    }

    /// Requests a second by class that usually come to joined proxies.
    pub(crate) fn sum_usual(&self) -> Vec<f64> {
        let joined = || self.proxies.values().filter(|p| p.joined);
        let load = |k| joined().filter_map(|p| p.usual.get(&ClassId(k))).sum();
        (0..self.set.classes.len().min(256)).map(|k| load(k as u8)).collect()
    }

    /// Requests a second that come to joined proxies now.
    pub(crate) fn sum_rates(&self) -> f64 {
        self.proxies.values().filter(|p| p.joined).flat_map(|p| p.rates.values()).sum()
    }

    /// Requests a second of a class that a proxy of these usually gets.
    pub(crate) fn mean_usual(&self, of: &BTreeSet<ProxyId>, class: ClassId) -> f64 {
        let rates = of.iter().filter_map(|id| self.proxies.get(id)?.usual.get(&class));
        rates.sum::<f64>() / of.len().max(1) as f64
    }

    /// How many servers each table holds, counted so, and how many it expects: all, times its load share.
    pub(crate) fn pools(&self, shares: &ByPool, count: impl Fn(&Server) -> f64) -> Pools {
        let mut held = ByPool::new();
        for server in self.servers.values() {
            *held.entry(server.home).or_default() += count(server);
        }
        let all: f64 = held.values().sum();
        Pools { expected: shares.iter().map(|(pool, share)| (*pool, share * all)).collect(), held }
    }
}

#[cfg(test)]
mod tests;
