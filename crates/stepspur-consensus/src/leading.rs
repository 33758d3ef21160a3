//! What a leader keeps of its lead, and of each member that it writes to.

use std::collections::{BTreeMap, VecDeque};

use crate::core::ReadRequestId;
use crate::ids::{Index, MemberId, Micros};

/// What a leader knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Leading {
    pub peers: BTreeMap<MemberId, PeerMessage>,
    /// Its first entry: once agreed, all before is, too.
    pub first: Index,
    pub round: u64,
    /// Questions, and the round that confirms each.
    pub questions: VecDeque<(ReadRequestId, u64)>,
    pub hand_to: Option<(MemberId, Micros)>,
    pub joining: Option<Joining>,
}

/// A member as its leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PeerMessage {
    /// The next entry to send.
    pub next: Index,
    /// The last that it surely holds.
    pub matched: Index,
    /// The newest round that it answered, and when.
    pub round: u64,
    pub heard_at: Micros,
    /// Entries were sent and not answered, since then: no more until it answers or a heartbeat has passed.
    pub waits_since: Option<Micros>,
    pub sent_at: Micros,
    /// It was told that all up to here is agreed, by a message that lets it count on that.
    pub told: Index,
    /// The snapshot that it is sent, and how far.
    pub snapshot: Option<(Index, u64)>,
}

/// One that is to vote and catches up (thesis 4.2.1).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Joining {
    pub member: MemberId,
    pub target: Index,
    pub began: Micros,
    pub rounds: u32,
}
