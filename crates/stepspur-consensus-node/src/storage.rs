//! The traits for a member's stable storage, and their implementation by the state file. Tests implement them
//! with storage in memory.

use std::io;

use stepspur_consensus::{MemberId, WriteRequest};
use stepspur_consensus_storage::{Store, WriteOutcome, Writer};

use crate::transport::BoxFuture;

/// The capacity of the write queue. A full queue means that the disk has stalled, and halts the member.
const MAX_QUEUED_WRITES: usize = 1_024;

/// The result of writes, reported by the storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageEvent {
    /// All writes up to this number are durable.
    Durable {
        /// The highest number of a durable write, as in [`WriteRequest::number`].
        number: u64,
    },
    /// The storage has failed. It writes nothing more, and no event follows.
    Failed {
        /// The storage's error, for the log.
        reason: String,
    },
}

/// The function that the storage calls for each event, possibly in another thread.
pub type StorageCallback = Box<dyn FnMut(StorageEvent) + Send>;

/// A write was not queued, because the queue is full or the storage has failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct WriteRejected {
    /// The storage's error, for the log.
    pub reason: String,
}

/// A member's stable storage, open and already read, before it accepts writes.
pub trait Storage: Send {
    /// Returns the identity of the member that the storage belongs to.
    fn id(&self) -> MemberId;

    /// Starts to accept writes. Calls `on_event` with their results.
    ///
    /// # Errors
    /// The error of the operating system if it cannot start a thread.
    fn start(self: Box<Self>, on_event: StorageCallback) -> io::Result<Box<dyn WriteQueue>>;
}

/// The queue of writes to the storage.
pub trait WriteQueue: Send {
    /// Queues a write without waiting for the disk. Writes are done in the order of the calls.
    ///
    /// # Errors
    /// [`WriteRejected`] if the queue is full or the storage has failed.
    fn enqueue(&self, write: WriteRequest) -> Result<(), WriteRejected>;

    /// Finishes the queued writes, and closes the storage. The future never completes if the storage hangs.
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
            // Joining the thread blocks until the disk has finished, so it is done on the blocking pool.
            let _ = tokio::task::spawn_blocking(|| drop(Writer::close(*self))).await;
        })
    }
}
