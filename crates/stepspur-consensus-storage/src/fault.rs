//! What can be wrong with a store.

use std::path::PathBuf;

/// Why a store cannot be opened, or takes no more.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// There is no file: a member without its disk is not its former self, so that one is made only when asked for.
    #[error("{}: no such state file", .0.display())]
    NotThere(PathBuf),
    /// There is a file already: it is never overwritten.
    #[error("{}: there is a state file already", .0.display())]
    Exists(PathBuf),
    /// Another process has it.
    #[error("the state file is in use by another process")]
    InUse,
    /// It was written by a later version of the program.
    #[error(
        "the state file has format {found}, this version knows {known}: start the newer version, or replace the member"
    )]
    Newer {
        /// The file's format.
        found: u32,
        /// The newest that is known.
        known: u32,
    },
    /// It cannot be read. It was left as it is.
    #[error("the state file cannot be read and was left as it is: {0}")]
    Damaged(String),
    /// An earlier write failed: what is on disk is not sure, so that nothing more is written until it is opened anew.
    #[error("an earlier write failed: {0}")]
    Failed(String),
    /// The disk refuses: full, read-only, gone.
    #[error("{what}: {source}")]
    Disk {
        /// What was tried.
        what: &'static str,
        /// The system's answer.
        source: std::io::Error,
    },
    /// The store refuses.
    #[error("{what}: {cause}")]
    Store {
        /// What was tried.
        what: &'static str,
        /// Why not.
        cause: String,
    },
}
