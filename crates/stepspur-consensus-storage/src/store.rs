//! A council member's state in one file of redb: each save is one transaction, on disk when it returns.

use std::path::Path;
use std::sync::Arc;

use crc::{CRC_32_ISCSI, Crc};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stepspur_consensus::{Entry, Index, Log, MemberId, PersistentState, Snapshot, Term, WriteRequest};

use crate::fault::StorageError;
use crate::file;
use crate::image::Image;

/// The format that this version writes. A later one is refused; an earlier one is read, and written anew as this.
pub const FORMAT_VERSION: u32 = 1;
/// The largest state file that is opened, in bytes: one beyond it is none of ours.
pub const MAX_FILE_BYTES: u64 = 1 << 30;

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Names of facts.
const FORMAT_AT: &str = "format";
const IDENTITY: &str = "identity";
const VOTE: &str = "vote";
const SNAPSHOT: &str = "snapshot";
const SEALS: &str = "seals";
/// Each value carries a checksum of its own: those of redb cover the pages that it reads itself.
const SUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// An open state file.
#[derive(Debug)]
pub struct Store {
    db: Database,
    id: MemberId,
    failed: Option<String>,
}

impl Store {
    /// Makes a state file for a member that has none. It has its name only once it is whole.
    ///
    /// # Errors
    /// [`StorageError::Exists`] if there is one, and those of the disk.
    pub fn create(path: &Path, id: MemberId, first: &PersistentState) -> Result<Self, StorageError> {
        let store = Self::create_on(file::make(path)?, id, first)?;
        file::finish(path)?;
        Ok(store)
    }

    /// Opens a member's state file and reads all of it.
    ///
    /// # Errors
    /// See [`StorageError`]. The file is left as it is unless it could be read.
    pub fn open(path: &Path) -> Result<(Self, PersistentState), StorageError> {
        Self::open_on(file::open(path)?)
    }

    /// As [`Store::create`], on an empty disk.
    ///
    /// # Errors
    /// Those of the disk.
    pub fn create_on(
        disk: impl StorageBackend,
        id: MemberId,
        first: &PersistentState,
    ) -> Result<Self, StorageError> {
        let db = start(disk)?;
        let mut store = Self { db, id, failed: None };
        store.write("making the state file", |facts, _| {
            put(facts, FORMAT_AT, &FORMAT_VERSION)?;
            put(facts, IDENTITY, &id)
        })?;
        let entries = first.log.from(Index(0), usize::MAX);
        let snapshot = Some(Arc::clone(first.log.base()));
        let all =
            WriteRequest { number: 0, term: first.term, vote: first.vote, snapshot, from: None, entries };
        store.save(&[all])?;
        Ok(store)
    }

    /// As [`Store::open`], on a disk.
    ///
    /// # Errors
    /// See [`StorageError`].
    pub fn open_on(disk: impl StorageBackend) -> Result<(Self, PersistentState), StorageError> {
        let io = |source| StorageError::Disk { what: "reading the state file", source };
        match disk.len().map_err(io)? {
            // An empty file would be made anew by redb, with an identity that never was.
            0 => return Err(StorageError::Damaged("it is empty".to_owned())),
            len if len > MAX_FILE_BYTES => return Err(StorageError::Damaged(format!("it has {len} bytes"))),
            _ => {}
        }
        // Read on a copy first: repairs must not touch what cannot be read.
        let mut copy = start(Image::of(&disk).map_err(io)?)?;
        let damaged = |cause: &dyn std::fmt::Display| StorageError::Damaged(cause.to_string());
        copy.check_integrity().map_err(|cause| damaged(&cause))?;
        read(&copy)?;
        drop(copy);
        let db = start(disk)?;
        let (id, stored) = read(&db)?;
        Ok((Self { db, id, failed: None }, stored))
    }

    /// The member's identity: drawn when the file was made.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Keeps saves, in their order: all of them are on disk when it returns.
    ///
    /// It commits twice. redb keeps its newest commit and the one before; where a check fails in the newest it takes it
    /// for torn by a loss of power and goes back by one, which would forget a vote. The second commit changes nothing
    /// but a count, so that going back by one forgets nothing that was told.
    ///
    /// # Errors
    /// After the first error nothing more is written until the file is opened anew: [`StorageError::Failed`].
    pub fn save(&mut self, saves: &[WriteRequest]) -> Result<(), StorageError> {
        self.write("writing the state file", |facts, log| {
            for save in saves {
                put(facts, VOTE, &(save.term, save.vote))?;
                if let Some(snapshot) = &save.snapshot {
                    put(facts, SNAPSHOT, snapshot.as_ref())?;
                    log.retain_in(..=snapshot.index.0, |_, _| false)?;
                }
                if let Some(from) = save.from {
                    log.retain_in(from.0.., |_, _| false)?;
                }
                for entry in &save.entries {
                    let bytes = encode(entry)?;
                    log.insert(entry.index.0, bytes.as_slice())?;
                }
            }
            Ok(())
        })?;
        self.write("sealing the state file", |facts, _| {
            let seals = facts.get(SEALS)?.map_or(Ok(0), |bytes| decode::<u64>(SEALS, bytes.value()));
            let seals = seals.map_err(|fault| redb::Error::Corrupted(fault.to_string()))?;
            put(facts, SEALS, &seals.wrapping_add(1))
        })
    }

