//! Versions of the configuration.

use std::fmt;

use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;
use stepspur_proto::v1;

/// A version of the configuration: the position of the entry that made it. Versions compare by term, then by index, so
/// that of two agreed versions the later one is the greater, whoever led.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The term of the leader that wrote the entry.
    pub term: u64,
    /// The entry's place in the log.
    pub index: u64,
}

impl Version {
    /// Before the first change.
    pub const NONE: Self = Self { term: 0, index: 0 };
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.index)
    }
}

/// A text is not `TERM.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no version: expected TERM.INDEX")]
pub struct InvalidVersion(String);

impl std::str::FromStr for Version {
    type Err = InvalidVersion;

    fn from_str(text: &str) -> Result<Self, InvalidVersion> {
        let bad = || InvalidVersion(text.chars().take(64).collect());
        let (term, index) = text.split_once('.').ok_or_else(bad)?;
        Ok(Self { term: term.parse().map_err(|_| bad())?, index: index.parse().map_err(|_| bad())? })
    }
}

impl From<LogPosition> for Version {
    fn from(position: LogPosition) -> Self {
        Self { term: position.term.0, index: position.index.0 }
    }
}

impl From<v1::ConfigVersion> for Version {
    fn from(message: v1::ConfigVersion) -> Self {
        Self { term: message.term, index: message.index }
    }
}

impl From<Version> for v1::ConfigVersion {
    fn from(version: Version) -> Self {
        Self { term: version.term, index: version.index }
    }
}

/// The version in a message; one that is left out is [`Version::NONE`].
pub fn version_of(message: Option<v1::ConfigVersion>) -> Version {
    message.map_or(Version::NONE, Version::from)
}
