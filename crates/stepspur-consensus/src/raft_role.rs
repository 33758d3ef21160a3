//! A member's Raft state: follower, candidate or leader (Raft paper 5.1).

use std::collections::BTreeSet;

use crate::ids::MemberId;
use crate::leader_state::LeaderState;

/// A member's Raft state in its current term (Raft paper, figure 4). It has nothing to do with the named
/// roles of [`RoleTable`](crate::RoleTable).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum RaftRole {
    /// The member follows a leader, or knows none.
    Follower,
    /// The member collects pre-votes for the next term (Raft thesis 9.6). Holds the members that have granted
    /// one.
    PreCandidate(BTreeSet<MemberId>),
    /// The member is a candidate in its term. Holds the members that have voted for it.
    Candidate(BTreeSet<MemberId>),
    /// The member is the leader of its term.
    Leader(LeaderState),
    /// The member neither leads nor votes until it is restarted, after a storage failure or an entry that it
    /// cannot apply. After a storage failure it still fetches and applies committed entries.
    Halted,
}