    fn write(
        &mut self,
        what: &'static str,
        change: impl FnOnce(
            &mut redb::Table<&str, &[u8]>,
            &mut redb::Table<u64, &[u8]>,
        ) -> Result<(), redb::Error>,
    ) -> Result<(), StorageError> {
        if let Some(why) = &self.failed {
            return Err(StorageError::Failed(why.clone()));
        }
        let transact = || -> Result<(), redb::Error> {
            let mut write = self.db.begin_write()?;
            write.set_durability(Durability::Immediate)?;
            change(&mut write.open_table(FACTS)?, &mut write.open_table(LOG)?)?;
            Ok(write.commit()?)
        };
        transact().map_err(|cause| {
            self.failed = Some(cause.to_string());
            match cause {
                redb::Error::Io(source) => StorageError::Disk { what, source },
                other => StorageError::Store { what, cause: other.to_string() },
            }
        })
    }
}

fn start(disk: impl StorageBackend) -> Result<Database, StorageError> {
    redb::Builder::new().create_with_backend(disk).map_err(|cause| match cause {
        redb::DatabaseError::DatabaseAlreadyOpen => StorageError::InUse,
        redb::DatabaseError::Storage(redb::StorageError::Io(source)) => {
            StorageError::Disk { what: "opening the state file", source }
        }
        other => StorageError::Damaged(other.to_string()),
    })
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, redb::Error> {
    let failed = |cause: postcard::Error| redb::Error::Io(std::io::Error::other(cause));
    postcard::to_stdvec_crc32(value, SUM.digest()).map_err(failed)
}

fn put(facts: &mut redb::Table<&str, &[u8]>, name: &str, value: &impl Serialize) -> Result<(), redb::Error> {
    facts.insert(name, encode(value)?.as_slice())?;
    Ok(())
}

fn decode<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, StorageError> {
    postcard::from_bytes_crc32(bytes, SUM.digest())
        .map_err(|cause| StorageError::Damaged(format!("{what}: {cause}")))
}

fn read(db: &Database) -> Result<(MemberId, PersistentState), StorageError> {
    let damaged = |cause: redb::Error| StorageError::Damaged(cause.to_string());
    let begun = db.begin_read().map_err(|cause| damaged(cause.into()))?;
    let facts = begun.open_table(FACTS).map_err(|cause| damaged(cause.into()))?;
    let log = begun.open_table(LOG).map_err(|cause| damaged(cause.into()))?;
    let fact = |name: &str| {
        let value = facts.get(name).map_err(|cause| damaged(cause.into()))?;
        value.ok_or_else(|| StorageError::Damaged(format!("{name} is missing")))
    };
    let format: u32 = decode(FORMAT_AT, fact(FORMAT_AT)?.value())?;
    if format > FORMAT_VERSION {
        return Err(StorageError::Newer { found: format, known: FORMAT_VERSION });
    }
    let id = decode(IDENTITY, fact(IDENTITY)?.value())?;
    let (term, vote): (Term, Option<MemberId>) = decode(VOTE, fact(VOTE)?.value())?;
    let snapshot: Snapshot = decode(SNAPSHOT, fact(SNAPSHOT)?.value())?;
    let mut next = snapshot.index.next();
    let mut entries = Vec::new();
    for line in log.iter().map_err(|cause| damaged(cause.into()))? {
        let (index, bytes) = line.map_err(|cause| damaged(cause.into()))?;
        let entry: Entry = decode("an entry of the log", bytes.value())?;
        if entry.index != Index(index.value()) || entry.index != next {
            let found = entry.index;
            return Err(StorageError::Damaged(format!(
                "entry {next} is missing: {found} stands in its place"
            )));
        }
        next = next.next();
        entries.push(entry);
    }
    Ok((id, PersistentState { term, vote, log: Log::new(Arc::new(snapshot), entries) }))
}
