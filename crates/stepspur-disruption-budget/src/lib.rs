//! The disruption budget: permits release tools to restart servers, and limits the capacity that is out of
//! service at once to a configured fraction of each zone and of the fleet.
//!
//! - Servers out of service count whatever the cause: those under a permit, those that are not ready, and
//!   those that warm up after a start. A zone whose server list is suspected to be wrong gets no permits.
//! - A permit is a lease. When a tool dies, its permit expires, and the event names the servers that are
//!   still out.
//! - Requests are granted in order of arrival, but tools with fewer servers under permit go first. Later
//!   requests do not overtake one that does not fit yet in its zones.
//! - The leader is the conductor process that runs the budget and holds the fencing token; there is one at a
//!   time. Permits carry its token. A new leader grants nothing until every permit of its predecessor has
//!   expired, and takes over the permits that are renewed until then.
//!
//! Sans-IO: events and the current time are inputs; granted and expired permits are returned. docs/gate.md
//! has the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod fleet;

pub use budget::{
    ActivePermit, DisruptionBudget, Event, InvalidSetting, Permit, PermitId, RequestError, Settings,
};
pub use fleet::{Fleet, Server};

/// A time or a duration, in microseconds of the leader's monotonic clock.
pub type Micros = u64;
