//! Who holds a descriptor: connections that have not joined yet are few and brief, proxies keep theirs.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use stepspur_conductor::engine::StreamId;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How many descriptors connections may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// In all.
    pub all: usize,
    /// Of them, those that have not joined.
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
pub const BRIEF: Duration = Duration::from_millis(200);
/// A joined stream that said nothing for so long gives way where descriptors run out: proxies report each second
/// or two, and one that died without a word never will.
const SILENT: Duration = Duration::from_secs(15);

/// The connections that hold a descriptor now.
#[derive(Debug)]
pub struct Connections {
    budget: Budget,
    held: Mutex<BTreeMap<StreamId, Connection>>,
}

#[derive(Debug)]
struct Connection {
    heard: Instant,
    joined: bool,
    /// True: it is being closed in order, and its descriptor is the first that is taken back.
    closing: bool,
    /// True: it has been told to go.
    going: bool,
    cut: CancellationToken,
}

impl Connections {
    pub fn new(budget: Budget) -> Self {
        Self { budget, held: Mutex::default() }
    }

    fn held(&self) -> std::sync::MutexGuard<'_, BTreeMap<StreamId, Connection>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for one more: none if there is, else when to look again. Those that give way are cut off.
    pub fn room(&self, now: Instant) -> Option<Instant> {
        let mut held = self.held();
        let pending = held.values().filter(|c| !c.joined).count();
        if pending < self.budget.pending && held.len() < self.budget.all {
            return None;
        }
        let look_again = now + BRIEF / 8;
        if held.values().any(|c| c.going) {
            return Some(look_again);
        }
        let crowded = pending >= self.budget.pending;
        let gives_way = |c: &&mut Connection| match (c.closing, c.joined) {
            (true, joined) => !(crowded && joined),
            (false, true) => !crowded && now >= c.heard + SILENT,
            (false, false) => now >= c.heard + BRIEF,
        };
        let victim = held.values_mut().filter(gives_way).min_by_key(|c| (!c.closing, c.joined, c.heard));
        if let Some(victim) = victim {
            victim.going = true;
            victim.cut.cancel();
        }
        Some(look_again)
    }

    pub fn came(&self, stream: StreamId, now: Instant, cut: CancellationToken) {
        let connection = Connection { heard: now, joined: false, closing: false, going: false, cut };
        self.held().insert(stream, connection);
    }

    /// It is being closed in order.
    pub fn closing(&self, stream: StreamId) {
        self.held().entry(stream).and_modify(|c| c.closing = true);
    }

    /// It has joined: its descriptor is its own.
    pub fn joined(&self, stream: StreamId) {
        self.held().entry(stream).and_modify(|c| c.joined = true);
    }

    /// A joined one has said something. A pending one's time runs from its coming, whatever it says.
    pub fn heard(&self, stream: StreamId, now: Instant) {
        self.held().entry(stream).and_modify(|c| c.heard = if c.joined { now } else { c.heard });
    }

    pub fn left(&self, stream: StreamId) {
        self.held().remove(&stream);
    }
}

#[cfg(test)]
mod tests;
