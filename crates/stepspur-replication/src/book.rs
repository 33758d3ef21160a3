//! One kind of agreed state.

use std::any::Any;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;

/// A book's number. It is never given to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateMachineId(pub u16);

impl fmt::Display for StateMachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A command was understood, and the book's rules refuse it. That is agreed as well: every member refuses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{0}")]
pub struct Rejection(pub String);

/// One kind of agreed state. Every member comes to the same by the same entries, so that `apply` knows no clock, no
/// chance, no float and no hash order.
pub trait ReplicatedStateMachine: Any + Send + Sync {
    /// Its number.
    fn id(&self) -> StateMachineId;

    /// The version of its commands and its snapshot that this program writes. It knows this and the versions from
    /// [`ReplicatedStateMachine::oldest`] on.
    fn version(&self) -> u16;

    /// The oldest version that it still knows.
    fn oldest(&self) -> u16 {
        1
    }

    /// Applies a command of a known version, of the entry at this position. What it gives is the proposer's answer, of
    /// [`crate::MAX_OUTCOME_BYTES`] bytes at most.
    ///
    /// # Errors
    /// [`Rejection`], and then nothing has changed.
    fn apply(&mut self, position: LogPosition, version: u16, body: &[u8]) -> Result<Bytes, Rejection>;

    /// Its part of a snapshot: the same bytes at every member that has applied the same entries.
    fn encode(&self) -> Vec<u8>;

    /// Takes its part of a snapshot of a known version; an empty part is that of the founding.
    ///
    /// # Errors
    /// What is wrong with it, and then nothing has changed.
    fn restore(&mut self, version: u16, part: &[u8]) -> Result<(), String>;
}
