//! Distributes configuration from control members to subscribing conductors, by scope and version.
//!
//! Operators change documents in a replicated state machine ([`configuration`]). Control members serve it
//! ([`control`]). A conductor is a subscriber ([`subscriber`]): it subscribes to the documents that concern
//! it, states the version that it holds, and is sent the changes after that version. docs/distribution.md has
//! the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod configuration;
pub mod control;
pub mod document;
mod document_messages;
mod keep_alive;
pub mod placement;
pub mod scope_store;
pub mod subscriber;
pub mod version;
