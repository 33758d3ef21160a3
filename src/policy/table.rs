//! The record of a table as published last: what the policy has put into actions. The engine may not have
//! sent it yet. It holds no decisions and no constants.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use crate::interface::{ClassId, Micros, ProxyId, RetryPolicy, ServerId, TableId};

/// A table as published last.
#[derive(Default)]
pub(super) struct Table {
    /// Weights of its servers.
    pub(super) weights: BTreeMap<ServerId, f64>,
    /// Admission and retries by class.
    pub(super) admission: BTreeMap<ClassId, ClassAdmission>,
    /// When it last changed.
    pub(super) changed_at: Micros,
    /// Proxies assigned to it.
    pub(super) proxies: BTreeSet<ProxyId>,
    /// Usual traffic of the connected proxies of its subset, in requests per second.
    pub(super) listed_rate: f64,
}

/// Admission and retries of one class at a table's proxies.
#[derive(Clone, Copy)]
pub(super) struct ClassAdmission {
    /// When proxies retry.
    pub(super) retry_policy: RetryPolicy,
    /// The admission level, interpreted by [`crate::interface::AdmissionMode`].
    pub(super) level: f64,
}

impl Policy {
    /// Records a server's weight in a table; weight 0 removes it.
    pub(super) fn record_weight(&mut self, table: TableId, server: ServerId, weight: f64) {
        let table = self.tables.entry(table).or_default();
        table.changed_at = self.now;
        if weight > 0.0 {
            table.weights.insert(server, weight);
        } else {
            table.weights.remove(&server);
        }
    }

    /// Records a class's admission at a table.
    pub(super) fn record_admission(&mut self, table: TableId, class: ClassId, admission: ClassAdmission) {
        let table = self.tables.entry(table).or_default();
        table.changed_at = self.now;
        table.admission.insert(class, admission);
    }
}
