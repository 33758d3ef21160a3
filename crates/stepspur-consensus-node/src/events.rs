//! What a member writes to the program's log.

use stepspur_consensus::{MemberId, Note, RoleChange};

/// A duty has another holder, none, or one that must stop.
pub(crate) fn duty_changed(me: MemberId, changed: &RoleChange) {
    match changed {
        RoleChange::Held { duty, holder, token, before } => {
            let before = before.map(|m| m.to_string()).unwrap_or_default();
            tracing::info!(event = "duty_held", member = %me, duty = duty.as_str(), %holder, %token, before);
        }
        RoleChange::Free { duty, before } => {
            let before = before.map(|m| m.to_string()).unwrap_or_default();
            tracing::info!(event = "duty_free", member = %me, duty = duty.as_str(), before);
        }
        RoleChange::Revoked { duty } => {
            tracing::info!(event = "duty_revoked", member = %me, duty = duty.as_str());
        }
    }
}

/// Elections, members and failures.
pub(crate) fn council_note(me: MemberId, note: &Note) {
    match note {
        Note::Stands { term, why } => tracing::info!(event = "council_stands", member = %me, %term, why),
        Note::Leads { term } => tracing::info!(event = "council_leads", member = %me, %term),
        Note::StepsDown { term, why } => {
            tracing::warn!(event = "council_steps_down", member = %me, %term, why);
        }
        Note::Follows { term, leader } => {
            tracing::info!(event = "council_follows", member = %me, %term, %leader);
        }
        Note::Members { voters } => tracing::info!(event = "council_members", member = %me, ?voters),
        Note::GivenUp { member } => tracing::warn!(event = "council_gave_up", member = %me, other = %member),
        Note::Retired { why } => tracing::error!(event = "council_retired", member = %me, why),
    }
}
