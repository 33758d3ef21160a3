//! The thread that writes: nobody but the council waits for a slow disk.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

use stepspur_consensus::WriteRequest;

use crate::fault::StorageError;
use crate::store::Store;

/// Saves of one transaction at most: while one is written the next gather, so that a slow disk sees fewer of them.
const TOGETHER: usize = 64;

/// What became of saves.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The disk has all saves up to this number.
    Kept(u64),
    /// The disk failed: nothing more is written, and nothing more is told.
    Failed(StorageError),
}

/// So many saves wait that no more are taken: the disk is stalled. The save must not be forgotten: its member takes no
/// part from here on.
#[derive(Debug, thiserror::Error)]
#[error("the disk takes no more: {waiting} saves wait")]
pub struct QueueFull {
    /// So many wait.
    pub waiting: usize,
}

/// Writes saves in a thread of its own.
#[derive(Debug)]
pub struct Writer {
    to: SyncSender<WriteRequest>,
    room: usize,
    thread: JoinHandle<Store>,
}

impl Writer {
    /// Starts the thread; so many saves may wait. What becomes of them is told from that thread.
    ///
    /// # Errors
    /// The system's, if it starts no thread.
    pub fn start(
        store: Store,
        room: usize,
        told: impl FnMut(WriteOutcome) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (to, saves) = sync_channel(room);
        let thread = std::thread::Builder::new().name("state".to_owned());
        Ok(Self { to, room, thread: thread.spawn(move || write(told, store, saves))? })
    }

    /// Gives a save to be written. It never waits.
    ///
    /// # Errors
    /// [`QueueFull`], if too many wait, or the disk has failed.
    pub fn save(&self, save: WriteRequest) -> Result<(), QueueFull> {
        match self.to.try_send(save) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                Err(QueueFull { waiting: self.room })
            }
        }
    }

    /// Writes what waits, ends the thread and gives the store back; none if the thread panicked. It waits for the disk.
    pub fn close(self) -> Option<Store> {
        drop(self.to);
        self.thread.join().ok()
    }
}

/// What is given last goes first at the end: once nobody tells any more, no save is taken either.
fn write(mut told: impl FnMut(WriteOutcome), mut store: Store, saves: Receiver<WriteRequest>) -> Store {
    while let Ok(first) = saves.recv() {
        let together: Vec<WriteRequest> =
            std::iter::once(first).chain(saves.try_iter().take(TOGETHER - 1)).collect();
        let last = together.last().map_or(0, |save| save.number);
        match store.save(&together) {
            Ok(()) => told(WriteOutcome::Kept(last)),
            Err(fault) => {
                told(WriteOutcome::Failed(fault));
                break;
            }
        }
    }
    store
}
