//! The replicated configuration: a state machine with the current documents, recent changes, and the
//! registered subscribers.
//!
//! The state must depend on the log entries alone, so that all members reach the same one: nothing here uses
//! a clock, random numbers or hash order. A delta from a version contains the last change of each document
//! that changed after it. It is computed from the retained changes, at most [`MAX_RECENT_CHANGES`]. A
//! subscriber at an earlier version needs a snapshot.

mod command;
mod limits;
mod query;
mod snapshot;
mod state;
mod state_machine;

pub use self::command::{Command, CommandError, Registration, RegistrationError};
pub use self::limits::{
    MAX_CHANGES, MAX_DOCUMENTS, MAX_RECENT_CHANGES, MAX_REGISTRATION_BYTES, MAX_REGISTRATIONS,
    MAX_SUBSCRIBERS,
};
pub(crate) use self::query::document_bytes;
pub use self::query::{Delta, SubscriberUpdate};
pub use self::snapshot::ConfigurationSnapshotError;
pub use self::state::ConfigurationState;
pub use self::state_machine::CONFIGURATION;

#[cfg(test)]
mod tests;
