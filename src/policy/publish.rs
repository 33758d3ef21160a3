//! Publishing to proxies: changes of tables, assignments to tables, and ejections at proxies.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::flow_control::Urgency;
use super::table::{ClassAdmission, Table};
use super::table_plan::{PlanStep, TablePlan};
use crate::interface::{Action, ClassId, ProxyId, RetryPolicy, ServerId, TableId};

/// A weight is sent only if it changes by more than this ratio of the largest planned weight of its table,
/// unless its server is added or removed, or it is cut below [`URGENT_CUT_RATIO`]. An admission level is sent
/// only if it changes by more than this ratio of its new value, or if the retry policy of its class changes.
/// This limits the number of messages.
const MIN_CHANGE_RATIO: f64 = 0.08;
/// A cut of a weight to less than this ratio of the published one is urgent.
const URGENT_CUT_RATIO: f64 = 0.75;

/// The admission that is assumed for proxies before the first is published. It differs from every published
/// one, so that the first is always sent.
const INITIAL_ADMISSION: ClassAdmission = ClassAdmission { retry_policy: RetryPolicy::Twice, level: 0.0 };

/// A change of one server's weight in a table.
struct WeightChange {
    server: ServerId,
    /// The new weight; 0 removes the server.
    weight: f64,
    urgency: Urgency,
}

/// The changes of a table that are due.
struct TableChanges {
    weights: Vec<WeightChange>,
    admission: BTreeMap<ClassId, ClassAdmission>,
    admission_urgency: Urgency,
}

impl TableChanges {
    fn line_count(&self) -> usize {
        self.weights.len() + self.admission.len()
    }

    /// The urgency of the most urgent change.
    fn urgency(&self) -> Urgency {
        let weights = self.weights.iter().map(|change| change.urgency).max();
        weights.unwrap_or(Urgency::Routine).max(self.admission_urgency)
    }
}

impl Policy {
    /// Plans all tables and sends their changes, as far as flow control permits, then ejections at proxies.
    pub(super) fn publish_tables(&mut self) {
        let admitted_ratios = self.admitted_ratios();
        for plan in self.plan_tables() {
            self.publish_table(&plan, &admitted_ratios);
        }
        self.eject_at_proxies();
        self.log_route_gaps();
    }

    /// Sends the changes of a table in one message. If flow control does not permit that, it tries the weight
    /// changes of urgency `Fault` and above, then those of urgency `Critical`; each time with all changes of
    /// admission. Changes that are not sent are planned again in the next round.
    fn publish_table(&mut self, plan: &TablePlan, admitted_ratios: &[f64]) {
        let id = plan.table;
        let table = self.tables.entry(id).or_default();
        table.plan_step = plan.step;
        let proxies = table.proxies.clone();
        let changed_at = table.changed_at;
        let mut changes = self.table_changes(plan, admitted_ratios);
        for min_urgency in [Urgency::Routine, Urgency::Fault, Urgency::Critical] {
            changes.weights.retain(|change| change.urgency >= min_urgency);
            let lines = changes.line_count();
            if lines > 0 && self.may_send(changes.urgency(), changed_at, &proxies, lines) {
                self.send_changes(id, &proxies, &changes);
                return;
            }
        }
    }

    /// Sends changes of a table to its proxies and records them as published.
    fn send_changes(&mut self, table: TableId, proxies: &BTreeSet<ProxyId>, changes: &TableChanges) {
        self.record_sent(proxies, changes.line_count());
        for WeightChange { server, weight, .. } in &changes.weights {
            let action = Action::SetWeight { table, server: *server, weight: *weight as f32 };
            self.actions.push(action);
            self.record_weight(table, *server, *weight);
        }
        for (class, admission) in &changes.admission {
            self.actions.push(Action::SetAdmission {
                table,
                class: *class,
                retry_policy: admission.retry_policy,
                level: admission.level as f32,
            });
            self.record_admission(table, *class, *admission);
        }
    }

    /// The changes that bring a table to its plan and to the admitted ratios, without those too small to
    /// send.
    fn table_changes(&self, plan: &TablePlan, admitted_ratios: &[f64]) -> TableChanges {
        let table = &self.tables[&plan.table];
        let mut admission = self.class_admissions(admitted_ratios, &plan.bounds, &table.proxies);
        admission.retain(|class, new| {
            let old = table.sent_admission(*class);
            let level_differs = (new.level - old.level).abs() > MIN_CHANGE_RATIO * new.level;
            new.retry_policy != old.retry_policy || level_differs
        });
        let sheds_more = admission.iter().any(|(class, new)| new.level < table.sent_admission(*class).level);
        let admission_urgency = if sheds_more { Urgency::Fault } else { Urgency::Routine };
        TableChanges { weights: self.weight_changes(table, plan), admission, admission_urgency }
    }

