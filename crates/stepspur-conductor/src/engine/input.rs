//! What the engine is told.

use std::net::SocketAddr;

use serde::Serialize;
use stepspur::interface::{
    ClassId, EndpointState, ListUpdate, Micros, ProbeOutcome, ProxyId, ServerId, ZoneId,
};
use stepspur_proto::{FromProxy, v1};

use super::ProbeTarget;

/// A proxy's stream, by a number that is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct StreamId(pub u64);

/// A server as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Its name, where lists name servers: then that is what it is known by, and its address may change.
    pub name: Option<String>,
    /// Its address.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its state.
    pub state: EndpointState,
    /// Its weight; 0: none is listed.
    pub weight: f64,
    /// Its last start, microseconds since 1970; 0: long ago.
    pub started: Micros,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// News of the list of servers.
    EndpointList {
        /// How it builds on the list before.
        how: ListUpdate,
        /// The servers that it names.
        entries: Vec<DiscoveredEndpoint>,
    },
    /// What the machine's clock shows. Starts are told by such clocks, and it may have been set since the engine's
    /// own time, which only goes forward, was taken from it.
    WallClock {
        /// Microseconds since 1970.
        unix: Micros,
    },
    /// The result of a probe. It counts only while the list has its server at that address and with that start.
    ProbeResult {
        /// What it was sent to, as ordered.
        target: ProbeTarget,
        /// The outcome.
        outcome: ProbeOutcome,
        /// Time since it was sent.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// A frame came on a stream; its first must be a `Hello`.
    Frame {
        /// The stream.
        stream: StreamId,
        /// The frame.
        frame: FromProxy,
    },
    /// A proxy whose protocol gives it its number has joined: its stream stands.
    ProxyConnected {
        /// The stream.
        stream: StreamId,
        /// The proxy's number, below the fleet's.
        proxy: ProxyId,
        /// Its zone, one of the fleet's.
        zone: ZoneId,
        /// Requests a second that it usually gets.
        rate: f64,
        /// True: it holds only its standing tables.
        fresh: bool,
    },
    /// A proxy has applied what carried this mark.
    Acknowledged {
        /// Its stream.
        stream: StreamId,
        /// The mark.
        mark: u32,
        /// From the order to its taking effect, if the protocol tells it.
        latency: Option<Micros>,
    },
    /// What the joined proxies of a zone met at a server, summed elsewhere.
    UpstreamStats {
        /// The server.
        server: ServerId,
        /// The zone.
        zone: ZoneId,
        /// Time over which it was counted.
        period: Micros,
        /// Tries, and those of them with no good answer.
        tries: [u32; 2],
        /// Mean time of the good ones.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// Requests of a class that came to a proxy, summed elsewhere.
    ClientStats {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Time over which it was counted.
        period: Micros,
        /// Requests that came, and those let in that got no answer.
        requests: [u32; 2],
    },
    /// A message of a joined caller made no sense and was passed over.
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
    /// A stream must end: what came on it was no frame, or nothing came, or nothing was taken.
    StreamFailed {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: v1::Reason,
        /// In words.
        detail: String,
    },
}
