//! Publishes the status, which both tasks of a subscriber update.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use tokio::sync::watch;
use tokio::time::Instant;

use super::status::{SubscriberStatus, truncate_reason};

/// The age of the configuration at a time. The current age is computed from it.
#[derive(Clone, Copy, Debug)]
struct KnownAge {
    at: Instant,
    age: Duration,
}

/// Counters of the bytes read from and written to control members.
#[derive(Debug, Default)]
pub(super) struct ByteCounters {
    pub(super) read: AtomicU64,
    pub(super) written: AtomicU64,
}

/// Holds the status, and publishes each change.
#[derive(Debug)]
pub(super) struct StatusPublisher {
    status: watch::Sender<SubscriberStatus>,
    /// `None` before the first frame if nothing was stored in an earlier run.
    known_age: Mutex<Option<KnownAge>>,
    pub(super) bytes: ByteCounters,
}

impl StatusPublisher {
    /// Creates the publisher of a subscriber that last saved its documents at `stored_at`, in an earlier run.
    pub(super) fn new(stored_at: Option<SystemTime>) -> (Self, watch::Receiver<SubscriberStatus>) {
        let known_age = stored_at.map(|stored_at| KnownAge {
            at: Instant::now(),
            age: SystemTime::now().duration_since(stored_at).unwrap_or_default(),
        });
        let (status, receiver) = watch::channel(SubscriberStatus::default());
        let publisher = Self { status, known_age: Mutex::new(known_age), bytes: ByteCounters::default() };
        publisher.refresh();
        (publisher, receiver)
    }

    /// Records a frame from a control member: resets the age to zero.
    pub(super) fn record_frame(&self) {
        let known_age = KnownAge { at: Instant::now(), age: Duration::ZERO };
        *self.known_age.lock().unwrap_or_else(PoisonError::into_inner) = Some(known_age);
    }

    /// The time since the last frame from a control member; `None` if there never was one.
    pub(super) fn age(&self) -> Option<Duration> {
        let known_age = *self.known_age.lock().unwrap_or_else(PoisonError::into_inner);
        known_age.map(|known| known.age + known.at.elapsed())
    }

    /// Publishes the current age and byte counters.
    pub(super) fn refresh(&self) {
        self.update(|_| {});
    }

    /// Changes the status, and publishes it with the current age and byte counters.
    pub(super) fn update(&self, update: impl FnOnce(&mut SubscriberStatus)) {
        let age_s = self.age().map(|age| age.as_secs_f64());
        self.status.send_modify(|status| {
            status.age_s = age_s;
            status.bytes_read = self.bytes.read.load(Ordering::Relaxed);
            status.bytes_written = self.bytes.written.load(Ordering::Relaxed);
            update(status);
        });
    }

    /// Publishes an error that does not end the connection by itself.
    pub(super) fn set_error(&self, error: String) {
        let error = truncate_reason(error);
        self.update(|status| status.last_error = Some(error));
    }

    /// Publishes that the subscriber is attached to a control member.
    pub(super) fn set_attached(&self, control: SocketAddr, reconnects: u64) {
        self.update(|status| {
            status.control = Some(control);
            status.reconnects = reconnects;
            status.last_error = None;
        });
    }

    /// Whether the subscriber is attached to a control member.
    pub(super) fn is_attached(&self) -> bool {
        self.status.borrow().control.is_some()
    }

    /// Publishes that the subscriber is attached to no control member, and why.
    pub(super) fn set_detached(&self, reason: String) {
        let reason = truncate_reason(reason);
        self.update(|status| {
            status.control = None;
            status.last_error = Some(reason);
        });
    }
}
