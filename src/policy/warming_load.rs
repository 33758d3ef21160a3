//! The expected load of the servers in tables with warming servers: what all tables and classes together send
//! to each of them, against the load that is safe at its present capacity.
//!
//! The load of the fleet is assumed to use all the capacity that it recently had. Loads are in listed weight.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::server::Server;
use super::table_plan::TablePlan;
use crate::interface::{Action, ServerId, TableId, ZoneId};

/// The part of a server's safe load that zone-local classes get at least, if they need it, before the
/// admission of other classes is bounded.
const MIN_ZONE_LOCAL_LOAD_RATIO: f64 = 0.5;

/// The load that the planned tables send to one server, without clients' retries.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExpectedLoad {
    /// The part that zone-local classes cause.
    zone_local: f64,
    /// The part that all other classes cause.
    other: f64,
}

impl ExpectedLoad {
    fn total(&self) -> f64 {
        self.zone_local + self.other
    }

    /// The bounds with which the server gets at most its safe load. Zone-local classes alone are bounded
    /// while the others leave them at least [`MIN_ZONE_LOCAL_LOAD_RATIO`] of it, as these can use other
    /// servers.
    fn admission_bounds(&self, safe_load: f64) -> AdmissionBounds {
        let remaining = safe_load - self.other;
        if self.zone_local > 0.0 && remaining >= MIN_ZONE_LOCAL_LOAD_RATIO * safe_load {
            return AdmissionBounds { zone_local: remaining / self.zone_local, other: f64::INFINITY };
        }
        let bound = safe_load / self.total();
        AdmissionBounds { zone_local: bound, other: bound }
    }
}

/// The expected load of each server of a table with warming servers.
pub(super) type WarmingLoad = BTreeMap<ServerId, ExpectedLoad>;

/// Upper bounds of the admitted attempts at the proxies of a table, as multiples of the usual requests.
/// Infinite: no bound.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionBounds {
    /// For zone-local classes.
    pub(super) zone_local: f64,
    /// For all other classes.
    pub(super) other: f64,
}

impl AdmissionBounds {
    /// No bounds.
    pub(super) const NONE: AdmissionBounds =
        AdmissionBounds { zone_local: f64::INFINITY, other: f64::INFINITY };

    /// Raises each bound to at least the usual requests.
    fn at_least_usual(self) -> AdmissionBounds {
        AdmissionBounds { zone_local: self.zone_local.max(1.0), other: self.other.max(1.0) }
    }

    /// Lowers each bound to the other one's.
    fn restrict(&mut self, other: AdmissionBounds) {
        self.zone_local = self.zone_local.min(other.zone_local);
        self.other = self.other.min(other.other);
    }
}

/// The load of the proxies of one zone that use a table, split by whether a class is zone-local.
struct ProxyDemand {
    table: TableId,
    zone: ZoneId,
    zone_local: f64,
    other: f64,
}

impl Policy {
    /// The load that these plans together send to each server of a table with warming servers.
    pub(super) fn warming_load(&self, plans: &[TablePlan]) -> WarmingLoad {
        let has_warming = |plan: &&TablePlan| self.planned_servers(plan).any(|(s, _)| self.is_warming_up(s));
        let servers = plans.iter().filter(has_warming).flat_map(|plan| plan.weights.keys());
        let mut load: WarmingLoad = servers.map(|id| (*id, ExpectedLoad::default())).collect();
        if load.is_empty() {
            return load;
        }
        for demand in self.proxy_demands() {
            if let Some(plan) = plans.iter().find(|plan| plan.table == demand.table) {
                self.add_demand(&demand, plan, &mut load);
            }
        }
        load
    }

    /// Adds the load of one group of proxies to the servers of their table.
    fn add_demand(&self, demand: &ProxyDemand, plan: &TablePlan, load: &mut WarmingLoad) {
        let is_local = |server: &Server| server.zone() == demand.zone;
        let total: f64 = plan.weights.values().sum();
        let local: f64 =
            self.planned_servers(plan).filter(|(server, _)| is_local(server)).map(|(_, weight)| weight).sum();
        for (server, weight) in self.planned_servers(plan) {
            let Some(expected) = load.get_mut(&server.id()) else { continue };
            expected.other += demand.other * weight / total;
            if is_local(server) {
                expected.zone_local += demand.zone_local * weight / local;
            }
        }
    }

    /// The servers of the expected load that would get more than their safe load, with the requests that
    /// arrive now.
    pub(super) fn overloaded_servers(&self, load: &WarmingLoad) -> BTreeSet<ServerId> {
        let arrivals = self.load.arrival_ratio;
        let is_overloaded = |id: &ServerId, expected: &ExpectedLoad| {
            self.servers.get(id).is_some_and(|server| expected.total() * arrivals > self.safe_load(server))
        };
        load.iter().filter(|(id, expected)| is_overloaded(id, expected)).map(|(id, _)| *id).collect()
    }

