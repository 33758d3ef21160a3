//! The state file: made as a whole or not at all, and held by one process.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

use redb::backends::FileBackend;

use crate::fault::StorageError;

/// Opens a file that is there, and locks it.
pub(crate) fn open(path: &Path) -> Result<FileBackend, StorageError> {
    let file =
        OpenOptions::new().read(true).write(true).open(path).map_err(|source| match source.kind() {
            io::ErrorKind::NotFound => StorageError::NotThere(path.to_owned()),
            _ => StorageError::Disk { what: "opening the state file", source },
        })?;
    lock(file)
}

/// Where a file is made before it gets its name.
pub(crate) fn unfinished(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    PathBuf::from(name)
}

/// Makes the file under another name: a crash in between leaves none under its own. What an earlier crash left goes.
pub(crate) fn make(path: &Path) -> Result<FileBackend, StorageError> {
    if path
        .try_exists()
        .map_err(|source| StorageError::Disk { what: "looking for the state file", source })?
    {
        return Err(StorageError::Exists(path.to_owned()));
    }
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(unfinished(path));
    lock(file.map_err(|source| StorageError::Disk { what: "making the state file", source })?)
}

/// Gives a made file its name, for good once the directory is on disk, and never in place of another.
pub(crate) fn finish(path: &Path) -> Result<(), StorageError> {
    let name = || {
        std::fs::hard_link(unfinished(path), path)?;
        std::fs::remove_file(unfinished(path))?;
        let parent = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(parent)?.sync_all()
    };
    name().map_err(|source| match source.kind() {
        io::ErrorKind::AlreadyExists => StorageError::Exists(path.to_owned()),
        _ => StorageError::Disk { what: "naming the state file", source },
    })
}

fn lock(file: File) -> Result<FileBackend, StorageError> {
    FileBackend::new(file).map_err(|cause| match cause {
        redb::DatabaseError::DatabaseAlreadyOpen => StorageError::InUse,
        other => StorageError::Store { what: "locking the state file", cause: other.to_string() },
    })
}
