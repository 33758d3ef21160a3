//! A leader's state during its term (paper, figure 2: volatile state on leaders).

use std::collections::BTreeMap;

use crate::ids::{Index, MemberId, Micros};
use crate::pending_reads::PendingReads;
use crate::progress::Progress;
use crate::raft_log::Voters;

/// A leader's state during its term.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeaderState {
    /// The other members that it replicates to.
    pub(crate) followers: BTreeMap<MemberId, Progress>,
    /// Its first entry. Once that is committed, it knows all committed entries (paper 8).
    pub(crate) first_index: Index,
    /// The number of the newest heartbeat round.
    pub(crate) round: u64,
    /// Read requests that are not confirmed yet.
    pub(crate) pending_reads: PendingReads,
    /// A leadership transfer in progress.
    pub(crate) transfer: Option<LeadershipTransfer>,
    /// A member that catches up before it becomes a voter.
    pub(crate) catch_up: Option<CatchUp>,
}

/// A leadership transfer in progress (thesis 3.10).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LeadershipTransfer {
    /// The next leader.
    pub(crate) to: MemberId,
    /// When the leader gives up and takes proposals again.
    pub(crate) expires_at: Micros,
}

/// A member that catches up before it becomes a voter (thesis 4.2.1).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CatchUp {
    /// The member.
    pub(crate) member: MemberId,
    /// The entry that ends the current round.
    pub(crate) target: Index,
    /// When the current round started.
    pub(crate) round_started_at: Micros,
    /// The number of the current round, from 1.
    pub(crate) round: u32,
}

impl LeaderState {
    /// The highest value that a majority of the voters has reached; `own` is the leader's.
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
