//! A member's storage as a trait, and the state file as one. Tests put storage in memory in its place.

use std::io;

use stepspur_council::{MemberId, Save};
use stepspur_state::{Store, Told, Writer};

use crate::transport::Later;

/// Called with what becomes of saves: all up to this number are durable, or the storage has failed and reports
/// nothing more.
pub type Tell = Box<dyn FnMut(Result<u64, String>) + Send>;

/// A member's storage, opened and read.
pub trait Storage: Send {
    /// The member that it belongs to.
    fn id(&self) -> MemberId;

    /// Takes saves from now on, and tells what becomes of them.
    ///
    /// # Errors
    /// The system's, if it gives no thread.
    fn serve(self: Box<Self>, tell: Tell) -> io::Result<Box<dyn SaveQueue>>;
}

/// Saves on their way to the storage.
pub trait SaveQueue: Send {
    /// Queues a save. It never waits.
    ///
    /// # Errors
    /// Why no more are taken.
    fn save(&self, save: Save) -> Result<(), String>;

    /// Writes what is queued, and ends. It may wait for ever where the storage hangs.
    fn close(self: Box<Self>) -> Later<'static, ()>;
}

/// Saves that may be queued: a member that writes more has stalled storage.
const SAVES_MAX: usize = 1_024;

impl Storage for Store {
    fn id(&self) -> MemberId {
        Store::id(self)
    }

    fn serve(self: Box<Self>, mut tell: Tell) -> io::Result<Box<dyn SaveQueue>> {
        let told = move |what| match what {
            Told::Kept(number) => tell(Ok(number)),
            Told::Failed(fault) => tell(Err(fault.to_string())),
        };
        Ok(Box::new(Writer::start(*self, SAVES_MAX, told)?))
    }
}

impl SaveQueue for Writer {
    fn save(&self, save: Save) -> Result<(), String> {
        Writer::save(self, save).map_err(|busy| busy.to_string())
    }

    fn close(self: Box<Self>) -> Later<'static, ()> {
        Box::pin(async {
            // The thread is waited for on the blocking pool, never in a task.
            let _ = tokio::task::spawn_blocking(|| drop(Writer::close(*self))).await;
        })
    }
}
