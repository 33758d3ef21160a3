//! Errors of the stores.

use std::fmt;
use std::path::{Path, PathBuf};

use crate::document::DocumentError;

/// Why a store cannot be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process, or another store of this one, has the file open.
    #[error("{}: in use", .path.display())]
    InUse {
        /// The file.
        path: PathBuf,
    },
    /// A later version of the program wrote the file.
    #[error("{}: has format {found}, this version knows {known}", .path.display())]
    NewerFormat {
        /// The file.
        path: PathBuf,
        /// The file's format.
        found: u32,
        /// The newest known format.
        known: u32,
    },
    /// The file cannot be read and was left unchanged. Once it is moved away a new one is created, and all
    /// documents are fetched again.
    #[error("{}: cannot be read and was left as it is: {cause}", .path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: String,
    },
    /// An operation on the disk failed: the disk is full, read-only or gone, for example.
    #[error("{}: {operation}: {cause}", .path.display())]
    Disk {
        /// The file.
        path: PathBuf,
        /// The operation.
        operation: DiskOperation,
        /// Why it failed.
        cause: String,
    },
    /// The interest with which the store is opened is invalid.
    #[error("interest: {0}")]
    InvalidInterest(#[from] DocumentError),
    /// A test has a store in memory fail.
    #[error("the store refuses: {0}")]
    Injected(String),
}

/// An operation on the file of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskOperation {
    /// Checks whether it exists.
    Find,
    /// Creates it under a temporary name.
    Create,
    /// Moves it to its name.
    Rename,
    /// Opens it.
    Open,
    /// Locks it.
    Lock,
    /// Reads it.
    Read,
    /// Writes it.
    Write,
}

impl fmt::Display for DiskOperation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Find => "looking for the file",
            Self::Create => "making the file",
            Self::Rename => "naming the file",
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

pub(super) fn damaged(path: &Path, cause: impl fmt::Display) -> StoreError {
    StoreError::Damaged { path: path.to_owned(), cause: cause.to_string() }
}
