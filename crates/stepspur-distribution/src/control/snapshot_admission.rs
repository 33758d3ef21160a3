//! Admission of snapshots: a rate limit over all subscribers, and a limit of memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until};

/// Bytes of one permit of memory.
const PERMIT_BYTES: usize = 1 << 10;
/// Permits of memory for snapshots in progress: 32 MiB.
const MAX_PERMITS: u32 = 32 << 10;
const MICROS_PER_S: u64 = 1_000_000;

/// Admits snapshots part by part, in the order of the requests.
#[derive(Debug)]
pub(super) struct SnapshotAdmission {
    /// When the rate limit admits the next part. The lock is fair, so that requests are served in their
    /// order.
    next_at: Mutex<Instant>,
    bytes_per_s: u32,
    memory: Arc<Semaphore>,
    waiting: AtomicUsize,
}

/// Counts a subscriber that waits for its snapshot, until dropped.
#[derive(Debug)]
pub(super) struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SnapshotAdmission {
    /// Admits this many bytes per second.
    pub(super) fn new(bytes_per_s: u32) -> Self {
        Self {
            next_at: Mutex::new(Instant::now()),
            bytes_per_s: bytes_per_s.max(1),
            memory: Arc::new(Semaphore::new(MAX_PERMITS as usize)),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Counts a subscriber that waits for the rest of its snapshot.
    pub(super) fn count_waiting(&self) -> WaitingGuard<'_> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        WaitingGuard(&self.waiting)
    }

    /// The number of subscribers that wait for the rest of a snapshot.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Waits for memory for a snapshot, released when the permit is dropped. A snapshot larger than the limit
    /// takes all of it.
    pub(super) async fn reserve_memory(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        Arc::clone(&self.memory).acquire_many_owned(permits.clamp(1, MAX_PERMITS)).await.ok()
    }

    /// Waits until the rate limit admits a part. A request that is dropped uses no rate.
    pub(super) async fn admit(&self, bytes: usize) {
        let mut next_at = self.next_at.lock().await;
        sleep_until(*next_at).await;
        *next_at = Instant::now() + self.transfer_time(bytes);
    }

    fn transfer_time(&self, bytes: usize) -> Duration {
        let micros = (bytes as u64).saturating_mul(MICROS_PER_S) / u64::from(self.bytes_per_s);
        Duration::from_micros(micros)
    }
}

#[cfg(test)]
mod tests;
