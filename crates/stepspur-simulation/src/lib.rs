//! A deterministic discrete-event simulation of a whole fleet in virtual time.
//!
//! [`world::run`] simulates a [`stepspur_emulator::plan::Plan`], which is built from a scenario or a trace,
//! with the real [`stepspur_conductor::engine::Engine`] and the real decision module inside it. Servers and
//! proxies are the models of `stepspur-model`, which the emulator runs behind sockets. A run uses no socket,
//! no clock and one thread, so the same plan gives byte-identical results.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod experiment;
pub mod queue;
pub mod world;

pub use world::{Options, Outcome, run};
