//! The redb tables of a state file. Their names and the encoding of their values are fixed for each format.

use std::sync::Arc;

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::Serialize;
use stepspur_consensus::{Entry, Index, MemberId, PersistentState, RaftLog, Snapshot, Term, WriteRequest};

use crate::codec::{decode, encode};
use crate::error::StorageError;

/// The format of the state files that this version writes. Later formats are rejected.
pub const FORMAT_VERSION: u32 = 1;

/// The table of single values, by name.
pub(crate) const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// The table of log entries, by index.
pub(crate) const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The value's name for the format number.
const FORMAT: &str = "format";
/// The value's name for the member's identity.
const IDENTITY: &str = "identity";
/// The value's name for the current term and the vote in that term.
const VOTE: &str = "vote";
/// The value's name for the snapshot that precedes the log's entries.
const SNAPSHOT: &str = "snapshot";
/// The value's name for the count of second commits, see [`Store::write`](crate::Store::write).
const SECOND_COMMITS: &str = "seals";

/// The tables, open in a write transaction.
pub(crate) struct Tables<'txn> {
    values: redb::Table<'txn, &'static str, &'static [u8]>,
    log: redb::Table<'txn, u64, &'static [u8]>,
}

/// The decoded content of a state file.
pub(crate) struct Contents {
    pub(crate) id: MemberId,
    pub(crate) state: PersistentState,
}

impl<'txn> Tables<'txn> {
    /// Opens the tables. Creates them in a new file.
    pub(crate) fn open(transaction: &'txn redb::WriteTransaction) -> Result<Self, redb::Error> {
        Ok(Self { values: transaction.open_table(VALUES)?, log: transaction.open_table(LOG)? })
    }

    /// Writes the format and the identity, which never change in a file.
    pub(crate) fn put_identity(&mut self, id: MemberId) -> Result<(), redb::Error> {
        self.put(FORMAT, &FORMAT_VERSION)?;
        self.put(IDENTITY, &id)
    }

    /// Applies a write request: the term and the vote, then the snapshot, the truncation and the new entries.
    pub(crate) fn apply(&mut self, request: &WriteRequest) -> Result<(), redb::Error> {
        self.put(VOTE, &(request.term, request.vote))?;
        if let Some(snapshot) = &request.snapshot {
            self.put(SNAPSHOT, snapshot.as_ref())?;
            self.log.retain_in(..=snapshot.index.0, |_, _| false)?;
        }
        if let Some(first) = request.truncate_from {
            self.log.retain_in(first.0.., |_, _| false)?;
        }
        for entry in &request.entries {
            self.log.insert(entry.index.0, encode(entry)?.as_slice())?;
        }
        Ok(())
    }

    /// Increments the count of second commits.
    pub(crate) fn increment_second_commits(&mut self) -> Result<(), redb::Error> {
        let count = match self.values.get(SECOND_COMMITS)? {
            Some(bytes) => decode::<u64>(SECOND_COMMITS, bytes.value())
                .map_err(|cause| redb::Error::Corrupted(cause.to_string()))?,
            None => 0,
        };
        self.put(SECOND_COMMITS, &count.wrapping_add(1))
    }

    fn put(&mut self, name: &str, value: &impl Serialize) -> Result<(), redb::Error> {
        self.values.insert(name, encode(value)?.as_slice())?;
        Ok(())
    }
}

/// Reads and checks all values of a file. Any error means that the file cannot be used.
pub(crate) fn read(database: &Database) -> Result<Contents, StorageError> {
    let transaction = database.begin_read().map_err(|cause| corrupted(cause.into()))?;
    let values = transaction.open_table(VALUES).map_err(|cause| corrupted(cause.into()))?;
    let log = transaction.open_table(LOG).map_err(|cause| corrupted(cause.into()))?;
    let value = |name: &str| {
        let value = values.get(name).map_err(|cause| corrupted(cause.into()))?;
        value.ok_or_else(|| StorageError::Corrupted(format!("value {name} is missing")))
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

/// Reads the log's entries, and checks that their indexes are consecutive from `first` on.
fn read_entries(
    log: &impl ReadableTable<u64, &'static [u8]>,
    first: Index,
) -> Result<Vec<Entry>, StorageError> {
    let mut expected = first;
    let mut entries = Vec::new();
    for row in log.iter().map_err(|cause| corrupted(cause.into()))? {
        let (index, bytes) = row.map_err(|cause| corrupted(cause.into()))?;
        let entry: Entry = decode("log entry", bytes.value())?;
        if entry.index != Index(index.value()) || entry.index != expected {
            let found = entry.index;
            return Err(StorageError::Corrupted(format!(
                "log entry {expected} is missing: found entry {found} instead"
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
