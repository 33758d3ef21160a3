//! The state file in the file system: created atomically, and locked by one process at a time.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use redb::backends::FileBackend;

use crate::error::{Operation, StorageError};

/// The suffix of the file name until the file is complete.
const TEMPORARY_SUFFIX: &str = ".new";

/// Opens and locks an existing file.
pub(crate) fn open(path: &Path) -> Result<FileBackend, StorageError> {
    let file = OpenOptions::new().read(true).write(true).open(path);
    let file = file.map_err(|source| match source.kind() {
        io::ErrorKind::NotFound => StorageError::NotFound(path.to_owned()),
        _ => StorageError::Io { operation: Operation::Open, source },
    })?;
    lock(file)
}

/// Creates and locks a file under a temporary name, so that a crash leaves no incomplete file under the final
/// name. A temporary file left by an earlier crash is overwritten.
pub(crate) fn create_temporary(path: &Path) -> Result<FileBackend, StorageError> {
    let find_error = |source| StorageError::Io { operation: Operation::Find, source };
    if path.try_exists().map_err(find_error)? {
        return Err(StorageError::AlreadyExists(path.to_owned()));
    }
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(true);
    let file = options.open(temporary_path(path));
    lock(file.map_err(|source| StorageError::Io { operation: Operation::Create, source })?)
}

/// Gives a complete file its final name, durably. Never replaces another file.
pub(crate) fn publish(path: &Path) -> Result<(), StorageError> {
    link_and_sync(path).map_err(|source| match source.kind() {
        io::ErrorKind::AlreadyExists => StorageError::AlreadyExists(path.to_owned()),
        _ => StorageError::Io { operation: Operation::Rename, source },
    })
}

/// Uses a hard link, because a rename would replace an existing file. Syncs the directory at the end.
fn link_and_sync(path: &Path) -> io::Result<()> {
    let temporary = temporary_path(path);
    std::fs::hard_link(&temporary, path)?;
    std::fs::remove_file(&temporary)?;
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    PathBuf::from(name)
}

/// Locks the file against other processes until it is closed.
fn lock(file: File) -> Result<FileBackend, StorageError> {
    FileBackend::new(file).map_err(|cause| match cause {
        redb::DatabaseError::DatabaseAlreadyOpen => StorageError::InUse,
        other => StorageError::Database { operation: Operation::Lock, cause: other.to_string() },
    })
}
