//! Connections of proxies: the subset that a connecting proxy joins, and the table that it is assigned to.

use super::Policy;
use super::plausibility::MAX_DECLARED_RATE;
use super::subset::SHARED_TABLE;
use crate::interface::{Micros, ProxyId, TableId, ZoneId};

/// How long the load of a disconnected proxy still counts, as it continues to route by the tables it has.
const DISCONNECTED_PROXY_RETENTION: Micros = 20_000_000;

impl Policy {
    /// Records that a proxy has opened a stream. It returns to its previous subset if that is known and its
    /// zone is the same; else it joins the subset of its zone whose proxies declared the least traffic. An
    /// invalid declared rate counts as 1.
    pub(super) fn connect_proxy(&mut self, proxy: ProxyId, zone: ZoneId, declared_rate: f64) {
        self.disconnect_proxy(proxy);
        if !self.has_connected_proxies(zone) {
            self.reset_zone_health(zone);
            self.tables_outdated |= self.has_zone_local_class();
        }
        let previous = self.proxies.get(&proxy).filter(|known| known.zone == zone).map(|known| known.subset);
        let subset = previous.or(self.least_loaded_subset(zone)).unwrap_or(SHARED_TABLE);
        let table = self.tables.get(&self.table_of(subset));
        if table.is_none_or(|table| table.proxies.is_empty()) {
            self.tables_outdated = true;
        }
        let declared_rate =
            if declared_rate.is_finite() && declared_rate > 0.0 { declared_rate } else { 1.0 };
        let declared_rate = declared_rate.min(MAX_DECLARED_RATE);
        *self.connected_by_zone.entry(zone).or_default() += 1;
        self.unassigned_proxies.insert(proxy);
        self.tables.entry(subset).or_default().declared_rate += declared_rate;
        let record = self.proxies.entry(proxy).or_default();
        record.zone = zone;
        record.subset = subset;
        record.connected = true;
        record.declared_rate = declared_rate;
        record.assigned_table = None;
        record.message_times.clear();
    }

    fn least_loaded_subset(&self, zone: ZoneId) -> Option<TableId> {
        let load = |subset: &TableId| self.tables.get(subset).map_or(0.0, |table| table.declared_rate);
        self.subsets_of(zone).min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    /// Records that a proxy's stream has ended: its messages in flight are lost, and it has no table
    /// assigned.
    pub(super) fn disconnect_proxy(&mut self, proxy: ProxyId) {
        let Some(record) = self.proxies.get_mut(&proxy).filter(|record| record.connected) else { return };
        record.connected = false;
        record.disconnected_at = self.now;
        self.unassigned_proxies.remove(&proxy);
        self.channel.disconnect(proxy);
        if let Some(connected) = self.connected_by_zone.get_mut(&record.zone) {
            *connected -= 1;
        }
        if let Some(table) = self.tables.get_mut(&record.subset) {
            table.declared_rate -= record.declared_rate;
        }
        let assigned = record.assigned_table.take();
        if let Some(table) = assigned.and_then(|table| self.tables.get_mut(&table)) {
            table.proxies.remove(&proxy);
        }
        self.forget_shard_confirmations(proxy);
    }

    /// Records that a proxy is assigned to a table, which replaces its previous one.
    pub(super) fn record_assignment(&mut self, proxy: ProxyId, table: TableId) {
        self.unassigned_proxies.remove(&proxy);
        let previous = self.proxies.get_mut(&proxy).and_then(|record| record.assigned_table.replace(table));
        if let Some(previous) = previous.and_then(|previous| self.tables.get_mut(&previous)) {
            previous.proxies.remove(&proxy);
        }
        self.tables.entry(table).or_default().proxies.insert(proxy);
    }

    /// True: at least one proxy of the zone is connected.
    pub(super) fn has_connected_proxies(&self, zone: ZoneId) -> bool {
        self.connected_by_zone.get(&zone).is_some_and(|connected| *connected > 0)
    }

    /// Deletes the records of proxies that disconnected more than [`DISCONNECTED_PROXY_RETENTION`] ago.
    pub(super) fn remove_proxies(&mut self) {
        self.proxies.retain(|_, proxy| {
            proxy.connected || self.now < proxy.disconnected_at + DISCONNECTED_PROXY_RETENTION
        });
    }
}
