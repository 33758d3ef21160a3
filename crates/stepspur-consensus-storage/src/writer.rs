//! The thread that writes, so that nothing but what depends on a write waits for a slow disk.

use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

use stepspur_consensus::WriteRequest;

use crate::error::StorageError;
use crate::store::Store;

/// The most requests in a transaction. They gather while an earlier one is written, so that a slow disk has
/// fewer transactions.
const MAX_REQUESTS_PER_TRANSACTION: usize = 64;
/// The name of the thread.
const THREAD_NAME: &str = "state";

/// What became of write requests.
#[derive(Debug)]
pub enum WriteOutcome {
    /// All requests up to this number are durable.
    Durable(u64),
    /// A write failed. Nothing more is written, and no outcome follows.
    Failed(StorageError),
}

/// The queue is full, as the disk stalls or has failed. The request is lost: its member must take no part in
/// the group from here on.
#[derive(Debug, thiserror::Error)]
#[error("the disk takes no more: {capacity} saves wait")]
pub struct QueueFull {
    /// The requests that may wait.
    pub capacity: usize,
}

/// Writes requests in a thread of its own.
#[derive(Debug)]
pub struct Writer {
    queue: SyncSender<WriteRequest>,
    capacity: usize,
    thread: JoinHandle<Store>,
}

impl Writer {
    /// Starts the thread, with a queue for `capacity` requests. `on_outcome` is called in that thread.
    ///
    /// # Errors
    /// The system starts no thread.
    pub fn start(
        store: Store,
        capacity: usize,
        on_outcome: impl FnMut(WriteOutcome) + Send + 'static,
    ) -> io::Result<Self> {
        let (queue, requests) = sync_channel(capacity);
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned());
        let thread = thread.spawn(move || run(on_outcome, store, requests))?;
        Ok(Self { queue, capacity, thread })
    }

    /// Queues a request. It never waits.
    ///
    /// # Errors
    /// [`QueueFull`] if the queue is full, or a write has failed.
    pub fn enqueue(&self, request: WriteRequest) -> Result<(), QueueFull> {
        self.queue.try_send(request).map_err(|cause| match cause {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => QueueFull { capacity: self.capacity },
        })
    }

    /// Writes what is queued, and ends the thread. It waits for the disk. Gives the store back; none if the
    /// thread panicked.
    pub fn close(self) -> Option<Store> {
        drop(self.queue);
        self.thread.join().ok()
    }
}

/// Writes until the queue is closed or a write fails. `requests` is the last parameter so that it is dropped
/// first: once no outcome follows, no request is accepted either.
fn run(
    mut on_outcome: impl FnMut(WriteOutcome),
    mut store: Store,
    requests: Receiver<WriteRequest>,
) -> Store {
    while let Ok(first) = requests.recv() {
        let mut batch = vec![first];
        batch.extend(requests.try_iter().take(MAX_REQUESTS_PER_TRANSACTION - 1));
        let last = batch.last().map_or(0, |request| request.number);
        match store.write(&batch) {
            Ok(()) => on_outcome(WriteOutcome::Durable(last)),
            Err(cause) => {
                on_outcome(WriteOutcome::Failed(cause));
                break;
            }
        }
    }
    store
}
