//! Why a member rejects a request.

use crate::ids::MemberId;

/// Why a member rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// It does not lead. The known leader, if any.
    #[error("it does not lead")]
    NotLeader(Option<MemberId>),
    /// [`Settings::max_pending_requests`](crate::Settings::max_pending_requests) requests are pending.
    #[error("too much waits")]
    TooManyPending,
    /// The command is larger than [`Settings::max_command_bytes`](crate::Settings::max_command_bytes).
    #[error("the command is too large")]
    CommandTooLarge,
    /// Another membership change or a leadership transfer is in progress, or the last one is not committed
    /// yet.
    #[error("a change is under way")]
    ChangeInProgress,
    /// It adds a voter that is one already, or removes or promotes a member that is none, or the last voter.
    #[error("no such change")]
    InvalidChange,
}