    /// Sets the bounds of admission with which the plans send no warming server so much that it could
    /// collapse, and no server beside one more than its safe load by retries.
    pub(super) fn bound_admission(&mut self, plans: &mut [TablePlan], load: &WarmingLoad) {
        let groups: BTreeSet<(TableId, ZoneId)> =
            self.proxy_demands().iter().map(|demand| (demand.table, demand.zone)).collect();
        for plan in plans.iter_mut() {
            for id in plan.weights.keys() {
                let (Some(server), Some(expected)) = (self.servers.get(id), load.get(id)) else { continue };
                let mut bounds = if self.is_warming_up(server) {
                    expected.admission_bounds(self.collapse_safe_load(server))
                } else {
                    expected.admission_bounds(self.safe_load(server)).at_least_usual()
                };
                if !groups.contains(&(plan.table, server.zone())) {
                    bounds.zone_local = f64::INFINITY;
                }
                plan.bounds.restrict(bounds);
            }
        }
        self.admission.attempts_bounded =
            plans.iter().any(|plan| plan.bounds.zone_local.min(plan.bounds.other) < self.load.arrival_ratio);
    }

    /// Logs when the expected load begins and ends to be unsafe, with the server whose load is largest in
    /// relation to its capacity.
    pub(super) fn log_warming_load(&mut self, load: &WarmingLoad, overloaded: &BTreeSet<ServerId>) {
        let was_overloaded = std::mem::replace(&mut self.warming_servers_overloaded, !overloaded.is_empty());
        if overloaded.is_empty() != was_overloaded {
            return;
        }
        let text = match self.most_loaded(load, overloaded) {
            Some(most_loaded) => {
                format!("{} servers beside warming ones are overloaded: {most_loaded}", overloaded.len())
            }
            None => "the load of warming servers is safe again".to_owned(),
        };
        self.actions.push(Action::Log(text));
    }

    /// Describes the load of the server whose load is largest in relation to its capacity.
    fn most_loaded(&self, load: &WarmingLoad, overloaded: &BTreeSet<ServerId>) -> Option<String> {
        let capacity = |server: &Server| self.capacity_ratio(server) * server.endpoint.weight;
        let relative_load = |server: &Server| load[&server.id()].total() / capacity(server);
        let servers = overloaded.iter().filter_map(|id| self.servers.get(id));
        let server = servers.max_by(|a, b| relative_load(a).total_cmp(&relative_load(b)))?;
        let relative = relative_load(server);
        let safe = self.safe_load(server) / capacity(server);
        let arrivals = self.load.arrival_ratio;
        let id = server.id();
        Some(format!(
            "{id:?} is to get {relative:.2} times its capacity from all tables, at {arrivals:.2} times the \
             usual requests; {safe:.2} is safe"
        ))
    }

    /// The servers of a plan with their weights.
    fn planned_servers<'a>(&'a self, plan: &'a TablePlan) -> impl Iterator<Item = (&'a Server, f64)> {
        plan.weights.iter().filter_map(|(id, weight)| self.servers.get(id).map(|server| (server, *weight)))
    }

    /// The load of each group of proxies that share a subset.
    fn proxy_demands(&self) -> Vec<ProxyDemand> {
        let fleet_load = self.fleet_load();
        let zone_local_share = self.zone_local_share();
        let demand = |(subset, share): (TableId, f64)| ProxyDemand {
            table: self.table_of(subset),
            zone: self.zone_of(subset),
            zone_local: share * fleet_load * zone_local_share,
            other: share * fleet_load * (1.0 - zone_local_share),
        };
        self.load_shares().into_iter().map(demand).collect()
    }

    /// The fleet's load without clients' retries: the largest recent listed weight of all ready servers.
    pub(super) fn fleet_load(&self) -> f64 {
        self.load.recent_ready_weight.max(self.ready_weight())
    }

    /// The part of the requests that belongs to zone-local classes; equal parts before the first report.
    fn zone_local_share(&self) -> f64 {
        let rate = |class: usize| self.load.class_rates.get(class).copied().unwrap_or(0.0);
        let classes = self.settings.classes.len();
        let total: f64 = (0..classes).map(rate).sum();
        let part = |class: usize| if total > 0.0 { rate(class) / total } else { 1.0 / classes as f64 };
        (0..classes).filter(|class| self.settings.classes[*class].zone_local).map(part).sum()
    }
}
