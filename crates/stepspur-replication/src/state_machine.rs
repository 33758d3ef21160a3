//! The trait of a replicated state machine.

use std::any::Any;
use std::error::Error;
use std::fmt;
use std::ops::RangeInclusive;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;

/// Identifies a state machine in commands and snapshots. An id must never be reused for another state
/// machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateMachineId(pub u16);

impl fmt::Display for StateMachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The reason for which a state machine rejects a command. It is replicated, so it must be the same at every
/// member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{0}")]
pub struct Rejection(pub String);

/// Why a state machine cannot be restored from its part of a snapshot.
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
/// Every member must reach the same state by the same entries. So `apply` must not depend on a clock, random
/// numbers, floating point or hash order.
pub trait ReplicatedStateMachine: Any + Send + Sync {
    /// Returns the id of this state machine, which never changes.
    fn id(&self) -> StateMachineId;

    /// Returns the version of the commands and snapshots that this program writes. It is also the newest
    /// version that the program reads.
    fn version(&self) -> u16;

    /// Returns the oldest version of commands and snapshots that this program reads. Default: 1.
    fn oldest_version(&self) -> u16 {
        1
    }

    /// Returns the versions of commands and snapshots that this program reads.
    fn supported_versions(&self) -> RangeInclusive<u16> {
        self.oldest_version()..=self.version()
    }

    /// Applies the command of the entry at `position`. `version` is one of the supported versions.
    ///
    /// Returns the answer for the proposer; an answer is truncated to [`crate::MAX_OUTCOME_BYTES`] bytes.
    ///
    /// # Errors
    /// [`Rejection`] if the state machine does not allow the command. The state must be unchanged then.
    fn apply(&mut self, position: LogPosition, version: u16, body: &[u8]) -> Result<Bytes, Rejection>;

    /// Encodes the state for a snapshot. The bytes must be the same at every member that has applied the same
    /// entries.
    fn encode(&self) -> Vec<u8>;

    /// Replaces the state by the encoded one of a snapshot. `version` is one of the supported versions. Empty
    /// bytes stand for the initial state.
    ///
    /// # Errors
    /// [`RestoreError`] if the encoded state is invalid. The state must be unchanged then.
    fn restore(&mut self, version: u16, encoded: &[u8]) -> Result<(), RestoreError>;
}
