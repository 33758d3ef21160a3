//! What a subscriber keeps over a restart: the documents of its interest and the version that they are of.

mod memory;
mod redb_store;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;

use stepspur_consensus_node::BoxFuture;

use crate::document::{Document, DocumentError};
use crate::version::Version;

pub use memory::MemoryStore;
pub use redb_store::{FORMAT_VERSION, MAX_FILE_BYTES, RedbStore};

/// What a store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredScope {
    /// All of the interest up to here is among the documents; [`Version::NONE`]: that is not sure, ask for all.
    pub version: Version,
    /// The documents that stand, each key once. None was lifted.
    pub documents: Vec<Document>,
    /// When something was kept last.
    pub kept_at: SystemTime,
}

/// A change of what is kept. It is kept whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// These documents stand, and no others.
    Whole {
        /// All of the interest up to here.
        version: Version,
        /// The documents.
        documents: Arc<[Document]>,
    },
    /// These documents take the places of those with their keys; one without a setting leaves its place empty.
    Changes {
        /// All of the interest up to here.
        version: Version,
        /// What has changed.
        documents: Arc<[Document]>,
    },
    /// Nothing has changed up to here.
    Covered {
        /// All of the interest up to here.
        version: Version,
    },
}

/// Why a store cannot be opened, or keeps no more.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process, or another store of this one, has the file.
    #[error("{}: in use", .path.display())]
    InUse {
        /// The file.
        path: PathBuf,
    },
    /// It was written by a later version of the program.
    #[error("{}: has format {found}, this version knows {known}", .path.display())]
    Newer {
        /// The file.
        path: PathBuf,
        /// The file's format.
        found: u32,
        /// The newest that is known.
        known: u32,
    },
    /// It cannot be read, and was left as it is. Moved away, a new one is made, and all is fetched anew.
    #[error("{}: cannot be read and was left as it is: {cause}", .path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: String,
    },
    /// The disk refuses: full, read-only, gone.
    #[error("{}: {what}: {cause}", .path.display())]
    Disk {
        /// The file.
        path: PathBuf,
        /// What was tried.
        what: &'static str,
        /// Why not.
        cause: String,
    },
    /// The interest by which it is opened is not sound.
    #[error("interest: {0}")]
    Interest(#[from] DocumentError),
    /// A store in memory was told to refuse.
    #[error("the store refuses: {0}")]
    Refused(String),
}

/// Keeps what a subscriber holds.
pub trait ScopeStore: Send + 'static {
    /// What is kept; none: nothing ever was. It may block.
    ///
    /// # Errors
    /// See [`StoreError`].
    fn load(&mut self) -> Result<Option<StoredScope>, StoreError>;

    /// Keeps a change: it is on disk when this ends well. Given up on the way it may still come to be kept, before any
    /// later one.
    ///
    /// # Errors
    /// See [`StoreError`]; then nothing has changed.
    fn save<'a>(&'a mut self, update: &'a Update) -> BoxFuture<'a, Result<(), StoreError>>;
}

#[cfg(test)]
mod tests;
