//! What the engine asks for, and what it tells the operators.

use bytes::Bytes;
use stepspur_proto::v1;

use super::{ProbeTarget, StreamId};

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write a frame to a stream.
    Send {
        /// The stream.
        stream: StreamId,
        /// The whole frame.
        frame: Bytes,
    },
    /// End a stream after a last frame; no `Ended` is needed for it.
    Close {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// The last frame.
        frame: Bytes,
    },
    /// Probe a server.
    Probe {
        /// What to send it to.
        target: ProbeTarget,
    },
    /// Ask the source for changes from now on.
    WatchEndpoints,
    /// Ask the source for the whole list once.
    FetchEndpoints,
    /// A line for the log.
    Log(LogEvent),
}

/// What the operators may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The decision module's own line.
    Decision(String),
    /// A proxy joined.
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
    /// A stream was refused or cut off.
    Refused {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// In words.
        detail: String,
    },
    /// Part of a report made no sense and was passed over.
    InvalidReport {
        /// The proxy.
        proxy: String,
        /// What was wrong.
        what: String,
    },
    /// Part of an entry of a list made no sense; what was known before stands, if anything.
    InvalidEntry {
        /// The server: its name, or its address.
        server: String,
        /// What was wrong.
        what: String,
    },
    /// A whole list lacked too many servers and is not believed yet.
    MassRemovalSuspected {
        /// Ready servers that it lacks.
        lacking: usize,
        /// Servers that it names.
        named: usize,
    },
    /// The source failed; the old list stands.
    DiscoveryFailed,
}

impl LogEvent {
    /// True: it tells of input that made no sense, of which there may be any amount.
    pub fn is_about_invalid_input(&self) -> bool {
        matches!(
            self,
            LogEvent::InvalidReport { .. } | LogEvent::InvalidEntry { .. } | LogEvent::Refused { .. }
        )
    }
}
