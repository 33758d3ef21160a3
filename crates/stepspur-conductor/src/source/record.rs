//! An endpoint's form in files and HTTP answers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stepspur::interface::EndpointState;

use crate::engine::DiscoveredEndpoint;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// An endpoint in a file or an HTTP answer.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// IPv4 or IPv6 address and port.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its state; ready where left out.
    #[serde(default)]
    pub state: EndpointRecordState,
    /// Its weight relative to other endpoints; 0 or left out: it has none.
    #[serde(default)]
    pub weight: f64,
    /// Its last start in milliseconds since 1970; 0 or left out: long ago.
    #[serde(default)]
    pub started_unix_ms: u64,
}

/// An endpoint's state in a file or an HTTP answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRecordState {
    /// It serves requests.
    #[default]
    Ready,
    /// It completes the requests that it has and must get no new ones.
    Draining,
    /// It is removed.
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

/// Converts a list of records.
pub(super) fn to_endpoints(records: Vec<EndpointRecord>) -> Vec<DiscoveredEndpoint> {
    records.into_iter().map(DiscoveredEndpoint::from).collect()
}
