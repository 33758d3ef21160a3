//! What conductors of a council write to each other, and what a member asks its surroundings to do.

use bytes::Bytes;

use crate::core::{ReadRequestId, WriteRequest};
use crate::duty::RoleChange;
use crate::ids::{Index, MemberId};
use crate::log::Entry;
use crate::message::{Message, Note};

/// What conductors of a council write to each other.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Between members that vote.
    Log(Message),
    /// To the leader: I hold duties, or would. One message for all of them.
    Renew {
        /// Told back with the answer.
        number: u64,
        /// The newest number that was answered, by whomever: who asks and hears nothing must not keep duties.
        heard: u64,
        /// How much of the duties it wants, against others; 0: none that it does not hold.
        weight: f64,
        /// Beginnings of the names of duties that it would hold.
        wants: Vec<String>,
    },
    /// The answer: leases run from when number `number` was asked, by all that was agreed up to `applied`.
    Renewed {
        /// Of the request.
        number: u64,
        /// The leader had applied so much.
        applied: Index,
    },
    /// To the leader: agree on this.
    Order {
        /// Told back with a refusal.
        number: u64,
        /// The command.
        command: Bytes,
    },
    /// The asked one does not lead, or takes no more; this one may.
    Elsewhere {
        /// Of the request.
        number: u64,
        /// Who leads, as far as it knows.
        leader: Option<MemberId>,
    },
    /// To the leader: what has been agreed by now?
    Read {
        /// Told back with the answer.
        number: u64,
    },
    /// The answer: it led after it was asked, and all that was agreed before stands up to here.
    ReadAt {
        /// Of the request.
        number: u64,
        /// The entry.
        index: Index,
    },
    /// From one that only follows, to any member: what was agreed from here on?
    Fetch {
        /// The next entry that it wants.
        from: Index,
    },
    /// The answer: entries that are agreed, none if there are no newer ones.
    Fetched {
        /// They.
        entries: Vec<Entry>,
        /// Who leads, as far as the answerer knows.
        leader: Option<MemberId>,
    },
    /// The answer to one that is behind the log: the state after an entry.
    FetchedState {
        /// The entry.
        index: Index,
        /// The state.
        state: Bytes,
        /// Who leads, as far as the answerer knows.
        leader: Option<MemberId>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a conductor.
    Send(MemberId, PeerMessage),
    /// Bring to disk, and tell [`Member::saved`].
    Save(WriteRequest),
    /// A duty has another holder, none, or one that must stop.
    Changed(RoleChange),
    /// A read that was asked for by [`Member::read`] counts once the entry is applied here; none: ask again.
    Read(u64, Option<Index>),
    /// For the log.
    Log(Note),
}

/// A request that waits until it is sure that its leader leads.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub question: ReadRequestId,
    pub confirmed: bool,
    /// What was written before it was asked counts in its answer.
    pub upto: Index,
    pub from: MemberId,
    pub number: u64,
    /// True: it asks what has been agreed, and renews nothing.
    pub reads: bool,
}
