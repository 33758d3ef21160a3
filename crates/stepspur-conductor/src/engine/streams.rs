//! The proxies' streams: which proxy is connected on which, and which streams were closed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stepspur::interface::{Micros, ProxyId, ZoneId};

use super::input::StreamId;

/// A connected proxy.
#[derive(Debug)]
struct Session {
    stream: StreamId,
    zone: ZoneId,
    /// When messages were written to it, within the message window.
    writes: VecDeque<Micros>,
}

/// A message was written to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteReceipt {
    /// The stream.
    pub(crate) stream: StreamId,
    /// Messages written to its proxy within the message window.
    pub(crate) messages_in_window: usize,
}

/// Streams and their proxies.
#[derive(Debug)]
pub(crate) struct Streams {
    by_stream: BTreeMap<StreamId, ProxyId>,
    sessions: BTreeMap<ProxyId, Session>,
    /// Streams that were closed and may not have ended yet: what still arrives on them is ignored.
    closed: BTreeSet<StreamId>,
    max_closed: usize,
}

impl Streams {
    /// Remembers `max_closed` closed streams at most.
    pub(crate) fn new(max_closed: usize) -> Self {
        Self { by_stream: BTreeMap::new(), sessions: BTreeMap::new(), closed: BTreeSet::new(), max_closed }
    }

    /// The proxy that is connected on a stream.
    pub(crate) fn proxy(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    /// The stream on which a proxy is connected.
    pub(crate) fn stream(&self, proxy: ProxyId) -> Option<StreamId> {
        self.sessions.get(&proxy).map(|session| session.stream)
    }

    /// The zone of a connected proxy.
    pub(crate) fn zone(&self, proxy: ProxyId) -> Option<ZoneId> {
        self.sessions.get(&proxy).map(|session| session.zone)
    }

    /// Number of connected proxies.
    pub(crate) fn connected(&self) -> usize {
        self.sessions.len()
    }

    /// Connects a proxy on a stream.
    pub(crate) fn connect(&mut self, stream: StreamId, proxy: ProxyId, zone: ZoneId) {
        self.by_stream.insert(stream, proxy);
        self.sessions.insert(proxy, Session { stream, zone, writes: VecDeque::new() });
    }

    /// Removes the proxy that is connected on a stream and returns it.
    pub(crate) fn disconnect(&mut self, stream: StreamId) -> Option<ProxyId> {
        let proxy = self.by_stream.remove(&stream)?;
        self.sessions.remove(&proxy);
        Some(proxy)
    }

    /// True if the stream was closed and may not have ended yet.
    pub(crate) fn is_closed(&self, stream: StreamId) -> bool {
        self.closed.contains(&stream)
    }

    /// The conductor closes a stream.
    pub(crate) fn close(&mut self, stream: StreamId) {
        self.closed.insert(stream);
        if self.closed.len() > self.max_closed {
            self.closed.pop_first();
        }
    }

    /// A stream has ended: nothing arrives on it any more.
    pub(crate) fn remove_closed(&mut self, stream: StreamId) {
        self.closed.remove(&stream);
    }

    /// Records that a message is written to a proxy; none if it is not connected.
    pub(crate) fn record_write(
        &mut self,
        proxy: ProxyId,
        now: Micros,
        window: Micros,
    ) -> Option<WriteReceipt> {
        let session = self.sessions.get_mut(&proxy)?;
        session.writes.push_back(now);
        while session.writes.front().is_some_and(|written_at| written_at + window < now) {
            session.writes.pop_front();
        }
        Some(WriteReceipt { stream: session.stream, messages_in_window: session.writes.len() })
    }
}
