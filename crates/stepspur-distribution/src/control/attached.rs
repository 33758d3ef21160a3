//! An attached subscriber and its progress.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::subscriber_state::{Lag, SubscriberState};
use crate::configuration::{ConfigurationState, Registration};
use crate::document::Interest;
use crate::version::Version;

/// Length of the reason why a subscriber is behind, in characters, at most.
const MAX_REASON_CHARS: usize = 64;
const NOT_ACKNOWLEDGED: &str = "not acknowledged yet";
const NOT_REGISTERED: &str = "attached, not registered yet";

/// The progress of an attached subscriber.
#[derive(Clone, Debug)]
pub(super) struct SubscriberProgress {
    /// It was sent all changes up to this version, and acknowledges nothing beyond.
    pub(super) sent_version: Version,
    /// The version that it acknowledged last.
    pub(super) applied_version: Version,
    /// The last version that concerns it.
    pub(super) required_version: Version,
    /// Since when it is behind. Without meaning while it is not behind.
    pub(super) behind_since: Instant,
    pub(super) last_frame: Instant,
    /// Why it has not applied a document; empty if it reported none.
    pub(super) reason: String,
}

impl SubscriberProgress {
    fn is_behind(&self) -> bool {
        self.applied_version < self.required_version
    }
}

/// An attached subscriber.
#[derive(Debug)]
pub(super) struct AttachedSubscriber {
    /// Which documents concern it.
    pub(super) interest: Interest,
    /// Notified when a change concerns it.
    pub(super) changed: Notify,
    /// Ends its connection.
    pub(super) stop: CancellationToken,
    pub(super) registration: Registration,
    /// Distinguishes connections of the same name.
    pub(super) connection_number: u64,
    pub(super) progress: Mutex<SubscriberProgress>,
}

/// A subscriber acknowledged a version that it was not sent.
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

    /// The subscriber is about to be sent all changes up to a version.
    pub(super) fn mark_sent(&self, version: Version) {
        let mut progress = self.progress();
        progress.sent_version = progress.sent_version.max(version);
    }

    /// A frame was received.
    pub(super) fn record_frame(&self) {
        self.progress().last_frame = Instant::now();
    }

    /// The subscriber has applied all changes up to a version. `reason` says why it has not applied later
    /// ones.
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

    /// A version concerns the subscriber: wakes its connection.
    pub(super) fn require(&self, version: Version) {
        let mut progress = self.progress();
        if !progress.is_behind() {
            progress.behind_since = Instant::now();
        }
        progress.required_version = progress.required_version.max(version);
        drop(progress);
        self.changed.notify_one();
    }

    /// Evaluates all changes after the applied version, and wakes the connection.
    pub(super) fn require_last_concerning(&self, state: &ConfigurationState) {
        let applied_version = self.progress().applied_version;
        match state.last_concerning(applied_version, &self.interest) {
            Some(version) => self.require(version),
            None => self.changed.notify_one(),
        }
    }

    pub(super) fn is_behind(&self) -> bool {
        self.progress().is_behind()
    }

    pub(super) fn is_registered(&self, state: &ConfigurationState) -> bool {
        state.registration(self.name()) == Some(&self.registration)
    }

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

    /// The lag of the subscriber once its connection has ended.
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
