//! Raft's RPCs as messages between members (Raft paper, figures 2 and 13; Raft thesis 9.6 and 3.10).

use bytes::Bytes;

use crate::ids::{Index, LogPosition, Term};
use crate::raft_log::{Entry, Voters};

/// A Raft message from one member to another. `term` is the sender's term unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender. No term changes by it (Raft thesis 9.6).
    PreVoteRequest {
        /// The term of the election that the sender would start.
        term: Term,
        /// The last entry of the sender's log.
        last_log: LogPosition,
    },
    /// The response to [`Message::PreVoteRequest`].
    PreVoteResponse {
        /// The term of the request if granted, otherwise the sender's current term.
        term: Term,
        /// Whether the sender would vote for the pre-candidate.
        granted: bool,
    },
    /// Requests a vote (RequestVote RPC, Raft paper 5.2 and 5.4).
    VoteRequest {
        /// The candidate's term.
        term: Term,
        /// The last entry of the candidate's log.
        last_log: LogPosition,
        /// True if the leader transferred its leadership to the candidate (Raft thesis 3.10). Receivers then
        /// do not ignore the request although they have a live leader (Raft thesis 4.2.3).
        leadership_transfer: bool,
    },
    /// The response to [`Message::VoteRequest`].
    VoteResponse {
        /// The sender's term.
        term: Term,
        /// Whether the sender votes for the candidate.
        granted: bool,
    },
    /// Entries of a leader's log, or a heartbeat (Raft paper 5.3).
    AppendEntries(AppendEntries),
    /// The response to [`Message::AppendEntries`].
    AppendEntriesResponse(AppendEntriesResponse),
    /// A chunk of a leader's snapshot (Raft paper 7).
    InstallSnapshot(InstallSnapshot),
    /// The response to [`Message::InstallSnapshot`].
    InstallSnapshotResponse(InstallSnapshotResponse),
    /// Makes the receiver start an election at once: the leader transfers its leadership (Raft thesis 3.10).
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// Entries of a leader's log; a heartbeat if it has no entries (Raft paper 5.3).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// The position of the entry before the first one sent (`prevLogIndex` and `prevLogTerm`).
    pub previous: LogPosition,
    /// The entries after `previous`, in the order of the log.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// The number of the leader's current heartbeat round. A response with this number shows that the sender
    /// was the leader when it started the round, which confirms read requests (Raft thesis 6.4).
    pub round: u64,
}

/// The response to [`AppendEntries`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendEntriesResponse {
    /// The sender's term.
    pub term: Term,
    /// The heartbeat round of the request.
    pub round: u64,
    /// Whether the sender's log contains the request's `previous` entry.
    pub success: bool,
    /// If `success`, the last entry known to match the leader's log, otherwise the entry after which the
    /// leader sends next.
    pub index: Index,
}

/// A chunk of a leader's snapshot, for a member that needs entries which the leader has compacted (Raft paper
/// 7).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// The last entry that the snapshot covers.
    pub last_included: LogPosition,
    /// The voters as of `last_included`.
    pub voters: Voters,
    /// The offset of this chunk in the snapshot, in bytes.
    pub offset: u64,
    /// The bytes of this chunk.
    pub data: Bytes,
    /// True for the last chunk.
    pub done: bool,
    /// The number of the leader's current heartbeat round, as in [`AppendEntries::round`].
    pub round: u64,
}

/// The response to [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstallSnapshotResponse {
    /// The sender's term.
    pub term: Term,
    /// The last entry that the snapshot covers.
    pub last_included: Index,
    /// The offset of the next chunk, in bytes; greater than the snapshot's size once it is complete.
    pub next_offset: u64,
    /// The heartbeat round of the request.
    pub round: u64,
}

impl Message {
    /// Returns the sender's term; `None` if the message holds a term that the sender has not entered, as in a
    /// pre-vote.
    pub fn term(&self) -> Option<Term> {
        match self {
            Message::PreVoteRequest { .. } | Message::PreVoteResponse { granted: true, .. } => None,
            Message::PreVoteResponse { term, .. }
            | Message::VoteRequest { term, .. }
            | Message::VoteResponse { term, .. }
            | Message::TimeoutNow { term } => Some(*term),
            Message::AppendEntries(append) => Some(append.term),
            Message::AppendEntriesResponse(response) => Some(response.term),
            Message::InstallSnapshot(chunk) => Some(chunk.term),
            Message::InstallSnapshotResponse(response) => Some(response.term),
        }
    }
}
