//! stepspur decides which servers the proxies of a fleet send to.
//!
//! The decisions live in [`policy`], a module for each rule; the types that they take and give in
//! [`interface`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
pub mod policy;

pub use policy::Policy;
