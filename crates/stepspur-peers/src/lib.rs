//! A council of conductors in service.
//!
//! [`Peers`] runs a [`stepspur_council::Member`]: one task owns it, one task a peer writes to that peer, and the disk
//! has a thread of its own, so that one slow peer or a slow disk delays nobody else. What waits is bounded, and of old
//! and new messages the new ones win: the council mends what is lost. docs/council.md has the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod ground;
mod link;
mod schema;
mod service;

pub use config::{Council, Place};
pub use ground::{Disk, Later, Listen, Net, Saves, Stream, Tcp, Tell};
pub use schema::{BadPeer, from_peer, to_peer};
pub use service::{Applied, Gone, Peers, Settings, StartError, Status};
pub use stepspur_council::{Change, MemberId, Refused};
