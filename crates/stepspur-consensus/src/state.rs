//! What members agree on beside duties: a state of others, changed by the same entries at every member.

use bytes::Bytes;

use crate::ids::{Index, LogPosition};

/// What a command for such a state begins with in the log; those on duties are JSON.
pub(crate) const SHARED: u8 = 1;

/// A state that every member comes to by the same entries: no clock, chance, float or hash order decides in it.
pub trait StateMachine {
    /// Applies the command of the entry at this position.
    ///
    /// # Errors
    /// Why this program does not know it: its member stops before the entry, and applies none after it.
    fn apply(&mut self, position: LogPosition, command: &[u8]) -> Result<(), String>;

    /// The state as a snapshot holds it; empty where there is none.
    fn encode(&self) -> Bytes;

    /// Takes a snapshot's state in place of what was known; an empty one is that of the founding.
    ///
    /// # Errors
    /// What is wrong with it, or that this program does not know it. What was known stands then.
    fn restore(&mut self, index: Index, state: &[u8]) -> Result<(), String>;
}

/// Nothing is agreed beside duties.
impl StateMachine for () {
    fn apply(&mut self, _: LogPosition, _: &[u8]) -> Result<(), String> {
        Err("a command of books, and this program keeps none".to_owned())
    }

    fn encode(&self) -> Bytes {
        Bytes::new()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), String> {
        match state.is_empty() {
            true => Ok(()),
            false => Err("it holds books, and this program keeps none".to_owned()),
        }
    }
}
