//! stepspur decides which servers the proxies of a fleet send to.
//!
//! The decisions live in [`policy`]; the types they take and give live in [`interface`], the plain records it
//! remembers in `state`, the channel's bookkeeping in `ledger`, that of the records in `records`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod interface;
mod ledger;
pub mod policy;
mod records;
mod state;

pub use policy::Policy;
