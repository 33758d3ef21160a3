//! Stores the tables that the decision module decides on, and derives from each decision the update for each
//! proxy.

use std::collections::{BTreeMap, BTreeSet};

use stepspur::interface::{Action, AdmissionMode, ClassId, Micros, ProxyId, RetryPolicy, ServerId, TableId};

use super::proxy_update::{AdmissionLevel, ClassAdmission, EjectionChange, ProxyUpdate, ServerWeight};

/// A table's weights and admission settings, and the proxies that it is assigned to.
#[derive(Clone, Debug, Default)]
struct Table {
    weights: BTreeMap<ServerId, f32>,
    admissions: BTreeMap<ClassId, DecidedAdmission>,
    proxies: BTreeSet<ProxyId>,
}

/// Admission level and retry policy of a class as decided, before operators' caps.
#[derive(Clone, Copy, Debug)]
struct DecidedAdmission {
    retry_policy: RetryPolicy,
    /// A fraction or requests per second, depending on the [`AdmissionMode`].
    level: f32,
}

/// Changes to one table by one decision.
#[derive(Debug, Default)]
struct TableChanges {
    /// Changed weights; 0 removes a server.
    weights: BTreeMap<ServerId, f32>,
    /// Servers of `weights` that the table did not contain before.
    added: BTreeSet<ServerId>,
    admissions: BTreeMap<ClassId, DecidedAdmission>,
}

/// Changes to all tables by one decision.
#[derive(Debug, Default)]
struct DecisionChanges {
    tables: BTreeMap<TableId, TableChanges>,
    /// Proxies that a table is assigned to by this decision: each receives the complete table.
    assigned: BTreeSet<ProxyId>,
    /// Servers whose ejection begins (true) or ends (false).
    ejections: BTreeMap<ServerId, bool>,
    /// Nonce to acknowledge; `None` if no acknowledgement is requested. Only the recipients of an update by
    /// this decision receive it.
    nonce: Option<u16>,
}

/// An update and the proxies that receive it.
#[derive(Debug)]
pub(crate) struct AddressedUpdate {
    pub(crate) recipients: Vec<ProxyId>,
    pub(crate) update: ProxyUpdate,
}

/// All tables, their assignment to proxies, and the ejected servers.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    tables: BTreeMap<TableId, Table>,
    assignments: BTreeMap<ProxyId, TableId>,
    /// Connected proxies without a table, which use the one that they have cached.
    unassigned: BTreeSet<ProxyId>,
    /// Servers that are ejected at connected proxies.
    ejected: BTreeSet<ServerId>,
    /// Servers that have been listed as draining or removed, or with a start time, or were omitted from a
    /// complete list. A start time means a recent start or restart, so the server may have been ejected while
    /// it was down. If ejections persist, proxies may still have these servers ejected by another conductor
    /// or by an earlier run of this one.
    possibly_ejected: BTreeSet<ServerId>,
    /// True if proxies keep an ejection when they receive a new table.
    ejections_persist: bool,
    admission_mode: AdmissionMode,
    /// Operators' upper bounds of the admission ratio by class, each below 1.
    admission_caps: BTreeMap<ClassId, f32>,
}

impl Tables {
    pub(crate) fn new(admission_mode: AdmissionMode, ejections_persist: bool) -> Self {
        Self { admission_mode, ejections_persist, ..Self::default() }
    }

    /// Records that proxies may have a server ejected, as it is listed as draining or removed, or with a
    /// start time, or is omitted from a complete list.
    pub(crate) fn mark_possibly_ejected(&mut self, server: ServerId) {
        self.possibly_ejected.insert(server);
    }

    /// Forgets a server that the endpoint list removed and that is no longer in use.
    pub(crate) fn forget_server(&mut self, server: ServerId) {
        self.possibly_ejected.remove(&server);
    }

    /// Adds a proxy that has connected and has no table yet.
    pub(crate) fn add_proxy(&mut self, proxy: ProxyId) {
        self.remove_proxy(proxy);
        self.unassigned.insert(proxy);
    }

