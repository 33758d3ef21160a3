//! The stepspur conductor as a library: it sends routing tables, admission levels and ejections to proxies.
//!
//! [`engine::Engine`] is a sans-IO state machine: it consumes timestamped inputs and returns outputs.
//! [`service`] owns sockets, clocks and tasks, and makes no decisions. [`source`] reads the endpoint list,
//! and [`config`] has the settings. Conductors in one process share no state. See `docs/architecture.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod engine;
pub mod http;
pub mod service;
pub mod source;

pub use config::Config;
pub use service::{Conductor, StartError};
