//! The handle of a running member, for proposals and reads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use stepspur_consensus::Index;
use stepspur_consensus_node::NodeHandle;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::command::{Command, MAX_BODY_BYTES, OperationId, Outcome};
use crate::proposal_limiter::{ProposalLimiter, ProposalLimits, ProposalPermit};
use crate::registry::{OutcomeWaiter, StateMachineRegistry};
use crate::state_machine::{Rejection, ReplicatedStateMachine, StateMachineId};

/// While no leader is known, a read index is requested this many times per retry interval.
const LEADER_POLLS_PER_RETRY_INTERVAL: u32 = 8;

/// Why a proposal or a read has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicationError {
    /// Too many proposals of the state machine or the tenant are in flight. Nothing was proposed.
    #[error("too many proposals are in flight; retry after {after:?}")]
    TooManyInFlight {
        /// How long to wait before a retry.
        after: Duration,
    },
    /// The body of a proposal is too large, or the state machine of a proposal or read is unknown or, for a
    /// read, of another type. Nothing was proposed or read.
    #[error("invalid command: {0}")]
    InvalidCommand(#[from] InvalidCommand),
    /// The state machine rejected the command, at every member. Its state is unchanged.
    #[error("rejected by the state machine: {0}")]
    Rejected(#[from] Rejection),
    /// No outcome arrived in time, or the node stopped meanwhile. The operation may have taken effect, or may
    /// take effect later. Its id serves as an idempotency key: proposed again with this id, the operation
    /// takes effect at most once.
    #[error("the outcome of operation {0} is unknown")]
    UnknownOutcome(OperationId),
    /// This proposal was not applied, as more than [`MAX_OUTCOMES`](crate::MAX_OUTCOMES) entries have
    /// followed the creation of the id. An earlier proposal of the same operation may have been applied, and
    /// its outcome discarded.
    #[error("operation {0} is too old: the outcome of an earlier proposal may have been discarded")]
    TooOld(OperationId),
    /// A read did not complete in time: no leader responded, or this member did not apply the entries up to
    /// the read index. Also returned if the member stops while the read waits for these entries.
    #[error("the read did not complete in time: no leader responded, or this member is behind")]
    ReadTimeout,
    /// The member has stopped applying entries. Holds the reason.
    #[error("this member has stopped applying entries: {0}")]
    Stopped(String),
}

/// Why a command cannot be proposed, or a state machine cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCommand {
    /// The body is longer than [`MAX_BODY_BYTES`]. Holds its length in bytes.
    #[error("the body has {0} bytes, the limit is {MAX_BODY_BYTES}")]
    TooLarge(usize),
    /// This member has no state machine with this id, or a read expects it to be of another type.
    #[error("state machine {0} is not known at this member")]
    UnknownStateMachine(StateMachineId),
}

/// How far the log was applied at a stale read, and for how long that has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleRead {
    /// The last entry that this member has applied.
    pub applied: Index,
    /// The time since `applied` or the member's halt reason last changed, or since the client was created, by
    /// this member's clock. It is no bound on staleness: entries that were committed earlier may be missing.
    pub unchanged_for: Duration,
}

/// Proposes commands to the state machines of a running member, and reads from them. Clones share their
/// limits.
#[derive(Clone)]
pub struct ReplicationClient {
    node: Arc<NodeHandle>,
    registry: StateMachineRegistry,
    limits: ProposalLimits,
    limiter: ProposalLimiter,
    /// A random number that differs between the starts of a member, see [`OperationId::incarnation`].
    incarnation: u64,
    /// The number of the next operation id.
    next_operation: Arc<AtomicU64>,
    last_applied: Arc<LastApplied>,
}

