//! The tables of a state file. Their names and the encoding of their values never change within a format.

use std::sync::Arc;

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use stepspur_consensus::{Entry, Index, MemberId, PersistentState, RaftLog, Snapshot, Term, WriteRequest};

use crate::codec::{decode, encode};
use crate::error::StorageError;

/// The format that this version writes. Later ones are rejected.
pub const FORMAT_VERSION: u32 = 1;

/// Single values, by name.
pub(crate) const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// Log entries, by index.
pub(crate) const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The file's format.
const FORMAT: &str = "format";
/// The member's identity.
const IDENTITY: &str = "identity";
/// The term, and the vote in it.
const VOTE: &str = "vote";
/// The snapshot at the log's start.
const SNAPSHOT: &str = "snapshot";
/// The number of second commits, see [`Store::write`](crate::Store::write).
const SEAL_COUNT: &str = "seals";

/// The tables in a write transaction.
pub(crate) struct Tables<'txn> {
    values: redb::Table<'txn, &'static str, &'static [u8]>,
    log: redb::Table<'txn, u64, &'static [u8]>,
}

/// What a state file holds.
pub(crate) struct Contents {
    pub(crate) id: MemberId,
    pub(crate) state: PersistentState,
}

impl<'txn> Tables<'txn> {
    /// Opens the tables, and creates them in a new file.
    pub(crate) fn open(transaction: &'txn redb::WriteTransaction) -> Result<Self, redb::Error> {
        Ok(Self { values: transaction.open_table(VALUES)?, log: transaction.open_table(LOG)? })
    }

    /// Writes what a file never changes.
    pub(crate) fn put_identity(&mut self, id: MemberId) -> Result<(), redb::Error> {
        self.put(FORMAT, &FORMAT_VERSION)?;
        self.put(IDENTITY, &id)
    }

    /// Applies a write request.
    pub(crate) fn apply(&mut self, request: &WriteRequest) -> Result<(), redb::Error> {
        self.put(VOTE, &(request.term, request.vote))?;
        if let Some(snapshot) = &request.snapshot {
            self.put(SNAPSHOT, snapshot.as_ref())?;
            self.log.retain_in(..=snapshot.index.0, |_, _| false)?;
        }
        if let Some(first) = request.first_index {
            self.log.retain_in(first.0.., |_, _| false)?;
        }
        for entry in &request.entries {
            self.log.insert(entry.index.0, encode(entry)?.as_slice())?;
        }
        Ok(())
    }

    /// Counts a second commit.
    pub(crate) fn seal(&mut self) -> Result<(), redb::Error> {
        let count = match self.values.get(SEAL_COUNT)? {
            Some(bytes) => decode::<u64>(SEAL_COUNT, bytes.value())
                .map_err(|cause| redb::Error::Corrupted(cause.to_string()))?,
            None => 0,
        };
        self.put(SEAL_COUNT, &count.wrapping_add(1))
    }

    fn put(&mut self, name: &str, value: &impl Serialize) -> Result<(), redb::Error> {
        self.values.insert(name, encode(value)?.as_slice())?;
        Ok(())
    }
}

/// Reads and checks all values of a file.
pub(crate) fn read(database: &Database) -> Result<Contents, StorageError> {
    let transaction = database.begin_read().map_err(|cause| corrupted(cause.into()))?;
    let values = transaction.open_table(VALUES).map_err(|cause| corrupted(cause.into()))?;
    let log = transaction.open_table(LOG).map_err(|cause| corrupted(cause.into()))?;
    let value = |name: &str| {
        let value = values.get(name).map_err(|cause| corrupted(cause.into()))?;
        value.ok_or_else(|| StorageError::Corrupted(format!("{name} is missing")))
    };
    let format: u32 = decode(FORMAT, value(FORMAT)?.value())?;
    if format > FORMAT_VERSION {
        return Err(StorageError::UnsupportedFormat { found: format, supported: FORMAT_VERSION });
    }
    let id = decode(IDENTITY, value(IDENTITY)?.value())?;
    let (term, vote): (Term, Option<MemberId>) = decode(VOTE, value(VOTE)?.value())?;
    let snapshot: Snapshot = decode(SNAPSHOT, value(SNAPSHOT)?.value())?;
    let entries = read_entries(&log, snapshot.index.next())?;
    let log = RaftLog::new(Arc::new(snapshot), entries);
    Ok(Contents { id, state: PersistentState { term, vote, log } })
}

/// Reads the log's entries, which follow one another from `first` on.
fn read_entries(
    log: &impl ReadableTable<u64, &'static [u8]>,
    first: Index,
) -> Result<Vec<Entry>, StorageError> {
    let mut expected = first;
    let mut entries = Vec::new();
    for row in log.iter().map_err(|cause| corrupted(cause.into()))? {
        let (index, bytes) = row.map_err(|cause| corrupted(cause.into()))?;
        let entry: Entry = decode("an entry of the log", bytes.value())?;
        if entry.index != Index(index.value()) || entry.index != expected {
            let found = entry.index;
            return Err(StorageError::Corrupted(format!(
                "entry {expected} is missing: {found} stands in its place"
            )));
        }
        expected = expected.next();
        entries.push(entry);
    }
    Ok(entries)
}

fn corrupted(cause: redb::Error) -> StorageError {
    StorageError::Corrupted(cause.to_string())
}
