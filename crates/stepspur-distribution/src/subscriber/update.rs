//! The messages between the connector and the scope task: updates one way, progress the other way.

use std::time::Duration;

use tokio::sync::oneshot;

use super::snapshot_assembler::Snapshot;
use super::status::Unapplied;
use crate::document::Document;
use crate::scope_store::StoreError;
use crate::version::Version;

/// Time limit for saving an update. A save that takes longer fails, and the connection ends.
pub(super) const SAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// An update from a control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ConfigUpdate {
    /// All documents that changed after `from`, up to `to`.
    Delta { from: Version, to: Version, documents: Vec<Document> },
    /// All documents of the interest.
    Snapshot(Snapshot),
    /// No document of the interest changed between the last update and this version.
    Covered(Version),
}

/// An update to store and apply, and the channel for its result.
#[derive(Debug)]
pub(super) struct UpdateRequest {
    pub(super) update: ConfigUpdate,
    pub(super) result: oneshot::Sender<Result<(), UpdateError>>,
}

/// Why an update was not stored. It ends the connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum UpdateError {
    /// The delta begins after the stored version, so that the changes in between are unknown.
    #[error("the delta begins at {from}, after the stored version {stored}: changes in between are missing")]
    Gap { from: Version, stored: Version },
    /// A document has a later version than the update that contains it.
    #[error("a document of version {found} in an update up to version {to}")]
    DocumentAfterUpdate { found: Version, to: Version },
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store did not answer in time.
    #[error("the store did not answer within {SAVE_TIMEOUT:?}")]
    StoreTimeout,
}

/// How far a subscriber has stored and applied the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// All changes of its interest up to this version are stored. The number itself may be that of a covered
    /// version that is not on disk yet.
    pub(super) stored_version: Version,
    /// All changes of its interest up to this version are applied.
    pub(super) applied_version: Version,
    /// Documents that were not applied, at most [`super::MAX_UNAPPLIED_LISTED`].
    pub(super) unapplied: Vec<Unapplied>,
}
