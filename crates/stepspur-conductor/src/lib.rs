//! The stepspur conductor as a library.
//!
//! [`engine::Engine`] is the sans-IO half: it handles events with their times and returns outputs. The
//! [`service`] half owns sockets, clocks and tasks, and makes no decisions. [`source`] has the sources of the
//! endpoint list. Two conductors in one process share nothing. See `docs/architecture.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod engine;
pub mod http;
pub mod service;
pub mod source;

pub use config::Config;
pub use service::{Conductor, StartError};
