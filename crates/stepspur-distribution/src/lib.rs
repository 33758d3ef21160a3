//! Configuration from control members to subscribing conductors, by scope and version.
//!
//! What operators hold and cap is a book of documents that a council agrees on ([`book`]). Control members serve it
//! ([`control`]); a conductor is a subscriber ([`subscriber`]): it names what concerns it and the version that it holds,
//! and is pushed what lies after it. docs/distribution.md has the design and the ways weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod book;
pub mod config;
pub mod control;
pub mod document;
pub mod placement;
pub mod store;
pub mod subscriber;
pub mod version;
