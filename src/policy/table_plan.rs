//! The lines of a table: its subset's servers, spill-over, a minimum of warm endpoints, and the fallback.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::server::Server;
use super::subset::SHARED_TABLE;
use crate::interface::{ServerId, TableId, ZoneId};

/// A table with servers in slow start spills over to other zones above this multiple of their weight in load.
const SPILL_OVER_RATIO: f64 = 2.0;
/// Warm servers of other zones in the table of a subset with servers that are warming up.
const MIN_WARM_ENDPOINTS: usize = 2;
/// Each of them gets at most this ratio of the table's weight.
const MAX_WARM_ENDPOINT_WEIGHT_RATIO: f64 = 0.05;
/// Tables that take servers of other subsets start this many servers apart in the list, by their numbers.
const SPILL_OVER_ROTATION: usize = 7;

/// Listed weight of all ready servers.
struct FleetWeight {
    /// Their sum.
    listed: f64,
    /// The sum as a multiple of what the servers count for now.
    utilization: f64,
}

/// What a table is planned from.
struct TableDemand<'a> {
    subset: TableId,
    /// The load of its proxies, in listed weight.
    load: f64,
    /// The servers of the subset and its siblings, those that its zone's proxies may use.
    usable: Vec<&'a Server>,
}

/// Servers by the index of their subset within its zone.
type Siblings<'a> = BTreeMap<u16, Vec<&'a Server>>;

/// A planned table.
pub(super) struct TablePlan {
    pub(super) table: TableId,
    /// Weights, above 0.
    pub(super) weights: BTreeMap<ServerId, f64>,
}

impl Policy {
    /// Plans the tables that are in use. A table is planned from its own and sibling subsets alone, so that
    /// the work grows as servers times zones.
    pub(super) fn plan_tables(&self) -> Vec<TablePlan> {
        let shares = if self.zone_aware { self.load_shares() } else { BTreeMap::from([(SHARED_TABLE, 1.0)]) };
        let siblings = self.siblings();
        let fleet = self.fleet_weight();
        let mut plans = Vec::new();
        for (subset, share) in shares {
            if self.zone_aware && !self.is_in_use(subset) {
                continue;
            }
            let zone = self.zone_of(subset);
            let members = siblings.get(&self.sibling_index(subset)).map_or(&[][..], |members| members);
            let usable = members.iter().copied().filter(|server| self.is_usable(server, zone)).collect();
            let demand = TableDemand { subset, load: share * fleet.listed, usable };
            plans.push(TablePlan { table: subset, weights: self.plan_weights(&demand, &fleet) });
        }
        plans
    }

