//! Why a state file cannot be opened or written.

use std::fmt;
use std::path::PathBuf;

/// Why a state file cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// No such file. Check the path; for a new member run `bootstrap` once. It is never created implicitly:
    /// an existing member that lost its state may have voted, and must be replaced under a new number.
    #[error("{}: no such state file", .0.display())]
    NotFound(PathBuf),
    /// There is such a file already. It is never overwritten.
    #[error("{}: there is a state file already", .0.display())]
    AlreadyExists(PathBuf),
    /// Another process has locked the file: end it.
    #[error("the state file is in use by another process")]
    InUse,
    /// A later version of the program wrote the file.
    #[error(
        "the state file has format {found}, this version knows {supported}: start the newer version, or \
         replace the member"
    )]
    UnsupportedFormat {
        /// The file's format.
        found: u32,
        /// The newest format that this version reads.
        supported: u32,
    },
    /// The file is empty, larger than [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES), or damaged. It was left as
    /// it is: replace the member under a new number, do not bootstrap it again.
    #[error("the state file cannot be read and was left as it is: {0}")]
    Corrupted(String),
    /// An earlier write failed, so that the file's content is uncertain: nothing is written until it is
    /// opened again. Free or replace the disk and restart the member.
    #[error("an earlier write failed: {0}")]
    EarlierWriteFailed(String),
    /// The system rejects an operation, for example as the disk is full.
    #[error("{operation}: {source}")]
    Io {
        /// The operation.
        operation: Operation,
        /// The system's error.
        source: std::io::Error,
    },
    /// The database rejects an operation.
    #[error("{operation}: {cause}")]
    Database {
        /// The operation.
        operation: Operation,
        /// The database's error.
        cause: String,
    },
}

/// What was tried with a state file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Checking that a file to be created does not exist yet.
    Find,
    /// Opening it.
    Open,
    /// Reading it.
    Read,
    /// Locking it against other processes.
    Lock,
    /// Creating it under a temporary name.
    Create,
    /// Linking a complete file under its name.
    Rename,
    /// Writing it.
    Write,
    /// The second commit of a write, which guards the first against a roll-back, see
    /// [`Store::write`](crate::Store::write).
    Seal,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Find => "looking for the state file",
            Operation::Open => "opening the state file",
            Operation::Read => "reading the state file",
            Operation::Lock => "locking the state file",
            Operation::Create => "making the state file",
            Operation::Rename => "naming the state file",
            Operation::Write => "writing the state file",
            Operation::Seal => "sealing the state file",
        })
    }
}
