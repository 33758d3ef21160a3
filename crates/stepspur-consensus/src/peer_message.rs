//! Messages between members of a consensus group.

use bytes::Bytes;

use crate::ids::{Index, MemberId};
use crate::message::Message;
use crate::raft_log::Entry;

/// A message from one member to another. `request` numbers are the sender's, and answers repeat them.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Raft's messages between voters.
    Raft(Message),
    /// To the leader: renew the leases on all roles of the sender, or consider it for roles.
    RenewLeases {
        /// The number of the request.
        request: u64,
        /// The newest renewal that was answered: a holder that receives no answers must not keep its roles.
        last_answered: u64,
        /// The sender's share of the roles, relative to others'; 0: no further ones.
        weight: f64,
        /// Prefixes of the names of roles that it would hold.
        role_prefixes: Vec<String>,
    },
    /// The answer: the leases run from when the request was made.
    LeasesRenewed {
        /// The number of the request.
        request: u64,
        /// The leader had applied all entries up to this one.
        applied: Index,
    },
    /// To the leader: propose a command.
    Propose {
        /// The number of the request.
        request: u64,
        /// The command.
        command: Bytes,
    },
    /// The request is rejected: the sender does not lead, or has too many requests pending.
    NotLeader {
        /// The number of the request.
        request: u64,
        /// The leader, as far as the sender knows.
        leader: Option<MemberId>,
    },
    /// To the leader: request a read index (thesis 6.4).
    ReadIndex {
        /// The number of the request.
        request: u64,
    },
    /// The answer: all entries that were committed before the request have this index or a lower one.
    ReadIndexResponse {
        /// The number of the request.
        request: u64,
        /// The read index.
        index: Index,
    },
    /// From a follower without a vote, to any voter: send committed entries, and subscribe to further ones.
    Fetch {
        /// The first entry that it lacks.
        from: Index,
    },
    /// Committed entries, for a fetch or a subscription; none if there are no newer ones.
    CommittedEntries {
        /// The entries.
        entries: Vec<Entry>,
        /// The leader, as far as the sender knows.
        leader: Option<MemberId>,
    },
    /// The answer to a fetch of entries that the log no longer has: the state after an entry.
    CommittedState {
        /// The entry.
        index: Index,
        /// The state.
        state: Bytes,
        /// The leader, as far as the sender knows.
        leader: Option<MemberId>,
    },
}
