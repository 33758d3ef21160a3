//! A member's storage as a trait, and the state file as one. Tests use storage in memory.

use std::io;

use stepspur_consensus::{MemberId, WriteRequest};
use stepspur_consensus_storage::{Store, WriteOutcome, Writer};

use crate::transport::BoxFuture;

/// The most writes in the queue: a member with more has stalled storage.
const MAX_QUEUED_WRITES: usize = 1_024;

/// What became of writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageEvent {
    /// All writes up to this number are durable.
    Durable {
        /// The number.
        number: u64,
    },
    /// The storage has failed. No event follows.
    Failed {
        /// Why.
        reason: String,
    },
}

/// Called for each event of the storage.
pub type StorageCallback = Box<dyn FnMut(StorageEvent) + Send>;

/// Why a write was not queued: the queue is full, or the storage has failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct WriteRejected {
    /// The storage's reason.
    pub reason: String,
}

/// A member's storage, opened and read.
pub trait Storage: Send {
    /// The member that it belongs to.
    fn id(&self) -> MemberId;

    /// Starts to accept writes, and reports what becomes of them.
    ///
    /// # Errors
    /// The system starts no thread.
    fn start(self: Box<Self>, on_event: StorageCallback) -> io::Result<Box<dyn WriteQueue>>;
}

/// Writes on their way to the storage.
pub trait WriteQueue: Send {
    /// Queues a write. It never waits.
    ///
    /// # Errors
    /// The queue is full, or the storage has failed.
    fn enqueue(&self, write: WriteRequest) -> Result<(), WriteRejected>;

    /// Writes what is queued, and ends. It may never complete if the storage hangs.
    fn close(self: Box<Self>) -> BoxFuture<'static, ()>;
}

impl Storage for Store {
    fn id(&self) -> MemberId {
        Store::id(self)
    }

    fn start(self: Box<Self>, mut on_event: StorageCallback) -> io::Result<Box<dyn WriteQueue>> {
        let on_outcome = move |outcome| match outcome {
            WriteOutcome::Durable(number) => on_event(StorageEvent::Durable { number }),
            WriteOutcome::Failed(cause) => on_event(StorageEvent::Failed { reason: cause.to_string() }),
        };
        Ok(Box::new(Writer::start(*self, MAX_QUEUED_WRITES, on_outcome)?))
    }
}

impl WriteQueue for Writer {
    fn enqueue(&self, write: WriteRequest) -> Result<(), WriteRejected> {
        Writer::enqueue(self, write).map_err(|full| WriteRejected { reason: full.to_string() })
    }

    fn close(self: Box<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async {
            // The thread is joined on the blocking pool, as that may take long.
            let _ = tokio::task::spawn_blocking(|| drop(Writer::close(*self))).await;
        })
    }
}
