//! Numbers of members, terms, entries and tokens, and times.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A time or a span, in microseconds of the member's own clock, which only goes forward.
pub type Micros = u64;

/// A member's identity: drawn when its disk is made, and kept there. One with an emptied disk is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A term: there is one leader in it at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// An entry's place in the log, from 1; 0 lies before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);

/// An entry's position in the history of a council: its term, then its index. Of two agreed entries the later one has
/// the higher position, whoever led.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its place in the log.
    pub index: Index,
}

impl Term {
    /// The term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// The place after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The place before this one; 0 has none and stays.
    pub fn before(self) -> Self {
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
