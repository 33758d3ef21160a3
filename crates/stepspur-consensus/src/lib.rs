//! A consensus group: a Raft log replicated between its members, and named roles, each of which at most one
//! member may act on at a time.
//!
//! - [`RaftNode`] is a member's Raft state (Ongaro and Ousterhout 2014, "the Raft paper"; Ongaro's thesis,
//!   "the Raft thesis"): elections with pre-vote and check-quorum, replication, snapshots, membership changes
//!   of one voter at a time, leadership transfer and linearizable reads.
//! - [`RoleTable`] is the replicated state of the roles: the holder of each role and its fencing token.
//! - [`Member`] wraps a [`RaftNode`]. It votes or follows, holds roles under leases, and grants them while it
//!   leads.
//! - [`StateMachine`] is the trait of replicated state other than the roles.
//! - [`Fence`] rejects the orders of a role's former holders.
//!
//! The crate does no I/O and reads no clock: the caller passes events with their time and carries out the
//! returned outputs. Random numbers come from a seed, so a run can be repeated. docs/council.md has the
//! design.
//!
//! Modules:
//!
//! - Raft: `raft_node`, `raft_role`, `election`, `replication`, `snapshot`, `membership`, `read_index`,
//!   `persistence`; its data: `raft_log`, `progress`, `leader_state`, `pending_reads`, `write_tracker`,
//!   `message`, `raft_output`.
//! - Roles: `roles`, `lease`, `fencing`, `rendezvous`.
//! - A member: `member`, `peer_message`, `member_output`, `state_machine`, `settings`.
#![forbid(unsafe_code)]

mod election;
mod error;
mod fencing;
mod ids;
mod leader_state;
mod lease;
mod member;
mod member_output;
mod membership;
mod message;
mod partial_snapshot;
mod peer_message;
mod pending_reads;
mod persistence;
mod persistent_state;
mod progress;
mod raft_event;
mod raft_log;
mod raft_node;
mod raft_output;
mod raft_role;
mod read_index;
mod rendezvous;
mod replication;
mod roles;
mod settings;
mod snapshot;
mod state_machine;
mod write_tracker;

pub use error::RequestError;
pub use fencing::{Fence, StaleToken};
pub use ids::{Index, LogPosition, MemberId, Micros, Term};
pub use lease::HeldLease;
pub use member::{Member, MemberConfig};
pub use member_output::{MemberOutput, StartedRead};
pub use membership::MembershipChange;
pub use message::{AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse, Message};
pub use peer_message::PeerMessage;
pub use pending_reads::ReadRequestId;
pub use persistent_state::{PersistentState, WriteRequest};
pub use raft_event::{CampaignReason, RaftEvent, StepDownReason};
pub use raft_log::{Entry, Payload, RaftLog, Snapshot, Voters};
pub use raft_node::RaftNode;
pub use raft_output::RaftOutput;
pub use roles::{
    FencingToken, InvalidRoleName, MAX_ROLES, Role, RoleChange, RoleCommand, RoleGrant, RoleName, RoleTable,
};
pub use settings::{InvalidSetting, Settings};
pub use state_machine::StateMachine;
