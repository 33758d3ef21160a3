//! The whole distribution of configuration in one runtime with its clock paused: a council of voters and further control
//! members, subscribers in several regions, and a [`Checker`] that judges what the subscribers' engines really did.

mod checker;
mod engine;
mod fleet;
mod network;
mod node;

pub use checker::{Broken, CLAIM_AGE_MOST, Checker, Claim, Observed};
pub use engine::{Acted, Engine, Life, Planted, Record};
pub use fleet::{ControlFleet, REGIONS};
pub use network::{Host, Network};
