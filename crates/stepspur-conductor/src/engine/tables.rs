//! Tables as ordered, and what of a reply each proxy must be told.

use std::collections::{BTreeMap, BTreeSet};

use stepspur::interface::{Action, AdmissionMode, ClassId, ProxyId, RetryPolicy, ServerId, TableId};

use super::order::{AdmissionLevel, ClassAdmission, ProxyUpdate};

/// A table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub lines: BTreeMap<ServerId, f32>,
    pub levels: BTreeMap<ClassId, (RetryPolicy, f32)>,
    pub users: BTreeSet<ProxyId>,
}

/// What of a reply concerns a table's users.
#[derive(Debug, Default)]
struct Changes {
    lines: BTreeMap<ServerId, f32>,
    /// Of them, those that were not there before.
    new: BTreeSet<ServerId>,
    levels: BTreeMap<ClassId, (RetryPolicy, f32)>,
}

/// One order, and those who get it.
#[derive(Debug)]
pub(crate) struct Addressed {
    pub to: Vec<ProxyId>,
    pub order: ProxyUpdate,
}

/// All tables, who is bound to which, and what is withdrawn.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    tables: BTreeMap<TableId, Table>,
    bound: BTreeMap<ProxyId, TableId>,
    /// Joined, and bound to no table yet: they go by what they hold.
    unbound: BTreeSet<ProxyId>,
    withdrawn: BTreeSet<ServerId>,
    /// Servers that have been out or restarted: where proxies keep withdrawals, one may still shut them out, on
    /// another conductor's word or on this one's from before its start.
    suspects: BTreeSet<ServerId>,
    keeps_withdrawals: bool,
    admit: AdmissionMode,
    /// Shares that operators let in at most.
    caps: BTreeMap<ClassId, f32>,
}

impl Tables {
    pub(crate) fn new(admit: AdmissionMode, keeps_withdrawals: bool) -> Self {
        Self { admit, keeps_withdrawals, ..Self::default() }
    }

    /// A server has been out, or has restarted.
    pub(crate) fn suspect(&mut self, server: ServerId) {
        self.suspects.insert(server);
    }

    /// A server is forgotten.
    pub(crate) fn forget(&mut self, server: ServerId) {
        self.suspects.remove(&server);
    }

    pub(crate) fn join(&mut self, proxy: ProxyId) {
        self.leave(proxy);
        self.unbound.insert(proxy);
    }

    pub(crate) fn leave(&mut self, proxy: ProxyId) {
        self.unbound.remove(&proxy);
        if let Some(table) = self.bound.remove(&proxy).and_then(|id| self.tables.get_mut(&id)) {
            table.users.remove(&proxy);
        }
    }

    pub(crate) fn all(&self) -> &BTreeMap<TableId, Table> {
        &self.tables
    }

    pub(crate) fn withdrawn(&self) -> &BTreeSet<ServerId> {
        &self.withdrawn
    }

    pub(crate) fn unbound(&self) -> usize {
        self.unbound.len()
    }

    /// True: some table names it, or it is withdrawn.
    pub(crate) fn names(&self, server: ServerId) -> bool {
        self.withdrawn.contains(&server) || self.tables.values().any(|t| t.lines.contains_key(&server))
    }

