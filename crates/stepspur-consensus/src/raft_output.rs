//! What Raft's state machine requests of its caller.

use std::sync::Arc;

use crate::ids::{Index, MemberId};
use crate::message::Message;
use crate::pending_reads::ReadRequestId;
use crate::persistent_state::WriteRequest;
use crate::raft_event::RaftEvent;
use crate::raft_log::{Entry, Snapshot};

/// Something to do. Outputs are done in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RaftOutput {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Write to stable storage, then call [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).
    Persist(WriteRequest),
    /// An entry is committed: apply it to the state machine.
    Apply(Entry),
    /// Replace the state machine's state by a snapshot.
    RestoreSnapshot(Arc<Snapshot>),
    /// A read index: the member led after the request, and all entries up to `index` were committed before
    /// it.
    ReadIndex {
        /// The request.
        request: ReadRequestId,
        /// The last committed entry.
        index: Index,
    },
    /// The member lost its leadership before it could confirm a read request.
    ReadAborted {
        /// The request.
        request: ReadRequestId,
    },
    /// Something to log.
    Event(RaftEvent),
}
