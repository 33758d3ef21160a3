//! The interface to the engines, which act on the documents.

use stepspur_consensus_node::BoxFuture;

use crate::document::Document;

/// Why a document was not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct DocumentNotApplied {
    /// The reason, which is reported to the control member.
    pub reason: String,
}

impl From<String> for DocumentNotApplied {
    fn from(reason: String) -> Self {
        Self { reason }
    }
}

/// Applies documents to the engines.
pub trait DocumentApplier: Send + Sync + 'static {
    /// Applies one document; one without a setting ends the effect of the earlier one. The same document may
    /// be passed again. No result within two seconds counts as a failure.
    ///
    /// # Errors
    /// [`DocumentNotApplied`]; the earlier document stays in effect then. The call is repeated each second.
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>>;
}
