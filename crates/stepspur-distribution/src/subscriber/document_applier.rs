//! The interface through which a subscriber applies documents to the engines.

use stepspur_consensus_node::BoxFuture;

use crate::document::Document;

/// Error of an engine that did not apply a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct DocumentNotApplied {
    /// The reason, which is reported to the control member and shown in the status.
    pub reason: String,
}

impl From<String> for DocumentNotApplied {
    fn from(reason: String) -> Self {
        Self { reason }
    }
}

/// Applies documents to the engines.
pub trait DocumentApplier: Send + Sync + 'static {
    /// Applies one document. A document without a setting removes the earlier one of its key. The call must
    /// be idempotent, as the same document may be passed again. No result within two seconds counts as a
    /// failure.
    ///
    /// # Errors
    /// [`DocumentNotApplied`]: the earlier document stays in effect, and the call is repeated each second.
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>>;
}
