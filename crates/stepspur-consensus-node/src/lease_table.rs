//! The leases that the member holds, shared with readers outside of its task.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use stepspur_consensus::{FencingToken, HeldLease, Micros, RoleName};

/// The leases that the member holds, by role. The member's task updates it after each input.
#[derive(Debug, Default)]
pub(crate) struct LeaseTable(RwLock<BTreeMap<RoleName, HeldLease>>);

impl LeaseTable {
    /// Returns the fencing token of a role; `None` if the member holds no lease on it or the lease has
    /// expired.
    ///
    /// Expiry is checked here, at the time of use, so that a delayed member task cannot extend a lease.
    pub(crate) fn token(&self, role: &RoleName, now: Micros) -> Option<FencingToken> {
        let leases = self.0.read().unwrap_or_else(PoisonError::into_inner);
        leases.get(role).filter(|lease| now < lease.expires_at).map(|lease| lease.token)
    }

    /// Replaces all leases with those given.
    pub(crate) fn replace<'a>(&self, leases: impl Iterator<Item = (&'a RoleName, HeldLease)>) {
        let mut table = self.0.write().unwrap_or_else(PoisonError::into_inner);
        table.clear();
        table.extend(leases.map(|(role, lease)| (role.clone(), lease)));
    }

    /// Removes all leases, for a member that stops.
    pub(crate) fn clear(&self) {
        self.0.write().unwrap_or_else(PoisonError::into_inner).clear();
    }
}
