//! The decision module of stepspur: decides which servers the sidecar proxies of a fleet send requests to,
//! with which weights, and which ratio of requests they admit.
//!
//! [`policy`] contains the decisions, one submodule for each rule. [`interface`] contains their input and
//! output types. Neither performs I/O or reads a clock: callers pass events and the time in, and carry out
//! the actions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod policy;

pub use policy::Policy;
