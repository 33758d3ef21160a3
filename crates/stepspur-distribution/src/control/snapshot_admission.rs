//! Admission control for snapshots: one rate limit and one memory limit over all subscribers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until};

/// The memory that one permit of the semaphore stands for, in bytes.
const PERMIT_BYTES: usize = 1 << 10;
/// Number of permits for snapshots in progress: 32 MiB of memory.
const MAX_PERMITS: u32 = 32 << 10;
const MICROS_PER_S: u64 = 1_000_000;

/// Admits snapshots part by part, in the order of the requests, so that concurrent snapshots alternate.
#[derive(Debug)]
pub(super) struct SnapshotAdmission {
    /// When the rate limit admits the next part. The lock is fair, so that requests are served in the order
    /// in which they were made.
    next_at: Mutex<Instant>,
    bytes_per_s: u32,
    memory: Arc<Semaphore>,
    /// The number of subscribers whose snapshot is not completely sent.
    waiting: AtomicUsize,
}

/// Counts a subscriber as waiting for its snapshot until the guard is dropped.
#[derive(Debug)]
pub(super) struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SnapshotAdmission {
    /// Creates an admission control with this rate limit.
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

    /// Waits for memory for a snapshot of `bytes`, which is released when the permit is dropped. A snapshot
    /// larger than the limit waits for all of the memory and is then admitted alone.
    pub(super) async fn reserve_memory(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        Arc::clone(&self.memory).acquire_many_owned(permits.clamp(1, MAX_PERMITS)).await.ok()
    }

    /// Waits until the rate limit admits a part of `bytes`. A call whose future is dropped uses none of the
    /// rate.
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
