//! What a leader needs to grant roles.

use std::collections::BTreeMap;

use crate::ids::{Index, MemberId, Micros};
use crate::lease::LeaseGrantor;
use crate::rendezvous::highest_random_weight;
use crate::roles::{RoleGrant, RoleName, RoleTable};
use crate::settings::Settings;

/// The highest number of grants in an entry.
const MAX_GRANTS: usize = 256;
/// The highest number of prefixes by which a member names the roles that it would hold.
const MAX_PREFIXES: usize = 64;
/// A member without a request for this many election timeouts gets no further roles.
const CANDIDATE_TIMEOUT_ELECTIONS: u64 = 2;

/// Which roles a member would hold.
#[derive(Clone, Debug, Default)]
pub(super) struct RolePreferences {
    /// Its share of the roles relative to others'; 0: none.
    pub(super) weight: f64,
    /// Prefixes of the roles' names.
    pub(super) prefixes: Vec<String>,
}

impl RolePreferences {
    /// Preferences with the first 64 of these prefixes.
    pub(super) fn new(prefixes: impl IntoIterator<Item = String>, weight: f64) -> Self {
        Self { weight, prefixes: prefixes.into_iter().take(MAX_PREFIXES).collect() }
    }

    fn matches(&self, role: &RoleName) -> bool {
        self.prefixes.iter().any(|prefix| role.as_str().starts_with(prefix.as_str()))
    }
}

/// What a leader needs to grant roles. It starts empty with each leadership.
#[derive(Clone, Debug)]
pub(super) struct RoleAssigner {
    pub(super) grantor: LeaseGrantor,
    /// The members that sent requests to renew.
    candidates: BTreeMap<MemberId, RolePreferences>,
    /// Roles whose grant is proposed and not applied yet, with the grant's entry.
    proposed: BTreeMap<RoleName, Index>,
}

impl RoleAssigner {
    /// The member becomes the leader.
    pub(super) fn new(now: Micros) -> Self {
        Self { grantor: LeaseGrantor::new(now), candidates: BTreeMap::new(), proposed: BTreeMap::new() }
    }

    /// A member requests a renewal.
    pub(super) fn on_renewal_request(&mut self, member: MemberId, preferences: RolePreferences, now: Micros) {
        self.grantor.on_renewal_request(member, now);
        self.candidates.insert(member, preferences);
    }

    /// Grants were proposed by an entry.
    pub(super) fn on_proposed(&mut self, roles: impl IntoIterator<Item = RoleName>, index: Index) {
        self.proposed.extend(roles.into_iter().map(|role| (role, index)));
    }

    /// An entry was applied.
    pub(super) fn on_applied(&mut self, index: Index) {
        self.proposed.retain(|_, proposed_at| *proposed_at > index);
    }

    /// Grants of the roles that are available, each to the best of the live members that would hold it.
    pub(super) fn next_grants(&self, roles: &RoleTable, settings: &Settings, now: Micros) -> Vec<RoleGrant> {
        let candidates = self.live_candidates(settings, now);
        if candidates.is_empty() {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (name, role) in roles.iter() {
            let available = now >= self.grantor.available_at(name, role, settings);
            if !available || self.proposed.contains_key(name) || grants.len() >= MAX_GRANTS {
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

    fn live_candidates(&self, settings: &Settings, now: Micros) -> Vec<(MemberId, &RolePreferences)> {
        let timeout = settings.election_timeout * CANDIDATE_TIMEOUT_ELECTIONS;
        let is_live = |member: MemberId| {
            self.grantor.last_request_at(member).is_some_and(|requested_at| now < requested_at + timeout)
        };
        let candidates = self.candidates.iter().filter(|(member, _)| is_live(**member));
        candidates.map(|(member, preferences)| (*member, preferences)).collect()
    }
}
