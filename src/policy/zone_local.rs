//! Zone-local classes: only servers in a proxy's own zone may serve them. While the settings have such a
//! class, each table contains servers of every zone whose proxies use it, and no server is lent to another
//! zone.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::server::Server;
use super::subset::SHARED_TABLE;
use super::table::Table;
use super::table_plan::TablePlan;
use crate::interface::{ServerId, TableId, ZoneId};

/// Upper bound of the total weight of a zone's unusable servers, as a ratio of the table's other weight.
/// Classes that are not zone-local see these servers, too.
const MAX_FALLBACK_WEIGHT_RATIO: f64 = 0.05;

impl Policy {
    /// True: a class is bound to the zone of the proxy.
    pub(super) fn has_zone_local_class(&self) -> bool {
        self.settings.classes.iter().any(|class| class.zone_local)
    }

    /// The zones that a table must contain servers of: those whose connected proxies use it. None without a
    /// zone-local class.
    fn zones_to_serve(&self, table: TableId) -> Vec<ZoneId> {
        if !self.has_zone_local_class() {
            return Vec::new();
        }
        let zones = self.connected_by_zone.keys().copied();
        let in_use = zones.filter(|zone| self.has_connected_proxies(*zone));
        in_use.filter(|zone| table == SHARED_TABLE || self.zone_of(table) == *zone).collect()
    }

    /// The zone whose proxies' measurements decide whether a table may use a server: the zone of the table.
    /// The shared table has none of its own; with a zone-local class it is the zone of the server, as its
    /// proxies have no other servers for that class.
    pub(super) fn judging_zone(&self, server: &Server, table: TableId) -> ZoneId {
        if table == SHARED_TABLE && self.has_zone_local_class() { server.zone() } else { self.zone_of(table) }
    }

    /// Adds warm servers of a zone to a table that contains none of its usable servers. They are listed as
    /// ready, but unhealthy, ejected or excluded otherwise.
    ///
    /// Guards against proxies without a server for a zone-local class while all servers of their zone seem to
    /// have failed: the list may be right and the measurements wrong. Servers that are warming up are left
    /// out, as they would get all requests of the class. Cost: a small part of the other classes' attempts
    /// reaches servers that have probably failed.
    pub(super) fn add_local_fallback(&self, table: TableId, weights: &mut BTreeMap<ServerId, f64>) {
        let total: f64 = weights.values().sum();
        for zone in self.zones_to_serve(table) {
            let mut planned = weights.keys().filter_map(|server| self.servers.get(server));
            if planned.any(|server| server.zone() == zone && self.is_usable(server, zone)) {
                continue;
            }
            let warm: Vec<&Server> = self.warm_ready_servers(zone).collect();
            let listed: f64 = warm.iter().map(|server| server.endpoint.weight).sum();
            for server in warm {
                let weight = MAX_FALLBACK_WEIGHT_RATIO * total * server.endpoint.weight / listed;
                weights.entry(server.id()).or_insert(weight);
            }
        }
    }

    /// The zones of which a table, as published, contains no server that its plan keeps. Their servers must
    /// be added with the removals, not after them.
    pub(super) fn zones_without_kept_server(&self, table: &Table, plan: &TablePlan) -> BTreeSet<ZoneId> {
        let mut unserved: BTreeSet<ZoneId> = self.zones_to_serve(plan.table).into_iter().collect();
        if unserved.is_empty() {
            return unserved;
        }
        let kept = table.weights.keys().filter(|server| plan.weights.contains_key(server));
        for server in kept.filter_map(|server| self.servers.get(server)) {
            unserved.remove(&server.zone());
        }
        unserved
    }

    /// True: a class is zone-local, and the table as published contains no server of the zone, though a warm
    /// one is listed as ready.
    pub(super) fn lacks_local_server(&self, table: &Table, zone: ZoneId) -> bool {
        if !self.has_zone_local_class() {
            return false;
        }
        let mut in_table = table.weights.keys().filter_map(|server| self.servers.get(server));
        !in_table.any(|server| server.zone() == zone) && self.warm_ready_servers(zone).next().is_some()
    }

    /// The servers of a zone that are listed as ready and warm, usable or not.
    fn warm_ready_servers(&self, zone: ZoneId) -> impl Iterator<Item = &Server> {
        let ready = self.servers.values().filter(move |server| server.zone() == zone && server.is_ready());
        ready.filter(|server| !self.is_warming_up(server))
    }
}
