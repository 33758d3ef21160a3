//! Commands as the log stores them, their ids and their outcomes.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::{Index, MemberId};

use crate::state_machine::{Rejection, StateMachineId};

/// Length of a command's body, in bytes, at most.
pub const MAX_BODY_BYTES: usize = 32 << 10;
/// The format of the envelope, its first byte. A member stops before an entry with another one.
const FORMAT: u8 = 1;
/// Characters of an invalid operation id that its error repeats, at most.
const MAX_QUOTED_CHARS: usize = 64;

/// Identifies an operation. Repeated proposals of an operation carry the same id, so that it takes effect
/// once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationId {
    /// The member that proposed it first.
    pub member: MemberId,
    /// A random number drawn at each start of that member, so that `number` may begin anew.
    pub incarnation: u64,
    /// Increases with each operation of the incarnation.
    pub number: u64,
    /// The last entry that the proposer had applied at the first proposal. Outcomes are retained for a number
    /// of entries, and an operation whose outcome may be discarded already is rejected.
    pub since: Index,
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{}@{}", self.member, self.incarnation, self.number, self.since)
    }
}

/// A text is not the display form of an [`OperationId`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no operation: expected m-MEMBER-LIFE-NUMBER@ENTRY")]
pub struct InvalidOperationId(String);

impl std::str::FromStr for OperationId {
    type Err = InvalidOperationId;

    fn from_str(text: &str) -> Result<Self, InvalidOperationId> {
        parse_operation_id(text)
            .ok_or_else(|| InvalidOperationId(text.chars().take(MAX_QUOTED_CHARS).collect()))
    }
}

fn parse_operation_id(text: &str) -> Option<OperationId> {
    let (operation, since) = text.strip_prefix("m-")?.split_once('@')?;
    let (member, rest) = operation.split_once('-')?;
    let (incarnation, number) = rest.split_once('-')?;
    Some(OperationId {
        member: MemberId(u64::from_str_radix(member, 16).ok()?),
        incarnation: u64::from_str_radix(incarnation, 16).ok()?,
        number: number.parse().ok()?,
        since: Index(since.parse().ok()?),
    })
}

/// A command for one state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The operation that it belongs to.
    pub id: OperationId,
    /// The state machine that applies it.
    pub state_machine: StateMachineId,
    /// The version of the state machine's commands.
    pub version: u16,
    /// The command, as the state machine encodes it. [`MAX_BODY_BYTES`] at most.
    pub body: Vec<u8>,
}

/// The outcome of an operation, the same at every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The operation was applied, with this answer.
    Done(Vec<u8>),
    /// The rules of the state machine rejected it; the state is unchanged.
    Refused(Rejection),
    /// It came so late that it might have been applied before and its outcome discarded. It was not applied
    /// now.
    TooOld,
}

/// An entry of the log is not a command that this program knows.
#[derive(Debug, thiserror::Error)]
pub enum DecodeCommandError {
    /// The entry has no bytes.
    #[error("an empty command")]
    Empty,
    /// A newer program wrote the entry.
    #[error("a command of form {0}, and this program knows {FORMAT}: start a newer one")]
    UnknownFormat(u8),
    /// The bytes after the format are no command.
    #[error("no command: {0}")]
    Malformed(#[from] postcard::Error),
}

impl Command {
    /// Encodes the command for an entry of the log.
    pub fn encode(&self) -> Bytes {
        // Postcard encodes numbers and byte strings without failing.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        std::iter::once(FORMAT).chain(body).collect()
    }

    /// Decodes a command from an entry of the log.
    ///
    /// # Errors
    /// [`DecodeCommandError`] if the entry is empty, of an unknown format or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeCommandError> {
        match bytes.split_first() {
            Some((&FORMAT, body)) => Ok(postcard::from_bytes(body)?),
            Some((format, _)) => Err(DecodeCommandError::UnknownFormat(*format)),
            None => Err(DecodeCommandError::Empty),
        }
    }
}

#[cfg(test)]
mod tests;
