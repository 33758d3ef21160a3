//! The representation of an endpoint in files and HTTP responses.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stepspur::interface::EndpointState;

use crate::engine::DiscoveredEndpoint;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// An endpoint in a file or an HTTP response.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// The IPv4 or IPv6 address and the port.
    pub address: SocketAddr,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The endpoint's state; ready if absent.
    #[serde(default)]
    pub state: EndpointRecordState,
    /// The weight relative to other endpoints; 0 or absent if the list assigns none.
    #[serde(default)]
    pub weight: f64,
    /// The last start in milliseconds since 1970; 0 or absent means long ago.
    #[serde(default)]
    pub started_unix_ms: u64,
}

/// The state of an endpoint in a file or an HTTP response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRecordState {
    /// The endpoint serves requests.
    #[default]
    Ready,
    /// The endpoint completes its requests in progress and must get no new ones.
    Draining,
    /// The endpoint is removed from the list.
    Gone,
}

impl From<EndpointRecord> for DiscoveredEndpoint {
    fn from(record: EndpointRecord) -> Self {
        Self {
            name: None,
            address: record.address,
            zone: record.zone,
            state: match record.state {
                EndpointRecordState::Ready => EndpointState::Ready,
                EndpointRecordState::Draining => EndpointState::Draining,
                EndpointRecordState::Gone => EndpointState::Removed,
            },
            weight: record.weight,
            started: record.started_unix_ms.saturating_mul(MICROS_PER_MILLI),
        }
    }
}

/// Converts records to endpoints of the engine.
pub(super) fn to_endpoints(records: Vec<EndpointRecord>) -> Vec<DiscoveredEndpoint> {
    records.into_iter().map(DiscoveredEndpoint::from).collect()
}
