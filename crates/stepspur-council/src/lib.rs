//! A council of conductors: a replicated log, and duties that one of them holds at a time.
//!
//! - [`Core`] is a member of the log after Raft (Ongaro and Ousterhout 2014, and Ongaro's thesis): elections with
//!   pre-vote and check-quorum, replication, snapshots, changes of one member at a time, hand-over, read index.
//! - [`Duties`] is the state that it agrees on: who holds which duty, by which fencing token.
//! - [`Member`] is a conductor: it votes or only follows, holds duties by leases, and grants them while it leads.
//! - [`State`] is what they agree on beside duties, of whatever kind.
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

pub use core::{Change, Core, Effect, Question, Refused, Save, Stored};
pub use duty::{BadName, Changed, Command, Duties, Duty, DutyName, MOST_DUTIES, Token};
pub use fence::{Fence, Stale};
pub use ids::{Index, LogPosition, MemberId, Micros, Term};
pub use lease::{Holder, Keeper};
pub use log::{Entry, Log, Payload, Snapshot, Voters};
pub use member::Member;
pub use message::{Message, Note};
pub use peer::{Out, Peer};
pub use rendezvous::best;
pub use settings::{Settings, SettingsFault};
pub use state::State;
