//! Raft's messages in the schema.

use stepspur_consensus::{
    AppendEntries, AppendEntriesResponse, Index, InstallSnapshot, InstallSnapshotResponse, LogPosition,
    Message, Term,
};
use stepspur_proto::v1::{self, from_peer::Kind};

use super::entry::{
    decode_entries, decode_position, decode_voters, encode_entries, encode_position, encode_voters,
};
use super::error::{InvalidPeerMessage, PeerField};

pub(super) fn encode(message: Message) -> Kind {
    match message {
        Message::PreVoteRequest { term, last_log } => Kind::PreVote(ballot(term, last_log, false)),
        Message::PreVoteResponse { term, granted } => Kind::PreVoted(verdict(term, granted)),
        Message::VoteRequest { term, last_log, leadership_transfer } => {
            Kind::Vote(ballot(term, last_log, leadership_transfer))
        }
        Message::VoteResponse { term, granted } => Kind::Voted(verdict(term, granted)),
        Message::AppendEntries(append) => Kind::Append(encode_append(append)),
        Message::AppendEntriesResponse(response) => Kind::Appended(encode_append_response(&response)),
        Message::InstallSnapshot(part) => Kind::Snapshot(encode_snapshot(part)),
        Message::InstallSnapshotResponse(response) => {
            Kind::SnapshotTaken(encode_snapshot_response(&response))
        }
        Message::TimeoutNow { term } => Kind::Stand(v1::PeerStand { term: term.0 }),
    }
}

fn ballot(term: Term, last_log: LogPosition, handed: bool) -> v1::PeerBallot {
    v1::PeerBallot { term: term.0, last: encode_position(last_log), handed }
}

fn verdict(term: Term, granted: bool) -> v1::PeerVerdict {
    v1::PeerVerdict { term: term.0, granted }
}

pub(super) fn decode_pre_vote_request(ballot: &v1::PeerBallot) -> Result<Message, InvalidPeerMessage> {
    let last_log = decode_position(ballot.last, PeerField::LastLog)?;
    Ok(Message::PreVoteRequest { term: Term(ballot.term), last_log })
}

pub(super) fn decode_pre_vote_response(verdict: &v1::PeerVerdict) -> Message {
    Message::PreVoteResponse { term: Term(verdict.term), granted: verdict.granted }
}

pub(super) fn decode_vote_request(ballot: &v1::PeerBallot) -> Result<Message, InvalidPeerMessage> {
    let last_log = decode_position(ballot.last, PeerField::LastLog)?;
    Ok(Message::VoteRequest { term: Term(ballot.term), last_log, leadership_transfer: ballot.handed })
}

pub(super) fn decode_vote_response(verdict: &v1::PeerVerdict) -> Message {
    Message::VoteResponse { term: Term(verdict.term), granted: verdict.granted }
}

fn encode_append(append: AppendEntries) -> v1::PeerAppend {
    v1::PeerAppend {
        term: append.term.0,
        previous: encode_position(append.previous),
        entries: encode_entries(append.entries),
        commit: append.commit.0,
        round: append.round,
    }
}

pub(super) fn decode_append(append: v1::PeerAppend) -> Result<Message, InvalidPeerMessage> {
    Ok(Message::AppendEntries(AppendEntries {
        term: Term(append.term),
        previous: decode_position(append.previous, PeerField::Previous)?,
        entries: decode_entries(append.entries)?,
        commit: Index(append.commit),
        round: append.round,
    }))
}

fn encode_append_response(response: &AppendEntriesResponse) -> v1::PeerAppended {
    v1::PeerAppended {
        term: response.term.0,
        round: response.round,
        matched: response.matched,
        index: response.index.0,
    }
}

pub(super) fn decode_append_response(response: &v1::PeerAppended) -> Message {
    Message::AppendEntriesResponse(AppendEntriesResponse {
        term: Term(response.term),
        round: response.round,
        matched: response.matched,
        index: Index(response.index),
    })
}

fn encode_snapshot(part: InstallSnapshot) -> v1::PeerSnapshot {
    v1::PeerSnapshot {
        term: part.term.0,
        covers: encode_position(part.last_included),
        voters: Some(encode_voters(&part.voters)),
        offset: part.offset,
        part: part.bytes,
        last: part.done,
        round: part.round,
    }
}

pub(super) fn decode_snapshot(part: v1::PeerSnapshot) -> Result<Message, InvalidPeerMessage> {
    let last_included = decode_position(part.covers, PeerField::LastIncluded)?;
    let voters = part.voters.ok_or(InvalidPeerMessage::Missing(PeerField::Voters))?;
    Ok(Message::InstallSnapshot(InstallSnapshot {
        term: Term(part.term),
        last_included,
        voters: decode_voters(voters),
        offset: part.offset,
        bytes: part.part,
        done: part.last,
        round: part.round,
    }))
}

fn encode_snapshot_response(response: &InstallSnapshotResponse) -> v1::PeerSnapshotTaken {
    v1::PeerSnapshotTaken {
        term: response.term.0,
        covers: response.last_included.0,
        next: response.next_offset,
        round: response.round,
    }
}

pub(super) fn decode_snapshot_response(response: &v1::PeerSnapshotTaken) -> Message {
    Message::InstallSnapshotResponse(InstallSnapshotResponse {
        term: Term(response.term),
        last_included: Index(response.covers),
        next_offset: response.next,
        round: response.round,
    })
}

pub(super) fn decode_timeout_now(stand: &v1::PeerStand) -> Message {
    Message::TimeoutNow { term: Term(stand.term) }
}