    /// Applies a reply and gives the orders that it makes: one for each proxy concerned.
    pub(crate) fn apply(&mut self, actions: &[Action], now: u64) -> Vec<Addressed> {
        let mut changes: BTreeMap<TableId, Changes> = BTreeMap::new();
        let mut bound: BTreeSet<ProxyId> = BTreeSet::new();
        let mut turned: BTreeMap<ServerId, bool> = BTreeMap::new();
        let mut mark = None;
        for action in actions {
            match action {
                Action::SetWeight { table, server, weight } => {
                    let lines = &mut self.tables.entry(*table).or_default().lines;
                    let change = changes.entry(*table).or_default();
                    if *weight > 0.0 && lines.insert(*server, *weight).is_none() {
                        change.new.insert(*server);
                    } else if *weight <= 0.0 {
                        lines.remove(server);
                    }
                    change.lines.insert(*server, *weight);
                }
                Action::SetAdmission { table, class, retry_policy: resend, level } => {
                    self.tables.entry(*table).or_default().levels.insert(*class, (*resend, *level));
                    changes.entry(*table).or_default().levels.insert(*class, (*resend, *level));
                }
                Action::AssignTable { proxy, table } => {
                    // One that has left meanwhile is bound to nothing.
                    if self.unbound.contains(proxy) || self.bound.contains_key(proxy) {
                        self.leave(*proxy);
                        self.bound.insert(*proxy, *table);
                        self.tables.entry(*table).or_default().users.insert(*proxy);
                        bound.insert(*proxy);
                    }
                }
                Action::SetEjected { server, ejected: out } => {
                    match out {
                        true => self.withdrawn.insert(*server),
                        false => self.withdrawn.remove(server),
                    };
                    turned.insert(*server, *out);
                }
                Action::RequestAck { nonce: number } => mark = Some(*number),
                Action::SetTimer { .. } | Action::Probe { .. } => {}
                Action::WatchEndpoints | Action::FetchEndpoints | Action::Log(_) => {}
            }
        }
        let mut orders = Vec::new();
        let none = Changes::default();
        for (id, table) in &self.tables {
            let change = changes.get(id).unwrap_or(&none);
            let known: Vec<_> = table.users.difference(&bound).copied().collect();
            if !known.is_empty() {
                orders.push(Addressed { to: known, order: self.change(table, change, &turned) });
            }
            let new: Vec<_> = table.users.intersection(&bound).copied().collect();
            if !new.is_empty() {
                orders.push(Addressed { to: new, order: self.whole(*id, table) });
            }
        }
        if !self.unbound.is_empty() {
            let withdrawals = turned.iter().map(|(id, out)| (*id, *out)).collect();
            let to = self.unbound.iter().copied().collect();
            orders.push(Addressed { to, order: ProxyUpdate { withdrawals, ..Default::default() } });
        }
        orders.retain(|o| o.order.cost() > 0);
        for Addressed { order, .. } in &mut orders {
            (order.mark, order.decided) = (mark, now);
        }
        orders
    }

    /// No more than this share of a class is let in: the orders that it makes.
    pub(crate) fn cap(&mut self, class: ClassId, share: f32, now: u64) -> Vec<Addressed> {
        if share < 1.0 {
            self.caps.insert(class, share)
        } else {
            self.caps.remove(&class)
        };
        let used = self.tables.values().filter(|t| !t.users.is_empty());
        let order = |table: &Table| {
            let level = self.level(class, *table.levels.get(&class)?);
            let order = ProxyUpdate { levels: vec![level], decided: now, ..Default::default() };
            Some(Addressed { to: table.users.iter().copied().collect(), order })
        };
        used.filter_map(order).collect()
    }

    fn change(&self, table: &Table, change: &Changes, turned: &BTreeMap<ServerId, bool>) -> ProxyUpdate {
        let lines = change.lines.iter().map(|(id, weight)| (*id, *weight));
        let levels = change.levels.iter().map(|(id, level)| self.level(*id, *level));
        // A bound proxy has heard of the withdrawals that concern its table: a line that comes later brings its
        // own along.
        let added = change.lines.iter().filter(|(_, weight)| **weight > 0.0).map(|(id, _)| *id);
        let settled = added.filter_map(|id| self.settled(id));
        let mut out: BTreeMap<ServerId, bool> =
            settled.filter(|(id, out)| *out || change.new.contains(id)).collect();
        out.extend(turned.iter().filter(|(id, _)| table.lines.contains_key(id)));
        ProxyUpdate {
            lines: lines.collect(),
            levels: levels.collect(),
            withdrawals: out.into_iter().collect(),
            ..Default::default()
        }
    }

    fn whole(&self, id: TableId, table: &Table) -> ProxyUpdate {
        ProxyUpdate {
            whole: Some(id),
            lines: table.lines.iter().map(|(id, weight)| (*id, *weight)).collect(),
            levels: table.levels.iter().map(|(id, level)| self.level(*id, *level)).collect(),
            withdrawals: table.lines.keys().filter_map(|id| self.settled(*id)).collect(),
            ..Default::default()
        }
    }

    /// What a line brings along: that its server is shut out, or that it no longer is.
    fn settled(&self, id: ServerId) -> Option<(ServerId, bool)> {
        let out = self.withdrawn.contains(&id);
        (out || self.keeps_withdrawals && self.suspects.contains(&id)).then_some((id, out))
    }

    fn level(&self, class: ClassId, (resend, level): (RetryPolicy, f32)) -> ClassAdmission {
        let admit = match self.admit {
            AdmissionMode::Ratio => {
                AdmissionLevel::Share(level.min(self.caps.get(&class).copied().unwrap_or(1.0)))
            }
            AdmissionMode::RequestsPerSecond => AdmissionLevel::Rate(level),
            AdmissionMode::Ignored => AdmissionLevel::All,
        };
        ClassAdmission { class, resend, admit }
    }
}
