//! Assembles a snapshot from its parts.

use stepspur_proto::v1;

use crate::document::{Document, DocumentError};
use crate::version::{Version, version_of};

/// Documents of a snapshot, at most.
pub(super) const MAX_SNAPSHOT_DOCUMENTS: usize = 65_536;

/// Why a part is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SnapshotError {
    /// The part does not continue the snapshot in progress.
    #[error(
        "part {found} of the snapshot of {version} came where part {expected} of {expected_version} was due"
    )]
    OutOfOrder { found: u32, version: Version, expected: u32, expected_version: Version },
    /// The snapshot has too many documents.
    #[error("a snapshot of more than {MAX_SNAPSHOT_DOCUMENTS} documents")]
    TooLarge,
    /// A document is invalid.
    #[error("a document of a snapshot: {0}")]
    InvalidDocument(#[from] DocumentError),
}

/// A complete snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Snapshot {
    pub(super) version: Version,
    pub(super) documents: Vec<Document>,
}

/// Collects the parts of a snapshot.
#[derive(Debug, Default)]
pub(super) struct SnapshotAssembler {
    in_progress: Option<Snapshot>,
    next_part: u32,
}

impl SnapshotAssembler {
    /// Whether a snapshot has begun and is not complete.
    pub(super) fn is_in_progress(&self) -> bool {
        self.in_progress.is_some()
    }

    /// Adds a part. Part 0 begins a new snapshot; the last part returns it.
    ///
    /// # Errors
    /// [`SnapshotError`]; the parts before are discarded.
    pub(super) fn add(&mut self, part: v1::ConfigSnapshotPart) -> Result<Option<Snapshot>, SnapshotError> {
        let version = version_of(part.version);
        let mut snapshot = self.take_matching(part.part, version)?;
        if snapshot.documents.len() + part.documents.len() > MAX_SNAPSHOT_DOCUMENTS {
            return Err(SnapshotError::TooLarge);
        }
        for document in part.documents {
            snapshot.documents.push(document.try_into()?);
        }
        if part.last {
            return Ok(Some(snapshot));
        }
        self.next_part = part.part.saturating_add(1);
        self.in_progress = Some(snapshot);
        Ok(None)
    }

    /// Takes the snapshot that this part continues.
    fn take_matching(&mut self, part: u32, version: Version) -> Result<Snapshot, SnapshotError> {
        let in_progress = self.in_progress.take();
        if part == 0 {
            return Ok(Snapshot { version, documents: Vec::new() });
        }
        let expected_version = in_progress.as_ref().map_or(Version::NONE, |snapshot| snapshot.version);
        match in_progress {
            Some(snapshot) if part == self.next_part && version == snapshot.version => Ok(snapshot),
            _ => Err(SnapshotError::OutOfOrder {
                found: part,
                version,
                expected: self.next_part,
                expected_version,
            }),
        }
    }
}

#[cfg(test)]
mod tests;
