//! The part that a member plays in its term.

use std::collections::BTreeSet;

use crate::ids::MemberId;
use crate::leader_state::LeaderState;

/// The part that a member plays in its term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum RaftRole {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks who would vote for it in the next term (pre-vote, thesis 9.6), with the votes so far.
    PreCandidate(BTreeSet<MemberId>),
    /// It is a candidate of its term, with the votes so far.
    Candidate(BTreeSet<MemberId>),
    /// It leads.
    Leader(LeaderState),
    /// It leads and votes no more until it is restarted. After a storage failure it still follows; after an
    /// entry that it cannot apply it does not.
    Halted,
}
