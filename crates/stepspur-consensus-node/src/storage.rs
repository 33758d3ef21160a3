//! A member's storage as a trait, and the state file as one. Tests put storage in memory in its place.

use std::io;

use stepspur_consensus::{MemberId, WriteRequest};
use stepspur_consensus_storage::{Store, WriteOutcome, Writer};

use crate::transport::BoxFuture;

/// Called with what becomes of saves: all up to this number are durable, or the storage has failed and reports
/// nothing more.
pub type WriteCallback = Box<dyn FnMut(Result<u64, String>) + Send>;

/// A member's storage, opened and read.
pub trait Storage: Send {
    /// The member that it belongs to.
    fn id(&self) -> MemberId;

    /// Takes saves from now on, and tells what becomes of them.
    ///
    /// # Errors
    /// The system's, if it gives no thread.
    fn serve(self: Box<Self>, tell: WriteCallback) -> io::Result<Box<dyn SaveQueue>>;
}

/// Saves on their way to the storage.
pub trait SaveQueue: Send {
    /// Queues a save. It never waits.
    ///
    /// # Errors
    /// Why no more are taken.
    fn save(&self, save: WriteRequest) -> Result<(), String>;

    /// Writes what is queued, and ends. It may wait for ever where the storage hangs.
    fn close(self: Box<Self>) -> BoxFuture<'static, ()>;
}

/// Saves that may be queued: a member that writes more has stalled storage.
const SAVES_MAX: usize = 1_024;

impl Storage for Store {
    fn id(&self) -> MemberId {
        Store::id(self)
    }

    fn serve(self: Box<Self>, mut tell: WriteCallback) -> io::Result<Box<dyn SaveQueue>> {
        let told = move |what| match what {
            WriteOutcome::Kept(number) => tell(Ok(number)),
            WriteOutcome::Failed(fault) => tell(Err(fault.to_string())),
        };
        Ok(Box::new(Writer::start(*self, SAVES_MAX, told)?))
    }
}

impl SaveQueue for Writer {
    fn save(&self, save: WriteRequest) -> Result<(), String> {
        Writer::save(self, save).map_err(|busy| busy.to_string())
    }

    fn close(self: Box<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async {
            // The thread is waited for on the blocking pool, never in a task.
            let _ = tokio::task::spawn_blocking(|| drop(Writer::close(*self))).await;
        })
    }
}
