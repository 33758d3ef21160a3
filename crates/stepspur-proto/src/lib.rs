//! The protocol between a stepspur conductor and its proxies.
//!
//! Frames are four bytes of length, most significant first, and so many bytes of one protobuf message:
//! [`FromProxy`] one way, [`FromConductor`] the other. `docs/protocol.md` words the rules and shows bytes.
//! This crate knows no socket: [`Frames`] is a codec for `tokio_util::codec::Framed`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod address;
mod frame;

pub use address::{BadAddress, address_of};
pub use frame::{FrameError, Frames, HEADER, LARGEST_FRAME, frame, split_frame};

/// The messages, as the schema words them.
#[allow(missing_docs, clippy::doc_lazy_continuation)]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/stepspur.proxy.v1.rs"));
}

pub use v1::{
    FromConductor, FromControl, FromPeer, FromProxy, FromSubscriber, from_conductor, from_control, from_peer,
    from_proxy, from_subscriber,
};

/// The version of the protocol that this crate speaks.
pub const VERSION: u32 = 1;

impl FromProxy {
    /// A frame of this kind.
    pub fn new(epoch: u64, sequence: u64, kind: from_proxy::Kind) -> Self {
        Self { epoch, sequence, kind: Some(kind) }
    }
}

impl FromConductor {
    /// A frame of this kind.
    pub fn new(epoch: u64, sequence: u64, kind: from_conductor::Kind) -> Self {
        Self { epoch, sequence, kind: Some(kind) }
    }

    /// The last frame of a conductor.
    pub fn goodbye(epoch: u64, sequence: u64, reason: v1::Reason, detail: impl Into<String>) -> Self {
        let goodbye = v1::Goodbye { reason: reason.into(), detail: detail.into(), retry_after_us: 0 };
        Self::new(epoch, sequence, from_conductor::Kind::Goodbye(goodbye))
    }
}

impl v1::Order {
    /// Lines that the order counts in the channel, without its head: one for each line, level and withdrawal,
    /// one for a whole table, one for a mark.
    pub fn cost(&self) -> usize {
        let table = |t: &v1::Table| 1 + t.lines.len() + t.levels.len() + t.withdrawals.len();
        let whole = self.table.as_ref().map_or(0, table);
        let changes = self.lines.len() + self.levels.len() + self.withdrawals.len();
        whole + changes + usize::from(self.mark.is_some())
    }
}
