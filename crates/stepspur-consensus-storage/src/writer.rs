//! A thread that writes to the store, so that a slow disk delays only what depends on a write.

use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

use stepspur_consensus::WriteRequest;

use crate::error::StorageError;
use crate::store::Store;

/// The maximum number of requests in one transaction. Requests queue up while an earlier transaction is
/// written, so that a slow disk has fewer and larger transactions.
const MAX_REQUESTS_PER_TRANSACTION: usize = 64;
/// The thread's name in tools such as `top` and in panic messages.
const THREAD_NAME: &str = "state";

/// The result of write requests.
#[derive(Debug)]
pub enum WriteOutcome {
    /// All requests up to this [number](WriteRequest::number) are durable.
    Durable(u64),
    /// A write failed. The thread ends: nothing more is written, and no outcome follows.
    Failed(StorageError),
}

/// The request was not queued, because the disk has stalled or a write has failed. The request is lost, so
/// its member must not vote or acknowledge entries until it is restarted.
#[derive(Debug, thiserror::Error)]
#[error("the write queue of {capacity} requests is full, or an earlier write has failed")]
pub struct QueueFull {
    /// The capacity of the queue, in requests.
    pub capacity: usize,
}

/// Writes requests to a [`Store`] in a thread of its own.
#[derive(Debug)]
pub struct Writer {
    queue: SyncSender<WriteRequest>,
    capacity: usize,
    thread: JoinHandle<Store>,
}

impl Writer {
    /// Starts the thread, with a queue of `capacity` requests. Calls `on_outcome` in that thread.
    ///
    /// # Errors
    /// The error of the operating system if it cannot start a thread.
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

    /// Queues a request without waiting for the disk.
    ///
    /// # Errors
    /// [`QueueFull`] if the queue is full or a write has failed.
    pub fn enqueue(&self, request: WriteRequest) -> Result<(), QueueFull> {
        self.queue.try_send(request).map_err(|cause| match cause {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => QueueFull { capacity: self.capacity },
        })
    }

    /// Writes the queued requests and ends the thread. Blocks until the disk has finished. Returns the store;
    /// `None` if the thread panicked.
    pub fn close(self) -> Option<Store> {
        drop(self.queue);
        self.thread.join().ok()
    }
}

/// Writes until the queue is closed or a write fails. `requests` is the last parameter because parameters are
/// dropped in reverse order: the queue is closed before `on_outcome` is dropped, so that no request is
/// accepted once no further outcome can follow.
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
