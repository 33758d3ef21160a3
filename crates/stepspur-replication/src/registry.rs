//! All state machines of a member, and the outcomes of recent operations.

use std::any::Any;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use stepspur_consensus::{Index, LogPosition, StateMachine};
use tokio::sync::oneshot;

use crate::command::{Command, DecodeCommandError, MAX_BODY_BYTES, OperationId, Outcome};
use crate::state_machine::{Rejection, ReplicatedStateMachine, RestoreError, StateMachineId};

/// Outcomes are retained for this many log entries. A repeated operation within them is recognized. One that
/// was first proposed before them is rejected as too old, as it might have been applied and its outcome
/// discarded.
pub const MAX_OUTCOMES: u64 = 16_384;
/// The maximum length of a state machine's answer, in bytes. A longer one is truncated, as all retained
/// outcomes are part of the snapshot.
pub const MAX_OUTCOME_BYTES: usize = 1_024;
/// The maximum length of a rejection, in characters. A UTF-8 character has at most 4 bytes.
const MAX_REJECTION_CHARS: usize = MAX_OUTCOME_BYTES / 4;
/// The maximum length of an encoded command, in bytes: its body and the fields before it.
const MAX_COMMAND_BYTES: usize = 2 * MAX_BODY_BYTES;

/// All state machines of a member, and the outcomes of its recent operations. Clones share them: the member's
/// task applies entries, and clients read.
#[derive(Clone)]
pub struct StateMachineRegistry(Arc<RwLock<Inner>>);

struct Inner {
    state_machines: BTreeMap<StateMachineId, Box<dyn ReplicatedStateMachine>>,
    /// Operations with a retained outcome, in the order of their entries; the oldest is discarded first.
    completed: VecDeque<CompletedOperation>,
    outcomes: BTreeMap<OperationId, Outcome>,
    /// The last applied entry that holds a command for a state machine.
    applied: Index,
    /// Callers in this process that wait for an outcome. They are not part of the replicated state.
    waiters: BTreeMap<WaiterKey, oneshot::Sender<Outcome>>,
    /// The number of the waiter that was added last.
    last_waiter: u64,
}

/// An operation with an outcome.
#[derive(Clone, Copy)]
struct CompletedOperation {
    /// The entry that applied or rejected the operation.
    index: Index,
    id: OperationId,
}

/// Identifies a waiter. Keys are ordered by operation, so the waiters of one operation are a range.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaiterKey {
    operation: OperationId,
    number: u64,
}

/// Waits for the outcome of an operation. The waiter is removed from the registry on drop.
pub(crate) struct OutcomeWaiter {
    registry: StateMachineRegistry,
    key: WaiterKey,
    outcome: oneshot::Receiver<Outcome>,
}

impl OutcomeWaiter {
    /// Returns the outcome once the operation is applied at this member; `None` if its sender was dropped.
    pub(crate) async fn outcome(&mut self) -> Option<Outcome> {
        (&mut self.outcome).await.ok()
    }
}

impl Drop for OutcomeWaiter {
    fn drop(&mut self) {
        self.registry.update(|inner| drop(inner.waiters.remove(&self.key)));
    }
}

/// The replicated state of the registry as a snapshot stores it (postcard).
#[derive(Serialize, Deserialize)]
struct RegistrySnapshot {
    applied: Index,
    state_machines: Vec<StateMachineSnapshot>,
    outcomes: Vec<StoredOutcome>,
}

#[derive(Serialize, Deserialize)]
struct StateMachineSnapshot {
    id: StateMachineId,
    version: u16,
    state: Vec<u8>,
}

#[derive(Serialize, Deserialize)]
struct StoredOutcome {
    index: Index,
    id: OperationId,
    outcome: Outcome,
}

/// Why an entry cannot be applied. The member halts before it.
#[derive(Debug, thiserror::Error)]
enum ApplyError {
    #[error("the command has {0} bytes, the limit is {MAX_COMMAND_BYTES}")]
    TooLarge(usize),
    #[error(transparent)]
    Decode(#[from] DecodeCommandError),
    #[error("state machine {0} is not known to this program: upgrade it")]
    UnknownStateMachine(StateMachineId),
    #[error("state machine {id} in version {version}: this program reads versions {supported:?}")]
    UnsupportedVersion { id: StateMachineId, version: u16, supported: RangeInclusive<u16> },
}

/// Why a snapshot cannot be restored.
#[derive(Debug, thiserror::Error)]
enum RegistryRestoreError {
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
    #[error("state machine {id} in version {version} is not known to this program: upgrade it")]
    Unsupported { id: StateMachineId, version: u16 },
    #[error("state machine {id} cannot be restored: {cause}")]
    StateMachine { id: StateMachineId, cause: RestoreError },
}

impl StateMachineRegistry {
    /// Creates a registry of state machines in their initial state. Of two with the same id the later one is
    /// used.
    pub fn new(state_machines: impl IntoIterator<Item = Box<dyn ReplicatedStateMachine>>) -> Self {
        let by_id = state_machines.into_iter().map(|state_machine| (state_machine.id(), state_machine));
        Self(Arc::new(RwLock::new(Inner {
            state_machines: by_id.collect(),
            completed: VecDeque::new(),
            outcomes: BTreeMap::new(),
            applied: Index(0),
            waiters: BTreeMap::new(),
            last_waiter: 0,
        })))
    }

