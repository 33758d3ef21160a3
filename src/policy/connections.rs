//! Proxies that connect and disconnect, and the tables that they are assigned to.

use super::Policy;
use super::subset::SHARED_TABLE;
use crate::interface::{Micros, ProxyId, TableId, ZoneId};

/// A disconnected proxy keeps its share of the load for this long, as it goes on sending by its tables.
const DISCONNECTED_PROXY_RETENTION: Micros = 20_000_000;

impl Policy {
    /// A proxy has opened a stream. It returns to its subset, or joins the least loaded one of its zone.
    pub(super) fn connect_proxy(&mut self, proxy: ProxyId, zone: ZoneId, listed_rate: f64) {
        self.disconnect_proxy(proxy);
        if !self.has_connected_proxies(zone) {
            self.reset_zone_health(zone);
        }
        let previous = self.proxies.get(&proxy).filter(|known| known.zone == zone).map(|known| known.subset);
        let subset = previous.or(self.least_loaded_subset(zone)).unwrap_or(SHARED_TABLE);
        let table = self.tables.get(&self.table_of(subset));
        if table.is_none_or(|table| table.proxies.is_empty()) {
            self.tables_outdated = true;
        }
        let listed_rate = if listed_rate.is_finite() && listed_rate > 0.0 { listed_rate } else { 1.0 };
        *self.connected_by_zone.entry(zone).or_default() += 1;
        self.unassigned_proxies.insert(proxy);
        self.tables.entry(subset).or_default().listed_rate += listed_rate;
        let record = self.proxies.entry(proxy).or_default();
        record.zone = zone;
        record.subset = subset;
        record.connected = true;
        record.listed_rate = listed_rate;
        record.assigned_table = None;
        record.message_times.clear();
    }

    fn least_loaded_subset(&self, zone: ZoneId) -> Option<TableId> {
        let load = |subset: &TableId| self.tables.get(subset).map_or(0.0, |table| table.listed_rate);
        self.subsets_of(zone).min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    /// A proxy's stream has ended: messages in flight to it are lost, and its assignment ends.
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
            table.listed_rate -= record.listed_rate;
        }
        let assigned = record.assigned_table.take();
        if let Some(table) = assigned.and_then(|table| self.tables.get_mut(&table)) {
            table.proxies.remove(&proxy);
        }
    }

    /// Records that a proxy is assigned to a table, and to no other.
    pub(super) fn record_assignment(&mut self, proxy: ProxyId, table: TableId) {
        self.unassigned_proxies.remove(&proxy);
        let previous = self.proxies.get_mut(&proxy).and_then(|record| record.assigned_table.replace(table));
        if let Some(previous) = previous.and_then(|previous| self.tables.get_mut(&previous)) {
            previous.proxies.remove(&proxy);
        }
        self.tables.entry(table).or_default().proxies.insert(proxy);
    }

    /// True: proxies of the zone are connected.
    pub(super) fn has_connected_proxies(&self, zone: ZoneId) -> bool {
        self.connected_by_zone.get(&zone).is_some_and(|connected| *connected > 0)
    }

    /// Forgets proxies that disconnected long ago.
    pub(super) fn remove_proxies(&mut self) {
        self.proxies.retain(|_, proxy| {
            proxy.connected || self.now < proxy.disconnected_at + DISCONNECTED_PROXY_RETENTION
        });
    }
}
