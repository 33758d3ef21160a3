//! What the member's task receives.

use bytes::Bytes;
use stepspur_consensus::{Index, MemberId, MembershipChange, PeerMessage, RequestError, RoleCommand};
use tokio::sync::oneshot;

use crate::status::Status;

/// A request of the member's handle.
pub(crate) enum Request {
    /// Its status.
    Status { reply: oneshot::Sender<Status> },
    /// Propose a command for the roles.
    ProposeRoleCommand { command: RoleCommand },
    /// Propose a command for the state machine.
    ProposeCommand { command: Bytes },
    /// A read index; none if it has to be requested again.
    ReadIndex { reply: oneshot::Sender<Option<Index>> },
    /// Change the voters.
    ChangeMembership { change: MembershipChange, reply: oneshot::Sender<Result<(), RequestError>> },
    /// Transfer the leadership.
    TransferLeadership { to: MemberId, reply: oneshot::Sender<Result<(), RequestError>> },
}

/// A message of a peer.
#[derive(Debug)]
pub(crate) struct ReceivedMessage {
    pub(crate) from: MemberId,
    pub(crate) message: PeerMessage,
}

/// What became of the writes so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteProgress {
    /// All writes up to this number are durable.
    pub(crate) durable: u64,
    /// Why the storage has failed, if so.
    pub(crate) failure: Option<String>,
}
