//! Both sides of the leases on roles.
//!
//! The holder counts a lease from when it requested the renewal, less the clock drift. The grantor waits
//! for the lease and the drift from when the request came. So the next holder begins after the last one has
//! stopped, whatever was lost, late or stalled between them.
//!
//! A renewal is one message for all roles of a holder, and nothing of it is persisted: a leader grants it
//! once a majority has confirmed its leadership after the request, and a new leader waits for all leases that
//! the old one may have granted.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{Index, MemberId, Micros};
use crate::roles::{FencingToken, Role, RoleChange, RoleName, RoleTable};
use crate::settings::Settings;

/// Renewals that may await an answer; the oldest is dropped first.
const MAX_PENDING_RENEWALS: usize = 64;

/// The granting side: what a leader knows of the holders. It starts empty with each leadership.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseGrantor {
    /// Since when it leads.
    leading_since: Micros,
    /// When each member's last request to renew came.
    requested_at: BTreeMap<MemberId, Micros>,
    /// When each role's grant was applied here.
    granted_at: BTreeMap<RoleName, Micros>,
    /// When each role's revocation was applied here.
    revoked_at: BTreeMap<RoleName, Micros>,
}

impl LeaseGrantor {
    /// The member becomes the leader.
    pub(crate) fn new(now: Micros) -> Self {
        Self { leading_since: now, ..Self::default() }
    }

    /// A member requests a renewal. The request counts before a majority confirms it: otherwise a role might
    /// be granted to another member in the meantime.
    pub(crate) fn on_renewal_request(&mut self, member: MemberId, now: Micros) {
        self.requested_at.insert(member, now);
    }

    /// When a member's last request came.
    pub(crate) fn last_request_at(&self, member: MemberId) -> Option<Micros> {
        self.requested_at.get(&member).copied()
    }

    /// A change of a role was applied.
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

    /// From when a role may be granted to another member: its holder's lease has ended by then.
    pub(crate) fn available_at(&self, name: &RoleName, role: &Role, settings: &Settings) -> Micros {
        let Some(holder) = role.holder else { return 0 };
        let last_request = self.last_request_at(holder).unwrap_or(0);
        // A revoked lease is not renewed after its revocation. If that was before this leadership,
        // `leading_since` covers it.
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

/// A lease that the member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Until when the member may act, by its own clock.
    pub expires_at: Micros,
    /// The token to send with each act.
    pub token: FencingToken,
}

/// The holding side: renewals that the member requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseHolder {
    /// The number of the newest request.
    last_request: u64,
    /// Requests that were not granted yet, oldest first.
    pending: VecDeque<PendingRenewal>,
    /// The newest request that was granted.
    renewal: Option<Renewal>,
    /// The newest request that was answered, granted or not.
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
    /// The grantor had applied all entries up to this one.
    applied: Index,
}

impl LeaseHolder {
    /// Starts a renewal, and gives the number of its request. The leases count from now.
    pub(crate) fn start_renewal(&mut self, now: Micros) -> u64 {
        self.last_request += 1;
        self.pending.push_back(PendingRenewal { request: self.last_request, requested_at: now });
        if self.pending.len() > MAX_PENDING_RENEWALS {
            self.pending.pop_front();
        }
        self.last_request
    }

    /// A request was answered, granted or not.
    pub(crate) fn on_answer(&mut self, request: u64) {
        self.last_answered = self.last_answered.max(request.min(self.last_request));
    }

    /// The newest request that was answered, granted or not; 0 before the first.
    pub(crate) fn last_answered(&self) -> u64 {
        self.last_answered
    }

    /// A request was granted by a leader that had applied all entries up to `applied`.
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

    /// The lease by which a member may act on a role; none if it is not the holder, or cannot rule out that
    /// it is not any more.
    pub(crate) fn lease(
        &self,
        member: MemberId,
        name: &RoleName,
        roles: &RoleTable,
        settings: &Settings,
    ) -> Option<HeldLease> {
        let role = roles.get(name).filter(|role| role.holder == Some(member) && !role.revoked)?;
        let renewal = self.renewal?;
        // The grantor counted all entries up to `applied`. A member that lacks some may have lost the role by
        // them.
        if roles.applied() < renewal.applied {
            return None;
        }
        let expires_at = renewal.requested_at + settings.reduced_by_drift(role.lease);
        Some(HeldLease { expires_at, token: role.token })
    }
}