    fn inner(&self) -> RwLockReadGuard<'_, Inner> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn update<T>(&self, update: impl FnOnce(&mut Inner) -> T) -> T {
        update(&mut self.0.write().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the last entry with a command for a state machine that this member has applied.
    pub fn applied(&self) -> Index {
        self.inner().applied
    }

    /// Calls `read` with a state machine; `None` if there is none with this id and type.
    pub fn inspect<S: ReplicatedStateMachine, T>(
        &self,
        id: StateMachineId,
        read: impl FnOnce(&S) -> T,
    ) -> Option<T> {
        let inner = self.inner();
        let state_machine: &dyn Any = inner.state_machines.get(&id)?.as_ref();
        state_machine.downcast_ref::<S>().map(read)
    }

    /// Returns the version of a state machine's commands that this program writes; `None` if there is no such
    /// state machine.
    pub fn version(&self, id: StateMachineId) -> Option<u16> {
        self.inner().state_machines.get(&id).map(|state_machine| state_machine.version())
    }

    /// Returns the SHA-256 digest of each state machine's encoded state. It is the same at every member that
    /// has applied the same entries.
    pub fn digests(&self) -> BTreeMap<StateMachineId, [u8; 32]> {
        let inner = self.inner();
        let state_machines = inner.state_machines.iter();
        state_machines.map(|(id, machine)| (*id, Sha256::digest(machine.encode()).into())).collect()
    }

    /// Returns a waiter for the outcome of an operation, which may have been applied already. Several callers
    /// may wait for the same operation.
    pub(crate) fn wait_for_outcome(&self, operation: OperationId) -> OutcomeWaiter {
        let (sender, receiver) = oneshot::channel();
        let key = self.update(|inner| inner.add_waiter(operation, sender));
        OutcomeWaiter { registry: self.clone(), key, outcome: receiver }
    }
}

impl Inner {
    fn add_waiter(&mut self, operation: OperationId, sender: oneshot::Sender<Outcome>) -> WaiterKey {
        self.last_waiter += 1;
        let key = WaiterKey { operation, number: self.last_waiter };
        match self.outcomes.get(&operation) {
            // The caller still holds the receiver, so sending cannot fail.
            Some(outcome) => drop(sender.send(outcome.clone())),
            None => drop(self.waiters.insert(key, sender)),
        }
        key
    }

    fn apply(&mut self, position: LogPosition, bytes: &[u8]) -> Result<(), ApplyError> {
        if bytes.len() > MAX_COMMAND_BYTES {
            return Err(ApplyError::TooLarge(bytes.len()));
        }
        let command = Command::decode(bytes)?;
        let state_machine = supporting_state_machine(&mut self.state_machines, &command)?;
        self.applied = position.index;
        let outcome = if let Some(recorded) = self.outcomes.get(&command.id) {
            recorded.clone()
        } else if position.index.0 > command.id.created_at_index.0 + MAX_OUTCOMES {
            Outcome::TooOld
        } else {
            let outcome = apply_command(state_machine, position, &command);
            self.outcomes.insert(command.id, outcome.clone());
            self.completed.push_back(CompletedOperation { index: position.index, id: command.id });
            outcome
        };
        self.discard_old_outcomes(position.index);
        self.notify_waiters(command.id, &outcome);
        Ok(())
    }

    /// Discards the outcomes of operations that were applied more than [`MAX_OUTCOMES`] entries ago.
    ///
    /// No repeated proposal can need them: an operation is rejected after entry
    /// `created_at_index + MAX_OUTCOMES`, and its first entry came after `created_at_index`.
    fn discard_old_outcomes(&mut self, applied: Index) {
        let is_old = |operation: &mut CompletedOperation| operation.index.0 + MAX_OUTCOMES < applied.0;
        while let Some(operation) = self.completed.pop_front_if(is_old) {
            self.outcomes.remove(&operation.id);
        }
    }

    /// Sends an outcome to all waiters of its operation.
    fn notify_waiters(&mut self, operation: OperationId, outcome: &Outcome) {
        let first = WaiterKey { operation, number: 0 };
        let last = WaiterKey { operation, number: u64::MAX };
        let keys: Vec<WaiterKey> = self.waiters.range(first..=last).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(sender) = self.waiters.remove(&key) {
                // Sending fails if the caller has just stopped waiting, which is no error.
                drop(sender.send(outcome.clone()));
            }
        }
    }

