//! What conductors of a council agree on beside duties.
//!
//! - A [`Book`] is one kind of agreed state: its version, its deterministic `apply`, its part of the snapshot.
//! - [`Books`] are all of a member's: each command takes effect once, however often it comes, and an entry of a book or
//!   version that this program does not know stops the member before it.
//! - [`Shared`] is the handle of a running member: `propose` gives the outcome or says that it is unknown, `read` is
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

pub use book::{Book, BookId, Refusal};
pub use books::{Books, KEPT, OUTCOME_MOST};
pub use command::{BODY_MOST, BadOpId, Command, OpId, Outcome};
pub use shared::{Failed, Limits, Shared, Stale};
