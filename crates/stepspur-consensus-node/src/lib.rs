//! A council of conductors in service.
//!
//! [`NodeHandle`] runs a [`stepspur_consensus::Member`]: one task owns it, one task a peer writes to that peer, and the storage
//! has a thread of its own, so that one slow peer or a slow disk delays nobody else. What waits is bounded, and of old
//! and new messages the new ones win: the council mends what is lost. docs/council.md has the design.
//!
//! - `handle`: starts a member's tasks, asks and stops them; `settings`, `config`: what it is started with.
//! - `task`: the task that owns the member; `events`: what it writes to the program's log.
//! - `listener`, `link`: peers' connections in and out; `schema`: their messages.
//! - `transport`, `storage`: what it stands on, as traits; `tcp`: the transport of the program.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod events;
mod handle;
mod link;
mod listener;
mod schema;
mod settings;
mod storage;
mod task;
mod tcp;
mod transport;

pub use config::{ConsensusConfig, MemberAddress};
pub use handle::{AppliedState, NodeHandle, NodeStopped, Status};
pub use schema::{InvalidPeerMessage, from_peer, to_peer};
pub use settings::{Settings, StartError};
// The older names stay until those who code against them have moved on.
pub use stepspur_consensus::{MemberId, MembershipChange, RequestError};
pub use storage::{SaveQueue, SaveQueue as Saves, Storage, Storage as Disk, WriteCallback};
pub use tcp::Tcp;
pub use transport::{BoxFuture, Listener, Listener as Listen, Stream, Transport, Transport as Net};
