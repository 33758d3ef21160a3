//! A leader's volatile state (Raft paper, figure 2).

use std::collections::BTreeMap;

use crate::ids::{Index, MemberId, Micros};
use crate::pending_reads::PendingReads;
use crate::progress::Progress;
use crate::raft_log::Voters;

/// A leader's volatile state, which starts empty with each term that it leads.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaderState {
    /// The progress of the members that the leader replicates to: the other voters, and a member that catches
    /// up.
    pub(crate) followers: BTreeMap<MemberId, Progress>,
    /// The leader's first entry of its term. Once that is committed, the leader knows all committed entries
    /// (Raft paper 8).
    pub(crate) first_index: Index,
    /// The number of the current heartbeat round; 0 before the first one.
    pub(crate) round: u64,
    /// Read requests that no majority has confirmed yet.
    pub(crate) pending_reads: PendingReads,
    /// The leadership transfer in progress, if any.
    pub(crate) transfer: Option<LeadershipTransfer>,
    /// The member that catches up before it becomes a voter, if any.
    pub(crate) catch_up: Option<CatchUp>,
}

/// A leadership transfer in progress (Raft thesis 3.10).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeadershipTransfer {
    /// The next leader.
    pub(crate) to: MemberId,
    /// When the leader ends the transfer and accepts proposals again.
    pub(crate) expires_at: Micros,
}

/// A member that catches up in rounds before it becomes a voter (Raft thesis 4.2.1). A round replicates all
/// entries that the leader's log has at the round's start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CatchUp {
    /// The member that is to become a voter.
    pub(crate) member: MemberId,
    /// The last entry of the current round.
    pub(crate) target: Index,
    /// When the current round started.
    pub(crate) round_started_at: Micros,
    /// The number of the current round, from 1.
    pub(crate) round: u32,
}

impl LeaderState {
    /// Returns the highest value that a majority of the voters has reached; `None` without voters.
    /// `own` is the leader's value, and `of_follower` returns that of another voter.
    pub(crate) fn reached_by_majority<T: Copy + Ord>(
        &self,
        voters: &Voters,
        leader: MemberId,
        own: T,
        of_follower: impl Fn(Option<&Progress>) -> T,
    ) -> Option<T> {
        let value =
            |voter: &MemberId| if *voter == leader { own } else { of_follower(self.followers.get(voter)) };
        let mut values: Vec<T> = voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(voters.len() / 2).copied()
    }
}
