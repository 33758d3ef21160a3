//! The record of a table as last published, that is, as the actions returned so far describe it. The engine
//! may not have sent all of them yet. It holds no decisions and no constants.

use std::collections::{BTreeMap, BTreeSet};

use super::Policy;
use super::table_plan::PlanStep;
use crate::interface::{ClassId, Micros, ProxyId, RetryPolicy, ServerId, TableId};

/// A routing table as last published.
#[derive(Default)]
pub(super) struct Table {
    /// Weight of each of its servers, above 0.
    pub(super) weights: BTreeMap<ServerId, f64>,
    /// Admission level and retry policy of each class that have been published.
    pub(super) admission: BTreeMap<ClassId, ClassAdmission>,
    /// When a weight or an admission level last changed; 0: never.
    pub(super) changed_at: Micros,
    /// Connected proxies that are assigned to it.
    pub(super) proxies: BTreeSet<ProxyId>,
    /// Total traffic that the connected proxies of its subset declared, in requests per second.
    pub(super) declared_rate: f64,
    /// The step of its newest plan that chose its servers. Flow control may delay the plan's changes.
    pub(super) plan_step: PlanStep,
}

/// Admission level and retry policy of one class at a table's proxies.
#[derive(Clone, Copy)]
pub(super) struct ClassAdmission {
    /// Which failed attempts proxies retry.
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

    /// Records the admission level and retry policy of a class in a table.
    pub(super) fn record_admission(&mut self, table: TableId, class: ClassId, admission: ClassAdmission) {
        let table = self.tables.entry(table).or_default();
        table.changed_at = self.now;
        table.admission.insert(class, admission);
    }
}
