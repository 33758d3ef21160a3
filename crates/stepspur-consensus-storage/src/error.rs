//! The errors of creating, opening and writing a state file, with what an operator can do about them.

use std::fmt;
use std::path::PathBuf;

/// A state file cannot be created, opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The file does not exist. Check the path; for a new member run `bootstrap` once. The file is never
    /// created implicitly: an existing member that has lost its state may have voted, and must be replaced by
    /// a member with a new number.
    #[error("{}: the state file does not exist", .0.display())]
    NotFound(PathBuf),
    /// The file to be created exists. It is never overwritten.
    #[error("{}: the state file exists already", .0.display())]
    AlreadyExists(PathBuf),
    /// Another process has locked the file. Stop that process.
    #[error("the state file is in use by another process")]
    InUse,
    /// The file was written by a later version of the program.
    #[error(
        "the state file has format {found}, but this version supports formats up to {supported}: start the \
         newer version, or replace the member"
    )]
    UnsupportedFormat {
        /// The format number in the file.
        found: u32,
        /// The newest format that this version reads.
        supported: u32,
    },
    /// The file is empty, larger than [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES), or damaged. It was not
    /// changed. Replace the member by one with a new number; do not bootstrap it again, because it may have
    /// voted.
    #[error("the state file is unreadable and was left unchanged: {0}")]
    Corrupted(String),
    /// An earlier write failed, so the content of the file is uncertain, and nothing is written until it is
    /// opened again. Free space on the disk or replace it, then restart the member.
    #[error("an earlier write failed: {0}")]
    EarlierWriteFailed(String),
    /// The operating system has reported an error, for example that the disk is full.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed.
        operation: Operation,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// redb has reported an error.
    #[error("{operation}: {cause}")]
    Database {
        /// The operation that failed.
        operation: Operation,
        /// The error text of redb.
        cause: String,
    },
}

/// The operation on a state file that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Checking that the file to be created does not exist yet.
    Find,
    /// Opening an existing file.
    Open,
    /// Reading the content of the file.
    Read,
    /// Locking the file against other processes.
    Lock,
    /// Creating the file under a temporary name.
    Create,
    /// Publishing a complete file under its final name by a hard link.
    Rename,
    /// The first commit of a write, which contains its changes.
    Write,
    /// The second commit of a write, which protects the first from a roll-back by redb, see
    /// [`Store::write`](crate::Store::write).
    SecondCommit,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Find => "checking whether the state file exists",
            Operation::Open => "opening the state file",
            Operation::Read => "reading the state file",
            Operation::Lock => "locking the state file",
            Operation::Create => "creating the state file",
            Operation::Rename => "linking the state file to its final name",
            Operation::Write => "writing the state file",
            Operation::SecondCommit => "making the second commit to the state file",
        })
    }
}