    /// Removes a proxy that has disconnected.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.unassigned.remove(&proxy);
        if let Some(id) = self.assignments.remove(&proxy)
            && let Some(table) = self.tables.get_mut(&id)
        {
            table.proxies.remove(&proxy);
        }
    }

    /// Returns the number of tables that are assigned to at least one proxy.
    pub(crate) fn assigned_table_count(&self) -> usize {
        self.tables.values().filter(|table| !table.proxies.is_empty()).count()
    }

    /// Returns the number of ejected servers.
    pub(crate) fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Returns the number of connected proxies without a table.
    pub(crate) fn unassigned_count(&self) -> usize {
        self.unassigned.len()
    }

    /// Returns true if a table contains the server or it is ejected.
    pub(crate) fn is_in_use(&self, server: ServerId) -> bool {
        self.ejected.contains(&server)
            || self.tables.values().any(|table| table.weights.contains_key(&server))
    }

    /// Applies a decision and returns the updates that it causes, at most one for each proxy.
    pub(crate) fn apply(&mut self, actions: &[Action], now: Micros) -> Vec<AddressedUpdate> {
        let mut changes = DecisionChanges::default();
        for action in actions {
            self.apply_action(action, &mut changes);
        }
        let mut updates = self.updates_for_tables(&changes);
        updates.extend(self.update_for_unassigned(&changes));
        updates.retain(|addressed| addressed.update.line_count() > 0);
        for AddressedUpdate { update, .. } in &mut updates {
            update.nonce = changes.nonce;
            update.decided_at = now;
        }
        updates
    }

    /// Caps the admission ratio of a class at `ratio`, or lifts the cap if it is 1 or more, and returns the
    /// updates that this causes. A cap takes effect only if levels are ratios ([`AdmissionMode::Ratio`]).
    pub(crate) fn cap_admission(&mut self, class: ClassId, ratio: f32, now: Micros) -> Vec<AddressedUpdate> {
        if ratio < 1.0 {
            self.admission_caps.insert(class, ratio);
        } else {
            self.admission_caps.remove(&class);
        }
        let mut updates = Vec::new();
        for table in self.tables.values().filter(|table| !table.proxies.is_empty()) {
            let Some(decided) = table.admissions.get(&class) else { continue };
            let admissions = vec![self.admission(class, *decided)];
            let update = ProxyUpdate { admissions, decided_at: now, ..Default::default() };
            updates.push(AddressedUpdate { recipients: table.proxies.iter().copied().collect(), update });
        }
        updates
    }

    /// Applies one action to the tables and records what it changes.
    fn apply_action(&mut self, action: &Action, changes: &mut DecisionChanges) {
        match action {
            Action::SetWeight { table, server, weight } => {
                self.set_weight(*table, *server, *weight, changes.tables.entry(*table).or_default());
            }
            Action::SetAdmission { table, class, retry_policy, level } => {
                let decided = DecidedAdmission { retry_policy: *retry_policy, level: *level };
                self.tables.entry(*table).or_default().admissions.insert(*class, decided);
                changes.tables.entry(*table).or_default().admissions.insert(*class, decided);
            }
            Action::AssignTable { proxy, table } => {
                if self.assign(*proxy, *table) {
                    changes.assigned.insert(*proxy);
                }
            }
            Action::SetEjected { server, ejected } => {
                if *ejected {
                    self.ejected.insert(*server);
                } else {
                    self.ejected.remove(server);
                }
                changes.ejections.insert(*server, *ejected);
            }
            Action::RequestAck { nonce } => changes.nonce = Some(*nonce),
            Action::SetTimer { .. } | Action::Probe { .. } => {}
            Action::WatchEndpoints | Action::FetchEndpoints | Action::Log(_) => {}
        }
    }

    /// Sets a server's weight in a table; 0 or less removes the server.
    fn set_weight(&mut self, table: TableId, server: ServerId, weight: f32, changes: &mut TableChanges) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        if weight > 0.0 {
            let is_new = weights.insert(server, weight).is_none();
            if is_new {
                changes.added.insert(server);
            }
        } else if weight <= 0.0 {
            weights.remove(&server);
        }
        changes.weights.insert(server, weight);
    }

    /// Assigns a table to a proxy. Returns false if the proxy has disconnected since the decision's events.
    fn assign(&mut self, proxy: ProxyId, table: TableId) -> bool {
        if !self.unassigned.contains(&proxy) && !self.assignments.contains_key(&proxy) {
            return false;
        }
        self.remove_proxy(proxy);
        self.assignments.insert(proxy, table);
        self.tables.entry(table).or_default().proxies.insert(proxy);
        true
    }

    /// Returns for each table an update with its changes for the proxies that have it already, and one with
    /// the complete table for the proxies that it is assigned to by this decision.
    fn updates_for_tables(&self, changes: &DecisionChanges) -> Vec<AddressedUpdate> {
        let mut updates = Vec::new();
        let unchanged = TableChanges::default();
        for (id, table) in &self.tables {
            let present: Vec<ProxyId> = table.proxies.difference(&changes.assigned).copied().collect();
            if !present.is_empty() {
                let table_changes = changes.tables.get(id).unwrap_or(&unchanged);
                let update = self.delta_update(table, table_changes, &changes.ejections);
                updates.push(AddressedUpdate { recipients: present, update });
            }
            let assigned: Vec<ProxyId> = table.proxies.intersection(&changes.assigned).copied().collect();
            if !assigned.is_empty() {
                updates
                    .push(AddressedUpdate { recipients: assigned, update: self.complete_update(*id, table) });
            }
        }
        updates
    }

    /// Returns the update for proxies without a table, which contains only the ejections.
    fn update_for_unassigned(&self, changes: &DecisionChanges) -> Option<AddressedUpdate> {
        if self.unassigned.is_empty() {
            return None;
        }
        let ejections = ejection_changes(&changes.ejections);
        let update = ProxyUpdate { ejections, ..Default::default() };
        Some(AddressedUpdate { recipients: self.unassigned.iter().copied().collect(), update })
    }

    /// Returns the update with a table's changes. Proxies that have the table already know the ejections of
    /// its servers, so the update contains only changed ejections, those of added servers, and those of
    /// ejected servers whose weight changes.
    fn delta_update(
        &self,
        table: &Table,
        changes: &TableChanges,
        ejections: &BTreeMap<ServerId, bool>,
    ) -> ProxyUpdate {
        let mut relevant_ejections: BTreeMap<ServerId, bool> = BTreeMap::new();
        for (server, weight) in &changes.weights {
            if *weight > 0.0
                && let Some(change) = self.ejection_for_weight(*server)
                && (change.ejected || changes.added.contains(server))
            {
                relevant_ejections.insert(*server, change.ejected);
            }
        }
        for (server, ejected) in ejections {
            if table.weights.contains_key(server) {
                relevant_ejections.insert(*server, *ejected);
            }
        }
        ProxyUpdate {
            weights: server_weights(&changes.weights),
            admissions: self.class_admissions(&changes.admissions),
            ejections: ejection_changes(&relevant_ejections),
            ..Default::default()
        }
    }

    /// Returns the update with a complete table.
    fn complete_update(&self, id: TableId, table: &Table) -> ProxyUpdate {
        ProxyUpdate {
            complete_table: Some(id),
            weights: server_weights(&table.weights),
            admissions: self.class_admissions(&table.admissions),
            ejections: table.weights.keys().filter_map(|server| self.ejection_for_weight(*server)).collect(),
            ..Default::default()
        }
    }

    /// Returns the ejection change that accompanies a server's weight: that the server is ejected, or that an
    /// ejection by an earlier conductor ends. `None` if proxies cannot have the server ejected.
    fn ejection_for_weight(&self, server: ServerId) -> Option<EjectionChange> {
        let ejected = self.ejected.contains(&server);
        let may_be_ejected_at_proxies = self.ejections_persist && self.possibly_ejected.contains(&server);
        (ejected || may_be_ejected_at_proxies).then_some(EjectionChange { server, ejected })
    }

    fn class_admissions(&self, decided: &BTreeMap<ClassId, DecidedAdmission>) -> Vec<ClassAdmission> {
        decided.iter().map(|(class, admission)| self.admission(*class, *admission)).collect()
    }

    /// Returns a class's admission as sent to proxies: the decided level, bounded by the operators' cap if
    /// levels are ratios.
    fn admission(&self, class: ClassId, decided: DecidedAdmission) -> ClassAdmission {
        let DecidedAdmission { retry_policy, level } = decided;
        let level = match self.admission_mode {
            AdmissionMode::Ratio => {
                let cap = self.admission_caps.get(&class).copied().unwrap_or(1.0);
                AdmissionLevel::Ratio(level.min(cap))
            }
            AdmissionMode::RequestsPerSecond => AdmissionLevel::RequestsPerSecond(level),
            AdmissionMode::Ignored => AdmissionLevel::Unlimited,
        };
        ClassAdmission { class, retry_policy, level }
    }
}

fn server_weights(weights: &BTreeMap<ServerId, f32>) -> Vec<ServerWeight> {
    weights.iter().map(|(server, weight)| ServerWeight { server: *server, weight: *weight }).collect()
}

fn ejection_changes(ejections: &BTreeMap<ServerId, bool>) -> Vec<EjectionChange> {
    ejections.iter().map(|(server, ejected)| EjectionChange { server: *server, ejected: *ejected }).collect()
}
