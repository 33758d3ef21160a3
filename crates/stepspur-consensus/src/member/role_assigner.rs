//! A leader's choice of the members to which it grants available roles.

use std::collections::BTreeMap;

use crate::ids::{Index, MemberId, Micros};
use crate::lease::LeaseGrantor;
use crate::rendezvous::highest_random_weight;
use crate::roles::{RoleGrant, RoleName, RoleTable};
use crate::settings::Settings;

/// The maximum number of grants in a log entry.
const MAX_GRANTS_PER_ENTRY: usize = 256;
/// The maximum number of name prefixes by which a member selects the roles that it wants.
const MAX_ROLE_PREFIXES: usize = 64;
/// A member that has not requested a renewal for this many election timeouts is granted no further roles.
const CANDIDATE_EXPIRY_ELECTION_TIMEOUTS: u64 = 2;

/// The roles that a member wants.
#[derive(Clone, Debug, Default)]
pub(super) struct RolePreferences {
    /// The member's share of the roles relative to other members' weights; 0 means none.
    pub(super) weight: f64,
    /// Prefixes of the names of the roles that the member wants.
    pub(super) prefixes: Vec<String>,
}

impl RolePreferences {
    /// Creates preferences with the first [`MAX_ROLE_PREFIXES`] of the prefixes.
    pub(super) fn new(prefixes: impl IntoIterator<Item = String>, weight: f64) -> Self {
        Self { weight, prefixes: prefixes.into_iter().take(MAX_ROLE_PREFIXES).collect() }
    }

    fn matches(&self, role: &RoleName) -> bool {
        self.prefixes.iter().any(|prefix| role.as_str().starts_with(prefix.as_str()))
    }
}

/// Chooses the members to which a leader grants available roles. It starts empty with each leadership.
#[derive(Clone, Debug)]
pub(super) struct RoleAssigner {
    /// When each role becomes available.
    pub(super) grantor: LeaseGrantor,
    /// The preferences of the members that have sent renewal requests. They are candidates for roles, not in
    /// an election.
    candidates: BTreeMap<MemberId, RolePreferences>,
    /// The roles with a proposed grant that is not applied yet, and the index of its entry.
    proposed: BTreeMap<RoleName, Index>,
}

impl RoleAssigner {
    /// Creates the state of a member that becomes the leader now.
    pub(super) fn new(now: Micros) -> Self {
        Self { grantor: LeaseGrantor::new(now), candidates: BTreeMap::new(), proposed: BTreeMap::new() }
    }

    /// Records a member's renewal request and its preferences.
    pub(super) fn on_renewal_request(&mut self, member: MemberId, preferences: RolePreferences, now: Micros) {
        self.grantor.on_renewal_request(member, now);
        self.candidates.insert(member, preferences);
    }

    /// Records that the entry at `index` proposes grants of these roles. They are not proposed again before
    /// it is applied.
    pub(super) fn on_proposed(&mut self, roles: impl IntoIterator<Item = RoleName>, index: Index) {
        self.proposed.extend(roles.into_iter().map(|role| (role, index)));
    }

    /// Records that an entry was applied.
    pub(super) fn on_applied(&mut self, index: Index) {
        self.proposed.retain(|_, proposed_at| *proposed_at > index);
    }

    /// Returns grants of the available roles, each to the live candidate that wants it and has the highest
    /// random weight for it; at most [`MAX_GRANTS_PER_ENTRY`].
    pub(super) fn next_grants(&self, roles: &RoleTable, settings: &Settings, now: Micros) -> Vec<RoleGrant> {
        let candidates = self.live_candidates(settings, now);
        if candidates.is_empty() {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (name, role) in roles.iter() {
            let available = now >= self.grantor.available_at(name, role, settings);
            if !available || self.proposed.contains_key(name) || grants.len() >= MAX_GRANTS_PER_ENTRY {
                continue;
            }
            let interested = candidates.iter().filter(|(_, preferences)| preferences.matches(name));
            let weights = interested.map(|(member, preferences)| (*member, preferences.weight));
            if let Some(holder) = highest_random_weight(name, weights) {
                grants.push(RoleGrant { role: name.clone(), expected_token: role.token, holder });
            }
        }
        grants
    }

    /// Returns the candidates that have requested a renewal lately.
    fn live_candidates(&self, settings: &Settings, now: Micros) -> Vec<(MemberId, &RolePreferences)> {
        let timeout = settings.election_timeout * CANDIDATE_EXPIRY_ELECTION_TIMEOUTS;
        let is_live = |member: MemberId| {
            self.grantor.last_request_at(member).is_some_and(|requested_at| now < requested_at + timeout)
        };
        let candidates = self.candidates.iter().filter(|(member, _)| is_live(**member));
        candidates.map(|(member, preferences)| (*member, preferences)).collect()
    }
}
