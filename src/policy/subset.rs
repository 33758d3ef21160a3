//! Subsets: the parts of a zone's servers that have a table each, and their weight relative to their load.
//!
//! The subsets with the same index in each zone are siblings: with `z` zones, subset `n` of zone `i` has
//! table number `n * z + i`.

use std::collections::BTreeMap;

use super::Policy;
use super::server::Server;
use crate::interface::{TableId, ZoneId};

/// The table of all proxies while tables are not zone-aware. Its number is above those of all subsets.
pub(super) const SHARED_TABLE: TableId = TableId(u16::MAX - 1);
/// A zone's servers are divided into the fewest subsets whose proxies use at most this ratio of a server's
/// connections, as servers slow down before their connections are exhausted.
const MAX_CONNECTION_FILL_RATIO: f64 = 0.1;
/// Lower bound of the mean number of proxies of one conductor in a subset.
const MIN_PROXIES_PER_SUBSET: f64 = 3.5;
/// Upper bound of the proxy count in the settings, so that table numbers fit into 16 bits.
const MAX_PROXIES: u32 = 1 << 16;
/// A new server joins a subset of another zone only if that zone's deficit exceeds its own zone's by this
/// weight.
const OTHER_ZONE_MARGIN_WEIGHT: f64 = 1.0;

/// The weight of each subset's servers, and the weight that would correspond to its load.
pub(super) struct SubsetWeights {
    /// The subset's share of the load, as a part of the total weight. Only subsets with load have an entry.
    pub(super) expected: BTreeMap<TableId, f64>,
    /// The weight of the subset's servers.
    pub(super) held: BTreeMap<TableId, f64>,
}

impl SubsetWeights {
    fn held(&self, subset: TableId) -> f64 {
        self.held.get(&subset).copied().unwrap_or(0.0)
    }

    fn expected(&self, subset: TableId) -> f64 {
        self.expected.get(&subset).copied().unwrap_or(0.0)
    }

    /// Adds weight to a subset; negative weight is removed from it.
    pub(super) fn add(&mut self, subset: TableId, weight: f64) {
        *self.held.entry(subset).or_default() += weight;
    }

    /// The held weight minus the expected weight of a subset; negative: a deficit.
    pub(super) fn surplus(&self, subset: TableId) -> f64 {
        self.held(subset) - self.expected(subset)
    }

    /// The expected weight as a multiple of the held weight of a subset; above 1: a deficit.
    pub(super) fn utilization(&self, subset: TableId) -> f64 {
        self.utilization_without(subset, 0.0)
    }

    /// The utilization of a subset if this weight were removed from it.
    pub(super) fn utilization_without(&self, subset: TableId, weight: f64) -> f64 {
        self.expected(subset) / (self.held(subset) - weight).max(1e-3)
    }
}

impl Policy {
    /// The subsets of a zone: as few as keep within [`MAX_CONNECTION_FILL_RATIO`], but not more than
    /// [`MIN_PROXIES_PER_SUBSET`] permits, and at least one.
    ///
    /// Guards against exhausted connections at servers where hundreds of proxies share a table: the servers
    /// slow down, and most requests open a new connection. Cost: more and smaller tables, each of which
    /// averages load over fewer servers.
    pub(super) fn subsets_of(&self, zone: ZoneId) -> impl Iterator<Item = TableId> + use<> {
        let zones = self.settings.zone_count.max(1);
        let proxies_in_zone = f64::from(self.settings.proxy_count.min(MAX_PROXIES)) / zones as f64;
        let conductors = f64::from(self.settings.conductor_count.max(1));
        let max_subsets = proxies_in_zone / conductors / MIN_PROXIES_PER_SUBSET;
        let listed_limit = self.settings.min_server_connections;
        let connection_limit = if listed_limit > 0.0 { listed_limit } else { f64::INFINITY };
        let min_subsets = (proxies_in_zone / (connection_limit * MAX_CONNECTION_FILL_RATIO)).ceil();
        let count = min_subsets.min(max_subsets).max(1.0) as usize;
        (0..count).map(move |index| TableId((index * zones) as u16 + zone.0))
    }

