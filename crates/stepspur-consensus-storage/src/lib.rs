//! Stable storage of a consensus member.
//!
//! - [`Store`] holds a member's identity, term, vote, log and snapshot in one redb file: the persistent state
//!   of the Raft paper's figure 2. It leaves a file that it cannot read unchanged, and writes nothing after a
//!   failed write, because a member that may have lost its vote must not vote again.
//! - [`Writer`] writes in a thread of its own, so that a slow disk delays only what depends on the writes.
//!
//! docs/state.md has the design and its alternatives.
#![forbid(unsafe_code)]

mod codec;
mod error;
mod memory_copy;
mod state_file;
mod store;
mod tables;
mod writer;

pub use error::{Operation, StorageError};
pub use store::{MAX_FILE_BYTES, Store};
pub use tables::FORMAT_VERSION;
pub use writer::{QueueFull, WriteOutcome, Writer};
