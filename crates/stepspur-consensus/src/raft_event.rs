//! Events of the consensus group that the caller writes to its log.

use crate::ids::{MemberId, Term};
use crate::raft_log::Voters;

/// A change of a member's Raft state or of the voters, for the caller's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RaftEvent {
    /// The member became a candidate.
    BecameCandidate {
        /// The term that the member campaigns in.
        term: Term,
        /// Why it campaigns.
        reason: CampaignReason,
    },
    /// The member became the leader.
    BecameLeader {
        /// The term that the member leads.
        term: Term,
    },
    /// The member was the leader and became a follower.
    SteppedDown {
        /// The term that it led.
        term: Term,
        /// Why it stepped down.
        reason: StepDownReason,
    },
    /// The member follows a leader that it did not follow before.
    BecameFollower {
        /// The leader's term.
        term: Term,
        /// The leader that it follows.
        leader: MemberId,
    },
    /// The set of voters in the member's log has changed. The change may not be committed yet.
    VotersChanged {
        /// The voters after the change.
        voters: Voters,
    },
    /// A member that was to become a voter did not catch up in time and is not added (Raft thesis 4.2.1).
    CatchUpFailed {
        /// The member that did not catch up.
        member: MemberId,
    },
    /// The member neither leads nor votes until it is restarted. After a storage failure it still applies
    /// committed entries; after an entry that it cannot apply it does not.
    Halted {
        /// The storage error, or why the entry cannot be applied.
        reason: String,
    },
}

/// Why a member became a candidate. The text is a field of the log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CampaignReason {
    /// The member received no message of a leader within its election timeout (Raft paper 5.2).
    #[error("no leader was heard of")]
    ElectionTimeout,
    /// The leader transferred its leadership to the member (Raft thesis 3.10).
    #[error("the leader handed its place over")]
    LeadershipTransfer,
}

/// Why a leader stepped down. The text is a field of the log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepDownReason {
    /// The leader received a message of a higher term (Raft paper 5.1).
    #[error("a higher term")]
    HigherTerm,
    /// No majority responded within an election timeout: check-quorum (Raft thesis 6.2).
    #[error("no majority answers")]
    QuorumLost,
    /// A committed membership change removed the leader from the voters (Raft thesis 4.2.2).
    #[error("it votes no more")]
    RemovedFromVoters,
    /// A write takes longer than [`Settings::write_timeout`](crate::Settings::write_timeout).
    #[error("its disk does not answer")]
    StorageStalled,
    /// The storage has failed, or an entry cannot be applied.
    #[error("its disk has failed")]
    StorageFailed,
    /// The member became a candidate of a new term.
    #[error(transparent)]
    Campaign(#[from] CampaignReason),
}
