//! Commands as the log stores them, their ids and their outcomes.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::{Index, MemberId};

use crate::state_machine::{Rejection, StateMachineId};

/// The maximum length of a command's body, in bytes.
pub const MAX_BODY_BYTES: usize = 32 << 10;
/// The first byte of an encoded command. A member halts before an entry with another format.
const COMMAND_FORMAT: u8 = 1;
/// An error quotes at most this many characters of an invalid operation id.
const MAX_QUOTED_CHARS: usize = 64;

/// Identifies an operation. All proposals of an operation carry the same id, so that it takes effect once
/// however often it is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationId {
    /// The member that created the id.
    pub member: MemberId,
    /// A random number drawn at each start of that member, so that `number` may restart from 0.
    pub incarnation: u64,
    /// The number of the operation, which increases within an incarnation.
    pub number: u64,
    /// The last entry that the member had applied when it created the id. An operation is rejected as too old
    /// once more than [`MAX_OUTCOMES`](crate::MAX_OUTCOMES) entries have followed, as its outcome may have
    /// been discarded by then.
    #[serde(rename = "since")]
    pub created_at_index: Index,
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{}@{}", self.member, self.incarnation, self.number, self.created_at_index)
    }
}

/// The text is not the display form of an [`OperationId`]. Holds the beginning of the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid operation id `{0}`: expected m-MEMBER-INCARNATION-NUMBER@INDEX")]
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
        created_at_index: Index(since.parse().ok()?),
    })
}

/// A command for one state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The operation that the command belongs to.
    pub id: OperationId,
    /// The state machine that applies the command.
    pub state_machine: StateMachineId,
    /// The version of the body's encoding, as the state machine defines it.
    pub version: u16,
    /// The command in the state machine's own encoding, at most [`MAX_BODY_BYTES`] long.
    pub body: Vec<u8>,
}

/// The outcome of an operation. It is part of the replicated state, so it is the same at every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The operation was applied. Holds the state machine's answer.
    Done(Vec<u8>),
    /// The state machine rejected the operation, and its state is unchanged.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
    /// The operation was not applied, as it came so late that an earlier proposal of it might have been
    /// applied and its outcome discarded.
    TooOld,
}

/// A log entry is not a command that this program can decode.
#[derive(Debug, thiserror::Error)]
pub enum DecodeCommandError {
    /// The entry has no bytes.
    #[error("the command is empty")]
    Empty,
    /// The entry has another format, as a newer program wrote it. Holds that format.
    #[error("unknown command format {0}: this program reads format {COMMAND_FORMAT}; upgrade it")]
    UnknownFormat(u8),
    /// The bytes after the format are not an encoded command.
    #[error("malformed command: {0}")]
    Malformed(#[from] postcard::Error),
}

impl Command {
    /// Encodes the command for a log entry: the format byte, then postcard.
    pub fn encode(&self) -> Bytes {
        // Encoding cannot fail, as the command holds only numbers and bytes.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        std::iter::once(COMMAND_FORMAT).chain(body).collect()
    }

    /// Decodes a command from a log entry.
    ///
    /// # Errors
    /// [`DecodeCommandError`] if the entry is empty, of an unknown format or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeCommandError> {
        match bytes.split_first() {
            Some((&COMMAND_FORMAT, body)) => Ok(postcard::from_bytes(body)?),
            Some((format, _)) => Err(DecodeCommandError::UnknownFormat(*format)),
            None => Err(DecodeCommandError::Empty),
        }
    }
}

#[cfg(test)]
mod tests;
