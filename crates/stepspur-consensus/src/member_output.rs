//! The outputs of a [`Member`](crate::Member).

use crate::ids::{Index, MemberId};
use crate::peer_message::PeerMessage;
use crate::persistent_state::WriteRequest;
use crate::raft_event::RaftEvent;
use crate::roles::RoleChange;

/// An action that a [`Member`](crate::Member) requests of its caller, or a result. The caller handles outputs
/// in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send a message to another member.
    Send {
        /// The receiving member.
        to: MemberId,
        /// The message to send.
        message: PeerMessage,
    },
    /// Write to stable storage, then call [`Member::on_persisted`](crate::Member::on_persisted).
    Persist(WriteRequest),
    /// Report a role's new holder, release or revocation, which this member has applied.
    RoleChanged(RoleChange),
    /// Complete a read that [`Member::request_read`](crate::Member::request_read) started.
    ReadCompleted {
        /// The number of the request, as in [`StartedRead::request`].
        request: u64,
        /// The read index: once this member has applied that entry, the read sees all that was committed
        /// before the request. `None` if the request was rejected and must be repeated.
        index: Option<Index>,
    },
    /// Write an event to the log.
    Event(RaftEvent),
}

/// A read that [`Member::request_read`](crate::Member::request_read) has started.
#[derive(Debug)]
pub struct StartedRead {
    /// The number of the request, which [`MemberOutput::ReadCompleted`] repeats.
    pub request: u64,
    /// The outputs of the call, which the caller must handle.
    pub outputs: Vec<MemberOutput>,
}
