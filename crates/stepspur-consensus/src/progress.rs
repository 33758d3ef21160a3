//! A leader's record of a follower's log (Raft paper, figure 2: `nextIndex` and `matchIndex`).

use crate::ids::{Index, Micros};

/// A follower's replication progress, as its leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Progress {
    /// The next entry to send (`nextIndex`).
    pub(crate) next_index: Index,
    /// The last entry that the follower is known to have stored (`matchIndex`).
    pub(crate) match_index: Index,
    /// The newest heartbeat round that the follower has acknowledged.
    pub(crate) acked_round: u64,
    /// When the follower's last response was received, or when replication to it started.
    pub(crate) last_response_at: Micros,
    /// When entries or a snapshot chunk were sent that await a response. No further ones are sent until it
    /// arrives or a heartbeat interval has passed.
    pub(crate) awaiting_since: Option<Micros>,
    /// When the last message was sent to the follower.
    pub(crate) sent_at: Micros,
    /// The highest commit index that was sent, as far as the entries sent with it reached.
    pub(crate) sent_commit: Index,
    /// The snapshot that is being sent to the follower, if any.
    pub(crate) snapshot: Option<SnapshotProgress>,
}

/// How much of a snapshot a follower has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SnapshotProgress {
    /// The last entry that the snapshot covers.
    pub(crate) index: Index,
    /// The offset of the next chunk, in bytes.
    pub(crate) offset: u64,
}

impl Progress {
    /// Creates the record of a follower that has not responded yet. Check-quorum counts `now` as its last
    /// response.
    pub(crate) fn new(next_index: Index, now: Micros) -> Self {
        Self { next_index, last_response_at: now, ..Self::default() }
    }

    /// Records a response to a heartbeat round.
    pub(crate) fn record_response(&mut self, round: u64, now: Micros) {
        self.last_response_at = now;
        self.acked_round = self.acked_round.max(round);
    }

    /// Records that the follower has stored all entries up to an index.
    pub(crate) fn record_match(&mut self, index: Index) {
        if index > self.match_index {
            self.match_index = index;
            self.awaiting_since = None;
        }
        self.next_index = self.next_index.max(self.match_index.next());
    }

    /// Records that the follower lacks the entry before those that were sent, and moves `next_index` back to
    /// the entry after `hint` (Raft paper 5.3). `last_index` is the leader's last entry.
    pub(crate) fn record_mismatch(&mut self, hint: Index, last_index: Index) {
        let retry_at = hint.next().min(self.next_index.previous()).min(last_index.next());
        // Entries that the follower is known to have stored are never sent again.
        self.next_index = retry_at.max(self.match_index.next());
        self.awaiting_since = None;
    }

    /// Records that the follower has received the bytes before `next_offset` of a snapshot of `size` bytes.
    /// An offset greater than the size means that the snapshot is complete.
    pub(crate) fn record_snapshot(&mut self, last_included: Index, next_offset: u64, size: u64) {
        if self.snapshot.is_none_or(|snapshot| snapshot.index != last_included) {
            return;
        }
        self.awaiting_since = None;
        if next_offset > size {
            self.snapshot = None;
            self.match_index = self.match_index.max(last_included);
            self.next_index = self.match_index.next();
        } else {
            self.snapshot = Some(SnapshotProgress { index: last_included, offset: next_offset });
        }
    }
}
