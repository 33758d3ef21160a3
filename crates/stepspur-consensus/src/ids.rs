//! Identities of members, terms and entries, and the unit of time.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A time or a duration in microseconds, by the member's own monotonic clock.
pub type Micros = u64;

/// A member's identity, which its storage holds. A member that has lost its storage gets another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A term, which has one leader at most (paper 5.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// An entry's index in the log, from 1; 0 is before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);

/// An entry's position, ordered by its term, then its index. Of two committed entries the later one has the
/// higher position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its index in the log.
    pub index: Index,
}

impl Term {
    /// The term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// The index after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The index before this one; 0 for 0.
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
