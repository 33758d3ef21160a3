//! Versions of the configuration.

use std::fmt;

use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;
use stepspur_proto::v1;

/// Maximum length of an invalid version that its error quotes, in characters.
const MAX_QUOTED_CHARS: usize = 64;

/// A version of the configuration: the position of the log entry that created it.
///
/// Versions compare by term, then by index. So the later of two committed versions is always the greater one,
/// also after a change of leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The term of the leader that wrote the entry.
    pub term: u64,
    /// The entry's index in the log.
    pub index: u64,
}

impl Version {
    /// The version before the first change.
    pub const NONE: Self = Self { term: 0, index: 0 };
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.index)
    }
}

/// Error: a text is not a version in the form `TERM.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a version: expected TERM.INDEX")]
pub struct InvalidVersion(String);

impl std::str::FromStr for Version {
    type Err = InvalidVersion;

    fn from_str(text: &str) -> Result<Self, InvalidVersion> {
        parse_version(text).ok_or_else(|| InvalidVersion(text.chars().take(MAX_QUOTED_CHARS).collect()))
    }
}

fn parse_version(text: &str) -> Option<Version> {
    let (term, index) = text.split_once('.')?;
    Some(Version { term: term.parse().ok()?, index: index.parse().ok()? })
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

/// The version in a message field; [`Version::NONE`] if the field is omitted.
pub fn version_of(message: Option<v1::ConfigVersion>) -> Version {
    message.map_or(Version::NONE, Version::from)
}
