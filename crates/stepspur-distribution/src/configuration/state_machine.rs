//! Implements the replicated state machine for the configuration.

use bytes::Bytes;
use stepspur_consensus::LogPosition;
use stepspur_replication::{Rejection, ReplicatedStateMachine, RestoreError, StateMachineId};

use super::command::{Command, CommandError};
use super::snapshot::{ConfigurationSnapshot, ConfigurationSnapshotError};
use super::state::ConfigurationState;
use crate::version::Version;

/// Id of the configuration among the replicated state machines. It is stored in log entries.
pub const CONFIGURATION: StateMachineId = StateMachineId(10);

/// Format version of commands and snapshots.
const FORMAT_VERSION: u16 = 1;

impl ReplicatedStateMachine for ConfigurationState {
    fn id(&self) -> StateMachineId {
        CONFIGURATION
    }

    fn version(&self) -> u16 {
        FORMAT_VERSION
    }

    /// The answer to a change is its version; that to a removal is whether the name was registered.
    fn apply(&mut self, position: LogPosition, _: u16, body: &[u8]) -> Result<Bytes, Rejection> {
        self.apply_command(position, body).map_err(|error| Rejection(error.to_string()))
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&ConfigurationSnapshot::of(self)).unwrap_or_default()
    }

    fn restore(&mut self, _: u16, encoded: &[u8]) -> Result<(), RestoreError> {
        *self = decode_snapshot(encoded).map_err(RestoreError::new)?;
        Ok(())
    }
}

impl ConfigurationState {
    fn apply_command(&mut self, position: LogPosition, body: &[u8]) -> Result<Bytes, CommandError> {
        let answer = match Command::decode(body)? {
            Command::Change { changes } => {
                let version = Version::from(position);
                self.change(version, changes)?;
                postcard::to_stdvec(&version)
            }
            Command::Register { registrations } => {
                self.register(registrations)?;
                Ok(Vec::new())
            }
            Command::Remove { name } => postcard::to_stdvec(&self.remove(&name)),
        };
        // Cannot fail: the answer consists of numbers or a boolean.
        Ok(answer.unwrap_or_default().into())
    }
}

fn decode_snapshot(encoded: &[u8]) -> Result<ConfigurationState, ConfigurationSnapshotError> {
    if encoded.is_empty() {
        return Ok(ConfigurationState::default());
    }
    postcard::from_bytes::<ConfigurationSnapshot>(encoded)?.try_into()
}
