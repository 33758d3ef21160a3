//! The interface of a subscriber's store.

use std::sync::Arc;
use std::time::SystemTime;

use stepspur_consensus_node::BoxFuture;

use super::error::StoreError;
use crate::document::Document;
use crate::version::Version;

/// The content of a subscriber's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredScope {
    /// The documents include all changes of the interest up to this version. [`Version::NONE`] if the version
    /// is unknown, so that a snapshot is needed.
    pub version: Version,
    /// The current documents, each key once and each with a setting.
    pub documents: Vec<Document>,
    /// The wall-clock time of the last save.
    pub stored_at: SystemTime,
}

/// An update of a store, which is saved completely or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScopeUpdate {
    /// Replaces all documents.
    Snapshot {
        /// The documents include all changes of the interest up to this version.
        version: Version,
        /// All documents of the interest, each with a setting.
        documents: Arc<[Document]>,
    },
    /// Replaces the documents with the same keys. A document without a setting is deleted.
    Delta {
        /// The documents include all changes of the interest up to this version.
        version: Version,
        /// The changed documents, each key once.
        documents: Arc<[Document]>,
    },
    /// Advances only the version, as no document changed.
    Covered {
        /// The documents include all changes of the interest up to this version.
        version: Version,
    },
}

/// Stores the documents of a subscriber.
pub trait ScopeStore: Send + 'static {
    /// Reads the content; `None` if nothing was ever saved. May block.
    ///
    /// # Errors
    /// [`StoreError`] if the content cannot be read.
    fn load(&mut self) -> Result<Option<StoredScope>, StoreError>;

    /// Saves an update, durably once the future completes. If the future is dropped the update may still be
    /// saved, but before any later one.
    ///
    /// # Errors
    /// [`StoreError`] if the update cannot be saved. The content is then unchanged.
    fn save<'a>(&'a mut self, update: &'a ScopeUpdate) -> BoxFuture<'a, Result<(), StoreError>>;
}
