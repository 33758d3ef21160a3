//! Publishing to proxies: changes of tables, assignments to tables, and ejections at proxies.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::flow_control::Urgency;
use super::table::{ClassAdmission, Table};
use super::table_plan::{PlanStep, TablePlan};
use crate::interface::{Action, ClassId, Micros, ProxyId, RetryPolicy, ServerId, TableId};

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
    /// Lines of the change at each proxy.
    lines: usize,
    /// The new weight; 0 removes the server.
    weight: f64,
    urgency: Urgency,
}

/// The changes of a table that are due and not sent yet.
struct TableChanges {
    table: TableId,
    /// The proxies that are assigned to the table.
    proxies: BTreeSet<ProxyId>,
    /// When the table last changed before this decision.
    changed_at: Micros,
    weights: Vec<WeightChange>,
    admission: BTreeMap<ClassId, ClassAdmission>,
    admission_urgency: Urgency,
}

/// The part of a table's changes that is sent at once.
struct SentChanges {
    weights: Vec<WeightChange>,
    admission: BTreeMap<ClassId, ClassAdmission>,
    lines: usize,
}

impl TableChanges {
    /// Takes out the changes of this urgency or above, as many as have no more than `max_lines` lines: levels
    /// first, then weights in their order.
    fn take(&mut self, urgency: Urgency, max_lines: usize) -> SentChanges {
        let mut taken = SentChanges { weights: Vec::new(), admission: BTreeMap::new(), lines: 0 };
        if self.admission_urgency >= urgency && self.admission.len() <= max_lines {
            taken.admission = std::mem::take(&mut self.admission);
            taken.lines = taken.admission.len();
        }
        for change in std::mem::take(&mut self.weights) {
            if change.urgency >= urgency && taken.lines + change.lines <= max_lines {
                taken.lines += change.lines;
                taken.weights.push(change);
            } else {
                self.weights.push(change);
            }
        }
        taken
    }
}

impl Policy {
    /// Plans all tables and sends their changes, as far as flow control permits: the most urgent ones of all
    /// tables first. Changes that are not sent are planned again in the next round.
    pub(super) fn publish_tables(&mut self) {
        let admitted_ratios = self.admitted_ratios();
        let mut changes = Vec::new();
        for plan in self.plan_tables() {
            self.tables.entry(plan.table).or_default().plan_step = plan.step;
            changes.push(self.table_changes(&plan, &admitted_ratios));
        }
        for urgency in Urgency::OF_CHANGES {
            for table in &mut changes {
                self.send_due_changes(table, urgency);
            }
        }
    }

    /// Sends the changes of a table of this urgency or above, as many as flow control permits now.
    fn send_due_changes(&mut self, changes: &mut TableChanges, urgency: Urgency) {
        let max_lines = self.sendable_lines(urgency, &changes.proxies);
        let due = changes.take(urgency, max_lines);
        if due.lines == 0 {
            return;
        }
        if self.may_send(urgency, changes.changed_at, &changes.proxies, due.lines) {
            self.send_changes(changes.table, &changes.proxies, &due);
        } else {
            changes.weights.extend(due.weights);
            changes.admission.extend(due.admission);
        }
    }

    /// Sends changes of a table to its proxies and records them as published.
    fn send_changes(&mut self, table: TableId, proxies: &BTreeSet<ProxyId>, changes: &SentChanges) {
        self.record_sent(proxies, changes.lines);
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
        TableChanges {
            table: plan.table,
            proxies: table.proxies.clone(),
            changed_at: table.changed_at,
            weights: self.weight_changes(table, plan),
            admission,
            admission_urgency,
        }
    }

    /// The changes of weight that bring a table to its plan, removals first. Servers that are added while
    /// others drain or are removed replace these, and are as urgent as the reaction to a fault.
    fn weight_changes(&self, table: &Table, plan: &TablePlan) -> Vec<WeightChange> {
        let mut changes = Vec::new();
        for server in table.weights.keys().filter(|server| !plan.weights.contains_key(server)) {
            let urgency = self.removal_urgency(*server);
            changes.push(WeightChange { server: *server, lines: 1, weight: 0.0, urgency });
        }
        let loses_servers = changes.iter().any(|change| change.urgency == Urgency::Critical);
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
            let is_due_addition = old == 0.0 && (loses_servers || plan.step == PlanStep::Widened);
            let urgency = if table.weights.is_empty() || is_in_unserved_zone(server) {
                Urgency::Critical
            } else if is_urgent_cut || is_due_addition {
                Urgency::Fault
            } else {
                Urgency::Routine
            };
            let lines = self.weight_lines(*server, old, *weight);
            changes.push(WeightChange { server: *server, lines, weight: *weight, urgency });
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

    /// Assigns waiting proxies to their tables until the channel's queue has no space for more. No proxy is
    /// assigned to an empty table, or to one that lacks servers for its zone-local classes, or while it has
    /// got its messages of the window.
    pub(super) fn assign_tables(&mut self) {
        for proxy in self.unassigned_proxies.clone() {
            let Some(id) = self.assignable_table(proxy) else { continue };
            let lines = self.table_lines(&self.tables[&id]);
            let receiver = BTreeSet::from([proxy]);
            if !self.is_within_message_limit(Urgency::Assignment, &receiver) {
                continue;
            }
            if !self.may_send(Urgency::Assignment, 0, &receiver, lines) {
                break;
            }
            self.actions.push(Action::AssignTable { proxy, table: id });
            self.record_sent(&receiver, lines);
            self.record_assignment(proxy, id);
        }
    }

    /// The table that a waiting proxy can be assigned to now; `None` if that has no servers for it.
    fn assignable_table(&self, proxy: ProxyId) -> Option<TableId> {
        let record = &self.proxies[&proxy];
        let id = self.table_of(record.subset);
        let table = self.tables.get(&id).filter(|table| !table.weights.is_empty())?;
        (!self.lacks_local_server(table, record.zone)).then_some(id)
    }

    /// Ejects servers that drain or are removed directly at the proxies, while any proxy has to wait for its
    /// table and the ejections cost less than that table. The ejection ends when the server is ready again.
    ///
    /// Guards against requests to such servers from proxies that still route by an outdated table. Cost: none
    /// known.
    pub(super) fn eject_at_waiting_proxies(&mut self) {
        let draining = self.servers.values().filter(|server| !server.is_ready()).count();
        let begins = !self.can_assign_all_now() && self.ejections_cost_less_than_tables(draining);
        let mut changing = Vec::new();
        for server in self.servers.values() {
            let eject = !server.is_ready() && (server.ejected_at_proxies || begins);
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

    /// True: flow control permits to assign all waiting proxies to their tables by this decision.
    fn can_assign_all_now(&self) -> bool {
        let mut lines = 0.0;
        for proxy in &self.unassigned_proxies {
            let Some(table) = self.assignable_table(*proxy) else { return false };
            if !self.is_within_message_limit(Urgency::Assignment, &BTreeSet::from([*proxy])) {
                return false;
            }
            lines += self.table_lines(&self.tables[&table]) as f64 + self.message_overhead();
        }
        self.has_queue_space(Urgency::Assignment, lines)
    }

    /// True: a proxy waits for its table, and this many ejections have fewer lines than that table, or there
    /// is none yet.
    fn ejections_cost_less_than_tables(&self, ejections: usize) -> bool {
        let costs_less = |proxy: &ProxyId| {
            let table = self.assignable_table(*proxy);
            table.is_none_or(|table| ejections < self.table_lines(&self.tables[&table]))
        };
        self.unassigned_proxies.iter().any(costs_less)
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
