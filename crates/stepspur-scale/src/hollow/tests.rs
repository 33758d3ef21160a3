use std::sync::Arc;
use std::time::Duration;

use stepspur_conductor::config::Source;
use stepspur_conductor::http;
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_emulator::Launcher;
use stepspur_emulator::registry::Registry;
use stepspur_emulator::trace::Trace;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::proxies::{HollowProxies, ProxySettings};
use super::servers::{HollowServers, SERVERS_MOST, address_of};

/// Limit for every wait, far above the expected time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn hollow_proxies_join_a_conductor_and_receive_a_drain() {
    let registry = Registry::new(Arc::new(Trace::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, stop) = (listener.local_addr().unwrap(), CancellationToken::new());
    let serving = tokio::spawn(Arc::clone(&registry).serve(0, listener, stop.clone()));
    let mut config = crate::slopes::conductor::base_config().unwrap();
    let doubt = config.source.mass_removal_guard().clone();
    config.source =
        Source::Http { address, path: "/v1/nodes".into(), poll: WAIT_TIMEOUT, timeout: WAIT_TIMEOUT, doubt };
    let zones = config.fleet.zones.clone();
    let addresses: Arc<Vec<_>> = Arc::new((0..12).map(|number| (address_of(number), 80).into()).collect());
    let node = |number: usize, state| EndpointRecord {
        address: addresses[number],
        zone: zones[number % zones.len()].clone(),
        state,
        weight: 1.0,
        started_unix_ms: 0,
    };
    registry.set((0..addresses.len()).map(|number| node(number, EndpointRecordState::Ready)));
    let conductor = Launcher::Inside.start(&config).await.unwrap();
    let settings = ProxySettings {
        count: 6,
        zones: zones.clone(),
        servers: Arc::clone(&addresses),
        requests_per_s: 3,
        seed: 1,
        table_changes: None,
    };
    let mut proxies = HollowProxies::start(conductor.address, &settings).await.unwrap();
    proxies.wait_until_bound(WAIT_TIMEOUT).await.unwrap();
    assert_eq!(proxies.removals(), 0);
    registry.set((0..zones.len()).map(|number| node(number, EndpointRecordState::Draining)));
    proxies.wait_for_removals(6, WAIT_TIMEOUT).await.unwrap();
    proxies.stop().await;
    conductor.terminate().await;
    stop.cancel();
    serving.await.unwrap();
}

#[tokio::test]
async fn hollow_servers_answer_probes_and_count_them() {
    let servers = HollowServers::start(3).await.unwrap();
    for address in servers.addresses() {
        let (status, body) = http::get(*address, "/load", WAIT_TIMEOUT, 1_024).await.unwrap();
        assert!(status.is_success());
        let load: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert!(load["q"].is_number() && load["lat_ms"].is_number(), "{load}");
    }
    let (probes, bytes) = (servers.probed().probes(), servers.probed().bytes());
    assert_eq!(probes, 3);
    assert!((300..1_500).contains(&bytes), "{bytes} bytes of three probes");
    servers.stop().await;
}

#[tokio::test]
async fn too_many_hollow_servers_are_rejected() {
    let refused = HollowServers::start(SERVERS_MOST + 1).await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::InvalidInput);
}

#[test]
fn hollow_addresses_are_distinct_loopback_addresses() {
    let mut addresses: Vec<_> = (0..19_000).map(address_of).collect();
    assert!(addresses.iter().all(|address| address.is_loopback()));
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 19_000);
}
