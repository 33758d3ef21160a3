//! What the connector and the scope task exchange: updates one way, progress the other way.

use std::time::Duration;

use tokio::sync::oneshot;

use super::snapshot_assembler::Snapshot;
use super::status::Unapplied;
use crate::document::Document;
use crate::scope_store::StoreError;
use crate::version::Version;

/// A save that takes longer fails, and the connection ends.
pub(super) const SAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// An update from a control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ConfigUpdate {
    /// All documents that changed after `from`, up to `to`.
    Delta { from: Version, to: Version, documents: Vec<Document> },
    /// All documents.
    Snapshot(Snapshot),
    /// No document changed between the last update and this version.
    Covered(Version),
}

/// An update, and where to send the result.
#[derive(Debug)]
pub(super) struct UpdateRequest {
    pub(super) update: ConfigUpdate,
    pub(super) result: oneshot::Sender<Result<(), UpdateError>>,
}

/// Why an update was not stored. It ends the connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum UpdateError {
    /// Changes between the stored version and the delta are unknown.
    #[error("a delta from {from} to a subscriber that holds {stored}: something is missing between them")]
    Gap { from: Version, stored: Version },
    /// A document is newer than the update.
    #[error("a document of version {found} in an update up to {to}")]
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
    /// All changes of its interest up to this version are stored.
    pub(super) stored_version: Version,
    /// All changes of its interest up to this version are applied.
    pub(super) applied_version: Version,
    /// Documents that were not applied, [`super::MAX_UNAPPLIED_LISTED`] at most.
    pub(super) unapplied: Vec<Unapplied>,
}
