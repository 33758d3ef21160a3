//! A replicated state machine for tests: named counters.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_consensus::LogPosition;
use stepspur_replication::{Rejection, ReplicatedStateMachine, RestoreError, StateMachineId};

/// The id of [`Counters`].
pub const COUNTERS: StateMachineId = StateMachineId(9_000);

/// Named counters. An addition returns the new value; one that overflows `u32` is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counters {
    version: u16,
    values: BTreeMap<String, u32>,
}

/// The command that adds an amount to the counter of that name.
#[derive(Serialize, Deserialize)]
pub(crate) struct Add(pub String, pub u32);

impl Counters {
    /// Creates empty counters that implement this version. Tests of upgrades run members of different
    /// versions.
    pub fn new(version: u16) -> Self {
        Self { version, values: BTreeMap::new() }
    }

    /// The value of a counter; 0 if nothing was added to it.
    pub fn value(&self, name: &str) -> u32 {
        self.values.get(name).copied().unwrap_or(0)
    }
}

impl ReplicatedStateMachine for Counters {
    fn id(&self) -> StateMachineId {
        COUNTERS
    }

    fn version(&self) -> u16 {
        self.version
    }

    fn apply(&mut self, _: LogPosition, _: u16, body: &[u8]) -> Result<Bytes, Rejection> {
        let Add(name, amount) = postcard::from_bytes(body).map_err(|cause| Rejection(cause.to_string()))?;
        let value =
            self.value(&name).checked_add(amount).ok_or_else(|| Rejection("beyond what fits".to_owned()))?;
        self.values.insert(name, value);
        Ok(Bytes::copy_from_slice(&value.to_be_bytes()))
    }

    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.values).unwrap_or_default()
    }

    fn restore(&mut self, _: u16, encoded: &[u8]) -> Result<(), RestoreError> {
        self.values = match encoded.is_empty() {
            true => BTreeMap::new(),
            false => postcard::from_bytes(encoded).map_err(RestoreError::new)?,
        };
        Ok(())
    }
}
