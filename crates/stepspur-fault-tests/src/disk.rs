//! An in-memory disk. Completed writes survive a crash of the member, queued writes are lost.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_consensus::{MemberId, PersistentState, WriteRequest};
use stepspur_consensus_node::{BoxFuture, Storage, StorageCallback, StorageEvent, WriteQueue, WriteRejected};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum number of queued writes.
const MAX_QUEUED_WRITES: usize = 1_024;

/// The durable state on a disk.
pub type StoredState = PersistentState;

#[derive(Debug)]
struct State {
    stored: PersistentState,
    write_latency: Duration,
    /// The error of every write; `None` while writes succeed.
    failure: Option<String>,
    /// Increases when the member is killed: writes that an earlier incarnation queued are lost.
    incarnation: u64,
}

/// The disk of one member. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryDisk {
    member: MemberId,
    state: Arc<Mutex<State>>,
}

impl MemoryDisk {
    /// Creates a disk with this content, on which each write takes the time `write_latency`.
    pub fn new(member: MemberId, stored: PersistentState, write_latency: Duration) -> Self {
        Self {
            member,
            state: Arc::new(Mutex::new(State { stored, write_latency, failure: None, incarnation: 0 })),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The durable state now, without the queued writes.
    pub fn stored_state(&self) -> StoredState {
        self.state().stored.clone()
    }

    /// Sets how long each write takes from now on.
    pub fn set_write_latency(&self, write_latency: Duration) {
        self.state().write_latency = write_latency;
    }

    /// Makes all writes from now on fail with this reason.
    pub fn fail_writes(&self, reason: &str) {
        self.state().failure = Some(reason.to_owned());
    }

    /// Simulates a crash of the member: writes that are not complete are lost.
    pub fn crash(&self) {
        self.state().incarnation += 1;
    }

    /// Opens the disk: the storage to start a member on, and the durable state.
    pub fn open(&self) -> (Box<dyn Storage>, PersistentState) {
        let stored = self.stored_state();
        (Box::new(OpenDisk { disk: self.clone(), incarnation: self.state().incarnation }), stored)
    }

    /// Applies a write and returns its number, or the error of a failed disk; `None` if the incarnation was
    /// killed.
    fn write(&self, incarnation: u64, request: &WriteRequest) -> Option<Result<u64, String>> {
        let mut state = self.state();
        if state.incarnation != incarnation {
            return None;
        }
        if let Some(reason) = &state.failure {
            return Some(Err(reason.clone()));
        }
        state.stored = state.stored.with_write(request);
        Some(Ok(request.number))
    }
}

/// The disk as one incarnation of its member has it.
struct OpenDisk {
    disk: MemoryDisk,
    incarnation: u64,
}

impl Storage for OpenDisk {
    fn id(&self) -> MemberId {
        self.disk.member
    }

    fn start(self: Box<Self>, mut callback: StorageCallback) -> io::Result<Box<dyn WriteQueue>> {
        let (writes, mut queue) = mpsc::channel::<WriteRequest>(MAX_QUEUED_WRITES);
        let task = tokio::spawn(async move {
            while let Some(request) = queue.recv().await {
                let latency = self.disk.state().write_latency;
                sleep(latency).await;
                match self.disk.write(self.incarnation, &request) {
                    Some(Ok(number)) => callback(StorageEvent::Durable { number }),
                    Some(Err(reason)) => return callback(StorageEvent::Failed { reason }),
                    None => return,
                }
            }
        });
        Ok(Box::new(WriteTask { writes, task }))
    }
}

/// The queue of the task that completes writes.
struct WriteTask {
    writes: mpsc::Sender<WriteRequest>,
    task: JoinHandle<()>,
}

impl WriteQueue for WriteTask {
    fn enqueue(&self, request: WriteRequest) -> Result<(), WriteRejected> {
        self.writes.try_send(request).map_err(|cause| WriteRejected {
            reason: format!("the disk's write queue is full or closed: {cause}"),
        })
    }

    fn close(self: Box<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async {
            drop(self.writes);
            let _ = self.task.await;
        })
    }
}
