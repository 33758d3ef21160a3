//! A member's persistent state (Raft paper, figure 2), and requests to write changes of it.

use std::sync::Arc;

use crate::ids::{Index, MemberId, Term};
use crate::raft_log::{Entry, RaftLog, Snapshot};

/// A member's state in stable storage (Raft paper, figure 2: persistent state).
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistentState {
    /// The current term (`currentTerm`).
    pub term: Term,
    /// The candidate that the member voted for in that term, if any (`votedFor`).
    pub vote: Option<MemberId>,
    /// The snapshot and the entries after it (`log[]`).
    pub log: RaftLog,
}

/// Changes of the persistent state, to be written as one unit. Messages that depend on them are sent only
/// once the caller has reported that they are durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRequest {
    /// The number of the write, increasing from 1. The caller passes it to
    /// [`RaftNode::on_persisted`](crate::RaftNode::on_persisted).
    pub number: u64,
    /// The current term.
    pub term: Term,
    /// The vote in that term, if any.
    pub vote: Option<MemberId>,
    /// A new snapshot, which replaces the entries that it covers; `None` if it has not changed.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Stored entries with this index or a higher one are removed; `None` if no entry has changed.
    pub truncate_from: Option<Index>,
    /// Entries to append after the removal, the first of them at `truncate_from`.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns the state after a write.
    pub fn with_write(&self, write: &WriteRequest) -> Self {
        let base = write.snapshot.as_ref().unwrap_or(self.log.base());
        let stored = self.log.entries_from(Index(0), usize::MAX).into_iter();
        let remaining = stored.filter(|entry| {
            entry.index > base.index && write.truncate_from.is_none_or(|first| entry.index < first)
        });
        let appended = write.entries.iter().filter(|entry| entry.index > base.index).cloned();
        Self {
            term: write.term,
            vote: write.vote,
            log: RaftLog::new(Arc::clone(base), remaining.chain(appended)),
        }
    }
}
