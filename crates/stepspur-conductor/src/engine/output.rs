//! The engine's outputs: what its caller is to do.

use bytes::Bytes;
use stepspur_proto::v1;

use super::input::{ProbeTarget, StreamId};

/// An output of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write a frame to a stream.
    Send {
        /// The stream.
        stream: StreamId,
        /// The complete frame.
        frame: Bytes,
    },
    /// Close a stream after a last frame. If its send queue is full it is cut without that frame. No
    /// [`Input::StreamEnded`](super::Input::StreamEnded) is needed for it.
    Close {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// The last frame.
        frame: Bytes,
    },
    /// Check a server's health.
    Probe {
        /// What to send the probe to.
        target: ProbeTarget,
    },
    /// Watch the endpoint list for changes from now on.
    WatchEndpoints,
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Log an event.
    Log(LogEvent),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A line of the decision module.
    Decision(String),
    /// A proxy connected.
    ProxyConnected {
        /// Its name.
        proxy: String,
        /// Its stream.
        stream: StreamId,
    },
    /// A proxy's stream ended.
    ProxyDisconnected {
        /// Its name.
        proxy: String,
        /// Its stream.
        stream: StreamId,
    },
    /// The engine closed a stream, for any reason. Rate limited: under a flood the line, and with it the
    /// reason, is missing.
    StreamClosed {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// The same in words.
        detail: String,
    },
    /// Part of a report was invalid and has been skipped.
    InvalidReport {
        /// The proxy.
        proxy: String,
        /// What was wrong.
        what: String,
    },
    /// Part of an entry of the endpoint list was invalid; the previous value, if any, remains in use.
    InvalidEntry {
        /// The server: its name, or its address.
        server: String,
        /// What was wrong.
        what: String,
    },
    /// A complete list lacked too many servers: what it lacks is not removed yet.
    MassRemovalSuspected {
        /// Ready servers that it lacks.
        lacking: usize,
        /// Servers that it names.
        named: usize,
    },
    /// The source of the endpoint list failed; the previous list remains in use.
    DiscoveryFailed,
}

impl LogEvent {
    /// True for events that a faulty or hostile peer can cause in any number: closed streams and invalid
    /// input. The service limits how many of them it logs.
    pub fn is_rate_limited(&self) -> bool {
        matches!(
            self,
            LogEvent::InvalidReport { .. } | LogEvent::InvalidEntry { .. } | LogEvent::StreamClosed { .. }
        )
    }
}
