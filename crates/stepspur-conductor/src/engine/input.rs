//! The engine's inputs.

use std::net::SocketAddr;

use serde::Serialize;
use stepspur::interface::{
    ClassId, EndpointState, ListUpdate, Micros, ProbeOutcome, ProxyId, ServerId, ZoneId,
};
use stepspur_proto::{FromProxy, v1};

/// Identifies a proxy's stream; unique within the process, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct StreamId(pub u64);

/// One entry of the endpoint list as its source reports it, not validated yet.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// The server's name, if the source names servers. The name then identifies the server, and its address
    /// may change.
    pub name: Option<String>,
    /// Address at which the server accepts requests; identifies a server without a name.
    pub address: SocketAddr,
    /// Name of the server's zone, one of the settings' `fleet.zones`.
    pub zone: String,
    /// State as listed; operators' overrides are not applied yet.
    pub state: EndpointState,
    /// Configured weight, 0.001 to 1,000,000; 0 if none is configured.
    pub weight: f64,
    /// When the server's process last started, in microseconds since 1970; 0 if unknown, treated as long ago.
    pub started: Micros,
}

/// The server that a probe checks, with the address and start it had when the probe was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Id of the probed server.
    pub server: ServerId,
    /// Address that the probe is sent to.
    pub address: SocketAddr,
    /// The server's last start as listed, in microseconds since 1970; 0 if unknown.
    pub started: Micros,
}

/// Attempts or requests counted over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All attempts or requests, failed ones included.
    pub total: u32,
    /// Failed attempts or requests.
    pub errors: u32,
}

/// An input of the engine, passed to [`Engine::handle`](super::Engine::handle) with its time.
#[derive(Clone, Debug)]
pub enum Input {
    /// An update of the endpoint list.
    EndpointList {
        /// Whether the entries are the complete list, changes to the previous one, or a failure.
        update: ListUpdate,
        /// Entries as the source reports them; empty after a failure.
        entries: Vec<DiscoveredEndpoint>,
    },
    /// The current wall-clock time. Starts of servers are listed in wall-clock time, and this machine's wall
    /// clock may have been adjusted since the engine's monotonic time was derived from it.
    WallClock {
        /// Microseconds since 1970.
        unix: Micros,
    },
    /// The result of a probe. It is ignored once the list has another address or start for the server.
    ProbeResult {
        /// The target of the [`Output::Probe`](super::Output::Probe) that requested the probe.
        target: ProbeTarget,
        /// Whether the probe succeeded, and if not, how it failed.
        outcome: ProbeOutcome,
        /// Time since the probe was sent, in microseconds.
        latency: Micros,
        /// Values of the configured load columns, in their order; empty if the server reports none.
        load: Vec<f32>,
    },
    /// A frame arrived on a stream; the first one must be a `Hello`.
    Frame {
        /// Stream that the frame arrived on.
        stream: StreamId,
        /// The decoded frame.
        frame: FromProxy,
    },
    /// A proxy connected by a protocol that assigns proxy ids itself.
    ProxyConnected {
        /// Stream that the proxy is connected on.
        stream: StreamId,
        /// Id that the protocol assigned, below `fleet.proxies`.
        proxy: ProxyId,
        /// Index of the proxy's zone in `fleet.zones`.
        zone: ZoneId,
        /// The proxy's usual traffic, in requests per second.
        rate: f64,
        /// True if the proxy has only its static tables, false if it still uses a table received earlier.
        fresh: bool,
    },
    /// A proxy has applied the update that carried this nonce.
    Acknowledged {
        /// The proxy's stream.
        stream: StreamId,
        /// Nonce of the applied update.
        nonce: u32,
        /// Time from the decision to its taking effect, in microseconds, if the protocol reports it.
        /// Otherwise the engine measures the time since it sent the update.
        latency: Option<Micros>,
    },
    /// What the connected proxies of a zone measured at one server, summed by a collector.
    UpstreamStats {
        /// Server that the attempts were sent to.
        server: ServerId,
        /// Zone of the proxies that sent them.
        zone: ZoneId,
        /// Time over which the attempts were counted, in microseconds.
        period: Micros,
        /// All attempts and failed attempts.
        attempts: RequestCounts,
        /// Mean latency of the successful attempts, in microseconds; 0 if none succeeded.
        latency: Micros,
        /// Values of the configured load columns, in their order; empty if none are reported.
        load: Vec<f32>,
    },
    /// Requests of one class that clients sent to a proxy, summed by a collector.
    ClientStats {
        /// Proxy that received the requests.
        proxy: ProxyId,
        /// Index of the request class in `fleet.classes`.
        class: ClassId,
        /// Time over which the requests were counted, in microseconds.
        period: Micros,
        /// All requests received; as errors, those that were admitted and got no response.
        requests: RequestCounts,
    },
    /// A message of a connected caller was invalid and has been skipped; it is counted and logged.
    InvalidMessage {
        /// Name of the sender, for the log.
        sender: String,
        /// Why the message is invalid.
        reason: String,
    },
    /// The peer or the connection ended a stream.
    StreamEnded {
        /// The ended stream.
        stream: StreamId,
    },
    /// The engine must close a stream: its bytes are not a valid frame, it has been silent for too long, or
    /// its grant has expired or lacks a permission.
    StreamFailed {
        /// Stream to close.
        stream: StreamId,
        /// Reason code that the proxy receives.
        reason: v1::Reason,
        /// Explanation for the proxy and the log.
        detail: String,
    },
}
