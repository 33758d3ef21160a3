//! Runs whole members of a consensus group in one runtime with a paused clock: the same tasks as in
//! production, on an in-memory network and in-memory disks in which a test injects faults.
//!
//! The same seed gives the same run. Operations and their responses are recorded in a [`History`], which
//! alone decides whether the run was linearizable.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster;
mod counters;
mod disk;
pub mod distribution;
mod history;
mod net;

pub use cluster::{Cluster, ClusterSettings, add, read};
pub use counters::{COUNTERS, Counters};
pub use disk::{MemoryDisk, StoredState};
pub use history::{History, Op, Operation};
pub use net::ConsensusNetwork;
