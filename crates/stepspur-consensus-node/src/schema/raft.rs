//! Conversion of Raft's messages to and from the schema.

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
        Message::PreVoteRequest { term, last_log } => {
            Kind::PreVote(encode_vote_request(term, last_log, false))
        }
        Message::PreVoteResponse { term, granted } => Kind::PreVoted(encode_vote_response(term, granted)),
        Message::VoteRequest { term, last_log, leadership_transfer } => {
            Kind::Vote(encode_vote_request(term, last_log, leadership_transfer))
        }
        Message::VoteResponse { term, granted } => Kind::Voted(encode_vote_response(term, granted)),
        Message::AppendEntries(append) => Kind::Append(encode_append(append)),
        Message::AppendEntriesResponse(response) => Kind::Appended(encode_append_response(&response)),
        Message::InstallSnapshot(chunk) => Kind::Snapshot(encode_snapshot(chunk)),
        Message::InstallSnapshotResponse(response) => {
            Kind::SnapshotTaken(encode_snapshot_response(&response))
        }
        Message::TimeoutNow { term } => Kind::Stand(v1::PeerStand { term: term.0 }),
    }
}

/// Encodes a vote or pre-vote request.
fn encode_vote_request(term: Term, last_log: LogPosition, leadership_transfer: bool) -> v1::PeerBallot {
    v1::PeerBallot { term: term.0, last: encode_position(last_log), handed: leadership_transfer }
}

/// Encodes the response to a vote or pre-vote request.
fn encode_vote_response(term: Term, granted: bool) -> v1::PeerVerdict {
    v1::PeerVerdict { term: term.0, granted }
}

pub(super) fn decode_pre_vote_request(request: &v1::PeerBallot) -> Result<Message, InvalidPeerMessage> {
    let last_log = decode_position(request.last, PeerField::LastLog)?;
    Ok(Message::PreVoteRequest { term: Term(request.term), last_log })
}

pub(super) fn decode_pre_vote_response(response: &v1::PeerVerdict) -> Message {
    Message::PreVoteResponse { term: Term(response.term), granted: response.granted }
}

pub(super) fn decode_vote_request(request: &v1::PeerBallot) -> Result<Message, InvalidPeerMessage> {
    let last_log = decode_position(request.last, PeerField::LastLog)?;
    Ok(Message::VoteRequest { term: Term(request.term), last_log, leadership_transfer: request.handed })
}

pub(super) fn decode_vote_response(response: &v1::PeerVerdict) -> Message {
    Message::VoteResponse { term: Term(response.term), granted: response.granted }
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
        matched: response.success,
        index: response.index.0,
    }
}

pub(super) fn decode_append_response(response: &v1::PeerAppended) -> Message {
    Message::AppendEntriesResponse(AppendEntriesResponse {
        term: Term(response.term),
        round: response.round,
        success: response.matched,
        index: Index(response.index),
    })
}

fn encode_snapshot(chunk: InstallSnapshot) -> v1::PeerSnapshot {
    v1::PeerSnapshot {
        term: chunk.term.0,
        covers: encode_position(chunk.last_included),
        voters: Some(encode_voters(&chunk.voters)),
        offset: chunk.offset,
        part: chunk.data,
        last: chunk.done,
        round: chunk.round,
    }
}

pub(super) fn decode_snapshot(chunk: v1::PeerSnapshot) -> Result<Message, InvalidPeerMessage> {
    let last_included = decode_position(chunk.covers, PeerField::LastIncluded)?;
    let voters = chunk.voters.ok_or(InvalidPeerMessage::Missing(PeerField::Voters))?;
    Ok(Message::InstallSnapshot(InstallSnapshot {
        term: Term(chunk.term),
        last_included,
        voters: decode_voters(voters),
        offset: chunk.offset,
        data: chunk.part,
        done: chunk.last,
        round: chunk.round,
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

pub(super) fn decode_timeout_now(timeout_now: &v1::PeerStand) -> Message {
    Message::TimeoutNow { term: Term(timeout_now.term) }
}
