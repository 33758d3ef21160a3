//! A store in one redb file. Each update is one transaction, which is durable once it is committed.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use redb::Database;
use stepspur_consensus_node::BoxFuture;
use tokio::task::JoinHandle;

use super::error::{DiskOperation, StoreError, disk_error};
use super::interface::{ScopeStore, ScopeUpdate, StoredScope};
use super::redb_file;
use super::redb_tables::{StoredPosition, read_tables, write_tables};
use crate::document::{Interest, ServiceInterest};
use crate::version::Version;

/// An open redb file with a subscriber's documents.
#[derive(Debug)]
pub struct RedbStore {
    database: Arc<Database>,
    path: PathBuf,
    /// A write whose future was dropped before it completed. The next write waits for it, so that writes are
    /// in order.
    abandoned_write: Option<JoinHandle<Result<(), StoreError>>>,
}

impl RedbStore {
    /// Opens the file, or creates it if it does not exist. Blocks.
    ///
    /// A copy of an existing file is checked first, and the file is left unchanged if it is invalid. If the
    /// interest differs from that of the last start, documents that it does not cover are deleted. If it
    /// covers more than before, the version is reset to [`Version::NONE`], so that a snapshot is requested.
    ///
    /// # Errors
    /// [`StoreError`] if the interest is invalid or the file cannot be opened, read or written.
    pub fn open(path: &Path, interest: &Interest) -> Result<Self, StoreError> {
        let interest = interest.clone().sorted()?;
        let exists = path.try_exists().map_err(|cause| disk_error(path, DiskOperation::Find, cause))?;
        if !exists {
            redb_file::create(path, &interest)?;
        }
        let database = redb_file::open(path)?;
        let store = Self { database: Arc::new(database), path: path.to_owned(), abandoned_write: None };
        store.adapt_to_interest(&interest)?;
        Ok(store)
    }

    /// Adapts the content to an interest that has changed since the last start.
    fn adapt_to_interest(&self, interest: &Interest) -> Result<(), StoreError> {
        let content = read_tables(&self.path, &self.database)?;
        if content.interest == *interest {
            return Ok(());
        }
        let mut position = content.position;
        if !includes(&content.interest, interest)
            && let Some(position) = &mut position
        {
            position.version = Version::NONE;
        }
        write_tables(&self.path, &self.database, |tables| {
            tables.put_interest(interest)?;
            tables.put_position(position)?;
            for document in &content.documents {
                if !interest.covers(&document.key.scope) {
                    tables.remove(&document.key)?;
                }
            }
            Ok(())
        })
    }
}

impl ScopeStore for RedbStore {
    fn load(&mut self) -> Result<Option<StoredScope>, StoreError> {
        let content = read_tables(&self.path, &self.database)?;
        let Some(StoredPosition { version, stored_at_micros }) = content.position else { return Ok(None) };
        let stored_at = UNIX_EPOCH + Duration::from_micros(stored_at_micros);
        Ok(Some(StoredScope { version, documents: content.documents, stored_at }))
    }

    fn save<'a>(&'a mut self, update: &'a ScopeUpdate) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            if let Some(abandoned) = &mut self.abandoned_write {
                // Its result is irrelevant: this update is relative to the state before it, or repeats it.
                drop(abandoned.await);
                self.abandoned_write = None;
            }
            let database = Arc::clone(&self.database);
            let path = self.path.clone();
            let update = update.clone();
            let write = tokio::task::spawn_blocking(move || write_update(&path, &database, &update));
            let result = self.abandoned_write.insert(write).await;
            self.abandoned_write = None;
            result.unwrap_or_else(|cause| Err(disk_error(&self.path, DiskOperation::Write, cause)))
        })
    }
}

fn write_update(path: &Path, database: &Database, update: &ScopeUpdate) -> Result<(), StoreError> {
    let (version, documents) = match update {
        ScopeUpdate::Snapshot { version, documents } | ScopeUpdate::Delta { version, documents } => {
            (*version, &documents[..])
        }
        ScopeUpdate::Covered { version } => (*version, &[][..]),
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let stored_at_micros = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
    write_tables(path, database, |tables| {
        tables.put_position(Some(StoredPosition { version, stored_at_micros }))?;
        if matches!(update, ScopeUpdate::Snapshot { .. }) {
            tables.remove_all()?;
        }
        for document in documents {
            match document.setting {
                Some(_) => tables.put(document)?,
                None => tables.remove(&document.key)?,
            }
        }
        Ok(())
    })
}

/// Whether `wide` covers all documents that `narrow` covers.
fn includes(wide: &Interest, narrow: &Interest) -> bool {
    let is_included = |service: &ServiceInterest| {
        let found = wide.services.iter().find(|known| known.service == service.service);
        found.is_some_and(|known| service.tenants.iter().all(|tenant| known.tenants.contains(tenant)))
    };
    wide.region == narrow.region && narrow.services.iter().all(is_included)
}
