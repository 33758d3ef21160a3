//! The expected load of warming servers: what all tables and classes together send to each of them, against
//! the load that is safe at its present capacity.
//!
//! The load of the fleet is assumed to use all the capacity that it recently had. Loads are in listed weight.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::server::Server;
use super::table_plan::TablePlan;
use crate::interface::{Action, ServerId, TableId, ZoneId};

/// The load that the planned tables send to one warming server.
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
}

/// The expected load of each warming server that a planned table contains.
pub(super) type WarmingLoad = BTreeMap<ServerId, ExpectedLoad>;

/// The load of the proxies of one zone that use a table, split by whether a class is zone-local.
struct ProxyDemand {
    table: TableId,
    zone: ZoneId,
    zone_local: f64,
    other: f64,
}

impl Policy {
    /// The load that these plans together send to each warming server, without retries and surges.
    pub(super) fn warming_load(&self, plans: &[TablePlan]) -> WarmingLoad {
        let mut load = WarmingLoad::new();
        for demand in self.proxy_demands() {
            let Some(plan) = plans.iter().find(|plan| plan.table == demand.table) else { continue };
            let mut total_weight = 0.0;
            let mut local_weight = 0.0;
            for (server, weight) in self.planned_servers(plan) {
                total_weight += weight;
                if server.zone() == demand.zone {
                    local_weight += weight;
                }
            }
            for (server, weight) in
                self.planned_servers(plan).filter(|(server, _)| self.is_warming_up(server))
            {
                let expected = load.entry(server.id()).or_default();
                expected.other += demand.other * weight / total_weight;
                if server.zone() == demand.zone {
                    expected.zone_local += demand.zone_local * weight / local_weight;
                }
            }
        }
        load
    }

    /// The warming servers whose expected load, with retries and surges, is not safe.
    pub(super) fn overloaded_servers(&self, load: &WarmingLoad) -> BTreeSet<ServerId> {
        let is_unsafe = |id: &ServerId, expected: &ExpectedLoad| {
            let server = self.servers.get(id);
            server.is_some_and(|server| expected.total() * self.load.arrival_ratio > self.safe_load(server))
        };
        load.iter().filter(|(id, expected)| is_unsafe(id, expected)).map(|(id, _)| *id).collect()
    }

    /// Logs when the expected load of warming servers begins and ends to be unsafe, with the server whose
    /// load is largest in relation to its capacity.
    pub(super) fn log_warming_load(&mut self, load: &WarmingLoad, overloaded: &BTreeSet<ServerId>) {
        let was_overloaded = std::mem::replace(&mut self.warming_servers_overloaded, !overloaded.is_empty());
        if overloaded.is_empty() != was_overloaded {
            return;
        }
        let text = match self.most_loaded(load, overloaded) {
            Some(most_loaded) => {
                format!("{} warming servers are overloaded: {most_loaded}", overloaded.len())
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

    /// The fleet's load without retries and surges: the largest recent listed weight of all ready servers.
    fn fleet_load(&self) -> f64 {
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
