//! A book for tests: sums by name.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;
use stepspur_replication::{Rejection, ReplicatedStateMachine, RestoreError, StateMachineId};

/// The number of the book of sums.
pub const TALLY: StateMachineId = StateMachineId(9_000);

/// Sums by name. Adding answers with the new sum; beyond `u32` it is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tally {
    version: u16,
    sums: BTreeMap<String, u32>,
}

/// A command of it: so much more under a name.
#[derive(Serialize, Deserialize)]
pub(crate) struct Add(pub String, pub u32);

impl Tally {
    /// The book as a program of this version has it.
    pub fn new(version: u16) -> Self {
        Self { version, sums: BTreeMap::new() }
    }

    /// The sum under a name.
    pub fn sum(&self, name: &str) -> u32 {
        self.sums.get(name).copied().unwrap_or(0)
    }
}

impl ReplicatedStateMachine for Tally {
    fn id(&self) -> StateMachineId {
        TALLY
    }

    fn version(&self) -> u16 {
        self.version
    }

    fn apply(&mut self, _: LogPosition, _: u16, body: &[u8]) -> Result<Bytes, Rejection> {
        let Add(name, more) = postcard::from_bytes(body).map_err(|cause| Rejection(cause.to_string()))?;
        let sum =
            self.sum(&name).checked_add(more).ok_or_else(|| Rejection("beyond what fits".to_owned()))?;
        self.sums.insert(name, sum);
        Ok(Bytes::copy_from_slice(&sum.to_be_bytes()))
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.sums).unwrap_or_default()
    }

    fn restore(&mut self, _: u16, part: &[u8]) -> Result<(), RestoreError> {
        self.sums = match part.is_empty() {
            true => BTreeMap::new(),
            false => postcard::from_bytes(part).map_err(RestoreError::new)?,
        };
        Ok(())
    }
}
