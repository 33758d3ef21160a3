//! Hands documents to the engine, and remembers those that it does not act by.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::timeout;

use super::DocumentApplier;
use super::status::{MAX_UNAPPLIED_LISTED, REASON_MOST, Unapplied, shortened};
use crate::document::{Document, Key};

/// The engine must answer within this time. One that does not is not asked for more until the next round.
pub(crate) const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Documents that are tried again in one round, at most.
const RETRIED_MOST: usize = 256;
/// After so many documents other tasks get their turn.
const TOGETHER: usize = 64;

struct Failed {
    document: Document,
    reason: String,
}

/// The engine, and what it does not act by.
pub(crate) struct Applier {
    apply: Arc<dyn DocumentApplier>,
    failed: BTreeMap<Key, Failed>,
    /// The last one that was tried again.
    retried: Option<Key>,
}

impl Applier {
    pub(crate) fn new(apply: Arc<dyn DocumentApplier>) -> Self {
        Self { apply, failed: BTreeMap::new(), retried: None }
    }

    /// True: the engine acts by every document that it was handed.
    pub(crate) fn is_level(&self) -> bool {
        self.failed.is_empty()
    }

    /// How many documents it does not act by.
    pub(crate) fn failed(&self) -> usize {
        self.failed.len()
    }

    /// Some of those that it does not act by.
    pub(crate) fn told(&self) -> Vec<Unapplied> {
        let told = |(key, failed): (&Key, &Failed)| Unapplied {
            key: key.clone(),
            version: failed.document.version,
            reason: failed.reason.clone(),
        };
        self.failed.iter().take(MAX_UNAPPLIED_LISTED).map(told).collect()
    }

    /// Hands all of them to the engine. Once an answer does not come in time the rest counts as failed as well.
    pub(crate) async fn apply_all(&mut self, documents: &[Document]) {
        let mut stalled = None;
        for (count, document) in documents.iter().enumerate() {
            if count % TOGETHER == TOGETHER - 1 {
                yield_now().await;
            }
            if let Some(reason) = &stalled {
                self.fail(document, String::clone(reason));
            } else if let Err(Stalled(reason)) = self.apply(document).await {
                stalled = Some(reason);
            }
        }
    }

    /// Tries again those that failed, some of them each time.
    pub(crate) async fn retry(&mut self) {
        for document in self.next_round() {
            self.retried = Some(document.key.clone());
            if self.apply(&document).await.is_err() {
                return;
            }
        }
    }

    fn next_round(&self) -> Vec<Document> {
        let after = match &self.retried {
            Some(key) => Bound::Excluded(key),
            None => Bound::Unbounded,
        };
        let upto = match &self.retried {
            Some(key) => Bound::Included(key),
            // Nothing is left for a second pass.
            None => return self.failed.values().take(RETRIED_MOST).map(|f| f.document.clone()).collect(),
        };
        let first = self.failed.range::<Key, _>((after, Bound::Unbounded));
        let second = self.failed.range::<Key, _>((Bound::Unbounded, upto));
        first.chain(second).take(RETRIED_MOST).map(|(_, failed)| failed.document.clone()).collect()
    }

    async fn apply(&mut self, document: &Document) -> Result<(), Stalled> {
        let stalled = || format!("the engine did not answer within {APPLY_TIMEOUT:?}");
        match timeout(APPLY_TIMEOUT, self.apply.apply(document)).await {
            Ok(Ok(())) => {
                self.failed.remove(&document.key);
                Ok(())
            }
            Ok(Err(reason)) => {
                self.fail(document, reason);
                Ok(())
            }
            Err(_) => {
                self.fail(document, stalled());
                Err(Stalled(stalled()))
            }
        }
    }

    fn fail(&mut self, document: &Document, reason: String) {
        let reason = shortened(reason, REASON_MOST);
        if !self.failed.contains_key(&document.key) {
            tracing::warn!(event = "document_not_applied", key = ?document.key, version = %document.version, reason);
        }
        self.failed.insert(document.key.clone(), Failed { document: document.clone(), reason });
    }
}

/// The engine did not answer in time.
struct Stalled(String);
