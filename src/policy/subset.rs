//! Subsets: the servers of a zone's table, or of each part of it, measured against the load that it serves.
//!
//! Subset `n` of each zone are siblings: with `z` zones, subset `n` of zone `i` has table number `n * z + i`.

use std::collections::BTreeMap;

use super::Policy;
use super::server::Server;
use crate::interface::{TableId, ZoneId};

/// The table of all proxies while tables are not zone-aware. Its number lies above those of all subsets.
pub(super) const SHARED_TABLE: TableId = TableId(u16::MAX - 1);
/// A zone's table is cut into the fewest subsets whose proxies fill at most this ratio of a server's
/// connections, as servers slow down while those fill.
const MAX_CONNECTION_FILL_RATIO: f64 = 0.1;
/// Least number of this conductor's proxies that share a subset, on average.
const MIN_PROXIES_PER_SUBSET: f64 = 3.5;
/// Bound of the settings' proxy count, so that table numbers fit.
const MAX_PROXIES: u32 = 1 << 16;
/// A new server joins another zone's subset only if that zone lacks this much weight more than its own.
const OTHER_ZONE_MARGIN_WEIGHT: f64 = 1.0;

/// Weight of servers by subset.
pub(super) struct SubsetWeights {
    /// The subset's share of the load, of all weight.
    pub(super) expected: BTreeMap<TableId, f64>,
    /// What it holds.
    pub(super) held: BTreeMap<TableId, f64>,
}

impl SubsetWeights {
    fn held(&self, subset: TableId) -> f64 {
        self.held.get(&subset).copied().unwrap_or(0.0)
    }

    fn expected(&self, subset: TableId) -> f64 {
        self.expected.get(&subset).copied().unwrap_or(0.0)
    }

    /// Counts further weight into a subset; negative weight leaves it.
    pub(super) fn add(&mut self, subset: TableId, weight: f64) {
        *self.held.entry(subset).or_default() += weight;
    }

    /// Weight that a subset holds beyond the expected.
    pub(super) fn surplus(&self, subset: TableId) -> f64 {
        self.held(subset) - self.expected(subset)
    }

    /// Expected weight as a multiple of what a subset holds: above 1 it is short.
    pub(super) fn utilization(&self, subset: TableId) -> f64 {
        self.utilization_without(subset, 0.0)
    }

    /// The same, were this weight taken from it.
    pub(super) fn utilization_without(&self, subset: TableId, weight: f64) -> f64 {
        self.expected(subset) / (self.held(subset) - weight).max(1e-3)
    }
}

impl Policy {
    /// The subsets of a zone: one, or as few as keep within [`MAX_CONNECTION_FILL_RATIO`], as far as
    /// [`MIN_PROXIES_PER_SUBSET`] allows.
    ///
    /// Guards against servers whose connections fill, where hundreds of proxies share a table: they slow
    /// down, and most requests open a new connection. Cost: smaller tables, so more of them and less pooling.
    pub(super) fn subsets_of(&self, zone: ZoneId) -> impl Iterator<Item = TableId> + use<> {
        let zones = self.settings.zone_count.max(1);
        let proxies_in_zone = f64::from(self.settings.proxy_count.min(MAX_PROXIES)) / zones as f64;
        let conductors = f64::from(self.settings.conductor_count.max(1));
        let most = proxies_in_zone / conductors / MIN_PROXIES_PER_SUBSET;
        let listed_limit = self.settings.min_server_connections;
        let connection_limit = if listed_limit > 0.0 { listed_limit } else { f64::INFINITY };
        let needed = (proxies_in_zone / (connection_limit * MAX_CONNECTION_FILL_RATIO)).ceil();
        let count = needed.min(most).max(1.0) as usize;
        (0..count).map(move |index| TableId((index * zones) as u16 + zone.0))
    }

    /// The zone of a subset.
    pub(super) fn zone_of(&self, subset: TableId) -> ZoneId {
        ZoneId(subset.0 % self.settings.zone_count.max(1) as u16)
    }

    /// The number of a subset within its zone, the same for siblings; 0 while tables are not zone-aware.
    pub(super) fn sibling_index(&self, subset: TableId) -> u16 {
        if self.zone_aware { subset.0 / self.settings.zone_count.max(1) as u16 } else { 0 }
    }

    /// True: proxies of the subset's zone are connected.
    pub(super) fn is_in_use(&self, subset: TableId) -> bool {
        self.has_connected_proxies(self.zone_of(subset))
    }

    /// The table that serves a subset.
    pub(super) fn table_of(&self, subset: TableId) -> TableId {
        if self.zone_aware { subset } else { SHARED_TABLE }
    }

    /// Each subset's share of the load that proxies report; until they report, of connected proxies. The
    /// shares add up to 1.
    pub(super) fn load_shares(&self) -> BTreeMap<TableId, f64> {
        let reported = self.proxies.values().any(|proxy| !proxy.request_rates.is_empty());
        let mut load: BTreeMap<TableId, f64> = BTreeMap::new();
        for proxy in self.proxies.values() {
            let rates = &proxy.request_rates;
            let rate = if rates.is_empty() { proxy.listed_rate } else { rates.values().sum() };
            *load.entry(proxy.subset).or_default() += if reported { rate } else { 1.0 };
        }
        let total: f64 = load.values().sum::<f64>().max(1e-9);
        for share in load.values_mut() {
            *share /= total;
        }
        load
    }

    /// What each subset holds, servers counted by `weight_of`, and what it is expected to hold.
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

    /// The subset that lacks most weight, in the server's own zone or, if allowed, in the zone that lacks
    /// more.
    pub(super) fn neediest_subset(
        &self,
        own_zone: ZoneId,
        may_join_other_zone: bool,
        weights: &SubsetWeights,
    ) -> TableId {
        let zone = if may_join_other_zone { self.neediest_zone(own_zone, weights) } else { own_zone };
        let subsets = self.subsets_of(zone);
        let neediest = subsets.min_by(|a, b| weights.surplus(*a).total_cmp(&weights.surplus(*b)));
        neediest.unwrap_or(SHARED_TABLE)
    }

    fn neediest_zone(&self, own_zone: ZoneId, weights: &SubsetWeights) -> ZoneId {
        let surplus = |zone: ZoneId| self.subsets_of(zone).map(|subset| weights.surplus(subset)).sum::<f64>();
        let in_use = self.connected_by_zone.iter().filter(|(_, connected)| **connected > 0);
        let neediest = in_use.map(|(zone, _)| *zone).min_by(|a, b| surplus(*a).total_cmp(&surplus(*b)));
        neediest
            .filter(|zone| surplus(*zone) + OTHER_ZONE_MARGIN_WEIGHT < surplus(own_zone))
            .unwrap_or(own_zone)
    }
}
