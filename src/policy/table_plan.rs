//! The planned servers and weights of a table: its subset's servers, spill-over to other subsets, warm
//! endpoints of other zones, and the fallback to all ready servers.
//!
//! A server is warming until the warm-up time of the settings has passed since its start: its capacity may
//! still be reduced. It is in slow start while its weight rises to the full one, see
//! [`Policy::slow_start_ratio`].

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::Policy;
use super::connection_budget::{ConnectionBudget, Extension};
use super::server::Server;
use super::subset::SHARED_TABLE;
use super::warming_load::AdmissionBounds;
use crate::interface::{ServerId, TableId, ZoneId};

/// A table with servers in slow start spills over to other subsets when its load, in server weight, is above
/// this multiple of the weight of its servers.
const SPILL_OVER_RATIO: f64 = 2.0;
/// Maximum number of warm servers of other zones that are added to the table of a subset with warming
/// servers.
const MAX_ADDED_WARM_ENDPOINTS: usize = 2;
/// Upper bound of the weight of each such warm server, as a ratio of the table's total weight.
const MAX_WARM_ENDPOINT_WEIGHT_RATIO: f64 = 0.05;
/// The load that the weight of a table covers after each widening, as a multiple of the table's load. After
/// the last one the table contains all usable servers.
const WIDENING_RATIOS: [f64; 5] = [1.5, 2.5, 4.0, 6.0, f64::INFINITY];

/// How often each table was widened, at most as often as there are [`WIDENING_RATIOS`].
type Widenings = BTreeMap<TableId, usize>;

/// Total weight of the fleet.
struct FleetWeight {
    /// Sum of the listed weights of all ready servers.
    listed: f64,
    /// That sum as a multiple of the usable servers' effective weight.
    utilization: f64,
}

/// The input for the plan of one table.
pub(super) struct TableDemand<'a> {
    pub(super) subset: TableId,
    /// The part of the fleet's load that comes from its proxies, in listed weight.
    pub(super) load: f64,
    /// The servers of the subset and its siblings in other zones that its proxies may use.
    pub(super) usable: Vec<&'a Server>,
    /// How often the table was widened.
    pub(super) widening: usize,
    /// The connections that servers of other subsets accept.
    pub(super) connections: &'a ConnectionBudget,
}

/// Servers grouped by the index of their subset within its zone.
type Siblings<'a> = BTreeMap<u16, Vec<&'a Server>>;

/// The step of a plan that chose the servers of a table: the last one that had to be taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum PlanStep {
    /// The usable servers of its own subset; while one table is shared, of the fleet.
    #[default]
    Subset,
    /// Those of other subsets of its zone, too.
    OwnZone,
    /// Those of its sibling subsets in other zones, too.
    Siblings,
    /// Those of other subsets, too.
    SpillOver,
    /// More of those, as warming servers or those beside them would be overloaded otherwise.
    Widened,
    /// All ready servers, as none is usable.
    Panic,
}

impl fmt::Display for PlanStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PlanStep::Subset => "its subset",
            PlanStep::OwnZone => "its zone",
            PlanStep::Siblings => "its siblings in other zones",
            PlanStep::SpillOver => "other subsets",
            PlanStep::Widened => "more subsets, for warming servers",
            PlanStep::Panic => "the whole list (panic mode)",
        })
    }
}

/// The servers chosen for a table.
struct ChosenServers<'a> {
    servers: Vec<&'a Server>,
    step: PlanStep,
}

/// The servers and weights that a table should have.
pub(super) struct TablePlan {
    /// The table, which has the number of its subset.
    pub(super) table: TableId,
    /// The step that chose its servers.
    pub(super) step: PlanStep,
    /// The weight of each server, on the scale of listed weights; only ratios within the table matter. It is
    /// above 0: the merge of the endpoint list replaces other listed weights by 1, and the factors have lower
    /// bounds above 0.
    pub(super) weights: BTreeMap<ServerId, f64>,
    /// Bounds of the admission at its proxies.
    pub(super) bounds: AdmissionBounds,
}

