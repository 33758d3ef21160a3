//! Errors of a subscriber's store.

use std::fmt;
use std::path::{Path, PathBuf};

use crate::document::DocumentError;

/// Why a store cannot be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process, or another store in this process, has the file open.
    #[error("{}: in use by another process or store", .path.display())]
    InUse {
        /// Path of the file.
        path: PathBuf,
    },
    /// A later version of the program wrote the file.
    #[error("{}: has format {found}, this version supports {known}", .path.display())]
    NewerFormat {
        /// Path of the file.
        path: PathBuf,
        /// Format version of the file.
        found: u32,
        /// The newest format version that this program supports.
        known: u32,
    },
    /// The content of the file is invalid. The file was left unchanged. Once it is moved away, a new one is
    /// created and all documents are fetched again.
    #[error("{}: damaged, left unchanged: {cause}", .path.display())]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// The first error found in it.
        cause: String,
    },
    /// An operation on the disk failed, for example because the disk is full, read-only or gone.
    #[error("{}: {operation}: {cause}", .path.display())]
    Disk {
        /// Path of the file.
        path: PathBuf,
        /// The failed operation.
        operation: DiskOperation,
        /// The error of the operating system or of redb.
        cause: String,
    },
    /// The interest with which the store is opened is invalid.
    #[error("interest: {0}")]
    InvalidInterest(#[from] DocumentError),
    /// A test made a store in memory fail, for this reason.
    #[error("injected failure: {0}")]
    Injected(String),
}

/// An operation on the file of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskOperation {
    /// Checks whether the file exists.
    Find,
    /// Creates it under a temporary name.
    Create,
    /// Moves it from the temporary name to its own.
    Rename,
    /// Opens it.
    Open,
    /// Locks it against other processes.
    Lock,
    /// Reads it.
    Read,
    /// Writes it.
    Write,
}

impl fmt::Display for DiskOperation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Find => "checking for the file",
            Self::Create => "creating the file",
            Self::Rename => "renaming the file",
            Self::Open => "opening the file",
            Self::Lock => "locking the file",
            Self::Read => "reading the file",
            Self::Write => "writing the file",
        })
    }
}

pub(super) fn disk_error(path: &Path, operation: DiskOperation, cause: impl fmt::Display) -> StoreError {
    StoreError::Disk { path: path.to_owned(), operation, cause: cause.to_string() }
}

pub(super) fn damaged_error(path: &Path, cause: impl fmt::Display) -> StoreError {
    StoreError::Damaged { path: path.to_owned(), cause: cause.to_string() }
}
