//! Converts messages to the peers' schema and back. Invalid messages are rejected.
//!
//! The schema has the names of earlier versions; they are mapped here and nowhere else.

use stepspur_consensus::{MemberId, PeerMessage};
use stepspur_proto::v1::{self, from_peer::Kind};

mod entry;
mod error;
mod member;
mod raft;

pub use error::{InvalidPeerMessage, PeerField};

/// A message with its sender and its receiver, as a link carries it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerFrame {
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The message.
    pub message: PeerMessage,
}

impl From<PeerFrame> for v1::FromPeer {
    fn from(frame: PeerFrame) -> Self {
        Self { from: frame.from.0, to: frame.to.0, kind: Some(member::encode(frame.message)) }
    }
}

impl TryFrom<v1::FromPeer> for PeerFrame {
    type Error = InvalidPeerMessage;

    fn try_from(frame: v1::FromPeer) -> Result<Self, InvalidPeerMessage> {
        let kind = frame.kind.ok_or(InvalidPeerMessage::Missing(PeerField::Kind))?;
        Ok(Self { from: MemberId(frame.from), to: MemberId(frame.to), message: decode(kind)? })
    }
}

fn decode(kind: Kind) -> Result<PeerMessage, InvalidPeerMessage> {
    Ok(match kind {
        Kind::PreVote(ballot) => PeerMessage::Raft(raft::decode_pre_vote_request(&ballot)?),
        Kind::PreVoted(verdict) => PeerMessage::Raft(raft::decode_pre_vote_response(&verdict)),
        Kind::Vote(ballot) => PeerMessage::Raft(raft::decode_vote_request(&ballot)?),
        Kind::Voted(verdict) => PeerMessage::Raft(raft::decode_vote_response(&verdict)),
        Kind::Append(append) => PeerMessage::Raft(raft::decode_append(append)?),
        Kind::Appended(response) => PeerMessage::Raft(raft::decode_append_response(&response)),
        Kind::Snapshot(part) => PeerMessage::Raft(raft::decode_snapshot(part)?),
        Kind::SnapshotTaken(response) => PeerMessage::Raft(raft::decode_snapshot_response(&response)),
        Kind::Stand(stand) => PeerMessage::Raft(raft::decode_timeout_now(&stand)),
        Kind::Renew(renew) => member::decode_renewal(renew)?,
        Kind::Renewed(renewed) => member::decode_renewal_response(&renewed),
        Kind::Order(order) => member::decode_proposal(order),
        Kind::Elsewhere(elsewhere) => member::decode_not_leader(&elsewhere),
        Kind::Read(read) => PeerMessage::ReadIndex { request: read.number },
        Kind::ReadAt(read_at) => member::decode_read_response(&read_at),
        Kind::Fetch(fetch) => member::decode_fetch(&fetch),
        Kind::Fetched(fetched) => member::decode_entries(fetched)?,
        Kind::FetchedState(fetched) => member::decode_state(fetched),
    })
}
