//! The messages and frames of the stepspur protocols: between a conductor and its proxies, between
//! conductors, and between control members and subscribers.
//!
//! A frame consists of a big-endian length of four bytes and a body of that length, which is one protobuf
//! message; between conductor and proxy [`FromProxy`] one way and [`FromConductor`] the other.
//! `docs/protocol.md` specifies that protocol and shows encoded frames. This crate does no I/O: [`Frames`] is
//! a codec for `tokio_util::codec::Framed`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod address;
mod frame;

pub use address::{InvalidAddress, server_address};
pub use frame::{
    DEFAULT_MAX_FRAME_BYTES, FrameError, Frames, IncompleteFrame, LENGTH_FIELD_BYTES, decode_frame,
    encode_frame,
};

/// The message types that are generated from `proto/proxy.proto`.
#[allow(missing_docs, clippy::doc_lazy_continuation)]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/stepspur.proxy.v1.rs"));
}

pub use v1::{
    FromConductor, FromControl, FromPeer, FromProxy, FromSubscriber, from_conductor, from_control, from_peer,
    from_proxy, from_subscriber,
};

/// The protocol version that this crate implements.
pub const VERSION: u32 = 1;

impl FromProxy {
    /// Creates a frame of this kind, with the epoch and the sequence number of the newest order.
    pub fn new(epoch: u64, sequence: u64, kind: from_proxy::Kind) -> Self {
        Self { epoch, sequence, kind: Some(kind) }
    }
}

impl FromConductor {
    /// Creates a frame of this kind, with the epoch and the sequence number of the newest order.
    pub fn new(epoch: u64, sequence: u64, kind: from_conductor::Kind) -> Self {
        Self { epoch, sequence, kind: Some(kind) }
    }

    /// Creates the last frame of a conductor, without a minimum time before the proxy reconnects.
    pub fn go_away(epoch: u64, sequence: u64, reason: v1::Reason, detail: impl Into<String>) -> Self {
        let goodbye = v1::Goodbye { reason: reason.into(), detail: detail.into(), retry_after_us: 0 };
        Self::new(epoch, sequence, from_conductor::Kind::Goodbye(goodbye))
    }
}

impl v1::Order {
    /// The size of the order in lines, as the model of the channel counts it, without the message head: one
    /// for each line, level and withdrawal, one for a complete table, one for a mark.
    pub fn line_count(&self) -> usize {
        let table = |t: &v1::Table| 1 + t.lines.len() + t.levels.len() + t.withdrawals.len();
        let whole = self.table.as_ref().map_or(0, table);
        let changes = self.lines.len() + self.levels.len() + self.withdrawals.len();
        whole + changes + usize::from(self.mark.is_some())
    }
}
