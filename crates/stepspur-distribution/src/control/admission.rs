//! The pace of snapshots: bytes a second over all subscribers, and bytes in memory at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until};

/// Bytes of a unit of the memory that snapshots may hold.
const UNIT_BYTES: usize = 1 << 10;
/// Units of memory that snapshots may hold at once: 32 MiB.
const UNITS: usize = 32 << 10;

/// Admits snapshots. Those that wait are served in the order in which they came, one part each.
#[derive(Debug)]
pub(crate) struct Admission {
    /// When what was admitted so far is paid for. Whoever holds the lock is next; the lock is fair.
    paid_at: Mutex<Instant>,
    bytes_per_s: u32,
    memory: Arc<Semaphore>,
    waiting: AtomicUsize,
}

/// A subscriber that waits for its snapshot, until this is dropped.
#[derive(Debug)]
pub(crate) struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Admission {
    /// Admits so many bytes a second.
    pub(crate) fn new(bytes_per_s: u32) -> Self {
        Self {
            paid_at: Mutex::new(Instant::now()),
            bytes_per_s: bytes_per_s.max(1),
            memory: Arc::new(Semaphore::new(UNITS)),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Counts a subscriber among those that wait for the rest of a snapshot.
    pub(crate) fn wait(&self) -> Waiting<'_> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting(&self.waiting)
    }

    /// How many wait for the rest of a snapshot.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Waits for memory to hold a snapshot of so many bytes; it is free again once what comes back is dropped. One that
    /// is larger than all there is takes all.
    pub(crate) async fn memory(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = bytes.div_ceil(UNIT_BYTES).clamp(1, UNITS);
        Arc::clone(&self.memory).acquire_many_owned(units as u32).await.ok()
    }

    /// Waits until a part may be written. Giving up costs nothing.
    pub(crate) async fn admit(&self, bytes: usize) {
        let mut paid_at = self.paid_at.lock().await;
        sleep_until(*paid_at).await;
        *paid_at = Instant::now() + self.cost(bytes);
    }

    fn cost(&self, bytes: usize) -> Duration {
        let micros = (bytes as u64).saturating_mul(1_000_000) / u64::from(self.bytes_per_s);
        Duration::from_micros(micros)
    }
}

#[cfg(test)]
mod tests;
