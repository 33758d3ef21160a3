//! Replicated state machines on top of the consensus group: proposals that take effect exactly once, and
//! linearizable reads.
//!
//! - [`ReplicatedStateMachine`] is the trait of one kind of replicated state: a deterministic `apply`, its
//!   version and its part of the snapshot.
//! - [`StateMachineRegistry`] holds all state machines of a member. It applies each operation once, however
//!   often it is proposed. A command for an unknown state machine or version halts the member before that
//!   entry.
//! - [`ReplicationClient`] is the handle of a running member. `propose` returns the outcome, or an error if
//!   it is unknown; `read` is linearizable; `read_stale` also returns the entry up to which the state is
//!   applied. Proposals in flight are limited per state machine and per tenant.
//!
//! docs/shared.md has the design and the alternatives considered.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod command;
mod proposal_limiter;
mod registry;
mod state_machine;

pub use client::{InvalidCommand, ReplicationClient, ReplicationError, StaleRead};
pub use command::{Command, DecodeCommandError, InvalidOperationId, MAX_BODY_BYTES, OperationId, Outcome};
pub use proposal_limiter::ProposalLimits;
pub use registry::{MAX_OUTCOME_BYTES, MAX_OUTCOMES, StateMachineRegistry};
pub use state_machine::{Rejection, ReplicatedStateMachine, RestoreError, StateMachineId};
