//! The tables of the file, and the encoding of their values.

use std::io;
use std::path::Path;

use crc::{CRC_32_ISCSI, Crc};
use redb::{Database, Durability, ReadOnlyTable, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::error::{DiskOperation, StoreError, damaged, disk_error};
use crate::document::{Document, Interest, Key};
use crate::version::Version;

/// The format of the file that this version writes. A later one is rejected.
pub const FORMAT_VERSION: u32 = 1;

/// The format, the interest and the position, by name.
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const DOCUMENTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("documents");
const FORMAT_FACT: &str = "format";
const INTEREST_FACT: &str = "interest";
const POSITION_FACT: &str = "position";
/// Each value has a checksum of its own, as those of redb cover only the pages that it reads itself.
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// The version of the documents, and when it was saved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredPosition {
    pub(super) version: Version,
    /// Microseconds from the Unix epoch.
    pub(super) stored_at_micros: u64,
}

/// The content of the tables.
pub(super) struct TableContent {
    pub(super) interest: Interest,
    /// `None` if nothing was ever saved.
    pub(super) position: Option<StoredPosition>,
    pub(super) documents: Vec<Document>,
}

/// Reads all tables and checks them.
pub(super) fn read_tables(path: &Path, database: &Database) -> Result<TableContent, StoreError> {
    let broken = |cause: redb::Error| damaged(path, cause);
    let transaction = database.begin_read().map_err(|cause| broken(cause.into()))?;
    let facts = transaction.open_table(FACTS).map_err(|cause| broken(cause.into()))?;
    let found: u32 = read_fact(path, &facts, FORMAT_FACT)?;
    if found != FORMAT_VERSION {
        return Err(StoreError::NewerFormat { path: path.to_owned(), found, known: FORMAT_VERSION });
    }
    let interest = read_fact(path, &facts, INTEREST_FACT)?;
    let position = read_fact(path, &facts, POSITION_FACT)?;
    let table = transaction.open_table(DOCUMENTS).map_err(|cause| broken(cause.into()))?;
    let mut documents = Vec::new();
    for row in table.iter().map_err(|cause| broken(cause.into()))? {
        let (key, value) = row.map_err(|cause| broken(cause.into()))?;
        let document: Document = decode(path, "a document", value.value())?;
        if encode_key(&document.key).map_err(broken)? != key.value() {
            return Err(damaged(path, "a document stands in the place of another"));
        }
        documents.push(document);
    }
    Ok(TableContent { interest, position, documents })
}

fn read_fact<T: DeserializeOwned>(
    path: &Path,
    facts: &ReadOnlyTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<T, StoreError> {
    let value = facts.get(name).map_err(|cause| damaged(path, cause))?;
    let value = value.ok_or_else(|| damaged(path, format!("{name} is missing")))?;
    decode(path, name, value.value())
}

/// The tables in a transaction that writes.
pub(super) struct TableWriter<'t> {
    facts: redb::Table<'t, &'static str, &'static [u8]>,
    documents: redb::Table<'t, &'static [u8], &'static [u8]>,
}

/// Writes the tables in one durable transaction.
pub(super) fn write_tables(
    path: &Path,
    database: &Database,
    write: impl FnOnce(&mut TableWriter<'_>) -> Result<(), redb::Error>,
) -> Result<(), StoreError> {
    let transact = || -> Result<(), redb::Error> {
        let mut transaction = database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        write(&mut TableWriter {
            facts: transaction.open_table(FACTS)?,
            documents: transaction.open_table(DOCUMENTS)?,
        })?;
        Ok(transaction.commit()?)
    };
    transact().map_err(|cause| disk_error(path, DiskOperation::Write, cause))
}

impl TableWriter<'_> {
    pub(super) fn put_format(&mut self) -> Result<(), redb::Error> {
        self.put_fact(FORMAT_FACT, &FORMAT_VERSION)
    }

    pub(super) fn put_interest(&mut self, interest: &Interest) -> Result<(), redb::Error> {
        self.put_fact(INTEREST_FACT, interest)
    }

    pub(super) fn put_position(&mut self, position: Option<StoredPosition>) -> Result<(), redb::Error> {
        self.put_fact(POSITION_FACT, &position)
    }

    fn put_fact(&mut self, name: &str, value: &impl Serialize) -> Result<(), redb::Error> {
        self.facts.insert(name, encode(value)?.as_slice())?;
        Ok(())
    }

    pub(super) fn put(&mut self, document: &Document) -> Result<(), redb::Error> {
        self.documents.insert(encode_key(&document.key)?.as_slice(), encode(document)?.as_slice())?;
        Ok(())
    }

    pub(super) fn remove(&mut self, key: &Key) -> Result<(), redb::Error> {
        self.documents.remove(encode_key(key)?.as_slice())?;
        Ok(())
    }

    pub(super) fn remove_all(&mut self) -> Result<(), redb::Error> {
        Ok(self.documents.retain(|_, _| false)?)
    }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, redb::Error> {
    postcard::to_stdvec_crc32(value, CHECKSUM.digest()).map_err(encode_error)
}

fn encode_key(key: &Key) -> Result<Vec<u8>, redb::Error> {
    postcard::to_stdvec(key).map_err(encode_error)
}

fn encode_error(cause: postcard::Error) -> redb::Error {
    redb::Error::Io(io::Error::other(cause))
}

fn decode<T: DeserializeOwned>(path: &Path, what: &str, bytes: &[u8]) -> Result<T, StoreError> {
    let decoded = postcard::from_bytes_crc32(bytes, CHECKSUM.digest());
    decoded.map_err(|cause| damaged(path, format!("{what}: {cause}")))
}
