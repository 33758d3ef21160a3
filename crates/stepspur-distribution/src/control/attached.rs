//! A subscriber that is connected to this member, and its progress.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::subscriber_state::{Lag, SubscriberState};
use crate::configuration::{ConfigurationState, Registration};
use crate::document::Interest;
use crate::version::Version;

/// Maximum length of the reason why a subscriber is behind, in characters. It bounds the size of summaries.
const MAX_REASON_CHARS: usize = 64;
/// The reason of a subscriber that is behind and has reported no failed document.
const NOT_ACKNOWLEDGED: &str = "not acknowledged yet";
/// The reason of a subscriber whose current interest is not in the replicated registrations.
const NOT_REGISTERED: &str = "attached, not registered yet";

/// The progress of an attached subscriber.
#[derive(Clone, Debug)]
pub(super) struct SubscriberProgress {
    /// It was sent all changes of its interest up to this version. An acknowledgement beyond it is invalid.
    pub(super) sent_version: Version,
    /// The version that it last acknowledged as applied. It may decrease, if the subscriber restored older
    /// data.
    pub(super) applied_version: Version,
    /// The last version that concerns it.
    pub(super) required_version: Version,
    /// Since when it is behind. Only valid while it is behind or not registered.
    pub(super) behind_since: Instant,
    /// When its last frame was received.
    pub(super) last_frame: Instant,
    /// Why it has not applied some documents; empty if it reported none.
    pub(super) reason: String,
}

impl SubscriberProgress {
    fn is_behind(&self) -> bool {
        self.applied_version < self.required_version
    }
}

/// A subscriber in the progress table, shared by the table and its connection.
#[derive(Debug)]
pub(super) struct AttachedSubscriber {
    /// Which documents concern it.
    pub(super) interest: Interest,
    /// Wakes its connection when a change concerns it.
    pub(super) changed: Notify,
    /// Cancelled to end its connection.
    pub(super) stop: CancellationToken,
    /// The registration that the replicated configuration should have.
    pub(super) registration: Registration,
    /// Distinguishes connections of subscribers with the same name: a newer one has a higher number.
    pub(super) connection_number: u64,
    pub(super) progress: Mutex<SubscriberProgress>,
}

/// Error: a subscriber acknowledged a version that it was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("it acknowledges {applied_version}, and was sent up to {sent_version}")]
pub(super) struct AcknowledgedBeyondSent {
    applied_version: Version,
    sent_version: Version,
}

impl AttachedSubscriber {
    pub(super) fn name(&self) -> &str {
        &self.registration.name
    }

    fn progress(&self) -> MutexGuard<'_, SubscriberProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the next frame to the subscriber covers all changes up to a version.
    pub(super) fn mark_sent(&self, version: Version) {
        let mut progress = self.progress();
        progress.sent_version = progress.sent_version.max(version);
    }

    /// Records that a frame was received now.
    pub(super) fn record_frame(&self) {
        self.progress().last_frame = Instant::now();
    }

    /// Records that the subscriber has applied all changes up to a version. `reason` says why it has not
    /// applied later ones; it is truncated.
    pub(super) fn acknowledge(
        &self,
        applied_version: Version,
        reason: &str,
    ) -> Result<(), AcknowledgedBeyondSent> {
        let mut progress = self.progress();
        let sent_version = progress.sent_version;
        if applied_version > sent_version {
            return Err(AcknowledgedBeyondSent { applied_version, sent_version });
        }
        let was_behind = progress.is_behind();
        progress.applied_version = applied_version;
        if progress.is_behind() && !was_behind {
            progress.behind_since = Instant::now();
        }
        progress.reason = truncate_reason(reason);
        Ok(())
    }

    /// Records that a version concerns the subscriber, and wakes its connection.
    pub(super) fn require(&self, version: Version) {
        let mut progress = self.progress();
        if !progress.is_behind() {
            progress.behind_since = Instant::now();
        }
        progress.required_version = progress.required_version.max(version);
        drop(progress);
        self.changed.notify_one();
    }

    /// Finds the last version after the applied one that concerns the subscriber, and wakes its connection.
    pub(super) fn require_last_concerning(&self, state: &ConfigurationState) {
        let applied_version = self.progress().applied_version;
        match state.last_concerning(applied_version, &self.interest) {
            Some(version) => self.require(version),
            None => self.changed.notify_one(),
        }
    }

    /// Whether it has not applied all changes that concern it.
    pub(super) fn is_behind(&self) -> bool {
        self.progress().is_behind()
    }

    /// Whether the replicated configuration has its current registration.
    pub(super) fn is_registered(&self, state: &ConfigurationState) -> bool {
        state.registration(self.name()) == Some(&self.registration)
    }

    /// The state to report to the leader.
    pub(super) fn state(&self, state: &ConfigurationState) -> SubscriberState {
        let progress = self.progress();
        if self.is_registered(state) && !progress.is_behind() {
            return SubscriberState::UpToDate;
        }
        let (applied_version, reason) = if !self.is_registered(state) {
            (Version::NONE, NOT_REGISTERED)
        } else if progress.reason.is_empty() {
            (progress.applied_version, NOT_ACKNOWLEDGED)
        } else {
            (progress.applied_version, progress.reason.as_str())
        };
        SubscriberState::Behind(Lag {
            applied_version,
            since: progress.behind_since,
            reason: reason.to_owned(),
        })
    }

    /// The lag to report after the connection has ended for this reason.
    pub(super) fn detached_lag(&self, reason: &str) -> Lag {
        let progress = self.progress();
        Lag {
            applied_version: progress.applied_version,
            since: progress.last_frame,
            reason: truncate_reason(reason),
        }
    }
}

fn truncate_reason(reason: &str) -> String {
    reason.chars().take(MAX_REASON_CHARS).collect()
}
