//! The error of rejected proposals, reads and membership changes.

use crate::ids::MemberId;

/// Why a member rejects a proposal, a read request, a membership change or a leadership transfer. Nothing was
/// appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The member is not the leader, or has not committed an entry of its term yet. Holds the leader if the
    /// member knows it.
    #[error("this member is not the leader")]
    NotLeader(Option<MemberId>),
    /// [`Settings::max_pending_requests`](crate::Settings::max_pending_requests) requests are pending.
    #[error("too many requests are pending at the leader (see `waiting_max`)")]
    TooManyPending,
    /// The command is larger than [`Settings::max_command_bytes`](crate::Settings::max_command_bytes).
    #[error("the command is larger than `command_max`")]
    CommandTooLarge,
    /// Another membership change or a leadership transfer is in progress, or the last change is not committed
    /// yet. Overlapping changes could form two disjoint majorities (Raft thesis 4.1).
    #[error("another membership change or leadership transfer is in progress")]
    ChangeInProgress,
    /// The change adds a member that is already a voter, removes a member that is not a voter or is the only
    /// one, or transfers the leadership to the leader itself or to a non-voter.
    #[error("invalid change: the member is already a voter or the leader, not a voter, or the only voter")]
    InvalidChange,
}