    /// The zone whose proxies use a subset.
    pub(super) fn zone_of(&self, subset: TableId) -> ZoneId {
        ZoneId(subset.0 % self.settings.zone_count.max(1) as u16)
    }

    /// The index of a subset within its zone, equal for siblings; 0 while tables are not zone-aware.
    pub(super) fn sibling_index(&self, subset: TableId) -> u16 {
        if self.zone_aware { subset.0 / self.settings.zone_count.max(1) as u16 } else { 0 }
    }

    /// True: at least one proxy of the subset's zone is connected.
    pub(super) fn is_in_use(&self, subset: TableId) -> bool {
        self.has_connected_proxies(self.zone_of(subset))
    }

    /// The table that the proxies of a subset use.
    pub(super) fn table_of(&self, subset: TableId) -> TableId {
        if self.zone_aware { subset } else { SHARED_TABLE }
    }

    /// Each subset's share of the load that its proxies report; until any proxy has reported, its share of
    /// the proxies. The shares add up to 1; there are none without proxies.
    pub(super) fn load_shares(&self) -> BTreeMap<TableId, f64> {
        let reported = self.proxies.values().any(|proxy| !proxy.request_rates.is_empty());
        let mut load: BTreeMap<TableId, f64> = BTreeMap::new();
        for proxy in self.proxies.values() {
            let rates = &proxy.request_rates;
            let rate = if rates.is_empty() {
                self.plausible_declared_rate(proxy.declared_rate)
            } else {
                rates.values().sum()
            };
            *load.entry(proxy.subset).or_default() += if reported { rate } else { 1.0 };
        }
        let total: f64 = load.values().sum::<f64>().max(1e-9);
        for share in load.values_mut() {
            *share /= total;
        }
        load
    }

    /// The weight that each subset holds, with `weight_of` each server, and the weight that it is expected to
    /// hold.
    pub(super) fn subset_weights(&self, weight_of: impl Fn(&Server) -> f64) -> SubsetWeights {
        let mut held: BTreeMap<TableId, f64> = BTreeMap::new();
        for server in self.servers.values() {
            *held.entry(server.subset).or_default() += weight_of(server);
        }
        let total: f64 = held.values().sum();
        let mut expected = self.load_shares();
        for share in expected.values_mut() {
            *share *= total;
        }
        SubsetWeights { expected, held }
    }

    /// The subset with the largest deficit in the server's own zone, or if allowed in the zone that
    /// [`Policy::largest_deficit_zone`] gives.
    pub(super) fn largest_deficit_subset(
        &self,
        own_zone: ZoneId,
        may_join_other_zone: bool,
        weights: &SubsetWeights,
    ) -> TableId {
        let zone = if may_join_other_zone { self.largest_deficit_zone(own_zone, weights) } else { own_zone };
        let subsets = self.subsets_of(zone);
        let largest_deficit = subsets.min_by(|a, b| weights.surplus(*a).total_cmp(&weights.surplus(*b)));
        largest_deficit.unwrap_or(SHARED_TABLE)
    }

    /// The zone with the largest deficit among those with connected proxies, if that exceeds the own
    /// zone's deficit by more than [`OTHER_ZONE_MARGIN_WEIGHT`]; else the own zone.
    fn largest_deficit_zone(&self, own_zone: ZoneId, weights: &SubsetWeights) -> ZoneId {
        let surplus = |zone: ZoneId| self.subsets_of(zone).map(|subset| weights.surplus(subset)).sum::<f64>();
        let in_use = self.connected_by_zone.iter().filter(|(_, connected)| **connected > 0);
        let largest_deficit =
            in_use.map(|(zone, _)| *zone).min_by(|a, b| surplus(*a).total_cmp(&surplus(*b)));
        largest_deficit
            .filter(|zone| surplus(*zone) + OTHER_ZONE_MARGIN_WEIGHT < surplus(own_zone))
            .unwrap_or(own_zone)
    }
}
