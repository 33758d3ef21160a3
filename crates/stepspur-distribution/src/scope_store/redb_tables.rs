//! The tables of the redb file, and the encoding of their values.

use std::io;
use std::path::Path;

use crc::{CRC_32_ISCSI, Crc};
use redb::{Database, Durability, ReadOnlyTable, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::error::{DiskOperation, StoreError, damaged_error, disk_error};
use crate::document::{Document, Interest, Key};
use crate::version::Version;

/// Format version of the files that this program writes. A file with another one is rejected.
pub const FORMAT_VERSION: u32 = 1;

/// The table of metadata: the format, the interest and the position, by name.
const METADATA: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
/// The table of documents by encoded key.
const DOCUMENTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("documents");
const FORMAT_KEY: &str = "format";
const INTEREST_KEY: &str = "interest";
const POSITION_KEY: &str = "position";
/// Checksum of each value. The checksums of redb do not suffice, as it verifies them only for pages that it
/// reads itself.
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// The version of the stored documents, and when it was saved. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredPosition {
    /// The documents include all changes of the interest up to this version.
    pub(super) version: Version,
    /// Wall-clock time of the save, in microseconds since the Unix epoch.
    pub(super) stored_at_micros: u64,
}

/// The content of the tables.
pub(super) struct TableContent {
    /// The interest of the last start.
    pub(super) interest: Interest,
    /// `None` if nothing was ever saved.
    pub(super) position: Option<StoredPosition>,
    pub(super) documents: Vec<Document>,
}

/// Reads all tables and checks them.
pub(super) fn read_tables(path: &Path, database: &Database) -> Result<TableContent, StoreError> {
    let to_damaged = |cause: redb::Error| damaged_error(path, cause);
    let transaction = database.begin_read().map_err(|cause| to_damaged(cause.into()))?;
    let metadata = transaction.open_table(METADATA).map_err(|cause| to_damaged(cause.into()))?;
    let found: u32 = read_metadata(path, &metadata, FORMAT_KEY)?;
    if found != FORMAT_VERSION {
        return Err(StoreError::NewerFormat { path: path.to_owned(), found, known: FORMAT_VERSION });
    }
    let interest = read_metadata(path, &metadata, INTEREST_KEY)?;
    let position = read_metadata(path, &metadata, POSITION_KEY)?;
    let table = transaction.open_table(DOCUMENTS).map_err(|cause| to_damaged(cause.into()))?;
    let mut documents = Vec::new();
    for row in table.iter().map_err(|cause| to_damaged(cause.into()))? {
        let (key, value) = row.map_err(|cause| to_damaged(cause.into()))?;
        let document: Document = decode(path, "a document", value.value())?;
        if encode_key(&document.key).map_err(to_damaged)? != key.value() {
            return Err(damaged_error(path, "a document is stored under the key of another"));
        }
        documents.push(document);
    }
    Ok(TableContent { interest, position, documents })
}

fn read_metadata<T: DeserializeOwned>(
    path: &Path,
    metadata: &ReadOnlyTable<&'static str, &'static [u8]>,
    name: &str,
) -> Result<T, StoreError> {
    let value = metadata.get(name).map_err(|cause| damaged_error(path, cause))?;
    let value = value.ok_or_else(|| damaged_error(path, format!("{name} is missing")))?;
    decode(path, name, value.value())
}

/// The tables within a write transaction.
pub(super) struct TableWriter<'t> {
    metadata: redb::Table<'t, &'static str, &'static [u8]>,
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
            metadata: transaction.open_table(METADATA)?,
            documents: transaction.open_table(DOCUMENTS)?,
        })?;
        Ok(transaction.commit()?)
    };
    transact().map_err(|cause| disk_error(path, DiskOperation::Write, cause))
}

impl TableWriter<'_> {
    pub(super) fn put_format(&mut self) -> Result<(), redb::Error> {
        self.put_metadata(FORMAT_KEY, &FORMAT_VERSION)
    }

    pub(super) fn put_interest(&mut self, interest: &Interest) -> Result<(), redb::Error> {
        self.put_metadata(INTEREST_KEY, interest)
    }

    pub(super) fn put_position(&mut self, position: Option<StoredPosition>) -> Result<(), redb::Error> {
        self.put_metadata(POSITION_KEY, &position)
    }

    fn put_metadata(&mut self, name: &str, value: &impl Serialize) -> Result<(), redb::Error> {
        self.metadata.insert(name, encode(value)?.as_slice())?;
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
    decoded.map_err(|cause| damaged_error(path, format!("{what}: {cause}")))
}
