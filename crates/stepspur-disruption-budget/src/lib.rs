//! The release gate: gives release tools leave to restart servers, never more at once than a stated part of a zone's and
//! of the fleet's capacity.
//!
//! - What is out counts, whoever took it out: servers under a permit, servers that are not ready, and young ones until
//!   they are warm. A zone that is doubted gets no leave.
//! - A permit is a lease: a tool that dies gives it back by itself, and what it left out is named.
//! - Tools are served in the order in which they came, the one that holds least first; one whose request does not fit
//!   yet is not overtaken in its zones.
//! - The gate is a duty of one conductor at a time. Permits carry its fencing token; a new holder grants nothing until
//!   all that a former one gave has surely run out, and takes over permits that are renewed meanwhile.
//!
//! Sans-IO: events go in with their time, what is granted or lapsed comes out. docs/gate.md has the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fleet;
mod gate;

pub use fleet::{Fleet, Server};
pub use gate::{Gate, Held, Permit, PermitId, Refused, Settings, SettingsFault, Told};

/// A time or a span, in microseconds of the holder's own clock, which only goes forward.
pub type Micros = u64;
