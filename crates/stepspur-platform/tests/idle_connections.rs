//! Hundreds of idle connections over real sockets: they are closed in time, and proxies can still join.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{FakeDiscovery, TIMEOUT, TestPeer, file, list, node, start};
use serde_json::Value;
use stepspur_conductor::Conductor;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, interval, timeout};

/// Half of the join timeout: a proxy that has its table within this time did not wait for idle connections to
/// time out.
const PROMPT_JOIN: Duration = Duration::from_millis(650);

/// Starts a conductor for 20 proxies with 4 servers and this many descriptors.
async fn start_conductor(descriptors: usize) -> (Conductor, FakeDiscovery) {
    let nodes: Vec<Value> = (0..4).map(|k| node(k, "ready", 0)).collect();
    let discovery = FakeDiscovery::start(&nodes).await;
    let (conductor, _) = start(&file(discovery.address, 20, descriptors, &list(1, true, &nodes))).await;
    (conductor, discovery)
}

/// Connects without waiting to be accepted.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

/// Opens `count` connections that send nothing.
fn idle_connections(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| connect(address)).collect()
}

/// Number of connections in the kernel's accept queue of this listener.
fn accept_queue_length(address: SocketAddr) -> u32 {
    let SocketAddr::V4(address_v4) = address else { panic!("{address}") };
    let listening = format!(
        "{:08X}:{:04X} 00000000:0000 0A ",
        u32::from_ne_bytes(address_v4.ip().octets()),
        address_v4.port()
    );
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let row =
        table.lines().find_map(|line| Some(line.split_once(&listening)?.1)).expect("a listening socket");
    u32::from_str_radix(row.split([':', ' ']).nth(1).unwrap(), 16).unwrap()
}

/// Checks that each connection gets `reject` or is closed within 3 s, the limit of the platform.
async fn assert_closed(connections: Vec<TcpStream>, started: Instant) {
    for connection in connections {
        let mut connection = tokio::net::TcpStream::from_std(connection).unwrap();
        let mut received = String::new();
        // A reset counts as closed as well.
        let _ = timeout(TIMEOUT, connection.read_to_string(&mut received)).await.expect("closed in time");
        assert!(received.is_empty() || received.contains("\"reject\""), "{received}");
    }
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

/// Guards against a proxy that waits in the accept queue behind idle connections. There are far more of these
/// than the limit on pending connections, but enough descriptors, so that all are accepted at once.
#[tokio::test]
async fn idle_connections_do_not_fill_the_accept_queue_before_a_proxy() {
    let (conductor, _discovery) = start_conductor(2048).await;
    let address = conductor.address();
    let started = Instant::now();
    let idle = idle_connections(address, 800);
    let mut proxy = TestPeer::connect_proxy(address, 0).await;
    timeout(TIMEOUT, proxy.apply_until(0, |p| p.full_tables == 1)).await.expect("a table");
    assert!(started.elapsed() < PROMPT_JOIN, "{:?} behind 800 idle connections", started.elapsed());
    assert_eq!(accept_queue_length(address), 0, "the accept queue is empty");
    assert_closed(idle, started).await;
    conductor.stop().await;
}

/// Guards against a continuous flood that keeps proxies from joining. Idle connections arrive three times as
/// fast as the pending limit allows with the minimum time of each, so the oldest have to be evicted all the
/// time.
#[tokio::test]
async fn a_continuous_flood_does_not_delay_proxies() {
    let (conductor, _discovery) = start_conductor(2048).await;
    let address = conductor.address();
    let (mut flood, mut ticks) = (Vec::new(), interval(Duration::from_millis(20)));
    for proxy in 0..20 {
        for _ in 0..4 {
            ticks.tick().await;
            flood.extend(idle_connections(address, 40));
        }
        let started = Instant::now();
        let mut caller = TestPeer::connect_proxy(address, proxy).await;
        timeout(TIMEOUT, caller.apply_until(proxy, |p| p.full_tables == 1)).await.expect("a table");
        assert!(started.elapsed() < PROMPT_JOIN, "proxy {proxy}: {:?}", started.elapsed());
        flood.drain(..flood.len().saturating_sub(800));
    }
    conductor.stop().await;
}

/// Guards against a stalled accept loop once descriptors run out: connections then wait in the accept queue,
/// for no longer than the minimum pending time of those before them.
#[tokio::test]
async fn waiting_connections_are_accepted_as_descriptors_are_released() {
    let (conductor, _discovery) = start_conductor(100).await;
    let address = conductor.address();
    let started = Instant::now();
    let idle = idle_connections(address, 300);
    let mut proxy = TestPeer::connect_proxy(address, 0).await;
    timeout(TIMEOUT, proxy.apply_until(0, |p| p.full_tables == 1)).await.expect("a table");
    // 64 descriptors, 200 ms each: 300 connections are accepted after one second.
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?} behind 300 idle connections",
        started.elapsed()
    );
    assert_closed(idle, started).await;
    conductor.stop().await;
}
