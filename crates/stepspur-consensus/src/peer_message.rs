//! All messages between members of a consensus group: Raft's own, and those for leases, proposals, reads and
//! members without a vote.

use bytes::Bytes;

use crate::ids::{Index, MemberId};
use crate::message::Message;
use crate::raft_log::Entry;

/// A message from one member to another. The sender chooses `request` numbers, and responses repeat them.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A Raft message.
    Raft(Message),
    /// To the leader: renews the leases on all roles that the sender holds, and makes it a candidate for
    /// available roles.
    RenewLeases {
        /// The number of the request.
        request: u64,
        /// The newest renewal request to which the sender received a response. A leader rejects the renewal
        /// if too many are unanswered: the sender would keep roles that it cannot act on.
        last_answered: u64,
        /// The sender's share of the roles relative to other members'; 0 if it wants no further roles.
        weight: f64,
        /// Prefixes of the names of the roles that the sender wants.
        role_prefixes: Vec<String>,
    },
    /// The response to [`PeerMessage::RenewLeases`]. The leases count from the time of the request.
    LeasesRenewed {
        /// The number of the request.
        request: u64,
        /// The last entry that the leader had applied. A holder that lacks entries up to it may have lost a
        /// role by them.
        applied: Index,
    },
    /// To the leader: proposes a command. There is no response if it is accepted.
    Propose {
        /// The number of the request.
        request: u64,
        /// The command, as the log stores it.
        command: Bytes,
    },
    /// Rejects a request: the sender is not the leader, has too many requests pending, or does not renew the
    /// leases of a member that receives no responses.
    RequestRejected {
        /// The number of the request.
        request: u64,
        /// The leader that the sender knows of, if any.
        leader: Option<MemberId>,
    },
    /// To the leader: requests a read index (Raft thesis 6.4).
    ReadIndex {
        /// The number of the request.
        request: u64,
    },
    /// The response to [`PeerMessage::ReadIndex`].
    ReadIndexResponse {
        /// The number of the request.
        request: u64,
        /// The read index: all entries that were committed before the request have this index or a lower one.
        index: Index,
    },
    /// To any voter, from a member to which no leader replicates: requests committed entries, and subscribes
    /// to further ones.
    Fetch {
        /// The first entry that the sender lacks.
        from: Index,
    },
    /// Committed entries, in response to a fetch or for a subscription.
    CommittedEntries {
        /// The entries in the order of the log; empty if the fetching member lacks none.
        entries: Vec<Entry>,
        /// The leader that the sender knows of, if any.
        leader: Option<MemberId>,
    },
    /// The response to a fetch of entries that the log no longer has: the whole replicated state.
    CommittedSnapshot {
        /// The last entry that the snapshot covers.
        index: Index,
        /// The roles and the state machine, encoded as in a Raft snapshot.
        state: Bytes,
        /// The leader that the sender knows of, if any.
        leader: Option<MemberId>,
    },
}
