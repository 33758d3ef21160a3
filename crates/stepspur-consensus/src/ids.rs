//! Identifiers of members, terms and log entries, and the unit of time.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A time or a duration in microseconds, by the member's own monotonic clock. Clocks of different members
/// have different origins, so only durations can be compared between members.
pub type Micros = u64;

/// Identifies a member. The id is persisted with the member's Raft state: a member that has lost that state
/// must get a new id, as it might otherwise vote twice in a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A Raft term, numbered from 0 upwards. A term has at most one leader (Raft paper 5.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// An entry's index in the log, from 1; 0 stands for the position before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);

/// An entry's term and index, ordered by term, then index, as elections compare logs (Raft paper 5.4.1). Of
/// two committed entries the later one has the higher position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The entry's index in the log.
    pub index: Index,
}

impl Term {
    /// Returns the term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// Returns the index after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one; 0 for 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "m-{:x}", self.0)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
