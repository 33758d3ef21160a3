//! Servers of other subsets that extend a table: within its zone, beyond it, and the fallback to all ready
//! ones.

use std::collections::BTreeSet;

use super::Policy;
use super::connection_budget::Extension;
use super::server::Server;
use super::table_plan::TableDemand;
use crate::interface::ServerId;

/// Distance in the list of servers at which tables of consecutive numbers start to spill over, so that they
/// use different servers.
const SPILL_OVER_START_STRIDE: usize = 7;

impl Policy {
    /// Adds servers of other subsets until the table's weight covers this load: servers past slow start
    /// first, and among equals those of its own zone. The start in the list differs by table, so that tables
    /// add different servers.
    ///
    /// Guards against a table with only one or two servers in slow start: the only server of a table gets all
    /// its traffic, whatever its weight. Cost: these tables are long, and requests cross zones.
    pub(super) fn spill_over<'a>(
        &'a self,
        demand: &TableDemand<'a>,
        load: f64,
        extension: Extension,
        chosen: &mut Vec<&'a Server>,
    ) {
        let zone = self.zone_of(demand.subset);
        let mut others = self.other_usable_servers(demand, extension, chosen);
        let start = usize::from(demand.subset.0) * SPILL_OVER_START_STRIDE % others.len().max(1);
        others.rotate_left(start);
        others.sort_by_key(|server| (self.slow_start_ratio(server) < 1.0, server.zone() != zone));
        self.add_until_covered(others, load, chosen);
    }

    /// Adds servers of the other subsets of its zone until the table's weight covers its load, but at least
    /// one: servers past slow start first. The start in the list differs by subset.
    ///
    /// Guards against a table without servers for zone-local classes while its zone has some. Cost: servers
    /// of other subsets serve more proxies.
    pub(super) fn spill_over_within_zone<'a>(
        &'a self,
        demand: &TableDemand<'a>,
        chosen: &mut Vec<&'a Server>,
    ) {
        let zone = self.zone_of(demand.subset);
        let mut others = self.other_usable_servers(demand, Extension::OwnZone, chosen);
        others.retain(|server| server.zone() == zone);
        let start = usize::from(self.sibling_index(demand.subset)) % others.len().max(1);
        others.rotate_left(start);
        others.sort_by_key(|server| self.slow_start_ratio(server) < 1.0);
        self.add_until_covered(others, demand.load.max(f64::MIN_POSITIVE), chosen);
    }

    /// The servers that a table's proxies may use and that are not among `chosen`, without those that accept
    /// no further connections. If all of these are left out and none is chosen, the one with fewest.
    fn other_usable_servers<'a>(
        &'a self,
        demand: &TableDemand<'a>,
        extension: Extension,
        chosen: &[&'a Server],
    ) -> Vec<&'a Server> {
        let is_chosen: BTreeSet<ServerId> = chosen.iter().map(|server| server.id()).collect();
        let others = self.servers.values().filter(|server| !is_chosen.contains(&server.id()));
        let usable: Vec<&Server> = others
            .filter(|server| self.is_usable(server, self.judging_zone(server, demand.subset)))
            .collect();
        let proxies = self.proxies_of_subset(demand.subset);
        let accepts = |server: &&&Server| demand.connections.may_add(server.id(), proxies, extension);
        let accepting: Vec<&Server> = usable.iter().filter(accepts).copied().collect();
        if accepting.is_empty() && chosen.is_empty() {
            return demand.connections.least_used(usable).into_iter().collect();
        }
        accepting
    }

    /// Adds these servers in their order while the weight of `chosen` is below the load, up to
    /// [`Policy::max_extended_length`].
    fn add_until_covered<'a>(&self, others: Vec<&'a Server>, load: f64, chosen: &mut Vec<&'a Server>) {
        let mut weight: f64 = chosen.iter().map(|server| self.effective_weight(server)).sum();
        let max_length = self.max_extended_length();
        for server in others {
            if weight >= load || chosen.len() >= max_length {
                break;
            }
            weight += self.effective_weight(server);
            chosen.push(server);
        }
    }

    /// The ready servers, usable or not; in tables by zone up to [`Policy::max_extended_length`]. Their start
    /// in the list differs by table, so that tables contain different ones.
    pub(super) fn panic_servers(&self, demand: &TableDemand) -> Vec<&Server> {
        let mut ready: Vec<&Server> = self.servers.values().filter(|server| server.is_ready()).collect();
        if self.zone_aware {
            let start = usize::from(demand.subset.0) * SPILL_OVER_START_STRIDE % ready.len().max(1);
            ready.rotate_left(start);
            ready.truncate(self.max_extended_length());
        }
        ready
    }
}
