//! The trait of a replicated state machine.

use std::any::Any;
use std::error::Error;
use std::fmt;
use std::ops::RangeInclusive;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;

/// Identifies a state machine in commands and snapshots. A number is never reused for another state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateMachineId(pub u16);

impl fmt::Display for StateMachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The rules of a state machine reject a command. The text is replicated: every member rejects with the same
/// one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{0}")]
pub struct Rejection(pub String);

/// A state machine cannot be restored from its part of a snapshot.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct RestoreError(Box<dyn Error + Send + Sync>);

impl RestoreError {
    /// Wraps the state machine's own error.
    pub fn new(cause: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        Self(cause.into())
    }
}

/// One kind of replicated state.
///
/// Every member reaches the same state by the same entries. So `apply` uses no clock, no random numbers, no
/// floating point and no iteration in hash order.
pub trait ReplicatedStateMachine: Any + Send + Sync {
    /// Identifies this state machine.
    fn id(&self) -> StateMachineId;

    /// The version of the commands and the snapshot that this program writes, and the newest that it reads.
    fn version(&self) -> u16;

    /// The oldest version of commands and snapshots that this program still reads.
    fn oldest_version(&self) -> u16 {
        1
    }

    /// The versions of commands and snapshots that this program reads.
    fn supported_versions(&self) -> RangeInclusive<u16> {
        self.oldest_version()..=self.version()
    }

    /// Applies the command of the entry at `position`. The command has a supported version.
    ///
    /// Returns the answer for the proposer; what exceeds [`crate::MAX_OUTCOME_BYTES`] bytes is cut off.
    ///
    /// # Errors
    /// [`Rejection`] if the rules of the state machine forbid the command. The state is unchanged then.
    fn apply(&mut self, position: LogPosition, version: u16, body: &[u8]) -> Result<Bytes, Rejection>;

    /// Encodes the state for a snapshot: the same bytes at every member that has applied the same entries.
    fn encode(&self) -> Vec<u8>;

    /// Replaces the state by one from a snapshot of a supported version. An empty one is the initial state.
    ///
    /// # Errors
    /// [`RestoreError`] if the encoded state is invalid. The state is unchanged then.
    fn restore(&mut self, version: u16, encoded: &[u8]) -> Result<(), RestoreError>;
}
