//! Raft's messages between voters (paper, figures 2 and 13).

use bytes::Bytes;

use crate::ids::{Index, LogPosition, Term};
use crate::raft_log::{Entry, Voters};

/// A message from one member to another. `term` is the sender's unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender. It changes nobody's term (thesis 9.6).
    PreVoteRequest {
        /// The term of the election that the sender would start.
        term: Term,
        /// The last entry of the sender's log.
        last_log: LogPosition,
    },
    /// The answer.
    PreVoteResponse {
        /// The requested term if granted, otherwise the sender's.
        term: Term,
        /// True: it would vote.
        granted: bool,
    },
    /// Asks for a vote (paper 5.2, 5.4).
    VoteRequest {
        /// The candidate's term.
        term: Term,
        /// The last entry of the candidate's log.
        last_log: LogPosition,
        /// True: the leader transferred its leadership, so that a live leader is no reason to ignore the
        /// request.
        leadership_transfer: bool,
    },
    /// The answer.
    VoteResponse {
        /// The sender's term.
        term: Term,
        /// True: the sender votes for the candidate.
        granted: bool,
    },
    /// A leader's entries, or a heartbeat.
    AppendEntries(AppendEntries),
    /// The answer.
    AppendEntriesResponse(AppendEntriesResponse),
    /// Part of a leader's snapshot.
    InstallSnapshot(InstallSnapshot),
    /// The answer.
    InstallSnapshotResponse(InstallSnapshotResponse),
    /// Start an election at once: the leader transfers its leadership (thesis 3.10).
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// A leader's entries; without entries a heartbeat (paper 5.3).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// The entry before the first of these.
    pub previous: LogPosition,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// The leader's newest heartbeat round. An answer that names it shows that it led when it began the
    /// round.
    pub round: u64,
}

/// The answer to [`AppendEntries`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendEntriesResponse {
    /// The sender's term.
    pub term: Term,
    /// The round that it answers.
    pub round: u64,
    /// True: its log has the entry before those that were sent.
    pub matched: bool,
    /// If `matched`, the last entry known to match, otherwise the entry after which to try again.
    pub index: Index,
}

/// Part of a leader's snapshot, for a member that lacks entries older than the leader's log (paper 7).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// The last entry that the snapshot covers.
    pub last_included: LogPosition,
    /// The voters after that entry.
    pub voters: Voters,
    /// Where this part begins, in bytes.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
    /// True: the last part.
    pub done: bool,
    /// As in [`AppendEntries`].
    pub round: u64,
}

/// The answer to [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstallSnapshotResponse {
    /// The sender's term.
    pub term: Term,
    /// The last entry that the snapshot covers.
    pub last_included: Index,
    /// The next byte to send; beyond the snapshot's size if it was installed.
    pub next_offset: u64,
    /// The round that it answers.
    pub round: u64,
}

impl Message {
    /// The sender's term; none where the message names a term that the sender has not entered.
    pub fn term(&self) -> Option<Term> {
        match self {
            Message::PreVoteRequest { .. } | Message::PreVoteResponse { granted: true, .. } => None,
            Message::PreVoteResponse { term, .. }
            | Message::VoteRequest { term, .. }
            | Message::VoteResponse { term, .. }
            | Message::TimeoutNow { term } => Some(*term),
            Message::AppendEntries(append) => Some(append.term),
            Message::AppendEntriesResponse(response) => Some(response.term),
            Message::InstallSnapshot(part) => Some(part.term),
            Message::InstallSnapshotResponse(response) => Some(response.term),
        }
    }
}