    /// The changes of weight that bring a table to its plan, removals first.
    fn weight_changes(&self, table: &Table, plan: &TablePlan) -> Vec<WeightChange> {
        let mut changes = Vec::new();
        for server in table.weights.keys().filter(|server| !plan.weights.contains_key(server)) {
            let urgency = self.removal_urgency(*server);
            changes.push(WeightChange { server: *server, weight: 0.0, urgency });
        }
        let unserved_zones = self.zones_without_kept_server(table, plan);
        let is_in_unserved_zone =
            |id| self.servers.get(id).is_some_and(|server| unserved_zones.contains(&server.zone()));
        let largest = plan.weights.values().copied().fold(0.0, f64::max);
        for (server, weight) in &plan.weights {
            let old = table.weights.get(server).copied().unwrap_or(0.0);
            // The cut of a small weight may protect its server, even if it is small relative to the largest
            // weight.
            let is_urgent_cut = *weight < old * URGENT_CUT_RATIO;
            let is_large = (weight - old).abs() > MIN_CHANGE_RATIO * largest;
            if old != 0.0 && !is_urgent_cut && !is_large {
                continue;
            }
            let spares_warming_servers = old == 0.0 && plan.step == PlanStep::Widened;
            let urgency = if table.weights.is_empty() || is_in_unserved_zone(server) {
                Urgency::Critical
            } else if is_urgent_cut || spares_warming_servers {
                Urgency::Fault
            } else {
                Urgency::Routine
            };
            changes.push(WeightChange { server: *server, weight: *weight, urgency });
        }
        changes
    }

    /// The urgency of a server's removal from a table: routine if it is still usable, a fault if it is ready
    /// but unusable, critical if it drains or is removed.
    fn removal_urgency(&self, server: ServerId) -> Urgency {
        match self.servers.get(&server) {
            Some(server) if self.is_usable(server, self.zone_of(server.subset)) => Urgency::Routine,
            Some(server) if server.is_ready() => Urgency::Fault,
            _ => Urgency::Critical,
        }
    }

    /// Assigns waiting proxies to their tables until flow control permits no more. No proxy is assigned to an
    /// empty table, or to one that lacks servers for its zone-local classes.
    pub(super) fn assign_tables(&mut self) {
        for proxy in self.unassigned_proxies.clone() {
            let record = &self.proxies[&proxy];
            let id = self.table_of(record.subset);
            let Some(table) = self.tables.get(&id).filter(|table| !table.weights.is_empty()) else {
                continue;
            };
            if self.lacks_local_server(table, record.zone) {
                continue;
            }
            let lines = table.weights.len() + table.admission.len() + 1;
            let receiver = BTreeSet::from([proxy]);
            if !self.may_send(Urgency::Fault, 0, &receiver, lines) {
                break;
            }
            self.actions.push(Action::AssignTable { proxy, table: id });
            self.record_sent(&receiver, lines);
            self.record_assignment(proxy, id);
        }
    }

    /// Ejects servers that drain or are removed directly at the proxies, while any proxy waits for its table.
    /// The ejection ends when the server is ready again.
    ///
    /// Guards against requests to such servers from proxies that still route by an outdated table. Cost: none
    /// known.
    fn eject_at_proxies(&mut self) {
        let waiting = &self.unassigned_proxies;
        let mut changing = Vec::new();
        for server in self.servers.values() {
            let eject = !server.is_ready() && (server.ejected_at_proxies || !waiting.is_empty());
            if eject != server.ejected_at_proxies {
                changing.push(server.id());
            }
        }
        if changing.is_empty() {
            return;
        }
        let receivers = self.proxies_that_may_use(&changing);
        if !self.may_send(Urgency::Critical, 0, &receivers, changing.len()) {
            return;
        }
        self.record_sent(&receivers, changing.len());
        for id in changing {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            server.ejected_at_proxies = !server.ejected_at_proxies;
            self.actions.push(Action::SetEjected { server: id, ejected: server.ejected_at_proxies });
        }
    }

    /// Proxies that wait for their table, and those whose table still contains one of the servers, as flow
    /// control may delay its removal.
    fn proxies_that_may_use(&self, servers: &[ServerId]) -> BTreeSet<ProxyId> {
        let mut proxies = self.unassigned_proxies.clone();
        for table in self.tables.values() {
            if servers.iter().any(|server| table.weights.contains_key(server)) {
                proxies.extend(&table.proxies);
            }
        }
        proxies
    }
}

impl Table {
    /// The admission of a class as last published, else [`INITIAL_ADMISSION`].
    fn sent_admission(&self, class: ClassId) -> ClassAdmission {
        self.admission.get(&class).copied().unwrap_or(INITIAL_ADMISSION)
    }
}
