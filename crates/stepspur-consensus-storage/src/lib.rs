//! What a conductor keeps on its disk.
//!
//! - [`Store`] keeps a council member's identity, term, vote, log and snapshot in one file of redb. What it cannot read
//!   it does not touch, and after a write that failed it writes no more: a member that may have forgotten its vote must
//!   not vote again.
//! - [`Writer`] does the writing in a thread of its own, so that a slow disk delays nobody but the council.
//!
//! docs/state.md has the design and the ways weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fault;
mod file;
mod image;
mod store;
mod writer;

pub use fault::StorageError;
pub use store::{FORMAT_VERSION, MAX_FILE_BYTES, Store};
pub use writer::{QueueFull, WriteOutcome, Writer};
