//! Runs the whole distribution of configuration in one runtime with a paused clock: control members of which
//! some vote, subscribers in several regions, and a [`Checker`] that compares what the subscribers' engines
//! applied with what was committed.

mod checker;
mod engine;
mod fleet;
mod network;
mod node;

pub use checker::{Checker, Claim, MAX_CLAIM_AGE, SubscriberState, Violation};
pub use engine::{Applied, Engine, EngineRecord, Incarnation, InjectedFault};
pub use fleet::{ControlFleet, REGIONS};
pub use network::{Host, Network};
