//! The outputs of a [`RaftNode`](crate::RaftNode).

use std::sync::Arc;

use crate::ids::{Index, MemberId};
use crate::message::Message;
use crate::pending_reads::ReadRequestId;
use crate::persistent_state::WriteRequest;
use crate::raft_event::RaftEvent;
use crate::raft_log::{Entry, Snapshot};

/// An action that a [`RaftNode`](crate::RaftNode) requests of its caller. The caller carries out outputs in
/// the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RaftOutput {
    /// Send a message to a member.
    Send {
        /// The receiving member.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// Write to stable storage, then call [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).
    Persist(WriteRequest),
    /// Apply a committed entry to the state machine. Entries come in the order of the log.
    Apply(Entry),
    /// Replace the state machine's state by a snapshot.
    RestoreSnapshot(Arc<Snapshot>),
    /// A read request is confirmed (Raft thesis 6.4): a majority has confirmed since the request that the
    /// member leads. A read that has applied the entries up to `index` sees all that was committed before the
    /// request.
    ReadIndex {
        /// The confirmed request.
        request: ReadRequestId,
        /// The leader's commit index at the confirmation.
        index: Index,
    },
    /// The member lost its leadership before it could confirm a read request.
    ReadAborted {
        /// The request that will not be confirmed.
        request: ReadRequestId,
    },
    /// Write an event to the log.
    Event(RaftEvent),
}
