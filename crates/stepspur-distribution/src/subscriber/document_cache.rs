//! The documents that a subscriber holds in memory, and which documents of an update change them.

use std::collections::{BTreeMap, BTreeSet};

use super::snapshot_assembler::Snapshot;
use super::update::UpdateError;
use crate::document::{Document, Interest, Key};
use crate::scope_store::StoredScope;
use crate::version::Version;

/// The current documents of the interest, as of a version.
#[derive(Debug)]
pub(super) struct DocumentCache {
    interest: Interest,
    version: Version,
    documents: BTreeMap<Key, Document>,
}

impl DocumentCache {
    /// Creates the cache from the stored documents, without those that the interest does not cover.
    pub(super) fn new(interest: Interest, stored: Option<StoredScope>) -> Self {
        let mut cache = Self { interest, version: Version::NONE, documents: BTreeMap::new() };
        let Some(StoredScope { version, documents, .. }) = stored else { return cache };
        cache.version = version;
        for document in documents {
            if cache.interest.covers(&document.key.scope) {
                put(&mut cache.documents, &document);
            }
        }
        cache
    }

    /// The version up to which all changes of the interest are included.
    pub(super) fn version(&self) -> Version {
        self.version
    }

    /// The number of documents.
    pub(super) fn len(&self) -> usize {
        self.documents.len()
    }

    /// All documents, sorted by key.
    pub(super) fn documents(&self) -> Vec<Document> {
        self.documents.values().cloned().collect()
    }

    /// The documents of a delta that change this cache, oldest first.
    ///
    /// # Errors
    /// [`UpdateError::Gap`] if the delta begins after the cached version,
    /// [`UpdateError::DocumentAfterUpdate`] if a document is newer than the delta.
    pub(super) fn changes_of_delta(
        &self,
        from: Version,
        to: Version,
        documents: Vec<Document>,
    ) -> Result<Vec<Document>, UpdateError> {
        if from > self.version {
            return Err(UpdateError::Gap { from, stored: self.version });
        }
        check_versions(&documents, to)?;
        let newest = newest_of_each_key(documents).into_iter();
        Ok(newest.filter(|document| self.is_newer(document)).collect())
    }

    /// The changes that turn this cache into the snapshot: removals of documents that it lacks, then its
    /// changed documents.
    ///
    /// # Errors
    /// [`UpdateError::DocumentAfterUpdate`] if a document is newer than the snapshot.
    pub(super) fn changes_of_snapshot(&self, snapshot: Snapshot) -> Result<Vec<Document>, UpdateError> {
        let Snapshot { version, documents } = snapshot;
        check_versions(&documents, version)?;
        let documents = newest_of_each_key(documents);
        let mut changes = self.removals_of_snapshot(version, &documents);
        let is_change = |document: &Document| document.setting.is_some() && self.is_newer(document);
        changes.extend(documents.into_iter().filter(is_change));
        Ok(changes)
    }

    /// Removals of the documents that a snapshot of this version lacks. A document that is newer than the
    /// snapshot is not removed: this occurs if the interest has grown and a control member that lags behind
    /// sends the snapshot.
    fn removals_of_snapshot(&self, version: Version, documents: &[Document]) -> Vec<Document> {
        let keys: BTreeSet<&Key> = documents.iter().map(|document| &document.key).collect();
        let is_removed = |document: &&Document| document.version <= version && !keys.contains(&document.key);
        let removed = self.documents.values().filter(is_removed);
        removed.map(|document| Document { key: document.key.clone(), setting: None, version }).collect()
    }

    /// Whether a document is covered by the interest and newer than the cached one.
    fn is_newer(&self, document: &Document) -> bool {
        self.interest.covers(&document.key.scope)
            && document.version > self.version
            && self.documents.get(&document.key).is_none_or(|cached| cached.version < document.version)
    }

    /// All documents as they will be after these changes.
    pub(super) fn documents_after(&self, changes: &[Document]) -> Vec<Document> {
        let mut documents = self.documents.clone();
        for change in changes {
            put(&mut documents, change);
        }
        documents.into_values().collect()
    }

    /// Applies the changes of an update up to this version.
    pub(super) fn apply(&mut self, version: Version, changes: &[Document]) {
        self.version = version;
        for change in changes {
            put(&mut self.documents, change);
        }
    }
}

/// Replaces a document, or removes it if it has no setting.
pub(super) fn put(documents: &mut BTreeMap<Key, Document>, document: &Document) {
    match document.setting {
        Some(_) => documents.insert(document.key.clone(), document.clone()),
        None => documents.remove(&document.key),
    };
}

/// The newest document of each key, oldest first.
fn newest_of_each_key(documents: Vec<Document>) -> Vec<Document> {
    let mut newest: BTreeMap<Key, Document> = BTreeMap::new();
    for document in documents {
        let known = newest.get(&document.key);
        if known.is_none_or(|known| known.version < document.version) {
            newest.insert(document.key.clone(), document);
        }
    }
    let mut sorted: Vec<Document> = newest.into_values().collect();
    sorted.sort_by_key(|document| document.version);
    sorted
}

/// Checks that no document is newer than the update's version.
fn check_versions(documents: &[Document], to: Version) -> Result<(), UpdateError> {
    match documents.iter().find(|document| document.version > to) {
        Some(document) => Err(UpdateError::DocumentAfterUpdate { found: document.version, to }),
        None => Ok(()),
    }
}
