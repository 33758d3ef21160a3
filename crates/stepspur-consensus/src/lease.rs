//! Leases on roles: the granting side at the leader, and the holding side at each member.
//!
//! The holder counts a lease from when it sent the renewal request, shortened by the clock drift. The grantor
//! counts it from when the request arrived, extended by the clock drift, and grants the role to another
//! member only after that. So the next holder starts after the last one has stopped, whichever messages were
//! lost or late and whichever member was stalled.
//!
//! One renewal request covers all roles of a holder, and nothing is persisted for it. A leader grants it once
//! a majority has confirmed its leadership after the request. A new leader waits for all leases that its
//! predecessors may have granted.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{Index, MemberId, Micros};
use crate::roles::{FencingToken, Role, RoleChange, RoleName, RoleTable};
use crate::settings::Settings;

/// The maximum number of renewal requests that await a response. Beyond it the oldest one is dropped, and a
/// late response to it is ignored.
const MAX_PENDING_RENEWALS: usize = 64;

/// The granting side of leases: when each role becomes available to another member. A leader starts with an
/// empty one. Times are by the leader's clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseGrantor {
    /// When this member became the leader.
    leading_since: Micros,
    /// When the last renewal request of each member was received.
    requested_at: BTreeMap<MemberId, Micros>,
    /// When the last grant of each role was applied at the leader.
    granted_at: BTreeMap<RoleName, Micros>,
    /// When the revocation of each role was applied at the leader, if it was revoked during this leadership.
    revoked_at: BTreeMap<RoleName, Micros>,
}

impl LeaseGrantor {
    /// Creates the state of a member that becomes the leader now.
    pub(crate) fn new(now: Micros) -> Self {
        Self { leading_since: now, ..Self::default() }
    }

    /// Records a member's renewal request. The request counts even before a majority has confirmed the
    /// leadership: otherwise the role might be granted to another member in the meantime.
    pub(crate) fn on_renewal_request(&mut self, member: MemberId, now: Micros) {
        self.requested_at.insert(member, now);
    }

    /// Returns when the last renewal request of a member was received; `None` if there was none during this
    /// leadership.
    pub(crate) fn last_request_at(&self, member: MemberId) -> Option<Micros> {
        self.requested_at.get(&member).copied()
    }

    /// Records a change of a role that was applied.
    pub(crate) fn on_role_change(&mut self, change: &RoleChange, now: Micros) {
        match change {
            RoleChange::Granted { role, .. } => {
                self.granted_at.insert(role.clone(), now);
                self.revoked_at.remove(role);
            }
            RoleChange::Released { role, .. } => {
                self.granted_at.remove(role);
                self.revoked_at.remove(role);
            }
            RoleChange::Revoked { role } => {
                self.revoked_at.entry(role.clone()).or_insert(now);
            }
        }
    }

    /// Returns the time from which a role may be granted to another member, as the lease of its holder has
    /// expired by then; 0 if the role has no holder.
    ///
    /// The lease may have started at the latest at the last renewal request, at the grant, or at the start of
    /// this leadership, as the renewals of earlier leaders are unknown.
    pub(crate) fn available_at(&self, name: &RoleName, role: &Role, settings: &Settings) -> Micros {
        let Some(holder) = role.holder else { return 0 };
        let last_request = self.last_request_at(holder).unwrap_or(0);
        // A revoked lease is not renewed after its revocation. If it was revoked before this leadership, its
        // last renewal is earlier than `leading_since`.
        let last_renewal = match self.revoked_at.get(name) {
            Some(at) => last_request.min(*at),
            None if role.revoked => 0,
            None => last_request,
        };
        let granted_at = self.granted_at.get(name).copied().unwrap_or(0);
        let lease_start = self.leading_since.max(last_renewal).max(granted_at);
        lease_start + settings.extended_by_drift(role.lease)
    }
}

/// A member's lease on a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The time until which the member may act on the role, by its own clock.
    pub expires_at: Micros,
    /// The fencing token to send with each order.
    pub token: FencingToken,
}

/// The holding side of leases: a member's renewal requests and their responses. Times are by the member's
/// clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseHolder {
    /// The number of the newest request; 0 before the first.
    last_request: u64,
    /// Requests that were not granted yet, oldest first.
    pending: VecDeque<PendingRenewal>,
    /// The newest request that was granted, if any.
    renewal: Option<Renewal>,
    /// The newest request with a response, granted or rejected; 0 before the first.
    last_answered: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingRenewal {
    request: u64,
    requested_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Renewal {
    requested_at: Micros,
    /// The last entry that the grantor had applied.
    applied: Index,
}

impl LeaseHolder {
    /// Starts a renewal and returns the number of its request. If it is granted, the leases count from now.
    pub(crate) fn start_renewal(&mut self, now: Micros) -> u64 {
        self.last_request += 1;
        self.pending.push_back(PendingRenewal { request: self.last_request, requested_at: now });
        if self.pending.len() > MAX_PENDING_RENEWALS {
            self.pending.pop_front();
        }
        self.last_request
    }

    /// Records a response to a request, granted or rejected.
    pub(crate) fn on_answer(&mut self, request: u64) {
        self.last_answered = self.last_answered.max(request.min(self.last_request));
    }

    /// Returns the newest request with a response, granted or rejected; 0 before the first.
    pub(crate) fn last_answered(&self) -> u64 {
        self.last_answered
    }

    /// Records that a leader granted a request after it had applied the entries up to `applied`.
    pub(crate) fn on_granted(&mut self, request: u64, applied: Index) {
        self.on_answer(request);
        let position = self.pending.iter().position(|pending| pending.request == request);
        let Some(position) = position else { return };
        let Some(granted) = self.pending.drain(..=position).next_back() else { return };
        let requested_at = granted.requested_at;
        if self.renewal.is_none_or(|renewal| requested_at > renewal.requested_at) {
            self.renewal = Some(Renewal { requested_at, applied });
        }
    }

    /// Returns a member's lease on a role, which may have expired. `None` if the member is not the holder,
    /// the role is revoked, no renewal was granted yet, or the member may have lost the role by entries that
    /// it has not applied.
    pub(crate) fn lease(
        &self,
        member: MemberId,
        name: &RoleName,
        roles: &RoleTable,
        settings: &Settings,
    ) -> Option<HeldLease> {
        let role = roles.get(name).filter(|role| role.holder == Some(member) && !role.revoked)?;
        let renewal = self.renewal?;
        // The grantor renewed by its state at `applied`. A member that has not applied all entries up to
        // there may have lost the role by one of them.
        if roles.applied() < renewal.applied {
            return None;
        }
        let expires_at = renewal.requested_at + settings.reduced_by_drift(role.lease);
        Some(HeldLease { expires_at, token: role.token })
    }
}
