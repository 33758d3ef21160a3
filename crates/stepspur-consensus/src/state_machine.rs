//! The trait of replicated state other than the roles.

use bytes::Bytes;

use crate::ids::{Index, LogPosition};

/// The first byte of a log command for a [`StateMachine`]. Commands for roles are JSON objects, which begin
/// with `{`.
pub(crate) const STATE_MACHINE_COMMAND_TAG: u8 = 1;

/// A replicated state machine. It must be deterministic, as every member must reach the same state by the
/// same entries: no clock, random number, floating-point result or hash order may affect it.
pub trait StateMachine {
    /// Applies the command of the entry at this position.
    ///
    /// # Errors
    /// Says why this program cannot apply the command, for example as a newer version wrote it. The member
    /// halts before the entry and applies none after it.
    fn apply(&mut self, position: LogPosition, command: &[u8]) -> Result<(), String>;

    /// Encodes the state for a snapshot; empty if there is no state.
    fn encode(&self) -> Bytes;

    /// Replaces the state by that of a snapshot which covers the entries up to `index`. Empty bytes encode
    /// the state of a new group.
    ///
    /// # Errors
    /// Says what is wrong with the bytes, or why this program cannot read them. The state must be unchanged
    /// then.
    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), String>;
}

/// The state machine of a group that replicates nothing but the roles: it rejects all commands.
impl StateMachine for () {
    fn apply(&mut self, _: LogPosition, _: &[u8]) -> Result<(), String> {
        Err("the command is for a state machine, and this program has none".to_owned())
    }

    fn encode(&self) -> Bytes {
        Bytes::new()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), String> {
        if state.is_empty() {
            Ok(())
        } else {
            Err("the snapshot holds state machines, and this program has none".to_owned())
        }
    }
}