    fn encode(&self) -> Vec<u8> {
        let state_machines = self.state_machines.iter().map(|(id, state_machine)| StateMachineSnapshot {
            id: *id,
            version: state_machine.version(),
            state: state_machine.encode(),
        });
        let outcomes = self.completed.iter().filter_map(|CompletedOperation { index, id }| {
            let outcome = self.outcomes.get(id)?.clone();
            Some(StoredOutcome { index: *index, id: *id, outcome })
        });
        let snapshot = RegistrySnapshot {
            applied: self.applied,
            state_machines: state_machines.collect(),
            outcomes: outcomes.collect(),
        };
        postcard::to_stdvec(&snapshot).unwrap_or_default()
    }

    fn restore(&mut self, encoded: &[u8]) -> Result<(), RegistryRestoreError> {
        let snapshot = RegistrySnapshot::decode(encoded)?;
        self.check_snapshot(&snapshot)?;
        for (id, state_machine) in &mut self.state_machines {
            let stored = snapshot.state_machines.iter().find(|stored| stored.id == *id);
            let restored = match stored {
                Some(stored) => state_machine.restore(stored.version, &stored.state),
                None => state_machine.restore(state_machine.version(), &[]),
            };
            restored.map_err(|cause| RegistryRestoreError::StateMachine { id: *id, cause })?;
        }
        self.applied = snapshot.applied;
        self.completed.clear();
        self.outcomes.clear();
        for StoredOutcome { index, id, outcome } in snapshot.outcomes {
            self.completed.push_back(CompletedOperation { index, id });
            self.outcomes.insert(id, outcome);
        }
        self.notify_waiters_of_restored();
        Ok(())
    }

    /// Checks that this program can read all state machines of a snapshot.
    fn check_snapshot(&self, snapshot: &RegistrySnapshot) -> Result<(), RegistryRestoreError> {
        for stored in &snapshot.state_machines {
            let state_machine = self.state_machines.get(&stored.id);
            if !state_machine.is_some_and(|known| known.supported_versions().contains(&stored.version)) {
                return Err(RegistryRestoreError::Unsupported { id: stored.id, version: stored.version });
            }
        }
        Ok(())
    }

    /// Notifies the waiters of operations whose outcomes came with a snapshot.
    fn notify_waiters_of_restored(&mut self) {
        let operations: BTreeSet<OperationId> = self.waiters.keys().map(|key| key.operation).collect();
        for operation in operations {
            if let Some(outcome) = self.outcomes.get(&operation).cloned() {
                self.notify_waiters(operation, &outcome);
            }
        }
    }
}

/// Returns the state machine that a command is for, or an error if this program does not know it or cannot
/// read the command's version.
fn supporting_state_machine<'a>(
    state_machines: &'a mut BTreeMap<StateMachineId, Box<dyn ReplicatedStateMachine>>,
    command: &Command,
) -> Result<&'a mut dyn ReplicatedStateMachine, ApplyError> {
    let Command { state_machine: id, version, .. } = *command;
    let state_machine = state_machines.get_mut(&id).ok_or(ApplyError::UnknownStateMachine(id))?;
    let supported = state_machine.supported_versions();
    if !supported.contains(&version) {
        return Err(ApplyError::UnsupportedVersion { id, version, supported });
    }
    Ok(state_machine.as_mut())
}

/// Applies a command, and truncates the state machine's answer or rejection to the limits of an outcome.
fn apply_command(
    state_machine: &mut dyn ReplicatedStateMachine,
    position: LogPosition,
    command: &Command,
) -> Outcome {
    match state_machine.apply(position, command.version, &command.body) {
        Ok(answer) => Outcome::Done(answer.iter().copied().take(MAX_OUTCOME_BYTES).collect()),
        Err(Rejection(reason)) => {
            Outcome::Rejected(Rejection(reason.chars().take(MAX_REJECTION_CHARS).collect()))
        }
    }
}

impl RegistrySnapshot {
    /// Decodes a snapshot. An empty one is the initial state of a new group.
    fn decode(encoded: &[u8]) -> Result<Self, postcard::Error> {
        if encoded.is_empty() {
            return Ok(Self { applied: Index(0), state_machines: Vec::new(), outcomes: Vec::new() });
        }
        postcard::from_bytes(encoded)
    }
}

impl StateMachine for StateMachineRegistry {
    fn apply(&mut self, position: LogPosition, command: &[u8]) -> Result<(), String> {
        self.update(|inner| inner.apply(position, command)).map_err(|cause| cause.to_string())
    }

    fn encode(&self) -> Bytes {
        self.inner().encode().into()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), String> {
        self.update(|inner| inner.restore(state)).map_err(|cause| cause.to_string())
    }
}

#[cfg(test)]
mod tests;
