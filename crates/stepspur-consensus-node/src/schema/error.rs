//! The errors of decoding a message from a peer.

use std::fmt;

/// Why a frame does not contain a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPeerMessage {
    /// A required field is missing.
    #[error("message without the required field: {0}")]
    Missing(PeerField),
    /// The value of a field is out of its range.
    #[error("message with a field out of range: {0}")]
    OutOfRange(PeerField),
}

/// The fields of messages that decoding checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerField {
    /// The kind of the message with its content.
    Kind,
    /// The position of the candidate's last log entry in a (pre-)vote request.
    LastLog,
    /// The position of a log entry.
    EntryPosition,
    /// The payload of a log entry.
    EntryPayload,
    /// The position of the entry before the first new one in AppendEntries.
    Previous,
    /// The position of the last entry that a snapshot replaces.
    LastIncluded,
    /// The voters as of a snapshot's last entry.
    Voters,
    /// The sender's weight in a lease renewal: finite, 0 or more.
    Weight,
}

impl fmt::Display for PeerField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerField::Kind => "kind",
            PeerField::LastLog => "last log position",
            PeerField::EntryPosition => "entry position",
            PeerField::EntryPayload => "entry payload",
            PeerField::Previous => "previous log position",
            PeerField::LastIncluded => "snapshot position",
            PeerField::Voters => "voters",
            PeerField::Weight => "weight",
        })
    }
}
