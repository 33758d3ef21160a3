//! Log events of a member. Operators' tools match their names and fields.

use stepspur_consensus::{MemberId, RaftEvent, RoleChange};

/// Logs a change of a role's holder when this member applies it. Every member logs it, not only the holder.
/// `lease_acquired` means that the grant is committed; the holder may act only after the leader has confirmed
/// a renewal.
pub(crate) fn log_role_change(member: MemberId, change: &RoleChange) {
    match change {
        RoleChange::Granted { role, holder, token, previous_holder } => {
            let previous = previous_holder.map(|holder| holder.to_string()).unwrap_or_default();
            tracing::info!(
                event = "lease_acquired",
                %member,
                role = role.as_str(),
                %holder,
                %token,
                previous_holder = previous
            );
        }
        RoleChange::Released { role, previous_holder } => {
            let previous = previous_holder.map(|holder| holder.to_string()).unwrap_or_default();
            tracing::info!(
                event = "lease_released",
                %member,
                role = role.as_str(),
                previous_holder = previous
            );
        }
        RoleChange::Revoked { role } => {
            tracing::info!(event = "lease_revoked", %member, role = role.as_str());
        }
    }
}

/// Logs elections, changes of the leader or the voters, and failures.
pub(crate) fn log_raft_event(member: MemberId, event: &RaftEvent) {
    match event {
        RaftEvent::BecameCandidate { term, reason } => {
            tracing::info!(event = "consensus_candidate", %member, %term, reason = reason.to_string());
        }
        RaftEvent::BecameLeader { term } => {
            tracing::info!(event = "consensus_leader", %member, %term);
        }
        RaftEvent::SteppedDown { term, reason } => {
            tracing::warn!(event = "consensus_stepped_down", %member, %term, reason = reason.to_string());
        }
        RaftEvent::BecameFollower { term, leader } => {
            tracing::info!(event = "consensus_follower", %member, %term, %leader);
        }
        RaftEvent::VotersChanged { voters } => {
            tracing::info!(event = "consensus_membership", %member, ?voters);
        }
        RaftEvent::CatchUpFailed { member: other } => {
            tracing::warn!(event = "consensus_catch_up_failed", %member, %other);
        }
        RaftEvent::Halted { reason } => {
            tracing::error!(event = "consensus_halted", %member, reason);
        }
    }
}
