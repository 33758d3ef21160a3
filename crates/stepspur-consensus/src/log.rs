//! The log: a snapshot of what was agreed first, and the entries after it.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Term};

/// The members that vote.
pub type Voters = BTreeSet<MemberId>;

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Nothing,
    /// Who votes from here on.
    Members(Voters),
    /// A command for the state above.
    Command(#[serde(with = "as_bytes")] Bytes),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: Index,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// What it holds.
    pub payload: Payload,
}

/// What all entries up to one amount to.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// Who votes after it.
    pub voters: Voters,
    /// The state above, in its own form.
    #[serde(with = "as_bytes")]
    pub state: Bytes,
}

/// A log with its snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Log {
    base: Arc<Snapshot>,
    entries: VecDeque<Entry>,
}

impl Log {
    /// A log that begins after a snapshot. Entries that do not follow one another from it are left out.
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

    /// The last entry's place.
    pub fn last_index(&self) -> Index {
        Index(self.base.index.0 + self.entries.len() as u64)
    }

    /// The last entry's term.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.term, |e| e.term)
    }

    /// An entry's term, if the log still knows it.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// An entry, if it follows the snapshot.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let place = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Entries from a place on, so many at most.
    pub fn from(&self, index: Index, most: usize) -> Vec<Entry> {
        let skip = index.0.saturating_sub(self.base.index.0 + 1);
        self.entries.iter().skip(skip as usize).take(most).cloned().collect()
    }

    /// Adds an entry that follows the last.
    pub fn push(&mut self, term: Term, payload: Payload) -> Entry {
        let entry = Entry { index: self.last_index().next(), term, payload };
        self.entries.push_back(entry.clone());
        entry
    }

    /// Takes a leader's entries: what conflicts goes, what is new is added. Gives the first place that changed.
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

    /// Takes a snapshot in place of the entries that it covers. Entries after it stay if they follow from it.
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

    /// Who votes by the newest entry that says so, agreed or not, and where it stands.
    pub fn voters(&self) -> (&Voters, Index) {
        let newest = self.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Members(voters) => Some((voters, e.index)),
            _ => None,
        });
        newest.unwrap_or((&self.base.voters, self.base.index))
    }

    /// Who votes after an entry.
    pub fn voters_at(&self, index: Index) -> &Voters {
        let newest = self.entries.iter().rev().filter(|e| e.index <= index).find_map(|e| match &e.payload {
            Payload::Members(voters) => Some(voters),
            _ => None,
        });
        newest.unwrap_or(&self.base.voters)
    }
}

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