    fn siblings(&self) -> Siblings<'_> {
        let mut siblings = Siblings::new();
        for server in self.servers.values() {
            siblings.entry(self.sibling_index(server.subset)).or_default().push(server);
        }
        siblings
    }

    fn fleet_weight(&self) -> FleetWeight {
        let ready = self.servers.values().filter(|server| server.is_ready());
        let listed: f64 = ready.map(|server| server.endpoint.weight).sum();
        let usable: f64 = self.servers.values().map(|server| self.usable_weight(server)).sum();
        FleetWeight { listed, utilization: listed / usable.max(1e-9) }
    }

    /// The weights of a table.
    fn plan_weights(&self, demand: &TableDemand, fleet: &FleetWeight) -> BTreeMap<ServerId, f64> {
        let chosen = self.choose_servers(demand);
        let utilization = (demand.load / self.total_weight(&chosen)).max(fleet.utilization);
        let load_per_weight = utilization * self.load.retry_amplification;
        let mut weights = BTreeMap::new();
        let mut warming_weight = 0.0;
        for server in chosen {
            let weight = server.endpoint.weight
                * server.outlier_weight
                * self.load_limited_slow_start_ratio(server, load_per_weight);
            weights.insert(server.id(), weight);
            if self.is_warming_up(server) {
                warming_weight += weight;
            }
        }
        let zone_has_subsets = self.subsets_of(self.zone_of(demand.subset)).count() > 1;
        if self.zone_aware && zone_has_subsets && warming_weight > 0.0 {
            self.add_warm_endpoints(demand, warming_weight, &mut weights);
        }
        weights
    }

    /// The subset's usable servers; if those are too few, its siblings' in other zones, then any usable. If
    /// no server is usable the evidence is distrusted, and all that are listed ready are used.
    ///
    /// Guards against a table without usable servers, or with servers in slow start only. Cost: attempts
    /// cross zones.
    fn choose_servers<'a>(&'a self, demand: &TableDemand<'a>) -> Vec<&'a Server> {
        let usable = demand.usable.iter().copied();
        let mut chosen: Vec<&Server> =
            usable.filter(|server| !self.zone_aware || server.subset == demand.subset).collect();
        if self.needs_spill_over(&chosen, demand.load) {
            chosen = demand.usable.clone();
        }
        if self.needs_spill_over(&chosen, demand.load) {
            self.spill_over(demand, &mut chosen);
        }
        if chosen.is_empty() {
            chosen = self.servers.values().filter(|server| server.is_ready()).collect();
        }
        chosen
    }

    /// True: no servers, or some in slow start and too little weight for the load.
    fn needs_spill_over(&self, chosen: &[&Server], load: f64) -> bool {
        if chosen.is_empty() {
            return true;
        }
        let any_in_slow_start = chosen.iter().any(|server| self.slow_start_ratio(server) < 1.0);
        any_in_slow_start && load > SPILL_OVER_RATIO * self.total_weight(chosen)
    }

    fn total_weight(&self, servers: &[&Server]) -> f64 {
        servers.iter().map(|server| self.effective_weight(server)).sum::<f64>().max(1e-9)
    }

    /// Adds servers of other subsets until the table's weight covers its load: those past slow start and of
    /// its own zone first. Each table begins at another server, so that they add different ones.
    ///
    /// Guards against a table with only one or two servers in slow start: a server that is alone in a table
    /// gets all its traffic, whatever its weight. Cost: these tables are long, and cross zones.
    fn spill_over<'a>(&'a self, demand: &TableDemand<'a>, chosen: &mut Vec<&'a Server>) {
        let zone = self.zone_of(demand.subset);
        let already: BTreeSet<ServerId> = chosen.iter().map(|server| server.id()).collect();
        let usable = self.servers.values().filter(|server| self.is_usable(server, zone));
        let mut others: Vec<&Server> = usable.filter(|server| !already.contains(&server.id())).collect();
        let start = usize::from(demand.subset.0) * SPILL_OVER_ROTATION % others.len().max(1);
        others.rotate_left(start);
        others.sort_by_key(|server| (self.slow_start_ratio(server) < 1.0, server.zone() != zone));
        let mut weight: f64 = chosen.iter().map(|server| self.effective_weight(server)).sum();
        for server in others {
            if weight >= demand.load {
                break;
            }
            weight += self.effective_weight(server);
            chosen.push(server);
        }
    }

    /// Adds warm servers of other zones to a table with warming ones.
    ///
    /// Guards against all warm servers of a small subset failing at once, which would leave its warming ones
    /// alone with the load. Cost: a little traffic crosses zones during releases.
    fn add_warm_endpoints(
        &self,
        demand: &TableDemand,
        warming_weight: f64,
        weights: &mut BTreeMap<ServerId, f64>,
    ) {
        let total: f64 = weights.values().sum();
        let share = warming_weight / MIN_WARM_ENDPOINTS as f64;
        let weight = share.min(MAX_WARM_ENDPOINT_WEIGHT_RATIO * total);
        let warm = self.warm_servers_elsewhere(demand, self.zone_of(demand.subset));
        let start = usize::from(demand.subset.0);
        for server in warm.iter().cycle().skip(start).take(MIN_WARM_ENDPOINTS.min(warm.len())) {
            weights.entry(server.id()).or_insert(weight);
        }
    }

    fn warm_servers_elsewhere<'a>(&self, demand: &TableDemand<'a>, zone: ZoneId) -> Vec<&'a Server> {
        let others = demand.usable.iter().copied().filter(|server| server.zone() != zone);
        others.filter(|server| !self.is_warming_up(server)).collect()
    }
}
