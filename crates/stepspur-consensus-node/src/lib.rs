//! A consensus member in service.
//!
//! [`NodeHandle`] runs a [`stepspur_consensus::Member`]. One task owns the member, one task per peer writes
//! to that peer, and the storage has a thread of its own, so that a slow peer or a slow disk delays nothing
//! else. All queues are bounded; a full send queue drops its oldest message, as Raft repeats what is lost.
//! docs/council.md has the design.
//!
//! - `handle`: the handle to a running member; `startup`: starts its tasks; `settings`, `config`: what it is
//!   started with.
//! - `member_task`: the task that owns the member; `request`: what it receives; `status`, `lease_table`: what
//!   it publishes; `events`: what it logs.
//! - `peer_listener`, `peer_link`, `send_queue`: connections from and to peers; `schema`: their messages.
//! - `transport`, `storage`: what it depends on, as traits; `tcp`: the program's transport.
#![forbid(unsafe_code)]

mod clock;
mod config;
mod events;
mod handle;
mod lease_table;
mod member_task;
mod peer_link;
mod peer_listener;
mod request;
mod schema;
mod send_queue;
mod settings;
mod startup;
mod status;
mod storage;
mod tcp;
mod transport;

pub use config::{ConsensusConfig, MemberAddress};
pub use handle::{NodeHandle, NodeStopped};
pub use schema::{InvalidPeerMessage, PeerField, PeerFrame};
pub use settings::{Settings, StartError};
pub use status::{AppliedState, RoleStatus, Status};
// Types in the signatures of `NodeHandle`.
pub use stepspur_consensus::{MemberId, MembershipChange, RequestError};
pub use storage::{Storage, StorageCallback, StorageEvent, WriteQueue, WriteRejected};
pub use tcp::Tcp;
pub use transport::{BoxFuture, Listener, Stream, Transport};
