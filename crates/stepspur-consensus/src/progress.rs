//! What a leader knows of another member's log (paper, figure 2: `nextIndex` and `matchIndex`).

use crate::ids::{Index, Micros};

/// A member's replication progress, as its leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub(crate) next_index: Index,
    /// The last entry that the member is known to hold.
    pub(crate) match_index: Index,
    /// The newest heartbeat round that it answered.
    pub(crate) acked_round: u64,
    /// When its last answer came.
    pub(crate) heard_at: Micros,
    /// Entries sent then are not answered: no further ones until it answers or a heartbeat interval has
    /// passed.
    pub(crate) awaiting_since: Option<Micros>,
    /// When the last message was sent to it.
    pub(crate) sent_at: Micros,
    /// The highest commit index that was sent with entries it matches.
    pub(crate) announced_commit: Index,
    /// The snapshot that it is being sent.
    pub(crate) snapshot: Option<SnapshotProgress>,
}

/// How far a snapshot was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SnapshotProgress {
    /// The last entry that the snapshot covers.
    pub(crate) index: Index,
    /// The next byte to send.
    pub(crate) offset: u64,
}

impl Progress {
    /// A member from which the leader has received no answer yet.
    pub(crate) fn new(next_index: Index, now: Micros) -> Self {
        Self { next_index, heard_at: now, ..Self::default() }
    }

    /// An answer to a heartbeat round has come.
    pub(crate) fn record_response(&mut self, round: u64, now: Micros) {
        self.heard_at = now;
        self.acked_round = self.acked_round.max(round);
    }

    /// The member holds all entries up to an index.
    pub(crate) fn record_match(&mut self, index: Index) {
        if index > self.match_index {
            self.match_index = index;
            self.awaiting_since = None;
        }
        self.next_index = self.next_index.max(self.match_index.next());
    }

    /// The member lacks the entry before those that were sent, and would begin after `hint`.
    pub(crate) fn record_mismatch(&mut self, hint: Index, last_index: Index) {
        let retry_at = hint.next().min(self.next_index.previous()).min(last_index.next());
        // Entries that it is known to hold are never sent again.
        self.next_index = retry_at.max(self.match_index.next());
        self.awaiting_since = None;
    }

    /// The member has all bytes of a snapshot before `next_offset`; the snapshot has `size` bytes. An offset
    /// beyond the size says that it was installed.
    pub(crate) fn record_snapshot(&mut self, covers: Index, next_offset: u64, size: u64) {
        if self.snapshot.is_none_or(|snapshot| snapshot.index != covers) {
            return;
        }
        self.awaiting_since = None;
        if next_offset > size {
            self.snapshot = None;
            self.match_index = self.match_index.max(covers);
            self.next_index = self.match_index.next();
        } else {
            self.snapshot = Some(SnapshotProgress { index: covers, offset: next_offset });
        }
    }
}
