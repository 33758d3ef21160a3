//! The connections that tables cause at servers: each proxy opens one to each server of its table.

use std::collections::BTreeMap;

use super::Policy;
use super::server::Server;
use super::table_plan::TablePlan;
use crate::interface::{ServerId, TableId};

/// Why a table is extended by servers of other subsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Extension {
    /// Its zone-local classes need servers of its zone.
    OwnZone,
    /// Its own servers do not suffice.
    SpillOver,
    /// Warming servers or those beside them would be overloaded otherwise.
    Widening,
}

impl Extension {
    /// Upper bound of the planned connections at a server that is added, as a ratio of those that the
    /// smallest server accepts. Servers slow down long before these are exhausted.
    fn max_fill_ratio(self) -> f64 {
        match self {
            Extension::OwnZone => f64::INFINITY,
            Extension::SpillOver => 1.0,
            Extension::Widening => 0.25,
        }
    }
}

/// The connections that the plans made so far cause at each server, over all instances.
pub(super) struct ConnectionBudget {
    /// Connections from the proxies of its own subset and of the planned tables.
    used: BTreeMap<ServerId, f64>,
    /// The connections that the smallest server accepts; infinite if unknown.
    limit: f64,
}

impl ConnectionBudget {
    /// True: a table with this many proxies may be extended by the server.
    pub(super) fn may_add(&self, server: ServerId, proxies: f64, extension: Extension) -> bool {
        self.used(server) + proxies <= extension.max_fill_ratio() * self.limit
    }

    /// The server with the fewest connections.
    pub(super) fn least_used<'a>(&self, servers: Vec<&'a Server>) -> Option<&'a Server> {
        servers.into_iter().min_by(|a, b| self.used(a.id()).total_cmp(&self.used(b.id())))
    }

    fn used(&self, server: ServerId) -> f64 {
        self.used.get(&server).copied().unwrap_or(0.0)
    }
}

impl Policy {
    /// The budget before any table is planned: all servers have the connections of their own subsets.
    pub(super) fn connection_budget(&self) -> ConnectionBudget {
        let listed_limit = self.settings.min_server_connections;
        let limit = if listed_limit > 0.0 { listed_limit } else { f64::INFINITY };
        let own = self.servers.values().map(|server| (server.id(), self.proxies_of_subset(server.subset)));
        ConnectionBudget { used: own.collect(), limit }
    }

    /// Adds the connections that a plan causes at servers of other subsets.
    pub(super) fn use_connections(&self, plan: &TablePlan, budget: &mut ConnectionBudget) {
        let proxies = self.proxies_of_subset(plan.table);
        for id in plan.weights.keys() {
            if self.servers.get(id).is_some_and(|server| server.subset != plan.table) {
                *budget.used.entry(*id).or_default() += proxies;
            }
        }
    }

    /// The proxies of a subset over all instances: an equal part of all, and at least those connected here.
    pub(super) fn proxies_of_subset(&self, subset: TableId) -> f64 {
        let subsets = self.subsets_of(self.zone_of(subset)).count() * self.settings.zone_count.max(1);
        let share = f64::from(self.settings.proxy_count) / subsets as f64;
        let connected = self.tables.get(&self.table_of(subset)).map_or(0, |table| table.proxies.len());
        share.max(connected as f64)
    }
}
