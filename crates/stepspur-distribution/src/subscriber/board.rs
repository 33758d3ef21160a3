//! Where the subscriber's tasks put together its status.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use tokio::sync::watch;
use tokio::time::Instant;

use super::status::{REASON_MOST, SubscriberStatus, shortened};

/// When a control member was heard of last, by the clock that does not jump.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    /// How old it was then.
    age: Duration,
}

/// Bytes that have passed.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) read: AtomicU64,
    pub(crate) written: AtomicU64,
}

/// The status in the making.
#[derive(Debug)]
pub(crate) struct Board {
    status: watch::Sender<SubscriberStatus>,
    heard: Mutex<Option<Heard>>,
    pub(crate) traffic: Traffic,
}

impl Board {
    /// A status that begins by what an earlier life kept at this time.
    pub(crate) fn new(kept_at: Option<SystemTime>) -> (Self, watch::Receiver<SubscriberStatus>) {
        let age = |at| SystemTime::now().duration_since(at).unwrap_or_default();
        let heard = kept_at.map(|at| Heard { at: Instant::now(), age: age(at) });
        let (status, receiver) = watch::channel(SubscriberStatus::default());
        let board = Self { status, heard: Mutex::new(heard), traffic: Traffic::default() };
        board.refresh();
        (board, receiver)
    }

    /// A control member was heard of now.
    pub(crate) fn heard(&self) {
        let now = Heard { at: Instant::now(), age: Duration::ZERO };
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Since when none was heard of.
    pub(crate) fn age(&self) -> Option<Duration> {
        let heard = *self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.map(|heard| heard.age + heard.at.elapsed())
    }

    /// Renews the age and the bytes.
    pub(crate) fn refresh(&self) {
        self.change(|_| {});
    }

    /// Changes the status.
    pub(crate) fn change(&self, change: impl FnOnce(&mut SubscriberStatus)) {
        let age = self.age().map(|age| age.as_secs_f64());
        self.status.send_modify(|status| {
            status.age_s = age;
            status.bytes_read = self.traffic.read.load(Ordering::Relaxed);
            status.bytes_written = self.traffic.written.load(Ordering::Relaxed);
            change(status);
        });
    }

    /// It is attached to a control member.
    pub(crate) fn attached(&self, control: SocketAddr, reconnects: u64) {
        self.change(|status| {
            status.control = Some(control);
            status.reconnects = reconnects;
            status.fault = None;
        });
    }

    /// True: it is attached.
    pub(crate) fn is_attached(&self) -> bool {
        self.status.borrow().control.is_some()
    }

    /// It is attached to none, for this reason.
    pub(crate) fn detached(&self, why: String) {
        let why = shortened(why, REASON_MOST);
        self.change(|status| {
            status.control = None;
            status.fault = Some(why);
        });
    }
}
