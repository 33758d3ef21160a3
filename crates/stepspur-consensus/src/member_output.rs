//! What a member requests of its caller.

use crate::ids::{Index, MemberId};
use crate::peer_message::PeerMessage;
use crate::persistent_state::WriteRequest;
use crate::raft_event::RaftEvent;
use crate::roles::RoleChange;

/// Something to do. Outputs are done in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send a message to another member.
    Send {
        /// The receiver.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Write to stable storage, then call [`Member::on_persisted`](crate::Member::on_persisted).
    Persist(WriteRequest),
    /// A role's holder has changed.
    RoleChanged(RoleChange),
    /// The answer to [`Member::request_read`](crate::Member::request_read).
    ReadCompleted {
        /// The number of the request.
        request: u64,
        /// The read sees all that was committed before the request once this entry is applied here. None: ask
        /// again.
        index: Option<Index>,
    },
    /// Something to log.
    Event(RaftEvent),
}

/// A read that was requested.
#[derive(Debug)]
pub struct StartedRead {
    /// The number of the request.
    pub request: u64,
    /// What is to be done for it.
    pub outputs: Vec<MemberOutput>,
}
