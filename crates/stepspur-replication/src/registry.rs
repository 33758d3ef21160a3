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

/// Outcomes are retained for this many entries. A repeated operation within them is recognized; one that was
/// first proposed before them is rejected, as it might have been applied and its outcome discarded.
pub const MAX_OUTCOMES: u64 = 16_384;
/// Length of a state machine's answer, in bytes, at most. A longer one is cut, as it is stored with its id.
pub const MAX_OUTCOME_BYTES: usize = 1_024;
/// Characters of a rejection at most: a character has 4 bytes at most.
const MAX_REJECTION_CHARS: usize = MAX_OUTCOME_BYTES / 4;
/// Length of an entry's command, in bytes, at most: its body and its envelope.
const MAX_COMMAND_BYTES: usize = 2 * MAX_BODY_BYTES;

/// The state machines of a member, shared by the member's task and its readers.
#[derive(Clone)]
pub struct StateMachineRegistry(Arc<RwLock<Inner>>);

struct Inner {
    state_machines: BTreeMap<StateMachineId, Box<dyn ReplicatedStateMachine>>,
    /// Operations with an outcome, in the order of their entries; the oldest is discarded first.
    completed: VecDeque<CompletedOperation>,
    outcomes: BTreeMap<OperationId, Outcome>,
    applied: Index,
    /// Local callers that wait for an operation. They are not part of the replicated state.
    waiters: BTreeMap<WaiterKey, oneshot::Sender<Outcome>>,
    last_waiter: u64,
}

#[derive(Clone, Copy)]
struct CompletedOperation {
    index: Index,
    id: OperationId,
}

/// Sorted by operation, so that the waiters of one operation are a range.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaiterKey {
    operation: OperationId,
    number: u64,
}

/// Waits for the outcome of an operation; deregisters on drop.
pub(crate) struct OutcomeWaiter {
    registry: StateMachineRegistry,
    key: WaiterKey,
    outcome: oneshot::Receiver<Outcome>,
}

impl OutcomeWaiter {
    /// Returns the outcome once the operation is applied here; `None` if the registry is gone.
    pub(crate) async fn outcome(&mut self) -> Option<Outcome> {
        (&mut self.outcome).await.ok()
    }
}

impl Drop for OutcomeWaiter {
    fn drop(&mut self) {
        self.registry.update(|inner| drop(inner.waiters.remove(&self.key)));
    }
}

/// The state that a consensus snapshot carries, in stored form.
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

/// Why the member stops before an entry.
///
/// The texts are what operators read; `book` is their earlier word for a state machine.
#[derive(Debug, thiserror::Error)]
enum ApplyError {
    #[error("a command of {0} bytes")]
    TooLarge(usize),
    #[error(transparent)]
    Decode(#[from] DecodeCommandError),
    #[error("book {0} is not known to this program: start a newer one")]
    UnknownStateMachine(StateMachineId),
    #[error("state machine {id} in version {version}, and this program knows {supported:?}")]
    UnsupportedVersion { id: StateMachineId, version: u16, supported: RangeInclusive<u16> },
}

/// Why a snapshot is not restored.
#[derive(Debug, thiserror::Error)]
enum RegistryRestoreError {
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
    #[error("book {id} in version {version} is not known to this program")]
    Unsupported { id: StateMachineId, version: u16 },
    #[error("book {id}: {cause}")]
    StateMachine { id: StateMachineId, cause: RestoreError },
}

impl StateMachineRegistry {
    /// A registry of state machines in their initial state. Of two with the same id the later one is taken.
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

    /// The last entry with a command that was applied here.
    pub fn applied(&self) -> Index {
        self.inner().applied
    }

    /// Calls `read` with a state machine; `None` if there is no such state machine of this type.
    pub fn inspect<S: ReplicatedStateMachine, T>(
        &self,
        id: StateMachineId,
        read: impl FnOnce(&S) -> T,
    ) -> Option<T> {
        let inner = self.inner();
        let state_machine: &dyn Any = inner.state_machines.get(&id)?.as_ref();
        state_machine.downcast_ref::<S>().map(read)
    }

    /// The version of a state machine's commands that this program writes; `None` if there is no such state
    /// machine.
    pub fn version(&self, id: StateMachineId) -> Option<u16> {
        self.inner().state_machines.get(&id).map(|state_machine| state_machine.version())
    }

    /// The SHA-256 digest of each state machine: the same at every member that has applied the same entries.
    pub fn digests(&self) -> BTreeMap<StateMachineId, [u8; 32]> {
        let inner = self.inner();
        let state_machines = inner.state_machines.iter();
        state_machines.map(|(id, machine)| (*id, Sha256::digest(machine.encode()).into())).collect()
    }

    /// Waits for the outcome of an operation, which may be there already. Several callers may wait for the
    /// same one.
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
            // The receiver is held by the caller, so that sending cannot fail.
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
        } else if position.index.0 > command.id.since.0 + MAX_OUTCOMES {
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

    /// An operation of `since` is rejected after `since + MAX_OUTCOMES`, and its entry lies after `since`. So
    /// the outcome is not needed once the log has passed its entry by [`MAX_OUTCOMES`].
    fn discard_old_outcomes(&mut self, applied: Index) {
        let is_old = |operation: &mut CompletedOperation| operation.index.0 + MAX_OUTCOMES < applied.0;
        while let Some(operation) = self.completed.pop_front_if(is_old) {
            self.outcomes.remove(&operation.id);
        }
    }

    fn notify_waiters(&mut self, operation: OperationId, outcome: &Outcome) {
        let first = WaiterKey { operation, number: 0 };
        let last = WaiterKey { operation, number: u64::MAX };
        let keys: Vec<WaiterKey> = self.waiters.range(first..=last).map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(sender) = self.waiters.remove(&key) {
                // A caller that has just given up needs no outcome.
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

    fn check_snapshot(&self, snapshot: &RegistrySnapshot) -> Result<(), RegistryRestoreError> {
        for stored in &snapshot.state_machines {
            let state_machine = self.state_machines.get(&stored.id);
            if !state_machine.is_some_and(|known| known.supported_versions().contains(&stored.version)) {
                return Err(RegistryRestoreError::Unsupported { id: stored.id, version: stored.version });
            }
        }
        Ok(())
    }

    fn notify_waiters_of_restored(&mut self) {
        let operations: BTreeSet<OperationId> = self.waiters.keys().map(|key| key.operation).collect();
        for operation in operations {
            if let Some(outcome) = self.outcomes.get(&operation).cloned() {
                self.notify_waiters(operation, &outcome);
            }
        }
    }
}

/// The state machine that a command is for, if this program knows it in the command's version.
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

fn apply_command(
    state_machine: &mut dyn ReplicatedStateMachine,
    position: LogPosition,
    command: &Command,
) -> Outcome {
    match state_machine.apply(position, command.version, &command.body) {
        Ok(answer) => Outcome::Done(answer.iter().copied().take(MAX_OUTCOME_BYTES).collect()),
        Err(Rejection(reason)) => {
            Outcome::Refused(Rejection(reason.chars().take(MAX_REJECTION_CHARS).collect()))
        }
    }
}

impl RegistrySnapshot {
    /// An empty snapshot is the initial state of a new group.
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
