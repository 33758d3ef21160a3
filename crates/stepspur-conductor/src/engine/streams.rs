//! The proxies' streams: which proxy is connected on which stream, and which streams the engine closed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stepspur::interface::{Micros, ProxyId, ZoneId};

use super::input::StreamId;

/// A connected proxy.
#[derive(Debug)]
struct Session {
    stream: StreamId,
    zone: ZoneId,
    /// Times of the messages to the proxy within the last `channel.message_window`, oldest first.
    writes: VecDeque<Micros>,
}

/// Result of recording a message to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteRecord {
    /// Stream that the proxy is connected on.
    pub(crate) stream: StreamId,
    /// Messages to the proxy within the message window, this one included.
    pub(crate) messages_in_window: usize,
}

/// Open streams with their proxies, and recently closed streams.
#[derive(Debug)]
pub(crate) struct Streams {
    by_stream: BTreeMap<StreamId, ProxyId>,
    sessions: BTreeMap<ProxyId, Session>,
    /// Streams that the engine closed and that may not have ended yet. Frames that still arrive on them are
    /// ignored.
    closed: BTreeSet<StreamId>,
    /// Maximum number of remembered closed streams.
    max_closed: usize,
}

impl Streams {
    /// Creates an empty set of streams that remembers at most `max_closed` closed streams.
    pub(crate) fn new(max_closed: usize) -> Self {
        Self { by_stream: BTreeMap::new(), sessions: BTreeMap::new(), closed: BTreeSet::new(), max_closed }
    }

    /// Returns the proxy that is connected on a stream.
    pub(crate) fn proxy(&self, stream: StreamId) -> Option<ProxyId> {
        self.by_stream.get(&stream).copied()
    }

    /// Returns the stream on which a proxy is connected.
    pub(crate) fn stream(&self, proxy: ProxyId) -> Option<StreamId> {
        self.sessions.get(&proxy).map(|session| session.stream)
    }

    /// Returns the zone of a connected proxy.
    pub(crate) fn zone(&self, proxy: ProxyId) -> Option<ZoneId> {
        self.sessions.get(&proxy).map(|session| session.zone)
    }

    /// Returns the number of connected proxies.
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

    /// Returns true if the engine closed the stream and it may not have ended yet.
    pub(crate) fn is_closed(&self, stream: StreamId) -> bool {
        self.closed.contains(&stream)
    }

    /// Remembers a stream that the engine closes. Beyond the limit it forgets the one with the lowest id.
    pub(crate) fn close(&mut self, stream: StreamId) {
        self.closed.insert(stream);
        if self.closed.len() > self.max_closed {
            self.closed.pop_first();
        }
    }

    /// Forgets a closed stream that has ended: no further frame can arrive on it.
    pub(crate) fn remove_closed(&mut self, stream: StreamId) {
        self.closed.remove(&stream);
    }

    /// Records a message to a proxy and counts those within `window` microseconds; `None` if the proxy is not
    /// connected.
    pub(crate) fn record_write(
        &mut self,
        proxy: ProxyId,
        now: Micros,
        window: Micros,
    ) -> Option<WriteRecord> {
        let session = self.sessions.get_mut(&proxy)?;
        session.writes.push_back(now);
        while session.writes.front().is_some_and(|written_at| written_at + window < now) {
            session.writes.pop_front();
        }
        Some(WriteRecord { stream: session.stream, messages_in_window: session.writes.len() })
    }
}
