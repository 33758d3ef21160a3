//! Streams: which proxy is joined on which, and which were closed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stepspur::interface::{Micros, ProxyId, ZoneId};

use super::StreamId;

/// A proxy whose stream stands.
#[derive(Debug)]
struct Session {
    stream: StreamId,
    zone: ZoneId,
    /// When messages were written to it, within the window.
    written: VecDeque<Micros>,
}

/// Streams with their proxies.
#[derive(Debug)]
pub(crate) struct Streams {
    by_stream: BTreeMap<StreamId, ProxyId>,
    sessions: BTreeMap<ProxyId, Session>,
    /// Streams that were closed and may not have ended yet: what still comes on them counts for nothing.
    closed: BTreeSet<StreamId>,
    closed_max: usize,
}

impl Streams {
    /// Remembers so many closed streams at most.
    pub(crate) fn new(closed_max: usize) -> Self {
        let (by_stream, sessions, closed) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Self { by_stream, sessions, closed, closed_max }
    }

    /// The proxy that is joined on a stream.
    pub(crate) fn proxy(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    /// The stream on which a proxy is joined.
    pub(crate) fn stream(&self, proxy: ProxyId) -> Option<StreamId> {
        self.sessions.get(&proxy).map(|session| session.stream)
    }

    /// The zone of a joined proxy.
    pub(crate) fn zone(&self, proxy: ProxyId) -> Option<ZoneId> {
        self.sessions.get(&proxy).map(|session| session.zone)
    }

    /// Proxies joined.
    pub(crate) fn joined(&self) -> usize {
        self.sessions.len()
    }

    /// A proxy joins on a stream.
    pub(crate) fn join(&mut self, stream: StreamId, proxy: ProxyId, zone: ZoneId) {
        self.by_stream.insert(stream, proxy);
        self.sessions.insert(proxy, Session { stream, zone, written: VecDeque::new() });
    }

    /// The proxy that was joined on a stream leaves.
    pub(crate) fn leave(&mut self, stream: StreamId) -> Option<ProxyId> {
        let proxy = self.by_stream.remove(&stream)?;
        self.sessions.remove(&proxy);
        Some(proxy)
    }

    /// True: it was closed and may not have ended yet.
    pub(crate) fn is_closed(&self, stream: StreamId) -> bool {
        self.closed.contains(&stream)
    }

    /// A stream is closed from this side.
    pub(crate) fn close(&mut self, stream: StreamId) {
        self.closed.insert(stream);
        if self.closed.len() > self.closed_max {
            self.closed.pop_first();
        }
    }

    /// A stream has ended: nothing comes on it any more.
    pub(crate) fn ended(&mut self, stream: StreamId) {
        self.closed.remove(&stream);
    }

    /// A message is written to a joined proxy: its stream, and the messages written to it within the window.
    pub(crate) fn write(&mut self, proxy: ProxyId, now: Micros, window: Micros) -> Option<(StreamId, usize)> {
        let session = self.sessions.get_mut(&proxy)?;
        session.written.push_back(now);
        while session.written.front().is_some_and(|at| at + window < now) {
            session.written.pop_front();
        }
        Some((session.stream, session.written.len()))
    }
}
