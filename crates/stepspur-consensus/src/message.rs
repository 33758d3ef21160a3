//! What members write to each other.

use bytes::Bytes;

use crate::ids::{Index, MemberId, Term};
use crate::log::{Entry, Voters};

/// A message from one member to another. `term` is the sender's, where it is told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Would you vote for me in this term? It changes nobody's term (thesis 9.6).
    PreVote {
        /// The term that the sender would stand in.
        term: Term,
        /// Its log's end.
        last: (Index, Term),
    },
    /// The answer.
    PreVoted {
        /// The term that was asked about, or the answerer's if that is higher.
        term: Term,
        /// True: yes.
        granted: bool,
    },
    /// Vote for me (paper 5.2, 5.4).
    Vote {
        /// The sender's term.
        term: Term,
        /// Its log's end.
        last: (Index, Term),
        /// True: the leader handed its place to the sender, so that a leader heard of lately is no reason to refuse.
        handed: bool,
    },
    /// The answer.
    Voted {
        /// The answerer's term.
        term: Term,
        /// True: yes.
        granted: bool,
    },
    /// A leader's entries, or none as a sign of life (paper 5.3).
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first of these.
        previous: (Index, Term),
        /// The entries.
        entries: Vec<Entry>,
        /// What the leader knows to be agreed.
        commit: Index,
        /// Rises with every round of the leader: answers name the newest, which proves that it led when it began it.
        round: u64,
    },
    /// The answer.
    Appended {
        /// The answerer's term.
        term: Term,
        /// The newest round that it heard.
        round: u64,
        /// True: its log holds what came before; then `index` is the last that matches. False: it does not; then
        /// `index` is where to begin again.
        matched: bool,
        /// See `matched`.
        index: Index,
    },
    /// Part of a leader's snapshot, for one who is behind its log (paper 7).
    Snapshot {
        /// The leader's term.
        term: Term,
        /// The last entry that it covers, and that one's term.
        covers: (Index, Term),
        /// Who votes after it.
        voters: Voters,
        /// Where this part begins.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
        /// True: the last part.
        last: bool,
        /// As with [`Message::Append`].
        round: u64,
    },
    /// The answer.
    SnapshotTaken {
        /// The answerer's term.
        term: Term,
        /// The snapshot's last entry.
        covers: Index,
        /// The next byte that it wants.
        next: u64,
        /// The newest round that it heard.
        round: u64,
    },
    /// Stand for election at once (thesis 3.10).
    Stand {
        /// The leader's term.
        term: Term,
    },
}

impl Message {
    /// The sender's term; none where it only asks about one.
    pub fn term(&self) -> Option<Term> {
        match self {
            Message::PreVote { .. } | Message::PreVoted { granted: true, .. } => None,
            Message::PreVoted { term, .. }
            | Message::Vote { term, .. }
            | Message::Voted { term, .. }
            | Message::Append { term, .. }
            | Message::Appended { term, .. }
            | Message::Snapshot { term, .. }
            | Message::SnapshotTaken { term, .. }
            | Message::Stand { term } => Some(*term),
        }
    }
}

/// Something that happened in the council, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// It stands for election.
    Stands {
        /// In this term.
        term: Term,
        /// Why.
        why: &'static str,
    },
    /// It leads.
    Leads {
        /// In this term.
        term: Term,
    },
    /// It leads no more.
    StepsDown {
        /// The term that it led.
        term: Term,
        /// Why.
        why: &'static str,
    },
    /// It follows a leader.
    Follows {
        /// The term.
        term: Term,
        /// The leader.
        leader: MemberId,
    },
    /// The members that vote are others.
    Members {
        /// They.
        voters: Voters,
    },
    /// One that was to vote never caught up.
    GivenUp {
        /// Who.
        member: MemberId,
    },
    /// Its disk has failed: it takes no part until it is started anew.
    Retired {
        /// Why.
        why: String,
    },
}
