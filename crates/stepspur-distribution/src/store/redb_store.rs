//! A subscriber's documents and version in one file of redb: each update is one transaction, on disk when it ends.

use std::fs::{File, OpenOptions};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crc::{CRC_32_ISCSI, Crc};
use redb::backends::{FileBackend, InMemoryBackend};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stepspur_consensus_node::BoxFuture;
use tokio::task::JoinHandle;

use super::{ScopeStore, StoreError, StoredScope, Update};
use crate::document::{Document, Interest, Key, ServiceInterest};
use crate::version::Version;

/// The format that this version writes. A later one is refused.
pub const FORMAT_VERSION: u32 = 1;
/// The largest file that is opened, in bytes: one beyond it is none of ours. It is read into memory once.
pub const MAX_FILE_BYTES: u64 = 128 << 20;

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const DOCUMENTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("documents");
/// Names of facts.
const FORMAT_AT: &str = "format";
const INTEREST: &str = "interest";
const POSITION: &str = "position";
/// Each value carries a checksum of its own: those of redb cover the pages that it reads itself.
const SUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Up to where the documents go, and since when; none: nothing was ever kept.
type Position = Option<(Version, u64)>;

/// An open file of documents.
#[derive(Debug)]
pub struct RedbStore {
    database: Arc<Database>,
    path: PathBuf,
    /// A write that nobody waits for any more. The next one waits for its end, so that they come in order.
    left: Option<JoinHandle<Result<(), StoreError>>>,
}

impl RedbStore {
    /// Opens the file, or makes it. It is read whole on a copy first: one that cannot be read is left as it is. Where
    /// this interest is another than that by which the documents were kept, those that it does not cover are dropped,
    /// and if it covers more than before the version goes to [`Version::NONE`], so that all is asked for. It blocks.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn open(path: &Path, interest: &Interest) -> Result<Self, StoreError> {
        let interest = &interest.clone().sorted()?;
        let disk = |what| move |cause: io::Error| disk_fault(path, what, &cause);
        if !path.try_exists().map_err(disk("looking for the file"))? {
            make(path, interest)?;
        }
        let file = OpenOptions::new().read(true).write(true).open(path);
        let backend = lock(path, file.map_err(disk("opening the file"))?)?;
        check(path, &backend)?;
        let store = Self { database: Arc::new(start(path, backend)?), path: path.to_owned(), left: None };
        store.fit(interest)?;
        Ok(store)
    }

    /// Fits what is kept to the interest.
    fn fit(&self, interest: &Interest) -> Result<(), StoreError> {
        let found = read(&self.path, &self.database)?;
        if found.interest == *interest {
            return Ok(());
        }
        let grew = !includes(&found.interest, interest);
        let position = found.position.map(|(version, at)| (if grew { Version::NONE } else { version }, at));
        write(&self.path, &self.database, |facts, documents| {
            put(facts, INTEREST, interest)?;
            put(facts, POSITION, &position)?;
            for document in found.documents.iter().filter(|d| !interest.covers(&d.key.scope)) {
                documents.remove(key_bytes(&document.key)?.as_slice())?;
            }
            Ok(())
        })
    }
}

impl ScopeStore for RedbStore {
    fn load(&mut self) -> Result<Option<StoredScope>, StoreError> {
        let found = read(&self.path, &self.database)?;
        let documents = found.documents;
        let kept = |(version, micros)| StoredScope {
            version,
            documents,
            kept_at: UNIX_EPOCH + Duration::from_micros(micros),
        };
        Ok(found.position.map(kept))
    }

    fn save<'a>(&'a mut self, update: &'a Update) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            if let Some(left) = &mut self.left {
                // Whatever became of it was told to nobody: what is kept now goes on from before it, or repeats it.
                let _ = left.await;
                self.left = None;
            }
            let (database, path, update) = (Arc::clone(&self.database), self.path.clone(), update.clone());
            let task = tokio::task::spawn_blocking(move || keep(&path, &database, &update));
            let ended = self.left.insert(task).await;
            self.left = None;
            ended.unwrap_or_else(|cause| Err(disk_fault(&self.path, "writing the file", &cause)))
        })
    }
}

