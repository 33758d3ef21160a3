//! A snapshot that is being received in parts.

use bytes::{Bytes, BytesMut};

use crate::ids::LogPosition;

/// A snapshot of which some parts have come.
#[derive(Clone, Debug)]
pub(crate) struct PartialSnapshot {
    last_included: LogPosition,
    bytes: BytesMut,
}

impl PartialSnapshot {
    /// A snapshot of which no part has come yet.
    pub(crate) fn new(last_included: LogPosition) -> Self {
        Self { last_included, bytes: BytesMut::new() }
    }

    /// The last entry that the snapshot covers.
    pub(crate) fn last_included(&self) -> LogPosition {
        self.last_included
    }

    /// The bytes that have come, which is also the offset of the next part.
    pub(crate) fn size(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Adds the next part.
    pub(crate) fn append(&mut self, part: &[u8]) {
        self.bytes.extend_from_slice(part);
    }

    /// All bytes.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}