/// Records when the member's applied index or halt reason last changed. The recording task is aborted on
/// drop.
struct LastApplied {
    /// When the recording started.
    origin: Instant,
    /// When the last change occurred, in milliseconds since `origin`; 0 before the first.
    millis: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl LastApplied {
    /// Starts to record changes of a node's applied index and halt reason.
    fn record(node: &NodeHandle) -> Self {
        let origin = Instant::now();
        let millis = Arc::new(AtomicU64::new(0));
        let recorded = Arc::clone(&millis);
        let mut progress = node.applied();
        let task = tokio::spawn(async move {
            while progress.changed().await.is_ok() {
                recorded.store(saturating_millis(origin.elapsed()), Ordering::Relaxed);
            }
        });
        Self { origin, millis, task }
    }

    /// Returns the time since the last change, or since the recording started.
    fn elapsed(&self) -> Duration {
        let applied_after = Duration::from_millis(self.millis.load(Ordering::Relaxed));
        self.origin.elapsed().saturating_sub(applied_after)
    }
}

impl Drop for LastApplied {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ReplicationClient {
    /// Creates the client of a member that was started with this registry. `incarnation` is a random number
    /// that must differ from that of every earlier start of the member.
    pub fn new(
        node: Arc<NodeHandle>,
        registry: StateMachineRegistry,
        limits: ProposalLimits,
        incarnation: u64,
    ) -> Self {
        let last_applied = Arc::new(LastApplied::record(&node));
        let limiter = ProposalLimiter::new(&limits);
        let next_operation = Arc::new(AtomicU64::new(0));
        Self { node, registry, limits, limiter, incarnation, next_operation, last_applied }
    }

    /// Returns the consensus node of this member.
    pub fn node(&self) -> &NodeHandle {
        &self.node
    }

    /// Returns the state machines as this member has applied them.
    pub fn registry(&self) -> &StateMachineRegistry {
        &self.registry
    }

    /// Returns a new operation id. Retain it to propose the operation again after an unknown outcome.
    pub fn new_operation_id(&self) -> OperationId {
        let number = self.next_operation.fetch_add(1, Ordering::Relaxed);
        let created_at_index = self.node.applied().borrow().index;
        OperationId { member: self.node.id(), incarnation: self.incarnation, number, created_at_index }
    }

