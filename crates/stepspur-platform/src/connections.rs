//! Who holds a descriptor: connections that have not joined yet are few and brief, proxies keep theirs.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_conductor::engine::StreamId;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// How many descriptors connections may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// In all, joined or not: one more waits in the kernel's queue.
    pub all: usize,
    /// Pending connections beyond which the oldest are refused, each after [`BRIEF`].
    pub pending: usize,
}

/// Descriptors of the process itself: its standard streams, poll and signals, the listener, discovery's calls.
const OWN: usize = 20;
/// Pending connections at least, so that proxies are let in, and at most.
const PENDING: [usize; 2] = [8, 128];

impl Budget {
    /// The part of a process's descriptors that is left for connections. All proxies may come to one conductor, and a
    /// collector of each zone, and some of them twice while an old stream is not known to be dead.
    pub fn of(descriptors: usize, probes: usize, proxies: u32, zones: usize) -> Option<Self> {
        let all = descriptors.checked_sub(OWN + probes)?;
        let joined = proxies as usize + zones;
        let pending = (all.saturating_sub(joined) * 2 / 3).clamp(PENDING[0], PENDING[1]);
        (all > pending).then_some(Self { all, pending })
    }
}

/// A pending connection gives way to newer ones only after this: a proxy says who it is at once, however busy the core.
pub(crate) const BRIEF: Duration = Duration::from_millis(200);
/// A joined stream that said nothing for so long gives way where descriptors run out: proxies report each second
/// or two, and one that died without a word never will.
const SILENT: Duration = Duration::from_secs(15);
/// While all descriptors are taken, whether one can be had is looked at again after this, or once one is free.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// The connections that hold a descriptor now.
#[derive(Debug)]
pub(crate) struct Connections {
    budget: Budget,
    held: Mutex<Held>,
    /// A descriptor has become free.
    freed: Notify,
}

impl Connections {
    pub(crate) fn new(budget: Budget) -> Self {
        Self { budget, held: Mutex::default(), freed: Notify::new() }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is a descriptor for one more connection.
    pub(crate) async fn room(&self) {
        while let Some(again) = self.make_room(Instant::now()) {
            // The time being over is as good a reason to look again.
            let _ = timeout_at(again, self.freed.notified()).await;
        }
    }

    /// Tells those to go that give way to one more connection. None if that has a descriptor already, else when to
    /// look again.
    fn make_room(&self, now: Instant) -> Option<Instant> {
        let mut held = self.held();
        held.refuse_the_oldest(self.budget.pending, now);
        if held.len() < self.budget.all {
            return None;
        }
        held.free_one(now);
        Some(now + LOOK_AGAIN)
    }

    /// It has been accepted.
    pub(crate) fn came(&self, stream: StreamId, now: Instant, cut: CancellationToken) {
        self.held().pending.insert(stream, Connection { heard: now, closing: false, going: false, cut });
    }

    /// It is being closed in order.
    pub(crate) fn closing(&self, stream: StreamId) {
        let mut held = self.held();
        for connections in held.both() {
            connections.entry(stream).and_modify(|c| c.closing = true);
        }
    }

    /// It has joined: its descriptor is its own.
    pub(crate) fn joined(&self, stream: StreamId, now: Instant) {
        let mut held = self.held();
        if let Some(connection) = held.pending.remove(&stream) {
            held.joined.insert(stream, Connection { heard: now, ..connection });
        }
    }

    /// A joined one has said something.
    pub(crate) fn heard(&self, stream: StreamId, now: Instant) {
        self.held().joined.entry(stream).and_modify(|c| c.heard = now);
    }

    /// Its descriptor is free.
    pub(crate) fn left(&self, stream: StreamId) {
        let mut held = self.held();
        for connections in held.both() {
            connections.remove(&stream);
        }
        self.freed.notify_one();
    }
}

/// Connections by their streams, whose numbers grow with their coming.
#[derive(Debug, Default)]
struct Held {
    pending: BTreeMap<StreamId, Connection>,
    joined: BTreeMap<StreamId, Connection>,
}

impl Held {
    fn both(&mut self) -> [&mut BTreeMap<StreamId, Connection>; 2] {
        [&mut self.pending, &mut self.joined]
    }

    fn len(&self) -> usize {
        self.pending.len() + self.joined.len()
    }

    /// Tells as many pending connections to go as there are more than `most` with the one that comes: first those that
    /// are being closed, then the oldest that have had their time.
    fn refuse_the_oldest(&mut self, most: usize, now: Instant) {
        let staying = self.pending.values().filter(|c| !c.going).count();
        let too_many = (staying + 1).saturating_sub(most);
        if too_many == 0 {
            return;
        }
        let left = give_way(&mut self.pending, too_many, |c| c.closing);
        give_way(&mut self.pending, left, |c| c.had_its_time(now));
    }

    /// Tells one connection to go, unless one is going already: if there is none that can be spared, nobody.
    fn free_one(&mut self, now: Instant) {
        if self.both().into_iter().any(|connections| connections.values().any(|c| c.going)) {
            return;
        }
        let left = give_way(&mut self.pending, 1, |c| c.closing);
        let left = give_way(&mut self.joined, left, |c| c.closing);
        let left = give_way(&mut self.pending, left, |c| c.had_its_time(now));
        let silent = self.joined.values_mut().filter(|c| now >= c.heard + SILENT);
        if let (1, Some(longest)) = (left, silent.min_by_key(|c| c.heard)) {
            longest.go();
        }
    }
}

/// Tells up to `count` connections to go, by their coming. Returns how many were not found.
fn give_way(
    connections: &mut BTreeMap<StreamId, Connection>,
    count: usize,
    may_go: impl Fn(&Connection) -> bool,
) -> usize {
    let mut left = count;
    for connection in connections.values_mut().filter(|c| !c.going && may_go(c)).take(count) {
        connection.go();
        left -= 1;
    }
    left
}

#[derive(Debug)]
struct Connection {
    /// When a pending one came, or a joined one last said something.
    heard: Instant,
    /// True: it is being closed in order, and its descriptor is the first that is taken back.
    closing: bool,
    /// True: it has been told to go.
    going: bool,
    cut: CancellationToken,
}

impl Connection {
    fn go(&mut self) {
        self.going = true;
        self.cut.cancel();
    }

    /// A pending one's time runs from its coming, whatever it says.
    fn had_its_time(&self, now: Instant) -> bool {
        now >= self.heard + BRIEF
    }
}

#[cfg(test)]
mod tests;
