//! Replicated state beside the roles: changed by the same entries at every member.

use bytes::Bytes;

use crate::ids::{Index, LogPosition};

/// The first byte of a log command for a [`StateMachine`]; commands for roles are JSON.
pub(crate) const STATE_MACHINE_COMMAND: u8 = 1;

/// A deterministic state machine: every member comes to the same state by the same entries, so that no clock,
/// random number, float or hash order may decide in it.
pub trait StateMachine {
    /// Applies the command of the entry at this position.
    ///
    /// # Errors
    /// Why the command is unknown to this program: the member halts before the entry, and applies none after
    /// it.
    fn apply(&mut self, position: LogPosition, command: &[u8]) -> Result<(), String>;

    /// The state's form in a snapshot; no bytes if there is no state.
    fn encode(&self) -> Bytes;

    /// Replaces the state by that of a snapshot; empty bytes encode the state of a new group.
    ///
    /// # Errors
    /// What is wrong with the bytes, or why they are unknown to this program. The state is unchanged then.
    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), String>;
}

/// No state beside the roles.
impl StateMachine for () {
    fn apply(&mut self, _: LogPosition, _: &[u8]) -> Result<(), String> {
        Err("a command of books, and this program keeps none".to_owned())
    }

    fn encode(&self) -> Bytes {
        Bytes::new()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), String> {
        if state.is_empty() { Ok(()) } else { Err("it holds books, and this program keeps none".to_owned()) }
    }
}
