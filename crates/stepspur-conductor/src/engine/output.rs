//! The engine's outputs: what its caller must do.

use bytes::Bytes;
use stepspur_proto::v1;

use super::channel_stats::ChannelStats;
use super::input::{ProbeTarget, StreamId};

/// An action that the engine requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write a frame to a stream.
    Send {
        /// Stream to write to.
        stream: StreamId,
        /// The complete encoded frame.
        frame: Bytes,
    },
    /// Write a last frame to a stream and close it. If its send queue is full, close it without that frame.
    /// The engine requires no [`Input::StreamEnded`](super::Input::StreamEnded) for this stream.
    Close {
        /// Stream to close.
        stream: StreamId,
        /// Reason code, the same as in the frame.
        reason: v1::Reason,
        /// The last frame, which gives the proxy the reason; empty if the protocol has no such message.
        frame: Bytes,
    },
    /// Send a health check and return its result with [`Input::ProbeResult`](super::Input::ProbeResult).
    Probe {
        /// Server and address to check; returned with the result.
        target: ProbeTarget,
    },
    /// Watch the endpoint list for changes from now on.
    WatchEndpoints,
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Log an event.
    Log(LogEvent),
}

/// An event for the log. The service writes it with a level, an event name and the epoch.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A log line of the decision module, with server ids replaced by names or addresses.
    Decision(String),
    /// A proxy connected.
    ProxyConnected {
        /// The proxy's name, or its id if the protocol assigns ids.
        proxy: String,
        /// Stream that the proxy is connected on.
        stream: StreamId,
    },
    /// A proxy's stream ended.
    ProxyDisconnected {
        /// The proxy's name, or its id if the protocol assigns ids.
        proxy: String,
        /// Stream that the proxy was connected on.
        stream: StreamId,
    },
    /// The engine closed a stream, for any reason. The service limits the rate of these lines, so that the
    /// log may lack some of them while many streams are closed at once.
    StreamClosed {
        /// The closed stream.
        stream: StreamId,
        /// Reason code that the proxy received.
        reason: v1::Reason,
        /// Explanation that the proxy received.
        detail: String,
    },
    /// Part of a report was invalid and has been skipped.
    InvalidReport {
        /// The sender's name, or its id if the protocol assigns ids.
        proxy: String,
        /// Why that part is invalid.
        reason: String,
    },
    /// Part of an entry of the endpoint list was invalid; the previous value, if any, remains in use.
    InvalidEntry {
        /// The server's name, or its address if the list does not name servers.
        server: String,
        /// Why that part is invalid.
        reason: String,
    },
    /// A complete list omitted too many ready servers; they are not removed until this is confirmed.
    MassRemovalSuspected {
        /// Number of ready servers that the list omits.
        missing: usize,
        /// Number of servers that the list contains.
        listed: usize,
    },
    /// The source of the endpoint list failed; the previous list remains in use.
    DiscoveryFailed,
    /// Lines sent to proxies since the engine's start; every five seconds while any are sent.
    ChannelSummary(ChannelStats),
}

impl LogEvent {
    /// Returns true for events that a faulty or hostile peer can cause in any number: closed streams and
    /// invalid input. The service limits the rate at which it logs them.
    pub fn is_rate_limited(&self) -> bool {
        matches!(
            self,
            LogEvent::InvalidReport { .. } | LogEvent::InvalidEntry { .. } | LogEvent::StreamClosed { .. }
        )
    }
}
