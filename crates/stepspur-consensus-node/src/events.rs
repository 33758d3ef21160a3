//! What a member writes to the program's log.

use stepspur_consensus::{MemberId, RaftEvent, RoleChange};

/// Logs a change of a role's holder.
pub(crate) fn log_role_change(member: MemberId, change: &RoleChange) {
    match change {
        RoleChange::Granted { role, holder, token, previous_holder } => {
            let duty = role.as_str();
            let before = previous_holder.map(|holder| holder.to_string()).unwrap_or_default();
            tracing::info!(event = "lease_acquired", %member, duty, %holder, %token, before);
        }
        RoleChange::Released { role, previous_holder } => {
            let duty = role.as_str();
            let before = previous_holder.map(|holder| holder.to_string()).unwrap_or_default();
            tracing::info!(event = "lease_released", %member, duty, before);
        }
        RoleChange::Revoked { role } => {
            let duty = role.as_str();
            tracing::info!(event = "lease_revoked", %member, duty);
        }
    }
}

/// Logs elections, membership changes and failures.
pub(crate) fn log_raft_event(member: MemberId, event: &RaftEvent) {
    match event {
        RaftEvent::BecameCandidate { term, reason } => {
            let why = reason.to_string();
            tracing::info!(event = "consensus_candidate", %member, %term, why);
        }
        RaftEvent::BecameLeader { term } => {
            tracing::info!(event = "consensus_leader", %member, %term);
        }
        RaftEvent::SteppedDown { term, reason } => {
            let why = reason.to_string();
            tracing::warn!(event = "consensus_stepped_down", %member, %term, why);
        }
        RaftEvent::BecameFollower { term, leader } => {
            tracing::info!(event = "consensus_follower", %member, %term, %leader);
        }
        RaftEvent::VotersChanged { voters } => {
            tracing::info!(event = "consensus_membership", %member, ?voters);
        }
        RaftEvent::CatchUpFailed { member: other } => {
            tracing::warn!(event = "consensus_member_failed", %member, %other);
        }
        RaftEvent::Halted { reason } => {
            tracing::error!(event = "consensus_member_removed", %member, why = reason);
        }
    }
}
