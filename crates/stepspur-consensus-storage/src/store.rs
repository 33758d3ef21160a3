//! The persistent state of a member in one redb file. Each write is durable when it returns.

use std::path::Path;
use std::sync::Arc;

use redb::{Database, Durability, StorageBackend};
use stepspur_consensus::{Index, MemberId, PersistentState, WriteRequest};

use crate::error::{Operation, StorageError};
use crate::memory_copy::MemoryCopy;
use crate::state_file;
use crate::tables::{self, Tables};

/// The largest state file that is opened, in bytes (1 GiB): it is checked on a copy in memory. A larger one
/// is reported as [`StorageError::Corrupted`].
pub const MAX_FILE_BYTES: u64 = 1 << 30;

/// An open state file.
#[derive(Debug)]
pub struct Store {
    database: Database,
    id: MemberId,
    /// The error of an earlier write; once it is set, no further write is attempted.
    write_error: Option<String>,
}

impl Store {
    /// Creates a state file for a new member. The file appears under its final name only once it is complete.
    ///
    /// # Errors
    /// [`StorageError::AlreadyExists`]; [`StorageError::InUse`] if another process is creating the file;
    /// [`StorageError::Io`]; [`StorageError::Database`].
    pub fn create(path: &Path, id: MemberId, state: &PersistentState) -> Result<Self, StorageError> {
        let store = Self::create_on(state_file::create_temporary(path)?, id, state)?;
        state_file::publish(path)?;
        Ok(store)
    }

    /// Opens a member's state file, checks all of it, and returns the persistent state.
    ///
    /// # Errors
    /// See [`StorageError`]. A file that cannot be read is left unchanged.
    pub fn open(path: &Path) -> Result<(Self, PersistentState), StorageError> {
        Self::open_on(state_file::open(path)?)
    }

    /// As [`Store::create`], on an empty storage backend instead of a file.
    ///
    /// # Errors
    /// [`StorageError::Io`], [`StorageError::Database`].
    pub fn create_on(
        backend: impl StorageBackend,
        id: MemberId,
        state: &PersistentState,
    ) -> Result<Self, StorageError> {
        let mut store = Self { database: open_database(backend)?, id, write_error: None };
        store.transact(Operation::Create, |tables| tables.put_identity(id))?;
        store.write(&[WriteRequest {
            number: 0,
            term: state.term,
            vote: state.vote,
            snapshot: Some(Arc::clone(state.log.base())),
            truncate_from: None,
            entries: state.log.entries_from(Index(0), usize::MAX),
        }])?;
        Ok(store)
    }

    /// As [`Store::open`], on a storage backend instead of a file.
    ///
    /// # Errors
    /// See [`StorageError`].
    pub fn open_on(backend: impl StorageBackend) -> Result<(Self, PersistentState), StorageError> {
        let read_error = |source| StorageError::Io { operation: Operation::Read, source };
        match backend.len().map_err(read_error)? {
            // redb would initialize an empty file as a new database, and the member would vote again as if it
            // were new.
            0 => return Err(StorageError::Corrupted("the file is empty".to_owned())),
            len if len > MAX_FILE_BYTES => {
                return Err(StorageError::Corrupted(format!(
                    "the file has {len} bytes, more than {MAX_FILE_BYTES}"
                )));
            }
            _ => {}
        }
        check(MemoryCopy::of(&backend).map_err(read_error)?)?;
        let database = open_database(backend)?;
        let contents = tables::read(&database)?;
        Ok((Self { database, id: contents.id, write_error: None }, contents.state))
    }

    /// Returns the identity of the member that the file belongs to.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Writes requests in the given order. All of them are durable when it returns without an error.
    ///
    /// Each write commits twice. redb stores its newest commit and the one before it. If a checksum of the
    /// newest does not match, redb assumes that a power loss interrupted that commit and rolls back to the
    /// one before, which could lose a vote. The second commit changes only a counter, so that a roll-back by
    /// one commit loses nothing that was reported as durable. It costs a second sync of the disk.
    ///
    /// # Errors
    /// [`StorageError::Io`], [`StorageError::Database`]. After the first error nothing is written until the
    /// file is opened again: [`StorageError::EarlierWriteFailed`].
    pub fn write(&mut self, requests: &[WriteRequest]) -> Result<(), StorageError> {
        self.transact(Operation::Write, |tables| {
            requests.iter().try_for_each(|request| tables.apply(request))
        })?;
        self.transact(Operation::SecondCommit, |tables| tables.increment_second_commits())
    }

    /// Changes the tables in one durable transaction, unless an earlier one has failed.
    fn transact(
        &mut self,
        operation: Operation,
        change: impl FnOnce(&mut Tables<'_>) -> Result<(), redb::Error>,
    ) -> Result<(), StorageError> {
        if let Some(cause) = &self.write_error {
            return Err(StorageError::EarlierWriteFailed(cause.clone()));
        }
        commit(&self.database, change).map_err(|cause| {
            self.write_error = Some(cause.to_string());
            match cause {
                redb::Error::Io(source) => StorageError::Io { operation, source },
                other => StorageError::Database { operation, cause: other.to_string() },
            }
        })
    }
}

/// Runs one transaction that is synced to disk before it returns.
fn commit(
    database: &Database,
    change: impl FnOnce(&mut Tables<'_>) -> Result<(), redb::Error>,
) -> Result<(), redb::Error> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate)?;
    change(&mut Tables::open(&transaction)?)?;
    Ok(transaction.commit()?)
}

/// Checks the checksums, the format and all values on a copy in memory, because redb repairs a file in place.
fn check(copy: MemoryCopy) -> Result<(), StorageError> {
    let mut database = open_database(copy)?;
    database.check_integrity().map_err(|cause| StorageError::Corrupted(cause.to_string()))?;
    tables::read(&database).map(drop)
}

/// Opens a database, or initializes one on an empty backend.
fn open_database(backend: impl StorageBackend) -> Result<Database, StorageError> {
    redb::Builder::new().create_with_backend(backend).map_err(|cause| match cause {
        redb::DatabaseError::DatabaseAlreadyOpen => StorageError::InUse,
        redb::DatabaseError::Storage(redb::StorageError::Io(source)) => {
            StorageError::Io { operation: Operation::Open, source }
        }
        other => StorageError::Corrupted(other.to_string()),
    })
}
