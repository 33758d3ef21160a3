//! Applies documents to the engines, and retries those that failed.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::timeout;

use super::document_applier::{DocumentApplier, DocumentNotApplied};
use super::status::{MAX_UNAPPLIED_LISTED, Unapplied, truncate_reason};
use crate::document::{Document, Key};

/// Time limit for a call of the engine. After a timeout it is not called again until the next retry.
pub(super) const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of documents that are retried per tick.
const MAX_RETRIES_PER_TICK: usize = 256;
/// After this many documents the task yields, so that other tasks can run.
const DOCUMENTS_PER_YIELD: usize = 64;

/// A document that was not applied, and why.
struct FailedDocument {
    document: Document,
    reason: String,
}

/// Why a call of the engine failed.
#[derive(Debug, thiserror::Error)]
enum ApplyError {
    #[error(transparent)]
    NotApplied(#[from] DocumentNotApplied),
    #[error("the engine did not answer within {APPLY_TIMEOUT:?}")]
    Timeout,
}

/// Applies documents, and retains those that failed for retries.
pub(super) struct RetryingApplier {
    applier: Arc<dyn DocumentApplier>,
    /// The documents whose last call failed.
    failed: BTreeMap<Key, FailedDocument>,
    /// The key of the document that was retried last. The next retry continues after it, so that documents
    /// that always fail do not block the others.
    last_retried: Option<Key>,
}

impl RetryingApplier {
    pub(super) fn new(applier: Arc<dyn DocumentApplier>) -> Self {
        Self { applier, failed: BTreeMap::new(), last_retried: None }
    }

    /// Whether any document has failed and not been applied since.
    pub(super) fn has_failed(&self) -> bool {
        !self.failed.is_empty()
    }

    /// The number of failed documents.
    pub(super) fn failed_count(&self) -> usize {
        self.failed.len()
    }

    /// The failed documents in the order of their keys, at most [`MAX_UNAPPLIED_LISTED`].
    pub(super) fn list_failed(&self) -> Vec<Unapplied> {
        let listed = self.failed.iter().take(MAX_UNAPPLIED_LISTED);
        listed
            .map(|(key, failed)| Unapplied {
                key: key.clone(),
                version: failed.document.version,
                reason: failed.reason.clone(),
            })
            .collect()
    }

    /// Applies all documents. After a timeout the remaining ones count as failed without a call.
    pub(super) async fn apply_all(&mut self, documents: &[Document]) {
        let mut has_timed_out = false;
        for (index, document) in documents.iter().enumerate() {
            if index % DOCUMENTS_PER_YIELD == DOCUMENTS_PER_YIELD - 1 {
                yield_now().await;
            }
            if has_timed_out {
                self.record_failure(document, &ApplyError::Timeout);
            } else {
                has_timed_out = self.apply(document).await.is_err();
            }
        }
    }

    /// Retries failed documents until one times out, at most [`MAX_RETRIES_PER_TICK`].
    pub(super) async fn retry(&mut self) {
        for document in self.next_retries() {
            self.last_retried = Some(document.key.clone());
            if self.apply(&document).await.is_err() {
                return;
            }
        }
    }

    /// The failed documents after the last retried one, then those before it.
    fn next_retries(&self) -> Vec<Document> {
        let Some(last) = &self.last_retried else {
            let failed = self.failed.values().take(MAX_RETRIES_PER_TICK);
            return failed.map(|failed| failed.document.clone()).collect();
        };
        let after = self.failed.range::<Key, _>((Bound::Excluded(last), Bound::Unbounded));
        let up_to = self.failed.range::<Key, _>((Bound::Unbounded, Bound::Included(last)));
        let retries = after.chain(up_to).take(MAX_RETRIES_PER_TICK);
        retries.map(|(_, failed)| failed.document.clone()).collect()
    }

    /// Applies one document, and records a failure. Only a timeout is returned as an error.
    async fn apply(&mut self, document: &Document) -> Result<(), TimedOut> {
        match timeout(APPLY_TIMEOUT, self.applier.apply(document)).await {
            Ok(Ok(())) => {
                self.failed.remove(&document.key);
                Ok(())
            }
            Ok(Err(not_applied)) => {
                self.record_failure(document, &not_applied.into());
                Ok(())
            }
            Err(_) => {
                self.record_failure(document, &ApplyError::Timeout);
                Err(TimedOut)
            }
        }
    }

    fn record_failure(&mut self, document: &Document, error: &ApplyError) {
        let reason = truncate_reason(error.to_string());
        if !self.failed.contains_key(&document.key) {
            let Document { key, version, .. } = document;
            tracing::warn!(event = "document_not_applied", ?key, %version, reason);
        }
        self.failed.insert(document.key.clone(), FailedDocument { document: document.clone(), reason });
    }
}

/// Error: the engine did not answer within [`APPLY_TIMEOUT`].
struct TimedOut;