impl Policy {
    /// Plans the tables that are in use. In the usual case a table is planned from its own subset and that
    /// subset's siblings only, so that the cost is proportional to servers times zones.
    ///
    /// While plans would overload warming servers, or servers beside them, the tables that contain these are
    /// [widened](WIDENING_RATIOS); what remains is bounded by admission.
    ///
    /// Guards against the collapse of warming servers that get the load of tables with few others, for
    /// whatever reason these are few. Cost: such tables are long, requests cross zones, and requests are
    /// shed.
    pub(super) fn plan_tables(&mut self) -> Vec<TablePlan> {
        let mut widenings = Widenings::new();
        loop {
            let mut plans = self.plan_tables_with(&widenings);
            let load = self.warming_load(&plans);
            let overloaded = self.overloaded_servers(&load);
            let is_overloading = |plan: &&TablePlan| plan.weights.keys().any(|id| overloaded.contains(id));
            if !self.zone_aware || !widen(&mut widenings, plans.iter().filter(is_overloading)) {
                self.bound_admission(&mut plans, &load);
                self.log_warming_load(&load, &overloaded);
                return plans;
            }
        }
    }

    /// Plans the tables that are in use with these widenings.
    fn plan_tables_with(&self, widenings: &Widenings) -> Vec<TablePlan> {
        let shares = if self.zone_aware { self.load_shares() } else { BTreeMap::from([(SHARED_TABLE, 1.0)]) };
        let siblings = self.siblings();
        let fleet = self.fleet_weight();
        let mut connections = self.connection_budget();
        let mut plans = Vec::new();
        for (subset, share) in shares {
            if self.zone_aware && !self.is_in_use(subset) {
                continue;
            }
            let members = siblings.get(&self.sibling_index(subset)).map_or(&[][..], |members| members);
            let is_usable = |server: &&Server| self.is_usable(server, self.judging_zone(server, subset));
            let usable = members.iter().copied().filter(is_usable).collect();
            let load = share * fleet.listed;
            let widening = widenings.get(&subset).copied().unwrap_or(0);
            let demand = TableDemand { subset, load, usable, widening, connections: &connections };
            let plan = self.plan_table(&demand, &fleet);
            self.use_connections(&plan, &mut connections);
            plans.push(plan);
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
        let listed = self.ready_weight();
        let usable: f64 = self.servers.values().map(|server| self.usable_weight(server)).sum();
        FleetWeight { listed, utilization: listed / usable.max(1e-9) }
    }

    /// Plans a table. The weights are listed weight × outlier weight × load-limited slow-start ratio.
    fn plan_table(&self, demand: &TableDemand, fleet: &FleetWeight) -> TablePlan {
        let ChosenServers { servers: chosen, step } = self.choose_servers(demand);
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
        self.add_local_fallback(demand.subset, &mut weights);
        TablePlan { table: demand.subset, step, weights, bounds: AdmissionBounds::NONE }
    }

    /// The usable servers of the subset. If they do not suffice ([`Policy::needs_spill_over`]), the usable
    /// servers of its siblings in other zones are added, then those of other subsets. With a zone-local class
    /// those of its zone's other subsets come first, and siblings only if these do not cover the load. If no
    /// server is usable, the table is in panic mode, as in Envoy: the failed health checks, ejections and
    /// warm-up holds that exclude servers are ignored, and all ready servers are used.
    ///
    /// Guards against a table without usable servers, or only with servers in slow start. Cost: requests
    /// cross zones, and in panic mode reach servers that may be unhealthy.
    fn choose_servers<'a>(&'a self, demand: &TableDemand<'a>) -> ChosenServers<'a> {
        let usable = demand.usable.iter().copied();
        let mut servers: Vec<&Server> =
            usable.filter(|server| !self.zone_aware || server.subset == demand.subset).collect();
        let mut step = PlanStep::Subset;
        let mut needs_siblings = self.needs_spill_over(&servers, demand.load);
        if needs_siblings && self.has_zone_local_class() {
            self.spill_over_within_zone(demand, &mut servers);
            step = PlanStep::OwnZone;
            needs_siblings = self.total_weight(&servers) < demand.load;
        }
        if needs_siblings {
            add_missing(&mut servers, &demand.usable);
            step = PlanStep::Siblings;
        }
        if self.needs_spill_over(&servers, demand.load) {
            self.spill_over(demand, demand.load, Extension::SpillOver, &mut servers);
            step = PlanStep::SpillOver;
        }
        if demand.widening > 0 {
            let load = WIDENING_RATIOS[demand.widening - 1] * demand.load;
            self.spill_over(demand, load, Extension::Widening, &mut servers);
            step = PlanStep::Widened;
        }
        if servers.is_empty() {
            servers = self.panic_servers(demand);
            step = PlanStep::Panic;
        }
        ChosenServers { servers, step }
    }

    /// True: there are no servers, or some are in slow start and the load is above [`SPILL_OVER_RATIO`] times
    /// their weight.
    fn needs_spill_over(&self, chosen: &[&Server], load: f64) -> bool {
        if chosen.is_empty() {
            return true;
        }
        let any_in_slow_start = chosen.iter().any(|server| self.slow_start_ratio(server) < 1.0);
        any_in_slow_start && load > SPILL_OVER_RATIO * self.total_weight(chosen)
    }

    /// The effective weight of all these servers, at least 1e-9 so that it is a valid divisor.
    fn total_weight(&self, servers: &[&Server]) -> f64 {
        servers.iter().map(|server| self.effective_weight(server)).sum::<f64>().max(1e-9)
    }

    /// Adds warm servers of other zones to a table with warming servers; with a zone-local class preferably
    /// of its zone's other subsets.
    ///
    /// Guards against the failure of all warm servers of a small subset at once, after which its warming
    /// servers would get the whole load. Cost: a small part of the traffic crosses zones during releases.
    fn add_warm_endpoints(
        &self,
        demand: &TableDemand,
        warming_weight: f64,
        weights: &mut BTreeMap<ServerId, f64>,
    ) {
        let total: f64 = weights.values().sum();
        let share = warming_weight / MAX_ADDED_WARM_ENDPOINTS as f64;
        let weight = share.min(MAX_WARM_ENDPOINT_WEIGHT_RATIO * total);
        let mut warm = self.warm_servers_of_other_subsets(demand);
        if warm.is_empty() {
            warm = self.warm_servers_of_other_zones(demand, self.zone_of(demand.subset));
        }
        let proxies = self.proxies_of_subset(demand.subset);
        warm.retain(|server| demand.connections.may_add(server.id(), proxies, Extension::SpillOver));
        let start = usize::from(demand.subset.0);
        for server in warm.iter().cycle().skip(start).take(MAX_ADDED_WARM_ENDPOINTS.min(warm.len())) {
            weights.entry(server.id()).or_insert(weight);
        }
    }

    /// With a zone-local class, the usable warm servers of its zone's other subsets: others may not serve
    /// that class. Without such a class none.
    fn warm_servers_of_other_subsets(&self, demand: &TableDemand) -> Vec<&Server> {
        if !self.has_zone_local_class() {
            return Vec::new();
        }
        let zone = self.zone_of(demand.subset);
        let others = self.servers.values().filter(|server| server.subset != demand.subset);
        let usable = others.filter(|server| server.zone() == zone && self.is_usable(server, zone));
        usable.filter(|server| !self.is_warming_up(server)).collect()
    }

    /// The usable servers of the subset and its siblings that run in other zones and are warm.
    fn warm_servers_of_other_zones<'a>(&self, demand: &TableDemand<'a>, zone: ZoneId) -> Vec<&'a Server> {
        let others = demand.usable.iter().copied().filter(|server| server.zone() != zone);
        others.filter(|server| !self.is_warming_up(server)).collect()
    }
}

/// Widens the tables of these plans once more. True: any could be widened.
fn widen<'a>(widenings: &mut Widenings, plans: impl Iterator<Item = &'a TablePlan>) -> bool {
    let mut any_widened = false;
    for plan in plans {
        let widening = widenings.entry(plan.table).or_default();
        if *widening < WIDENING_RATIOS.len() {
            *widening += 1;
            any_widened = true;
        }
    }
    any_widened
}

/// Adds those of `usable` that are missing in `servers`.
fn add_missing<'a>(servers: &mut Vec<&'a Server>, usable: &[&'a Server]) {
    let mut all = usable.to_vec();
    let known: BTreeSet<ServerId> = usable.iter().map(|server| server.id()).collect();
    all.extend(servers.iter().filter(|server| !known.contains(&server.id())));
    *servers = all;
}
