//! A store in memory, for tests and for subscribers that need not last.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use stepspur_consensus_node::BoxFuture;

use super::{ScopeStore, StoreError, StoredScope, Update};
use crate::document::{Document, Key};

#[derive(Debug, Default)]
struct State {
    kept: Option<StoredScope>,
    refuses: Option<String>,
}

/// Keeps in memory. Clones share what they keep, so that one may be held over a subscriber's restart.
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

    /// What it keeps now.
    pub fn kept(&self) -> Option<StoredScope> {
        self.state().kept.clone()
    }

    /// Has it keep this from now on, whatever it kept before: a disk that is put back.
    pub fn put_back(&self, kept: Option<StoredScope>) {
        self.state().kept = kept;
    }

    /// Has it refuse every save from now on for this reason, or none.
    pub fn refuse(&self, why: Option<String>) {
        self.state().refuses = why;
    }

    fn keep(&self, update: &Update) -> Result<(), StoreError> {
        let mut state = self.state();
        if let Some(why) = &state.refuses {
            return Err(StoreError::Refused(why.clone()));
        }
        let before = state.kept.take().map_or_else(Vec::new, |kept| kept.documents);
        let (version, documents) = match update {
            Update::Whole { version, documents } => (*version, standing(documents.to_vec())),
            Update::Changes { version, documents } => {
                (*version, standing(before.into_iter().chain(documents.iter().cloned())))
            }
            Update::Covered { version } => (*version, before),
        };
        state.kept = Some(StoredScope { version, documents, kept_at: SystemTime::now() });
        Ok(())
    }
}

/// The last document of each key, without those that were lifted.
fn standing(documents: impl IntoIterator<Item = Document>) -> Vec<Document> {
    let last: BTreeMap<Key, Document> = documents.into_iter().map(|d| (d.key.clone(), d)).collect();
    last.into_values().filter(|document| document.setting.is_some()).collect()
}

impl ScopeStore for MemoryStore {
    fn load(&mut self) -> Result<Option<StoredScope>, StoreError> {
        Ok(self.kept())
    }

    fn save<'a>(&'a mut self, update: &'a Update) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move { self.keep(update) })
    }
}
