//! Runs a consensus member: its tasks, its connections to peers, its clock and its storage.
//!
//! [`NodeHandle`] runs a [`stepspur_consensus::Member`], which does no I/O itself. One task owns the member,
//! one task per peer writes to that peer, and the storage has a thread of its own, so that a slow peer or a
//! slow disk delays nothing else. All queues are bounded. A full send queue drops its oldest message, because
//! Raft tolerates lost messages and resends what is still needed. docs/council.md has the design.
//!
//! - `handle`: the handle to a running member; `startup`: starts the member's tasks; `settings`, `config`:
//!   the member's settings and the configuration section that they come from.
//! - `member_task`: the task that owns the member; `request`: the requests, messages and write results that
//!   the task receives; `status`, `lease_table`: the state that it publishes; `events`: its log events.
//! - `peer_listener`, `peer_link`, `send_queue`: connections from and to peers; `schema`: the conversion of
//!   messages to and from the peer protocol.
//! - `transport`, `storage`: the traits behind which network and disk are replaceable; `tcp`: the transport
//!   used in production.
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
