//! The member's leases, for readers outside of its task.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use stepspur_consensus::{FencingToken, HeldLease, Micros, RoleName};

/// The member's leases, by role.
#[derive(Debug, Default)]
pub(crate) struct LeaseTable(RwLock<BTreeMap<RoleName, HeldLease>>);

impl LeaseTable {
    /// The token by which the member may act on a role now; none if it may not.
    pub(crate) fn token(&self, role: &RoleName, now: Micros) -> Option<FencingToken> {
        let leases = self.0.read().unwrap_or_else(PoisonError::into_inner);
        leases.get(role).filter(|lease| now < lease.expires_at).map(|lease| lease.token)
    }

    /// Replaces all leases.
    pub(crate) fn replace<'a>(&self, leases: impl Iterator<Item = (&'a RoleName, HeldLease)>) {
        let mut table = self.0.write().unwrap_or_else(PoisonError::into_inner);
        table.clear();
        table.extend(leases.map(|(role, lease)| (role.clone(), lease)));
    }

    /// Removes all leases.
    pub(crate) fn clear(&self) {
        self.0.write().unwrap_or_else(PoisonError::into_inner).clear();
    }
}
