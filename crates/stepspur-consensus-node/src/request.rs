//! The inputs of the member's task: requests, peer messages and write results.

use bytes::Bytes;
use stepspur_consensus::{Index, MemberId, MembershipChange, PeerMessage, RequestError, RoleCommand};
use tokio::sync::oneshot;

use crate::status::Status;

/// A request from the member's handle.
pub(crate) enum Request {
    /// Report the member's status.
    Status { reply: oneshot::Sender<Status> },
    /// Propose a command for the role table, through the leader.
    ProposeRoleCommand { command: RoleCommand },
    /// Propose a command for the state machine, through the leader.
    ProposeCommand { command: Bytes },
    /// Request a read index. The reply is `None` if the request has to be repeated.
    ReadIndex { reply: oneshot::Sender<Option<Index>> },
    /// Add or remove a voter. Only the leader accepts it.
    ChangeMembership { change: MembershipChange, reply: oneshot::Sender<Result<(), RequestError>> },
    /// Transfer the leadership to another voter. Only the leader accepts it.
    TransferLeadership { to: MemberId, reply: oneshot::Sender<Result<(), RequestError>> },
}

/// A message from a peer.
#[derive(Debug)]
pub(crate) struct ReceivedMessage {
    pub(crate) from: MemberId,
    pub(crate) message: PeerMessage,
}

/// Which writes are durable, and whether the storage has failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteProgress {
    /// All writes up to this number are durable; 0 before the first.
    pub(crate) durable: u64,
    /// Why the storage has failed; `None` while it works.
    pub(crate) failure: Option<String>,
}
