//! Settings, endpoint lists and helpers that the tests of the engine and of the service share.
#![allow(dead_code)]

pub(crate) mod closing;
pub(crate) mod engine_harness;
pub(crate) mod peer;
pub(crate) mod rules;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use stepspur::interface::{EndpointState, ServerId};
use stepspur_conductor::config::{Channel, ClassConfig, Config, Fleet, IdempotencyConfig, Source};
use stepspur_conductor::engine::{DiscoveredEndpoint, ProbeTarget};
use stepspur_proto::{FromProxy, VERSION, from_proxy, v1};

/// Settings of a small deployment with the zones `a` and `b` and the classes `read` and `write`.
pub(crate) fn config() -> Config {
    let class = |name: &str, effect| ClassConfig {
        name: name.into(),
        effect,
        aim: Duration::from_secs(1),
        deadline: Duration::from_secs(3),
        worth: 1.0,
        group: Default::default(),
        window: Duration::ZERO,
        own_zone: false,
    };
    let fleet = Fleet {
        zones: vec!["a".into(), "b".into()],
        my_zone: None,
        conductors: 1,
        proxies: 20,
        classes: vec![
            class("read", IdempotencyConfig::ReadLike),
            class("write", IdempotencyConfig::NonIdempotent),
        ],
        admit: Default::default(),
        connections_min: 0,
        cold: Duration::from_secs(10),
        start_capacity: 0.3,
        fall_multiple: 3.0,
        drain_grace: Duration::from_secs(2),
        unserved_max: Duration::from_secs(3),
        drain_binds_alone: false,
    };
    let source =
        Source::File { path: "none".into(), every: Duration::from_millis(20), doubt: Default::default() };
    let mut listen = stepspur_conductor::config::Listen::default();
    listen.address.set_port(0);
    listen.plain_on_loopback = true;
    Config {
        fleet,
        listen,
        channel: Channel { lines_per_s: 1e6, waiting_max: 1e6, ..Channel::default() },
        reports: Default::default(),
        probes: stepspur_conductor::config::Probes { enabled: false, ..Default::default() },
        source,
        status: Default::default(),
        identity: None,
        council: None,
        distribution: None,
        tenants: Default::default(),
    }
}

/// The address of the server with this index.
pub(crate) fn address(k: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + k as u16))
}

/// A probe of the server with this index that started at `started`, in microseconds since 1970.
pub(crate) fn probe_target(k: usize, started: u64) -> ProbeTarget {
    let address = address(k);
    let [high, low] = address.port().to_be_bytes();
    ProbeTarget { server: ServerId([127, 0, 0, 1, high, low]), address, started }
}

/// The first `count` servers, alternately in the zones `a` and `b`, all ready and past their slow start.
pub(crate) fn nodes(count: usize) -> Vec<DiscoveredEndpoint> {
    let zone = |k: usize| ["a", "b"][k % 2].to_owned();
    let entry = |k| DiscoveredEndpoint {
        name: None,
        address: address(k),
        zone: zone(k),
        state: EndpointState::Ready,
        weight: 1.0,
        started: 0,
    };
    (0..count).map(entry).collect()
}

/// The first frame of a proxy that has no table yet.
pub(crate) fn hello(name: &str, zone: &str) -> FromProxy {
    let hello = v1::Hello {
        version: VERSION,
        name: name.into(),
        zone: zone.into(),
        fresh: true,
        ..Default::default()
    };
    FromProxy::new(0, 0, from_proxy::Kind::Hello(hello))
}

/// The addresses of the first `count` servers.
pub(crate) fn all(count: usize) -> BTreeSet<SocketAddr> {
    (0..count).map(address).collect()
}

/// Returns the entries after setting the state of the entry with this index.
pub(crate) fn with_state(
    mut entries: Vec<DiscoveredEndpoint>,
    k: usize,
    state: EndpointState,
) -> Vec<DiscoveredEndpoint> {
    entries[k].state = state;
    entries
}
