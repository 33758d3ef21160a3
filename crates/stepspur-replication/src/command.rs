//! A command as it stands in the log, and what became of it.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::{Index, MemberId};

use crate::book::{Rejection, StateMachineId};

/// Bytes of a command's body at most.
pub const MAX_BODY_BYTES: usize = 32 << 10;
/// The form of the envelope. A later one stops this program's member.
const FORM: u8 = 1;

/// An operation's identity: a repeat of the operation bears the same, so that it takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationId {
    /// Who proposed it first.
    pub member: MemberId,
    /// Drawn at that member's start: a number that it gave in an earlier life is another's.
    pub life: u64,
    /// Rises with each operation.
    pub number: u64,
    /// The last entry that its proposer had applied when it was first proposed: ids are kept for a number of entries,
    /// and one that may be forgotten by now is refused.
    pub since: Index,
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{}@{}", self.member, self.life, self.number, self.since)
    }
}

/// A text is not an operation's id as [`OperationId`] is written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no operation: expected m-MEMBER-LIFE-NUMBER@ENTRY")]
pub struct InvalidOperationId(String);

impl std::str::FromStr for OperationId {
    type Err = InvalidOperationId;

    fn from_str(text: &str) -> Result<Self, InvalidOperationId> {
        let read = || {
            let (operation, since) = text.strip_prefix("m-")?.split_once('@')?;
            let (member, rest) = operation.split_once('-')?;
            let (life, number) = rest.split_once('-')?;
            let hexadecimal = |digits| u64::from_str_radix(digits, 16).ok();
            Some(Self {
                member: MemberId(hexadecimal(member)?),
                life: hexadecimal(life)?,
                number: number.parse().ok()?,
                since: Index(since.parse().ok()?),
            })
        };
        read().ok_or_else(|| InvalidOperationId(text.chars().take(64).collect()))
    }
}

/// A command on a book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The operation.
    pub id: OperationId,
    /// The book.
    pub book: StateMachineId,
    /// The version of the book's commands.
    pub version: u16,
    /// The command, in the book's own form.
    pub body: Vec<u8>,
}

/// What became of an operation, the same at every member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was applied, with this answer.
    Done(Vec<u8>),
    /// The book's rules refuse it; nothing has changed.
    Refused(Rejection),
    /// It came so late that it might have been applied before and forgotten; it was not applied now.
    TooOld,
}

impl Command {
    /// As it stands in the log.
    pub fn encode(&self) -> Bytes {
        // Numbers and bytes: nothing that the format cannot word.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        std::iter::once(FORM).chain(body).collect()
    }

    /// What an entry holds.
    ///
    /// # Errors
    /// In words, why this program does not know it.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        match bytes.split_first() {
            Some((&FORM, rest)) => postcard::from_bytes(rest).map_err(|cause| format!("no command: {cause}")),
            Some((form, _)) => {
                Err(format!("a command of form {form}, and this program knows {FORM}: start a newer one"))
            }
            None => Err("an empty command".to_owned()),
        }
    }
}

#[cfg(test)]
mod tests;
