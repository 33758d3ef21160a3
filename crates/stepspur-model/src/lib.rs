//! What stepspur directs, without a socket: [`server::Server`] and [`proxy::Proxy`], with the [`work::Work`] of
//! requests and the [`memory::Memory`] of groups of servers.
//!
//! Both are sans-IO: time is given in microseconds and goes forward only, chance comes from a seed. The stand-ins
//! of the rehearsal run them behind loopback sockets; a model of a whole fleet can run them in virtual time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod memory;
pub mod proxy;
pub mod serve;
pub mod server;
pub mod work;

/// A time or a span, in whole microseconds.
pub type Micros = u64;
