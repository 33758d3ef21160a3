//! Limits on the file descriptors that connections use. A connection is pending until it has joined. The
//! number of pending connections is limited, so that idle ones cannot keep proxies from connecting. Their
//! time is limited by the handshake (`crate::handshake`), not here.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_conductor::engine::StreamId;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// How many file descriptors connections may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Pending and joined connections together; further ones wait in the kernel's accept queue.
    pub total: usize,
    /// Target for the number of pending connections, not a hard limit. While there would be more with the
    /// next one counted in, connections that are being closed are evicted at once, then the oldest others,
    /// each [`MIN_PENDING_TIME`] after its acceptance at the earliest.
    pub pending: usize,
}

/// Descriptors reserved for the process itself: standard streams, poll and signals, the listener, discovery
/// calls.
const RESERVED_DESCRIPTORS: usize = 20;
/// Smallest and largest limit on pending connections. The smallest still lets proxies join when descriptors
/// are few.
const PENDING_LIMIT_RANGE: [usize; 2] = [8, 128];

impl ConnectionLimits {
    /// Divides the file descriptors of a process: [`RESERVED_DESCRIPTORS`] and one for each concurrent probe
    /// are set aside, and connections may use all others (`total`). `pending` is two thirds of what then
    /// remains beside one joined connection of each proxy and of each zone's collector, as all of them may
    /// connect to one conductor, within [`PENDING_LIMIT_RANGE`]. The last third is for proxies that connect a
    /// second time before the end of their old connection is noticed. `None` if `total` is not above
    /// `pending`, so that pending connections could use every descriptor.
    pub fn new(descriptors: usize, probes: usize, proxies: u32, zones: usize) -> Option<Self> {
        let total = descriptors.checked_sub(RESERVED_DESCRIPTORS + probes)?;
        let joined = proxies as usize + zones;
        let pending =
            (total.saturating_sub(joined) * 2 / 3).clamp(PENDING_LIMIT_RANGE[0], PENDING_LIMIT_RANGE[1]);
        (total > pending).then_some(Self { total, pending })
    }
}

/// Minimum time from acceptance to eviction of a pending connection that is not being closed. A proxy sends
/// its first message as soon as it is connected; 200 ms suffice for it to arrive and be read even if the CPU
/// is busy.
pub(crate) const MIN_PENDING_TIME: Duration = Duration::from_millis(200);
/// A joined connection that sent nothing for this long may be evicted when descriptors run out. Proxies
/// report every second or two; one whose host failed sends neither a report nor a close.
const JOINED_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which eviction is tried again while all descriptors are in use and none is released.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The open connections, and which of them to evict when descriptors run out.
#[derive(Debug)]
pub(crate) struct Connections {
    limits: ConnectionLimits,
    open: Mutex<OpenConnections>,
    /// Notified when a connection is closed.
    released: Notify,
}

impl Connections {
    pub(crate) fn new(limits: ConnectionLimits) -> Self {
        Self { limits, open: Mutex::default(), released: Notify::new() }
    }

