//! The states of subscribers as control members know and report them.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::version::Version;

/// Why a subscriber is behind or detached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Lag {
    /// It has applied all changes of its interest up to this version.
    pub(super) applied_version: Version,
    /// For an attached subscriber: since when it is behind. For a detached one: when its last frame was
    /// received.
    pub(super) since: Instant,
    /// The reason, as reported by the subscriber or the connection; shown in rollout statuses.
    pub(super) reason: String,
}

/// The state of a subscriber as one control member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SubscriberState {
    /// Attached, and it has applied all changes that concern it up to the evaluated version.
    UpToDate,
    /// Attached, and it has not applied all changes that concern it.
    Behind(Lag),
    /// It was attached to this member and its connection has ended.
    Detached(Lag),
}

/// The states of all subscribers of a member at one time.
#[derive(Debug)]
pub(super) struct SubscriberStates {
    /// Changes up to this version are evaluated for every attached subscriber.
    pub(super) evaluated_version: Version,
    /// The states by name of the subscriber.
    pub(super) by_name: BTreeMap<String, SubscriberState>,
}
