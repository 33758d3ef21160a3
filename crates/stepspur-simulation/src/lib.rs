//! The whole fleet in virtual time.
//!
//! [`world::run`] plays a [`stepspur_emulator::plan::Plan`], as scenarios and bench days are made into, through
//! the real [`stepspur_conductor::engine::Engine`] with the real decision module inside; servers and proxies are
//! those of `stepspur-model`, which the rehearsal's stand-ins run behind sockets. No socket, no clock, one thread
//! a run: the same plan gives the same outcome to the byte.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod experiment;
pub mod queue;
pub mod world;

pub use world::{Options, Outcome, run};
