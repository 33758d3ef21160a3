//! Sans-IO models of what stepspur directs: [`server::Server`] and [`proxy::Proxy`], the [`work::Work`]
//! distributions of requests and the [`memory::Memory`] that deduplicates requests in a group of servers.
//!
//! Callers pass the current time in microseconds, which never decreases, and a seed for all random numbers.
//! The emulator runs the models behind loopback sockets; the simulation runs a whole fleet of them in virtual
//! time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod memory;
pub mod proxy;
pub mod serve;
pub mod server;
pub mod work;

/// A point in time or a duration, in whole microseconds.
pub type Micros = u64;
