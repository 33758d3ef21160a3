//! A council of conductors: a replicated log, and duties that one of them holds at a time.
//!
//! - [`RaftNode`] is a member of the log after Raft (Ongaro and Ousterhout 2014, and Ongaro's thesis): elections with
//!   pre-vote and check-quorum, replication, snapshots, changes of one member at a time, hand-over, read index.
//! - [`RoleTable`] is the state that it agrees on: who holds which duty, by which fencing token.
//! - [`Member`] is a conductor: it votes or only follows, holds duties by leases, and grants them while it leads.
//! - [`StateMachine`] is what they agree on beside duties, of whatever kind.
//! - [`Fence`] is what those keep who obey a duty's orders.
//!
//! Sans-IO: events go in with their time, effects come out; chance comes from a seed. docs/council.md has the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod core;
mod duty;
mod fence;
mod ids;
mod leading;
mod lease;
mod log;
mod member;
mod message;
mod peer;
mod rendezvous;
mod replicate;
mod settings;
mod state;

pub use core::{
    Effect, MembershipChange, PersistentState, RaftNode, ReadRequestId, RequestError, WriteRequest,
};
pub use duty::{
    FencingToken, InvalidRoleName, MAX_ROLES, Role, RoleChange, RoleCommand, RoleName, RoleTable,
};
pub use fence::{Fence, StaleToken};
pub use ids::{Index, LogPosition, MemberId, Micros, Term};
pub use lease::{LeaseGrantor, LeaseHolder};
pub use log::{Entry, Log, Payload, Snapshot, Voters};
pub use member::Member;
pub use message::{Message, Note};
pub use peer::{Output, PeerMessage};
pub use rendezvous::highest_random_weight;
pub use settings::{InvalidSetting, Settings};
pub use state::StateMachine;
