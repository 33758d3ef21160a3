//! Creates, checks and opens the redb file of a store.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use redb::backends::{FileBackend, InMemoryBackend};
use redb::{Database, DatabaseError, StorageBackend, StorageError};

use super::error::{DiskOperation, StoreError, damaged_error, disk_error};
use super::redb_tables::{read_tables, write_tables};
use crate::document::Interest;

/// Maximum size of a file that is opened, in bytes. It is copied into memory once for the check.
pub const MAX_FILE_BYTES: u64 = 128 << 20;

/// Opens an existing file, after a complete check of a copy.
pub(super) fn open(path: &Path) -> Result<Database, StoreError> {
    let file = OpenOptions::new().read(true).write(true).open(path);
    let backend = lock(path, file.map_err(|cause| disk_error(path, DiskOperation::Open, cause))?)?;
    check(path, &backend)?;
    open_database(path, backend)
}

/// Creates the file. It first has a temporary name, so that a crash leaves no incomplete file under the final
/// name.
pub(super) fn create(path: &Path, interest: &Interest) -> Result<(), StoreError> {
    let temporary = temporary_path(path);
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&temporary);
    let file = file.map_err(|cause| disk_error(path, DiskOperation::Create, cause))?;
    let database = open_database(path, lock(path, file)?)?;
    write_tables(path, &database, |tables| {
        tables.put_format()?;
        tables.put_interest(interest)?;
        tables.put_position(None)
    })?;
    drop(database);
    move_to_name(&temporary, path).map_err(|cause| disk_error(path, DiskOperation::Rename, cause))
}

/// Moves the file to its name by a hard link. Unlike a rename, a link never replaces a file that another
/// process has created in the meantime.
fn move_to_name(temporary: &Path, path: &Path) -> io::Result<()> {
    fs::hard_link(temporary, path)?;
    fs::remove_file(temporary)?;
    let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
    File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
}

fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    PathBuf::from(name)
}

/// Locks the file, so that no other process opens it.
fn lock(path: &Path, file: File) -> Result<FileBackend, StoreError> {
    FileBackend::new(file).map_err(|cause| match cause {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
        other => disk_error(path, DiskOperation::Lock, other),
    })
}

/// Checks the file by reading a copy completely. Opening the file itself would repair one that was not closed
/// cleanly, and a damaged file must stay unchanged.
fn check(path: &Path, backend: &FileBackend) -> Result<(), StoreError> {
    let read_error = |cause: io::Error| disk_error(path, DiskOperation::Read, cause);
    let bytes = backend.len().map_err(read_error)?;
    if bytes == 0 || bytes > MAX_FILE_BYTES {
        return Err(damaged_error(path, format!("its size is {bytes} bytes, not 1 to {MAX_FILE_BYTES}")));
    }
    let copy = copy_to_memory(backend, bytes).map_err(read_error)?;
    // Debug builds of redb panic on some damage that release builds return as an error.
    let checked = catch_unwind(AssertUnwindSafe(|| check_copy(path, copy)));
    checked.unwrap_or_else(|_| Err(damaged_error(path, "redb panicked")))
}

fn check_copy(path: &Path, copy: InMemoryBackend) -> Result<(), StoreError> {
    let mut database = open_database(path, copy)?;
    database.check_integrity().map_err(|cause| damaged_error(path, cause))?;
    read_tables(path, &database)?;
    Ok(())
}

fn copy_to_memory(backend: &FileBackend, length: u64) -> io::Result<InMemoryBackend> {
    let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
    backend.read(0, &mut bytes)?;
    let copy = InMemoryBackend::new();
    copy.set_len(length)?;
    copy.write(0, &bytes)?;
    Ok(copy)
}

fn open_database(path: &Path, backend: impl StorageBackend) -> Result<Database, StoreError> {
    redb::Builder::new().create_with_backend(backend).map_err(|cause| match cause {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
        DatabaseError::Storage(StorageError::Io(cause)) if cause.kind() != io::ErrorKind::InvalidData => {
            disk_error(path, DiskOperation::Open, cause)
        }
        other => damaged_error(path, other),
    })
}
