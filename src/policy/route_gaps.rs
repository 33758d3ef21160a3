//! Route gaps: classes for which the proxies of a zone have no server, since when, and which step of the plan
//! chose their table. Their begin and end are logged.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::server::Server;
use super::table::Table;
use super::table_plan::PlanStep;
use crate::interface::{Action, ClassId, Micros, ProxyId, TableId, ZoneId};

/// Upper bound of the proxies that a log line names; it always gives their number.
const MAX_LOGGED_PROXIES: usize = 8;

/// What a gap concerns: a class at the proxies of a zone that are assigned to a table.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GapScope {
    table: TableId,
    zone: ZoneId,
    class: ClassId,
}

/// The gaps that have begun and not yet ended.
#[derive(Default)]
pub(super) struct RouteGaps {
    /// When each gap was first seen.
    since: BTreeMap<GapScope, Micros>,
}

impl Policy {
    /// Logs the gaps that have begun or ended since the last round.
    pub(super) fn log_route_gaps(&mut self) {
        let gaps = self.current_gaps();
        for scope in &gaps {
            if !self.route_gaps.since.contains_key(scope) {
                self.route_gaps.since.insert(*scope, self.now);
                self.log(format!("no server for {}", self.describe_gap(scope)));
            }
        }
        let ended: Vec<_> = self.route_gaps.since.extract_if(.., |scope, _| !gaps.contains(scope)).collect();
        for (scope, since) in ended {
            let seconds = (self.now - since) as f64 * 1e-6;
            self.log(format!("after {seconds:.2} s a server again for {}", self.describe_gap(&scope)));
        }
    }

    fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }

    /// The gaps of the published tables. Proxies that wait for their table are left out: which tables they
    /// route by is unknown here.
    fn current_gaps(&self) -> BTreeSet<GapScope> {
        let mut gaps = BTreeSet::new();
        for (id, table) in &self.tables {
            for zone in self.zones_of_proxies(table) {
                let classes = (0..=u8::MAX).map(ClassId).take(self.settings.classes.len());
                for class in classes.filter(|class| self.lacks_server(table, zone, *class)) {
                    gaps.insert(GapScope { table: *id, zone, class });
                }
            }
        }
        gaps
    }

    /// The zones of the proxies that are assigned to a table.
    fn zones_of_proxies(&self, table: &Table) -> BTreeSet<ZoneId> {
        table.proxies.iter().map(|id| self.proxies[id].zone).collect()
    }

    /// True: the table contains no ready server that the class may use at proxies of the zone, though a warm
    /// one is listed.
    fn lacks_server(&self, table: &Table, zone: ZoneId, class: ClassId) -> bool {
        let is_open = |server: &Server| server.is_ready() && self.may_serve(server, zone, class);
        let mut in_table = table.weights.keys().filter_map(|id| self.servers.get(id));
        let has_server = in_table.any(|server| is_open(server) && !server.ejected_at_proxies);
        !has_server && self.servers.values().any(|server| is_open(server) && !self.is_warming_up(server))
    }

    /// The class, zone and table of a gap, the step of the table's newest plan, and the proxies.
    fn describe_gap(&self, scope: &GapScope) -> String {
        let GapScope { table, zone, class } = scope;
        let known = self.tables.get(table);
        let step = known.map_or(PlanStep::default(), |table| table.plan_step);
        let assigned = known.map(|table| &table.proxies).into_iter().flatten();
        let of_zone = |id: &&ProxyId| self.proxies.get(id).is_some_and(|proxy| proxy.zone == *zone);
        let proxies: Vec<u16> = assigned.filter(of_zone).map(|proxy| proxy.0).collect();
        let named = &proxies[..proxies.len().min(MAX_LOGGED_PROXIES)];
        format!(
            "class {} in zone {}: table {} with servers of {step}, {} proxies, first {named:?}",
            class.0,
            zone.0,
            table.0,
            proxies.len()
        )
    }
}
