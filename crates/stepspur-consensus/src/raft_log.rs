//! The replicated log: a snapshot, and the entries after it (Raft paper 5.3 and 7).

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, LogPosition, MemberId, Term};

/// The members that vote in elections and count for majorities.
pub type Voters = BTreeSet<MemberId>;

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content: the no-op entry that a leader appends at the start of its term (Raft paper 8).
    #[serde(rename = "Nothing")]
    Empty,
    /// The voters from this entry on, committed or not (Raft thesis 4.1).
    #[serde(rename = "Members")]
    Voters(Voters),
    /// A command for the roles or the state machine.
    Command(#[serde(with = "as_bytes")] Bytes),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's index in the log.
    pub index: Index,
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The entry's content.
    pub payload: Payload,
}

impl Entry {
    /// Returns the entry's term and index.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// The replicated state after an entry, which replaces all entries up to that one (Raft paper 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the snapshot covers (`lastIncludedIndex`).
    pub index: Index,
    /// The term of that entry (`lastIncludedTerm`).
    pub term: Term,
    /// The voters as of that entry.
    pub voters: Voters,
    /// The encoded replicated state, which Raft does not interpret.
    #[serde(with = "as_bytes")]
    pub state: Bytes,
}

impl Snapshot {
    /// Returns the term and index of the last entry that the snapshot covers.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// A log that starts with a snapshot, followed by the entries after it without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RaftLog {
    base: Arc<Snapshot>,
    entries: VecDeque<Entry>,
}

impl RaftLog {
    /// Creates a log from a snapshot and the entries after it. Entries are skipped if they do not directly
    /// follow the log's last one.
    pub fn new(base: Arc<Snapshot>, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self { base, entries: VecDeque::new() };
        for entry in entries {
            if entry.index == log.last_index().next() {
                log.entries.push_back(entry);
            }
        }
        log
    }

    /// Returns the snapshot before the first entry.
    pub fn base(&self) -> &Arc<Snapshot> {
        &self.base
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_index(&self) -> Index {
        Index(self.base.index.0 + self.entries.len() as u64)
    }

    /// Returns the term and index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base.position(), Entry::position)
    }

    /// Returns an entry's term; `None` if the snapshot covers the entry and it is not the snapshot's last
    /// one, or the log ends before it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns an entry after the snapshot; `None` if the snapshot covers it or the log ends before it.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `limit` entries from `index` on, or from the first one after the snapshot.
    pub fn entries_from(&self, index: Index, limit: usize) -> Vec<Entry> {
        let skip = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries.iter().skip(skip as usize).take(limit).cloned().collect()
    }

    /// Appends an entry after the last one, and returns it.
    pub fn append(&mut self, term: Term, payload: Payload) -> Entry {
        let entry = Entry { index: self.last_index().next(), term, payload };
        self.entries.push_back(entry.clone());
        entry
    }

    /// Merges a leader's entries: removes a conflicting entry and all after it, and appends new ones (Raft
    /// paper 5.3). Returns the index of the first change; `None` if the log already has all of them.
    pub fn merge(&mut self, entries: Vec<Entry>) -> Option<Index> {
        let mut changed = None;
        for entry in entries {
            match self.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None if entry.index != self.last_index().next() => continue,
                None => {}
            }
            changed.get_or_insert(entry.index);
            self.entries.push_back(entry);
        }
        changed
    }

    /// Removes the entries from an index on.
    fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(keep as usize);
    }

    /// Replaces the entries that a snapshot covers. Later entries are retained if the log contains the
    /// snapshot's last entry, otherwise all are removed (Raft paper 7). An older snapshot than the current
    /// one is ignored.
    pub fn compact_to(&mut self, snapshot: Arc<Snapshot>) {
        if snapshot.index <= self.base.index {
            return;
        }
        match self.term_at(snapshot.index) {
            Some(term) if term == snapshot.term => {
                let covered = snapshot.index.0 - self.base.index.0;
                self.entries.drain(..covered as usize);
            }
            _ => self.entries.clear(),
        }
        self.base = snapshot;
    }

    /// Returns the current voters: those of the newest entry that sets them, committed or not (Raft thesis
    /// 4.1).
    pub fn voters(&self) -> &Voters {
        self.voters_at(self.last_index())
    }

    /// Returns the voters as of an entry.
    pub fn voters_at(&self, index: Index) -> &Voters {
        self.newest_voters(index).map_or(&self.base.voters, |(voters, _)| voters)
    }

    /// Returns the index of the entry that sets the current voters, or of the snapshot if there is none.
    pub fn voters_index(&self) -> Index {
        self.newest_voters(self.last_index()).map_or(self.base.index, |(_, index)| index)
    }

    /// Returns the voters and the index of the newest entry up to `last` that sets them.
    fn newest_voters(&self, last: Index) -> Option<(&Voters, Index)> {
        self.entries.iter().rev().filter(|entry| entry.index <= last).find_map(|entry| match &entry.payload {
            Payload::Voters(voters) => Some((voters, entry.index)),
            Payload::Empty | Payload::Command(_) => None,
        })
    }
}

/// Serializes [`Bytes`] as serde's bytes instead of a sequence of numbers.
mod as_bytes {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        Vec::<u8>::deserialize(from).map(Bytes::from)
    }
}
