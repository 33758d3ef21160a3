//! Why a frame holds no valid message.

use std::fmt;

/// Why a frame holds no valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPeerMessage {
    /// A field is missing.
    #[error("a message without its {0}")]
    Missing(PeerField),
    /// A field's value is impossible.
    #[error("a message with an impossible {0}")]
    OutOfRange(PeerField),
}

/// A field of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerField {
    /// The kind of message.
    Kind,
    /// The position of a log's last entry.
    LastLog,
    /// The position of an entry.
    EntryPosition,
    /// The payload of an entry.
    EntryPayload,
    /// The position of the entry before those sent.
    Previous,
    /// The position of a snapshot's last entry.
    LastIncluded,
    /// The voters of a snapshot.
    Voters,
    /// A member's weight.
    Weight,
}

impl fmt::Display for PeerField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerField::Kind => "kind",
            PeerField::LastLog => "log's end",
            PeerField::EntryPosition => "entry's place",
            PeerField::EntryPayload => "entry's payload",
            PeerField::Previous => "place before",
            PeerField::LastIncluded => "snapshot's place",
            PeerField::Voters => "voters",
            PeerField::Weight => "weight",
        })
    }
}
