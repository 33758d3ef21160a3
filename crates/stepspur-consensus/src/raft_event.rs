//! Events of the consensus group for the program's log.

use crate::ids::{MemberId, Term};
use crate::raft_log::Voters;

/// Something that happened in the consensus group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RaftEvent {
    /// The member became a candidate.
    BecameCandidate {
        /// In this term.
        term: Term,
        /// Why.
        reason: CampaignReason,
    },
    /// The member became the leader.
    BecameLeader {
        /// In this term.
        term: Term,
    },
    /// The member leads no more.
    SteppedDown {
        /// The term that it led.
        term: Term,
        /// Why.
        reason: StepDownReason,
    },
    /// The member follows another leader.
    BecameFollower {
        /// The term.
        term: Term,
        /// The leader.
        leader: MemberId,
    },
    /// The set of voters has changed.
    VotersChanged {
        /// The voters.
        voters: Voters,
    },
    /// A member that was to become a voter did not catch up in time.
    CatchUpFailed {
        /// The member.
        member: MemberId,
    },
    /// The member leads and votes no more until it is restarted. After a storage failure it still follows;
    /// after an entry that it cannot apply it does not.
    Halted {
        /// Why.
        reason: String,
    },
}

/// Why a member became a candidate. The text is a field of the log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CampaignReason {
    /// It received no message of a leader for an election timeout.
    #[error("no leader was heard of")]
    ElectionTimeout,
    /// The leader transferred its leadership to it (thesis 3.10).
    #[error("the leader handed its place over")]
    LeadershipTransfer,
}

/// Why a leader stepped down. The text is a field of the log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepDownReason {
    /// A message of a higher term came (paper 5.1).
    #[error("a higher term")]
    HigherTerm,
    /// No majority answered for an election timeout: check-quorum (thesis 6.2).
    #[error("no majority answers")]
    QuorumLost,
    /// It is no voter any more (thesis 4.2.2).
    #[error("it votes no more")]
    RemovedFromVoters,
    /// A write takes longer than the timeout.
    #[error("its disk does not answer")]
    StorageStalled,
    /// The storage has failed, or an entry cannot be applied.
    #[error("its disk has failed")]
    StorageFailed,
    /// It became a candidate of a new term.
    #[error(transparent)]
    Campaign(#[from] CampaignReason),
}
