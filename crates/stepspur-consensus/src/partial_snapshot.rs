//! A snapshot that is being received in chunks (Raft paper 7).

use bytes::{Bytes, BytesMut};

use crate::ids::LogPosition;

/// The chunks of a snapshot that were received so far, without gaps from its start.
#[derive(Clone, Debug)]
pub(crate) struct PartialSnapshot {
    last_included: LogPosition,
    bytes: BytesMut,
}

impl PartialSnapshot {
    /// Creates a snapshot without any chunk.
    pub(crate) fn new(last_included: LogPosition) -> Self {
        Self { last_included, bytes: BytesMut::new() }
    }

    /// Returns the position of the last entry that the snapshot covers.
    pub(crate) fn last_included(&self) -> LogPosition {
        self.last_included
    }

    /// Returns the number of received bytes, which is also the offset of the next chunk.
    pub(crate) fn size(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Adds the next chunk.
    pub(crate) fn append(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// Returns the bytes of all chunks.
    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}
