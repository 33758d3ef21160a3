//! What the engine takes in.

use std::net::SocketAddr;

use serde::Serialize;
use stepspur::interface::{
    ClassId, EndpointState, ListUpdate, Micros, ProbeOutcome, ProxyId, ServerId, ZoneId,
};
use stepspur_proto::{FromProxy, v1};

/// Identifies a proxy's stream; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct StreamId(pub u64);

/// One entry of the endpoint list as the source of the list gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Its name, where the source names servers: the name then identifies the server, and its address may
    /// change.
    pub name: Option<String>,
    /// Its address.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its state.
    pub state: EndpointState,
    /// Its configured weight; 0: none.
    pub weight: f64,
    /// When its process last started, in microseconds since 1970; 0: long ago.
    pub started: Micros,
}

/// What a probe is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The server.
    pub server: ServerId,
    /// Its address when the probe was requested.
    pub address: SocketAddr,
    /// Its last start as listed then, in microseconds since 1970; 0: long ago.
    pub started: Micros,
}

/// Attempts or requests counted over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All of them.
    pub total: u32,
    /// Those that failed.
    pub errors: u32,
}

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Input {
    /// An update of the endpoint list.
    EndpointList {
        /// How it relates to the list before it.
        update: ListUpdate,
        /// Its entries.
        entries: Vec<DiscoveredEndpoint>,
    },
    /// The wall clock's time. Starts of servers are given by wall clocks, and this machine's may have been
    /// set since the engine's time, which is monotonic, was derived from it.
    WallClock {
        /// Microseconds since 1970.
        unix: Micros,
    },
    /// The result of a probe. It counts only while the list has the server at that address and with that
    /// start.
    ProbeResult {
        /// What it was sent to, as requested.
        target: ProbeTarget,
        /// The outcome.
        outcome: ProbeOutcome,
        /// Time since it was sent.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// A frame arrived on a stream; the first one must be a `Hello`.
    Frame {
        /// The stream.
        stream: StreamId,
        /// The frame.
        frame: FromProxy,
    },
    /// A proxy connected whose protocol assigns proxy ids.
    ProxyConnected {
        /// The stream.
        stream: StreamId,
        /// The proxy, below the fleet's number of proxies.
        proxy: ProxyId,
        /// Its zone, one of the fleet's.
        zone: ZoneId,
        /// Its usual traffic, in requests per second.
        rate: f64,
        /// True: it has only its static tables.
        fresh: bool,
    },
    /// A proxy has applied the update that carried this nonce.
    Acknowledged {
        /// Its stream.
        stream: StreamId,
        /// The nonce.
        nonce: u32,
        /// From the update to its taking effect, if the protocol reports it.
        latency: Option<Micros>,
    },
    /// What the connected proxies of a zone measured at one server, summed by a collector.
    UpstreamStats {
        /// The server.
        server: ServerId,
        /// The zone.
        zone: ZoneId,
        /// Time over which it was measured.
        period: Micros,
        /// Attempts, and those that failed.
        attempts: RequestCounts,
        /// Mean latency of the successful ones, 0 if none.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// Requests of one class that clients sent to a proxy, summed by a collector.
    ClientStats {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Time over which they were counted.
        period: Micros,
        /// Requests received, and those admitted that got no response.
        requests: RequestCounts,
    },
    /// A message of a connected caller was invalid and has been skipped.
    InvalidMessage {
        /// Who sent it.
        by: String,
        /// What was wrong.
        what: String,
    },
    /// A stream has ended.
    StreamEnded {
        /// The stream.
        stream: StreamId,
    },
    /// A stream must be closed: its bytes were no frame, it was silent, or its grant has ended or lacks a
    /// right.
    StreamFailed {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// The same in words.
        detail: String,
    },
}
