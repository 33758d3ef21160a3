//! A store in memory, for tests and for subscribers without a file.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use stepspur_consensus_node::BoxFuture;

use super::error::StoreError;
use super::interface::{ScopeStore, ScopeUpdate, StoredScope};
use crate::document::{Document, Key};

#[derive(Debug, Default)]
struct State {
    content: Option<StoredScope>,
    /// The error of every save, if a test injected one.
    injected_failure: Option<String>,
}

/// A store in memory. Clones share the content, so that a subscriber can be started again with the same
/// content.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore(Arc<Mutex<State>>);

impl MemoryStore {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current content.
    pub fn content(&self) -> Option<StoredScope> {
        self.state().content.clone()
    }

    /// Replaces the content, for example by an older one, as a restored backup would.
    pub fn set_content(&self, content: Option<StoredScope>) {
        self.state().content = content;
    }

    /// Makes every save fail with this reason from now on; `None` ends this.
    pub fn inject_failure(&self, reason: Option<String>) {
        self.state().injected_failure = reason;
    }

    fn update(&self, update: &ScopeUpdate) -> Result<(), StoreError> {
        let mut state = self.state();
        if let Some(reason) = &state.injected_failure {
            return Err(StoreError::Injected(reason.clone()));
        }
        let before = state.content.take().map_or_else(Vec::new, |content| content.documents);
        let (version, documents) = match update {
            ScopeUpdate::Snapshot { version, documents } => (*version, current(documents.to_vec())),
            ScopeUpdate::Delta { version, documents } => {
                (*version, current(before.into_iter().chain(documents.iter().cloned())))
            }
            ScopeUpdate::Covered { version } => (*version, before),
        };
        state.content = Some(StoredScope { version, documents, stored_at: SystemTime::now() });
        Ok(())
    }
}

/// The last document of each key, without those that were removed.
fn current(documents: impl IntoIterator<Item = Document>) -> Vec<Document> {
    let documents = documents.into_iter();
    let last: BTreeMap<Key, Document> = documents.map(|document| (document.key.clone(), document)).collect();
    last.into_values().filter(|document| document.setting.is_some()).collect()
}

impl ScopeStore for MemoryStore {
    fn load(&mut self) -> Result<Option<StoredScope>, StoreError> {
        Ok(self.content())
    }

    fn save<'a>(&'a mut self, update: &'a ScopeUpdate) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move { self.update(update) })
    }
}
