//! Conversion of log entries, log positions and voter sets to and from the schema.

use stepspur_consensus::{Entry, Index, LogPosition, MemberId, Payload, Term, Voters};
use stepspur_proto::v1::{self, peer_entry};

use super::error::{InvalidPeerMessage, PeerField};

pub(super) fn encode_position(position: LogPosition) -> Option<v1::PeerPlace> {
    Some(v1::PeerPlace { index: position.index.0, term: position.term.0 })
}

pub(super) fn decode_position(
    position: Option<v1::PeerPlace>,
    field: PeerField,
) -> Result<LogPosition, InvalidPeerMessage> {
    let position = position.ok_or(InvalidPeerMessage::Missing(field))?;
    Ok(LogPosition { term: Term(position.term), index: Index(position.index) })
}

pub(super) fn encode_voters(voters: &Voters) -> v1::PeerVoters {
    v1::PeerVoters { members: voters.iter().map(|voter| voter.0).collect() }
}

pub(super) fn decode_voters(voters: v1::PeerVoters) -> Voters {
    voters.members.into_iter().map(MemberId).collect()
}

pub(super) fn encode_entries(entries: Vec<Entry>) -> Vec<v1::PeerEntry> {
    entries.into_iter().map(encode_entry).collect()
}

pub(super) fn decode_entries(entries: Vec<v1::PeerEntry>) -> Result<Vec<Entry>, InvalidPeerMessage> {
    entries.into_iter().map(decode_entry).collect()
}

fn encode_entry(entry: Entry) -> v1::PeerEntry {
    let position = encode_position(entry.position());
    let payload = match entry.payload {
        Payload::Empty => peer_entry::Payload::Nothing(v1::PeerNothing {}),
        Payload::Voters(voters) => peer_entry::Payload::Voters(encode_voters(&voters)),
        Payload::Command(command) => peer_entry::Payload::Command(command),
    };
    v1::PeerEntry { place: position, payload: Some(payload) }
}

fn decode_entry(entry: v1::PeerEntry) -> Result<Entry, InvalidPeerMessage> {
    let LogPosition { term, index } = decode_position(entry.place, PeerField::EntryPosition)?;
    let payload = match entry.payload.ok_or(InvalidPeerMessage::Missing(PeerField::EntryPayload))? {
        peer_entry::Payload::Nothing(_) => Payload::Empty,
        peer_entry::Payload::Voters(voters) => Payload::Voters(decode_voters(voters)),
        peer_entry::Payload::Command(command) => Payload::Command(command),
    };
    Ok(Entry { index, term, payload })
}