fn keep(path: &Path, database: &Database, update: &Update) -> Result<(), StoreError> {
    let (version, whole, changed) = match update {
        Update::Whole { version, documents } => (*version, true, &documents[..]),
        Update::Changes { version, documents } => (*version, false, &documents[..]),
        Update::Covered { version } => (*version, false, &[][..]),
    };
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let position: Position = Some((version, u64::try_from(at.as_micros()).unwrap_or(u64::MAX)));
    write(path, database, |facts, documents| {
        put(facts, POSITION, &position)?;
        if whole {
            documents.retain(|_, _| false)?;
        }
        for document in changed {
            let key = key_bytes(&document.key)?;
            match document.setting {
                Some(_) => documents.insert(key.as_slice(), encode(document)?.as_slice())?,
                None => documents.remove(key.as_slice())?,
            };
        }
        Ok(())
    })
}

/// True: what concerns the narrow one concerns the wide one as well.
fn includes(wide: &Interest, narrow: &Interest) -> bool {
    let known = |service: &ServiceInterest| {
        let found = wide.services.iter().find(|known| known.service == service.service);
        found.is_some_and(|known| service.tenants.iter().all(|tenant| known.tenants.contains(tenant)))
    };
    wide.region == narrow.region && narrow.services.iter().all(known)
}

struct Found {
    interest: Interest,
    position: Position,
    documents: Vec<Document>,
}

fn read(path: &Path, database: &Database) -> Result<Found, StoreError> {
    let broken = |cause: redb::Error| damaged(path, &cause);
    let begun = database.begin_read().map_err(|cause| broken(cause.into()))?;
    let facts = begun.open_table(FACTS).map_err(|cause| broken(cause.into()))?;
    let fact = |name: &str| {
        let value = facts.get(name).map_err(|cause| broken(cause.into()))?;
        value.ok_or_else(|| damaged(path, &format!("{name} is missing")))
    };
    let found: u32 = decode(path, FORMAT_AT, fact(FORMAT_AT)?.value())?;
    if found != FORMAT_VERSION {
        return Err(StoreError::Newer { path: path.to_owned(), found, known: FORMAT_VERSION });
    }
    let interest = decode(path, INTEREST, fact(INTEREST)?.value())?;
    let position = decode(path, POSITION, fact(POSITION)?.value())?;
    let table = begun.open_table(DOCUMENTS).map_err(|cause| broken(cause.into()))?;
    let mut documents = Vec::new();
    for line in table.iter().map_err(|cause| broken(cause.into()))? {
        let (key, value) = line.map_err(|cause| broken(cause.into()))?;
        let document: Document = decode(path, "a document", value.value())?;
        if key_bytes(&document.key).map_err(broken)? != key.value() {
            return Err(damaged(path, &"a document stands in the place of another"));
        }
        documents.push(document);
    }
    Ok(Found { interest, position, documents })
}

type FactsTable<'t> = redb::Table<'t, &'static str, &'static [u8]>;
type DocumentsTable<'t> = redb::Table<'t, &'static [u8], &'static [u8]>;

fn write(
    path: &Path,
    database: &Database,
    change: impl FnOnce(&mut FactsTable<'_>, &mut DocumentsTable<'_>) -> Result<(), redb::Error>,
) -> Result<(), StoreError> {
    let transact = || -> Result<(), redb::Error> {
        let mut write = database.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        change(&mut write.open_table(FACTS)?, &mut write.open_table(DOCUMENTS)?)?;
        Ok(write.commit()?)
    };
    transact().map_err(|cause| disk_fault(path, "writing the file", &cause))
}