    /// Proposes a command and waits for at most `timeout` until it is applied at this member. Returns the
    /// answer of the state machine. The proposal counts toward the limit of `tenant`'s proposals in flight.
    ///
    /// # Errors
    /// [`ReplicationError::InvalidCommand`], [`ReplicationError::TooManyInFlight`] and
    /// [`ReplicationError::Stopped`] if nothing was proposed; [`ReplicationError::Rejected`] and
    /// [`ReplicationError::TooOld`] if the operation was rejected; [`ReplicationError::UnknownOutcome`] if
    /// the outcome did not arrive in time or the node stopped meanwhile.
    pub async fn propose(
        &self,
        id: OperationId,
        state_machine: StateMachineId,
        tenant: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, ReplicationError> {
        let deadline = Instant::now() + timeout;
        let version = self.check_command(state_machine, body)?;
        let _permit = self.acquire_permit(state_machine, tenant)?;
        self.check_running()?;
        let command = Command { id, state_machine, version, body: body.to_vec() }.encode();
        let mut waiter = self.registry.wait_for_outcome(id);
        match timeout_at(deadline, self.propose_until_applied(&command, &mut waiter)).await {
            Ok(Some(Outcome::Done(answer))) => Ok(answer),
            Ok(Some(Outcome::Rejected(rejection))) => Err(rejection.into()),
            Ok(Some(Outcome::TooOld)) => Err(ReplicationError::TooOld(id)),
            Ok(None) | Err(_) => Err(ReplicationError::UnknownOutcome(id)),
        }
    }

    /// Checks that a command can be proposed, and returns the version of the state machine's commands.
    fn check_command(&self, state_machine: StateMachineId, body: &[u8]) -> Result<u16, InvalidCommand> {
        if body.len() > MAX_BODY_BYTES {
            return Err(InvalidCommand::TooLarge(body.len()));
        }
        self.registry.version(state_machine).ok_or(InvalidCommand::UnknownStateMachine(state_machine))
    }

    fn acquire_permit(
        &self,
        state_machine: StateMachineId,
        tenant: &str,
    ) -> Result<ProposalPermit, ReplicationError> {
        let permit = self.limiter.try_acquire(state_machine, tenant);
        permit.ok_or(ReplicationError::TooManyInFlight { after: self.limits.retry_after })
    }

    /// Repeats the proposal at each retry interval until it is applied at this member. The operation id makes
    /// it take effect once. Returns `None` if the node has stopped.
    async fn propose_until_applied(&self, command: &Bytes, waiter: &mut OutcomeWaiter) -> Option<Outcome> {
        loop {
            self.node.propose_command(command.clone()).await.ok()?;
            if let Ok(outcome) = timeout(self.limits.retry_interval, waiter.outcome()).await {
                return outcome;
            }
        }
    }

    /// Calls `read` with a state machine that has applied all entries committed before this call
    /// (linearizable read, Raft thesis 6.4). Waits for at most `timeout`.
    ///
    /// # Errors
    /// [`ReplicationError::ReadTimeout`] if the read did not complete in time, [`ReplicationError::Stopped`]
    /// if the member has stopped applying entries, [`ReplicationError::InvalidCommand`] if the state machine
    /// is unknown or of another type.
    pub async fn read<S: ReplicatedStateMachine, T>(
        &self,
        state_machine: StateMachineId,
        timeout: Duration,
        read: impl FnOnce(&S) -> T,
    ) -> Result<T, ReplicationError> {
        let deadline = Instant::now() + timeout;
        let index = timeout_at(deadline, self.read_index()).await;
        let index = index.map_err(|_| ReplicationError::ReadTimeout)??;
        let mut progress = self.node.applied();
        let reached = progress.wait_for(|progress| progress.index >= index || progress.halt_reason.is_some());
        let reached = timeout_at(deadline, reached).await;
        reached.map_err(|_| ReplicationError::ReadTimeout)?.map_err(|_| ReplicationError::ReadTimeout)?;
        self.check_running()?;
        self.inspect(state_machine, read)
    }

    /// Requests a read index from the leader until one responds.
    async fn read_index(&self) -> Result<Index, ReplicationError> {
        loop {
            self.check_running()?;
            match timeout(self.limits.retry_interval, self.node.read_index()).await {
                Ok(Ok(Some(index))) => return Ok(index),
                // The request was rejected, probably as an election is in progress.
                Ok(Ok(None)) => sleep(self.limits.retry_interval / LEADER_POLLS_PER_RETRY_INTERVAL).await,
                Ok(Err(ended)) => return Err(ReplicationError::Stopped(ended.to_string())),
                Err(_) => {}
            }
        }
    }

    /// Calls `read` with a state machine as this member has applied it, without contacting the leader. Also
    /// returns the applied index and when it last changed.
    ///
    /// # Errors
    /// [`ReplicationError::InvalidCommand`] if the state machine is unknown or of another type.
    pub fn read_stale<S: ReplicatedStateMachine, T>(
        &self,
        state_machine: StateMachineId,
        read: impl FnOnce(&S) -> T,
    ) -> Result<(T, StaleRead), ReplicationError> {
        let applied = self.node.applied().borrow().index;
        let unchanged_for = self.last_applied.elapsed();
        Ok((self.inspect(state_machine, read)?, StaleRead { applied, unchanged_for }))
    }

    fn inspect<S: ReplicatedStateMachine, T>(
        &self,
        state_machine: StateMachineId,
        read: impl FnOnce(&S) -> T,
    ) -> Result<T, ReplicationError> {
        let found = self.registry.inspect(state_machine, read);
        Ok(found.ok_or(InvalidCommand::UnknownStateMachine(state_machine))?)
    }

    fn check_running(&self) -> Result<(), ReplicationError> {
        match &self.node.applied().borrow().halt_reason {
            Some(reason) => Err(ReplicationError::Stopped(reason.clone())),
            None => Ok(()),
        }
    }
}

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