    fn open(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is a descriptor for one more connection, and evicts others to get one.
    pub(crate) async fn wait_for_descriptor(&self) {
        while let Some(retry_at) = self.evict_for_next(Instant::now()) {
            // The loop also retries after a timeout, as another connection may have become evictable by then.
            let _ = timeout_at(retry_at, self.released.notified()).await;
        }
    }

    /// Evicts connections to make way for one more. Returns `None` if there is a descriptor for that one,
    /// else the time of the next try. It reserves nothing; [`Connections::add`] counts the new connection.
    fn evict_for_next(&self, now: Instant) -> Option<Instant> {
        let mut open = self.open();
        open.evict_excess_pending(self.limits.pending, now);
        if open.len() < self.limits.total {
            return None;
        }
        open.evict_one(now);
        Some(now + RETRY_INTERVAL)
    }

    /// Adds an accepted connection as pending. `evict` is cancelled when it is to be closed.
    pub(crate) fn add(&self, stream: StreamId, now: Instant, evict: CancellationToken) {
        self.open()
            .pending
            .insert(stream, Connection { last_activity: now, closing: false, evicted: false, evict });
    }

    /// Marks a connection as being closed gracefully: it is evicted first.
    pub(crate) fn mark_closing(&self, stream: StreamId) {
        let mut open = self.open();
        for connections in open.both_maps() {
            connections.entry(stream).and_modify(|c| c.closing = true);
        }
    }

    /// Moves a pending connection to the joined ones. When descriptors run out, a joined connection is
    /// evicted only while it is being closed, or after [`JOINED_IDLE_TIMEOUT`] without activity.
    pub(crate) fn mark_joined(&self, stream: StreamId, now: Instant) {
        let mut open = self.open();
        if let Some(connection) = open.pending.remove(&stream) {
            open.joined.insert(stream, Connection { last_activity: now, ..connection });
        }
    }

    /// Records that a joined connection has sent bytes.
    pub(crate) fn record_activity(&self, stream: StreamId, now: Instant) {
        self.open().joined.entry(stream).and_modify(|c| c.last_activity = now);
    }

    /// Removes a closed connection, whose descriptor is free again.
    pub(crate) fn remove(&self, stream: StreamId) {
        let mut open = self.open();
        for connections in open.both_maps() {
            connections.remove(&stream);
        }
        self.released.notify_one();
    }
}

/// Connections by stream id. Ids are assigned in order of acceptance, so iteration starts with the oldest.
#[derive(Debug, Default)]
struct OpenConnections {
    pending: BTreeMap<StreamId, Connection>,
    joined: BTreeMap<StreamId, Connection>,
}

impl OpenConnections {
    fn both_maps(&mut self) -> [&mut BTreeMap<StreamId, Connection>; 2] {
        [&mut self.pending, &mut self.joined]
    }

    fn len(&self) -> usize {
        self.pending.len() + self.joined.len()
    }

    /// Evicts pending connections beyond `max_pending`, the next one counted in: first those that are being
    /// closed, then the oldest past [`MIN_PENDING_TIME`].
    fn evict_excess_pending(&mut self, max_pending: usize, now: Instant) {
        let remaining = self.pending.values().filter(|c| !c.evicted).count();
        let excess = (remaining + 1).saturating_sub(max_pending);
        if excess == 0 {
            return;
        }
        let missing = evict_oldest(&mut self.pending, excess, |c| c.closing);
        evict_oldest(&mut self.pending, missing, |c| c.min_time_elapsed(now));
    }

    /// Evicts one connection unless an evicted one is still open. The order: pending ones being closed,
    /// joined ones being closed, the oldest pending one past its minimum time, the joined one that was idle
    /// longest. Evicts none if no connection qualifies.
    fn evict_one(&mut self, now: Instant) {
        if self.both_maps().into_iter().any(|connections| connections.values().any(|c| c.evicted)) {
            return;
        }
        let missing = evict_oldest(&mut self.pending, 1, |c| c.closing);
        let missing = evict_oldest(&mut self.joined, missing, |c| c.closing);
        let missing = evict_oldest(&mut self.pending, missing, |c| c.min_time_elapsed(now));
        let idle = self.joined.values_mut().filter(|c| now >= c.last_activity + JOINED_IDLE_TIMEOUT);
        if let (1, Some(longest_idle)) = (missing, idle.min_by_key(|c| c.last_activity)) {
            longest_idle.evict();
        }
    }
}

/// Evicts up to `count` connections that `may_evict` accepts, the oldest first. Returns how many fewer it
/// found.
fn evict_oldest(
    connections: &mut BTreeMap<StreamId, Connection>,
    count: usize,
    may_evict: impl Fn(&Connection) -> bool,
) -> usize {
    let mut missing = count;
    for connection in connections.values_mut().filter(|c| !c.evicted && may_evict(c)).take(count) {
        connection.evict();
        missing -= 1;
    }
    missing
}

#[derive(Debug)]
struct Connection {
    /// When a pending connection was accepted, or a joined one last sent bytes.
    last_activity: Instant,
    /// True while it is being closed gracefully; it is then evicted before others.
    closing: bool,
    /// True once `evict` is cancelled.
    evicted: bool,
    /// Makes the task of the connection close it.
    evict: CancellationToken,
}

impl Connection {
    fn evict(&mut self) {
        self.evicted = true;
        self.evict.cancel();
    }

    /// True if a pending connection may be evicted. Its time runs from acceptance, whatever it has sent.
    fn min_time_elapsed(&self, now: Instant) -> bool {
        now >= self.last_activity + MIN_PENDING_TIME
    }
}

#[cfg(test)]
mod tests;
