//! What conductors of a council agree on beside duties.
//!
//! - A [`ReplicatedStateMachine`] is one kind of agreed state: its version, its deterministic `apply`, its part of the snapshot.
//! - [`StateMachineRegistry`] are all of a member's: each command takes effect once, however often it comes, and an entry of a book or
//!   version that this program does not know stops the member before it.
//! - [`ReplicationClient`] is the handle of a running member: `propose` gives the outcome or says that it is unknown, `read` is
//!   linearizable, `read_stale` says up to which entry it goes. What waits is bounded, by book and by tenant.
//!
//! docs/shared.md has the design and the ways weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod book;
mod books;
mod command;
mod shared;
mod turns;

pub use book::{Rejection, ReplicatedStateMachine, StateMachineId};
pub use books::{MAX_OUTCOME_BYTES, MAX_OUTCOMES, StateMachineRegistry};
pub use command::{Command, InvalidOperationId, MAX_BODY_BYTES, OperationId, Outcome};
pub use shared::{ProposalLimits, ReplicationClient, ReplicationError, StaleRead};
