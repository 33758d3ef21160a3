//! The handle through which other tasks send commands to the task that owns an engine.

use std::collections::BTreeMap;

use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::send_queue::{QueueLimits, SendQueue, SendQueueReceiver};
use crate::engine::{Input, Operation, OperationError, Stats, StreamId};

/// A command to the task that owns an engine.
#[derive(Debug)]
pub(crate) enum EngineCommand {
    /// Handle an event.
    Input(Input),
    /// Register a stream that has sent its first message. Its outbound frames go to `queue`; `cut` is
    /// cancelled to close it at once.
    Open { stream: StreamId, queue: SendQueue, cut: CancellationToken },
    /// Execute an operation and reply with the outcome.
    Operate { operation: Operation, reply: oneshot::Sender<Result<(), OperationError>> },
    /// Reply with the engine's counters.
    Stats { reply: oneshot::Sender<Stats> },
}

/// The engines of a conductor by the names of their tenants. Without identity there is a single engine, under
/// the empty name.
pub(crate) type EnginesByTenant = BTreeMap<String, EngineHandle>;

/// Why an operation was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum OperateError {
    /// The engine's task has ended.
    #[error("the conductor stops")]
    Stopped,
    /// The engine rejects the operation.
    #[error(transparent)]
    Rejected(#[from] OperationError),
}

/// Sends commands to the task that owns an engine.
#[derive(Clone, Debug)]
pub struct EngineHandle {
    commands: mpsc::Sender<EngineCommand>,
}

impl EngineHandle {
    /// Creates a handle that sends to the engine task's queue.
    pub(crate) fn new(commands: mpsc::Sender<EngineCommand>) -> Self {
        Self { commands }
    }

    /// Sends an event, waiting while the engine's queue is full. Returns false once the engine has ended.
    pub async fn send(&self, input: Input) -> bool {
        self.commands.send(EngineCommand::Input(input)).await.is_ok()
    }

    /// Opens a stream before its proxy joins, and returns the queue of messages to write to it, or none if
    /// the engine has ended. `abort` is cancelled if the queue would exceed `limits`.
    pub async fn open(
        &self,
        stream: StreamId,
        limits: QueueLimits,
        abort: CancellationToken,
    ) -> Option<SendQueueReceiver> {
        let (queue, outbound) = SendQueue::new(limits);
        self.open_with(stream, queue, abort).await.then_some(outbound)
    }

    /// Opens a stream like [`EngineHandle::open`], with a queue from the caller. Returns false once the
    /// engine has ended.
    pub(crate) async fn open_with(&self, stream: StreamId, queue: SendQueue, cut: CancellationToken) -> bool {
        self.commands.send(EngineCommand::Open { stream, queue, cut }).await.is_ok()
    }

    /// Reads the engine's counters; none once the engine has ended.
    pub async fn stats(&self) -> Option<Stats> {
        let (reply, response) = oneshot::channel();
        self.commands.send(EngineCommand::Stats { reply }).await.ok()?;
        response.await.ok()
    }

    /// Executes an operation and waits for its result.
    ///
    /// # Errors
    /// The engine rejects the operation, or has ended.
    pub(crate) async fn operate(&self, operation: Operation) -> Result<(), OperateError> {
        let (reply, response) = oneshot::channel();
        let command = EngineCommand::Operate { operation, reply };
        self.commands.send(command).await.map_err(|_| OperateError::Stopped)?;
        let result = response.await.map_err(|_| OperateError::Stopped)?;
        Ok(result?)
    }
}
