//! Converts messages between members to and from the Protobuf schema. Rejects invalid messages.
//!
//! The schema keeps the names of earlier versions for compatibility. Only this module uses them.

use stepspur_consensus::{MemberId, PeerMessage};
use stepspur_proto::v1::{self, from_peer::Kind};

mod entry;
mod error;
mod member;
mod raft;

pub use error::{InvalidPeerMessage, PeerField};

/// A message with its sender and its receiver: the unit that is sent over a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerFrame {
    /// The sender, as it states itself: connections are not authenticated yet.
    pub from: MemberId,
    /// The receiver. A member closes the connection if it receives a frame addressed to another.
    pub to: MemberId,
    /// The content.
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
        Kind::PreVote(request) => PeerMessage::Raft(raft::decode_pre_vote_request(&request)?),
        Kind::PreVoted(response) => PeerMessage::Raft(raft::decode_pre_vote_response(&response)),
        Kind::Vote(request) => PeerMessage::Raft(raft::decode_vote_request(&request)?),
        Kind::Voted(response) => PeerMessage::Raft(raft::decode_vote_response(&response)),
        Kind::Append(append) => PeerMessage::Raft(raft::decode_append(append)?),
        Kind::Appended(response) => PeerMessage::Raft(raft::decode_append_response(&response)),
        Kind::Snapshot(chunk) => PeerMessage::Raft(raft::decode_snapshot(chunk)?),
        Kind::SnapshotTaken(response) => PeerMessage::Raft(raft::decode_snapshot_response(&response)),
        Kind::Stand(timeout_now) => PeerMessage::Raft(raft::decode_timeout_now(&timeout_now)),
        Kind::Renew(renewal) => member::decode_renewal(renewal)?,
        Kind::Renewed(response) => member::decode_renewal_response(&response),
        Kind::Order(proposal) => member::decode_proposal(proposal),
        Kind::Elsewhere(rejected) => member::decode_request_rejected(&rejected),
        Kind::Read(read) => PeerMessage::ReadIndex { request: read.number },
        Kind::ReadAt(response) => member::decode_read_response(&response),
        Kind::Fetch(fetch) => member::decode_fetch(&fetch),
        Kind::Fetched(response) => member::decode_entries(response)?,
        Kind::FetchedState(response) => member::decode_state(response),
    })
}
