//! What a member has in stable storage (paper, figure 2: persistent state), and requests to write it.

use std::sync::Arc;

use crate::ids::{Index, MemberId, Term};
use crate::raft_log::{Entry, RaftLog, Snapshot};

/// What a member has in stable storage.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistentState {
    /// Its current term.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<MemberId>,
    /// Its log.
    pub log: RaftLog,
}

/// Changes of the persistent state. Messages that depend on them leave once they are durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRequest {
    /// Its number, rising from 1; [`RaftNode::on_persisted`](crate::RaftNode::on_persisted) takes it back.
    pub number: u64,
    /// The current term.
    pub term: Term,
    /// The vote in that term.
    pub vote: Option<MemberId>,
    /// A snapshot that replaces the entries that it covers.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Stored entries with this index or a higher one are removed.
    pub first_index: Option<Index>,
    /// Entries to append, the first of them at `first_index`.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The state after a write.
    pub fn with_write(&self, write: &WriteRequest) -> Self {
        let base = write.snapshot.as_ref().unwrap_or(self.log.base());
        let stored = self.log.entries_from(Index(0), usize::MAX).into_iter();
        let remaining = stored.filter(|entry| {
            entry.index > base.index && write.first_index.is_none_or(|first| entry.index < first)
        });
        let appended = write.entries.iter().filter(|entry| entry.index > base.index).cloned();
        Self {
            term: write.term,
            vote: write.vote,
            log: RaftLog::new(Arc::clone(base), remaining.chain(appended)),
        }
    }
}
