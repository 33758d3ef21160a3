//! Assembles a snapshot from the parts that a control member sends.

use stepspur_proto::v1;

use crate::document::{Document, DocumentError};
use crate::version::{Version, version_of};

/// Maximum number of documents in a snapshot. It bounds the memory for parts that are not yet stored.
pub(super) const MAX_SNAPSHOT_DOCUMENTS: usize = 65_536;

/// Why a part is rejected. It ends the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SnapshotError {
    /// The part does not continue the snapshot in progress.
    #[error(
        "received part {found} of the snapshot of {version}, expected part {expected} of {expected_version}"
    )]
    OutOfOrder { found: u32, version: Version, expected: u32, expected_version: Version },
    /// The snapshot has too many documents.
    #[error("the snapshot has more than {MAX_SNAPSHOT_DOCUMENTS} documents")]
    TooLarge,
    /// A document is invalid.
    #[error("invalid document in a snapshot: {0}")]
    InvalidDocument(#[from] DocumentError),
}

/// All documents of the interest as of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Snapshot {
    pub(super) version: Version,
    pub(super) documents: Vec<Document>,
}

/// Collects the parts of one snapshot at a time.
#[derive(Debug, Default)]
pub(super) struct SnapshotAssembler {
    in_progress: Option<Snapshot>,
    /// The number of the next part, if a snapshot is in progress.
    next_part: u32,
}

impl SnapshotAssembler {
    /// Whether a snapshot has begun and is not complete.
    pub(super) fn is_in_progress(&self) -> bool {
        self.in_progress.is_some()
    }

    /// Adds a part. Part 0 begins a new snapshot and discards an incomplete one. Returns the snapshot with
    /// its last part.
    ///
    /// # Errors
    /// [`SnapshotError`]; earlier parts are discarded.
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

    /// Takes the snapshot that this part continues, or a new one for part 0.
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
