//! A snapshot on its way: its parts, until the last has come.

use stepspur_proto::v1;

use crate::document::{Document, DocumentError};
use crate::version::{Version, version_of};

/// Documents of a snapshot at most.
pub(crate) const SNAPSHOT_DOCUMENTS_MOST: usize = 65_536;

/// What is wrong with a part.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SnapshotFault {
    #[error("part {found} of the snapshot of {version} came where part {expected} of {under_way} was due")]
    OutOfOrder { found: u32, version: Version, expected: u32, under_way: Version },
    #[error("a snapshot of more than {SNAPSHOT_DOCUMENTS_MOST} documents")]
    TooLarge,
    #[error("a document of a snapshot: {0}")]
    Document(#[from] DocumentError),
}

/// A whole snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) documents: Vec<Document>,
}

/// The parts that have come.
#[derive(Debug, Default)]
pub(crate) struct Parts {
    under_way: Option<Snapshot>,
    next: u32,
}

impl Parts {
    /// True: a snapshot has begun and not ended.
    pub(crate) fn is_under_way(&self) -> bool {
        self.under_way.is_some()
    }

    /// Takes a part. Part 0 begins anew; the last one gives the snapshot.
    pub(crate) fn add(&mut self, part: v1::ConfigSnapshotPart) -> Result<Option<Snapshot>, SnapshotFault> {
        let version = version_of(part.version);
        let mut snapshot = self.matching(part.part, version)?;
        if snapshot.documents.len() + part.documents.len() > SNAPSHOT_DOCUMENTS_MOST {
            return Err(SnapshotFault::TooLarge);
        }
        for document in part.documents {
            snapshot.documents.push(document.try_into()?);
        }
        if part.last {
            return Ok(Some(snapshot));
        }
        self.next = part.part.saturating_add(1);
        self.under_way = Some(snapshot);
        Ok(None)
    }

    /// The snapshot that this part goes on with.
    fn matching(&mut self, part: u32, version: Version) -> Result<Snapshot, SnapshotFault> {
        if part == 0 {
            self.under_way = None;
            return Ok(Snapshot { version, documents: Vec::new() });
        }
        let under_way = self.under_way.as_ref().map_or(Version::NONE, |snapshot| snapshot.version);
        let fault = SnapshotFault::OutOfOrder { found: part, version, expected: self.next, under_way };
        match self.under_way.take() {
            Some(snapshot) if part == self.next && version == snapshot.version => Ok(snapshot),
            _ => Err(fault),
        }
    }
}

#[cfg(test)]
mod tests;
