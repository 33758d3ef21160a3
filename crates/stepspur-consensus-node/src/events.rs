//! What a member writes to the program's log.

use stepspur_consensus::{MemberId, Note, RoleChange};

/// A duty has another holder, none, or one that must stop.
pub(crate) fn duty_changed(me: MemberId, changed: &RoleChange) {
    match changed {
        RoleChange::Held { duty, holder, token, before } => {
            let before = before.map(|m| m.to_string()).unwrap_or_default();
            tracing::info!(event = "lease_acquired", member = %me, duty = duty.as_str(), %holder, %token, before);
        }
        RoleChange::Free { duty, before } => {
            let before = before.map(|m| m.to_string()).unwrap_or_default();
            tracing::info!(event = "lease_released", member = %me, duty = duty.as_str(), before);
        }
        RoleChange::Revoked { duty } => {
            tracing::info!(event = "lease_revoked", member = %me, duty = duty.as_str());
        }
    }
}

/// Elections, members and failures.
pub(crate) fn council_note(me: MemberId, note: &Note) {
    match note {
        Note::Stands { term, why } => tracing::info!(event = "consensus_candidate", member = %me, %term, why),
        Note::Leads { term } => tracing::info!(event = "consensus_leader", member = %me, %term),
        Note::StepsDown { term, why } => {
            tracing::warn!(event = "consensus_stepped_down", member = %me, %term, why);
        }
        Note::Follows { term, leader } => {
            tracing::info!(event = "consensus_follower", member = %me, %term, %leader);
        }
        Note::Members { voters } => tracing::info!(event = "consensus_membership", member = %me, ?voters),
        Note::GivenUp { member } => {
            tracing::warn!(event = "consensus_member_failed", member = %me, other = %member)
        }
        Note::Retired { why } => tracing::error!(event = "consensus_member_removed", member = %me, why),
    }
}
