//! A council of conductors in service.
//!
//! [`Peers`] runs a [`stepspur_council::Member`]: one task owns it, one task a peer writes to that peer, and the storage
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

pub use config::{Council, Place};
pub use handle::{Applied, Gone, Peers, Status};
pub use schema::{BadPeer, from_peer, to_peer};
pub use settings::{Settings, StartError};
// The older names stay until those who code against them have moved on.
pub use stepspur_council::{Change, MemberId, Refused};
pub use storage::{SaveQueue, SaveQueue as Saves, Storage, Storage as Disk, Tell};
pub use tcp::Tcp;
pub use transport::{Later, Listener, Listener as Listen, Stream, Transport, Transport as Net};
