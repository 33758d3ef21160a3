//! The replicated log: a snapshot, and the entries after it (paper 5.3 and 7).

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, LogPosition, MemberId, Term};

/// The members that vote.
pub type Voters = BTreeSet<MemberId>;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term (paper 8).
    #[serde(rename = "Nothing")]
    Empty,
    /// The voters from this entry on (thesis 4.1).
    #[serde(rename = "Members")]
    Voters(Voters),
    /// A command for the replicated state.
    Command(#[serde(with = "as_bytes")] Bytes),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its index in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

impl Entry {
    /// Its term and index.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// The state after an entry, which replaces all entries up to it (paper 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The voters after that entry.
    pub voters: Voters,
    /// The replicated state, in its own encoding.
    #[serde(with = "as_bytes")]
    pub state: Bytes,
}

impl Snapshot {
    /// The term and index of the last entry that it covers.
    pub fn position(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.index }
    }
}

/// A log that begins with a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RaftLog {
    base: Arc<Snapshot>,
    entries: VecDeque<Entry>,
}

impl RaftLog {
    /// A log that begins with a snapshot. Entries that do not follow one another from there are left out.
    pub fn new(base: Arc<Snapshot>, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self { base, entries: VecDeque::new() };
        for entry in entries {
            if entry.index == log.last_index().next() {
                log.entries.push_back(entry);
            }
        }
        log
    }

    /// The snapshot before the first entry.
    pub fn base(&self) -> &Arc<Snapshot> {
        &self.base
    }

    /// How many entries follow the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True: no entry follows the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> Index {
        Index(self.base.index.0 + self.entries.len() as u64)
    }

    /// The term and index of the last entry.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base.position(), Entry::position)
    }

    /// An entry's term; none if the snapshot covers the entry, or the log ends before it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry, if it follows the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `limit` entries from an index on.
    pub fn entries_from(&self, index: Index, limit: usize) -> Vec<Entry> {
        let skip = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries.iter().skip(skip as usize).take(limit).cloned().collect()
    }

    /// Appends an entry after the last one, and gives it back.
    pub fn append(&mut self, term: Term, payload: Payload) -> Entry {
        let entry = Entry { index: self.last_index().next(), term, payload };
        self.entries.push_back(entry.clone());
        entry
    }

    /// Merges a leader's entries: a conflicting entry and all after it are removed, new ones are appended
    /// (paper 5.3). Gives the index of the first change.
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

    fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(keep as usize);
    }

    /// Replaces the entries that a snapshot covers. Later entries stay if the log has the snapshot's last
    /// entry.
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

    /// The voters: those of the newest entry that names any, committed or not (thesis 4.1).
    pub fn voters(&self) -> &Voters {
        self.voters_at(self.last_index())
    }

    /// The voters after an entry.
    pub fn voters_at(&self, index: Index) -> &Voters {
        self.newest_voters(index).map_or(&self.base.voters, |(voters, _)| voters)
    }

    /// The index of the entry that names the current voters.
    pub fn voters_index(&self) -> Index {
        self.newest_voters(self.last_index()).map_or(self.base.index, |(_, index)| index)
    }

    /// The newest entry up to `last` that names the voters.
    fn newest_voters(&self, last: Index) -> Option<(&Voters, Index)> {
        self.entries.iter().rev().filter(|entry| entry.index <= last).find_map(|entry| match &entry.payload {
            Payload::Voters(voters) => Some((voters, entry.index)),
            Payload::Empty | Payload::Command(_) => None,
        })
    }
}

/// Bytes in serde's form for bytes instead of a sequence of numbers.
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
