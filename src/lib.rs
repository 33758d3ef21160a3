//! stepspur decides which servers the proxies of a fleet send to.
//!
//! The decisions live in [`policy`]; the types they take and give live in [`interface`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod policy;

pub use policy::Policy;
