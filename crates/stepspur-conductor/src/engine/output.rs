//! What the engine asks its caller to do.

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
    /// Close a stream after a last frame; no [`Input::StreamEnded`](super::Input::StreamEnded) is needed for
    /// it.
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
    Joined {
        /// Its name.
        proxy: String,
        /// Its stream.
        stream: StreamId,
    },
    /// A proxy's stream ended.
    Left {
        /// Its name.
        proxy: String,
        /// Its stream.
        stream: StreamId,
    },
    /// A stream was rejected or closed by the conductor.
    Refused {
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
    /// True for events that invalid input causes; a faulty or hostile peer may cause any number of them.
    pub fn is_about_invalid_input(&self) -> bool {
        matches!(
            self,
            LogEvent::InvalidReport { .. } | LogEvent::InvalidEntry { .. } | LogEvent::Refused { .. }
        )
    }
}