/// Makes the file under another name first, so that a crash on the way leaves none under its own.
fn make(path: &Path, interest: &Interest) -> Result<(), StoreError> {
    let disk = |what| move |cause: io::Error| disk_fault(path, what, &cause);
    let unfinished = unfinished(path);
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&unfinished);
    let database = start(path, lock(path, file.map_err(disk("making the file"))?)?)?;
    write(path, &database, |facts, _| {
        put(facts, FORMAT_AT, &FORMAT_VERSION)?;
        put(facts, INTEREST, interest)?;
        put(facts, POSITION, &Position::None)
    })?;
    drop(database);
    let name = || {
        // Never in place of another.
        std::fs::hard_link(&unfinished, path)?;
        std::fs::remove_file(&unfinished)?;
        let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
    };
    name().map_err(disk("naming the file"))
}

fn unfinished(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    PathBuf::from(name)
}

fn lock(path: &Path, file: File) -> Result<FileBackend, StoreError> {
    FileBackend::new(file).map_err(|cause| match cause {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
        other => disk_fault(path, "locking the file", &other),
    })
}

/// Reads the file whole on a copy: opening it would repair what was not closed, and what cannot be read is not touched.
fn check(path: &Path, backend: &FileBackend) -> Result<(), StoreError> {
    let disk = |cause: io::Error| disk_fault(path, "reading the file", &cause);
    let length = backend.len().map_err(disk)?;
    if length == 0 || length > MAX_FILE_BYTES {
        return Err(damaged(path, &format!("it has {length} bytes")));
    }
    let copy = copy_of(backend, length).map_err(disk)?;
    let read_whole = || {
        let mut copy = start(path, copy)?;
        copy.check_integrity().map_err(|cause| damaged(path, &cause))?;
        read(path, &copy).map(drop)
    };
    // Builds with debug assertions panic within redb where others have it tell that the file is damaged.
    let checked = catch_unwind(AssertUnwindSafe(read_whole));
    checked.unwrap_or_else(|_| Err(damaged(path, &"redb panicked")))
}

fn copy_of(backend: &FileBackend, length: u64) -> io::Result<InMemoryBackend> {
    let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
    backend.read(0, &mut bytes)?;
    let copy = InMemoryBackend::new();
    copy.set_len(length)?;
    copy.write(0, &bytes)?;
    Ok(copy)
}

fn start(path: &Path, backend: impl StorageBackend) -> Result<Database, StoreError> {
    redb::Builder::new().create_with_backend(backend).map_err(|cause| match cause {
        redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
        redb::DatabaseError::Storage(redb::StorageError::Io(cause))
            if cause.kind() != io::ErrorKind::InvalidData =>
        {
            disk_fault(path, "opening the file", &cause)
        }
        other => damaged(path, &other),
    })
}

fn disk_fault(path: &Path, what: &'static str, cause: &dyn std::fmt::Display) -> StoreError {
    StoreError::Disk { path: path.to_owned(), what, cause: cause.to_string() }
}

fn damaged(path: &Path, cause: &dyn std::fmt::Display) -> StoreError {
    StoreError::Damaged { path: path.to_owned(), cause: cause.to_string() }
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, redb::Error> {
    let failed = |cause: postcard::Error| redb::Error::Io(io::Error::other(cause));
    postcard::to_stdvec_crc32(value, SUM.digest()).map_err(failed)
}

fn key_bytes(key: &Key) -> Result<Vec<u8>, redb::Error> {
    postcard::to_stdvec(key).map_err(|cause| redb::Error::Io(io::Error::other(cause)))
}

fn put(facts: &mut FactsTable<'_>, name: &str, value: &impl Serialize) -> Result<(), redb::Error> {
    facts.insert(name, encode(value)?.as_slice())?;
    Ok(())
}

fn decode<T: DeserializeOwned>(path: &Path, what: &str, bytes: &[u8]) -> Result<T, StoreError> {
    postcard::from_bytes_crc32(bytes, SUM.digest())
        .map_err(|cause| damaged(path, &format!("{what}: {cause}")))
}
