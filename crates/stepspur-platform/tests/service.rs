//! A conductor on the platform over loopback sockets, with a test discovery server, proxies, and peers that
//! send invalid messages or none.

mod common;

use std::time::Duration;

use common::{Behavior, FakeDiscovery, TIMEOUT, TestPeer, file, list, node, start};
use serde_json::{Value, json};
use stepspur_conductor::Conductor;
use stepspur_conductor::engine::Stats;
use tokio::time::{Instant, sleep, timeout};

fn nodes(count: usize) -> Vec<Value> {
    (0..count).map(|k| node(k, "ready", 0)).collect()
}

/// The list of a conductor that has never known any server.
fn empty_list() -> Value {
    list(0, true, &[])
}

/// Waits until the engine's statistics satisfy the condition, and returns them.
async fn wait_stats(conductor: &Conductor, condition: impl Fn(&Stats) -> bool) -> Stats {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let stats = conductor.stats().await.expect("the engine runs");
        if condition(&stats) {
            return stats;
        }
        assert!(Instant::now() < deadline, "{stats:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn proxies_get_their_table_and_every_drain_within_two_seconds() {
    let discovery = FakeDiscovery::start(&nodes(8)).await;
    let (conductor, _discovery_address) = start(&file(discovery.address, 8, 256, &empty_list())).await;
    let mut proxies = Vec::new();
    for k in 0..8 {
        proxies.push(TestPeer::connect_proxy(conductor.address(), k).await);
    }
    for (k, proxy) in proxies.iter_mut().enumerate() {
        proxy.apply_until(k, |p| p.full_tables == 1).await;
        assert!(!proxy.weights.is_empty());
    }
    wait_stats(&conductor, |s| s.connected == 8 && s.unassigned == 0 && s.pending_acks == 0).await;
    let drain_started = Instant::now();
    discovery.change(&[node(0, "draining", 0), node(3, "draining", 0)]);
    for (k, proxy) in proxies.iter_mut().enumerate() {
        proxy.apply_until(k, |p| !p.may_use("s-0000") && !p.may_use("s-0003")).await;
        assert!(!proxy.weights.is_empty(), "a table is never empty");
    }
    assert!(drain_started.elapsed() < Duration::from_secs(2));
    conductor.stop().await;
}

/// Guards against a conductor that serves no table when discovery is down at its start: it uses the known
/// list.
#[tokio::test]
async fn the_known_list_is_served_while_discovery_is_down() {
    let discovery = FakeDiscovery::start(&nodes(6)).await;
    discovery.set_behavior(Behavior::Unavailable);
    let (conductor, _discovery_address) =
        start(&file(discovery.address, 4, 256, &list(1, true, &nodes(4)))).await;
    let mut proxy = TestPeer::connect_proxy(conductor.address(), 1).await;
    proxy.apply_until(1, |p| p.full_tables == 1 && p.may_use("s-0001")).await;
    // The decision module is notified of each failed call and retries until one succeeds.
    discovery.set_behavior(Behavior::Normal);
    wait_stats(&conductor, |s| s.servers.ready == 6).await;
    conductor.stop().await;
}

/// Guards against a conductor that reports itself ready by answering heartbeats before it has a list.
#[tokio::test]
async fn heartbeats_are_not_answered_before_there_is_a_list() {
    let discovery = FakeDiscovery::start(&nodes(2)).await;
    discovery.set_behavior(Behavior::NoResponse);
    let (conductor, _discovery_address) = start(&file(discovery.address, 4, 256, &empty_list())).await;
    let mut early = TestPeer::connect(conductor.address()).await;
    early.send(&json!({"@type": "hb"})).await;
    assert_eq!(early.next().await.map(|line| line["@type"].clone()), Some(json!("reject")));
    discovery.set_behavior(Behavior::Normal);
    wait_stats(&conductor, |s| s.servers.ready == 2).await;
    let mut later = TestPeer::connect(conductor.address()).await;
    later.send(&json!({"@type": "hb"})).await;
    assert_eq!(later.next().await, Some(json!({"@type": "hb_ok"})));
    conductor.stop().await;
}

/// Guards against a list that is dropped, or is never updated again, after a watch sends a partial line,
/// becomes idle or gets no response.
#[tokio::test]
async fn a_failed_watch_is_opened_again_and_the_list_stays_meanwhile() {
    for behavior in [Behavior::PartialLine, Behavior::IdleAfterFirstLine, Behavior::NoResponse] {
        let discovery = FakeDiscovery::start(&nodes(4)).await;
        discovery.set_behavior(behavior);
        let (conductor, _discovery_address) =
            start(&file(discovery.address, 4, 256, &list(1, true, &nodes(3)))).await;
        let deadline = Instant::now() + TIMEOUT;
        while discovery.calls() < 2 {
            assert!(Instant::now() < deadline, "{behavior:?}");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(
            conductor.stats().await.unwrap().servers.ready >= 3,
            "{behavior:?}: the old list stays in use"
        );
        discovery.set_behavior(Behavior::Normal);
        discovery.change(&[node(7, "ready", 0)]);
        wait_stats(&conductor, |s| s.servers.ready == 5).await;
        conductor.stop().await;
    }
}

/// Guards against streams that end, and changes that are missed, when the address of discovery changes.
#[tokio::test]
async fn streams_continue_when_the_discovery_address_changes() {
    let (old, new) = (FakeDiscovery::start(&nodes(4)).await, FakeDiscovery::start(&nodes(4)).await);
    let (conductor, discovery_address) = start(&file(old.address, 4, 256, &empty_list())).await;
    let mut proxy = TestPeer::connect_proxy(conductor.address(), 0).await;
    proxy.apply_until(0, |p| p.full_tables == 1).await;
    discovery_address.send_replace(new.address);
    let deadline = Instant::now() + TIMEOUT;
    while new.calls() == 0 {
        assert!(Instant::now() < deadline);
        sleep(Duration::from_millis(10)).await;
    }
    old.close();
    new.change(&[node(0, "draining", 0)]);
    proxy.apply_until(0, |p| !p.may_use("s-0000")).await;
    assert_eq!((proxy.full_tables, conductor.stats().await.unwrap().connected), (1, 1), "the same stream");
    conductor.stop().await;
}

/// Guards against peers with invalid first messages, or none, that hold a connection: each gets a rejection
/// or a close within 3 s, and none counts as a proxy.
#[tokio::test]
async fn peers_that_do_not_join_are_rejected() {
    let discovery = FakeDiscovery::start(&nodes(4)).await;
    let (conductor, _discovery_address) = start(&file(discovery.address, 20, 256, &empty_list())).await;
    wait_stats(&conductor, |s| s.servers.ready == 4).await;
    let endless = vec![b'x'; 1 << 20];
    let cases: [(&str, &[u8]); 9] = [
        ("HTTP", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
        ("an endless message", &endless),
        ("an order", b"{\"@type\":\"assign\",\"full\":true}\n"),
        ("a report before joining", b"{\"@type\":\"done\",\"proxy\":1,\"mark\":1,\"took_ms\":1}\n"),
        (
            "no such proxy",
            b"{\"@type\":\"attach\",\"proxy\":20,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n",
        ),
        ("no such zone", b"{\"@type\":\"attach\",\"proxy\":2,\"zone\":\"q\",\"weight\":1,\"fresh\":true}\n"),
        ("no such collector", b"{\"@type\":\"telemetry\",\"zone\":\"q\"}\n"),
        ("half a message", b"{\"@type\":\"atta"),
        ("silence", b""),
    ];
    for (what, bytes) in cases {
        let mut peer = TestPeer::connect(conductor.address()).await;
        let started = Instant::now();
        peer.send_bytes(bytes).await;
        let reply = peer.next().await;
        assert!(reply.is_none_or(|reply| reply["@type"] == "reject"), "{what}");
        assert!(started.elapsed() < Duration::from_secs(3), "{what}: {:?}", started.elapsed());
    }
    assert_eq!(conductor.stats().await.unwrap().connected, 0);
    conductor.stop().await;
}

/// Guards against proxies that cannot join because idle connections hold most descriptors.
#[tokio::test]
async fn hundreds_of_idle_connections_do_not_keep_proxies_from_joining() {
    let discovery = FakeDiscovery::start(&nodes(4)).await;
    let (conductor, _discovery_address) = start(&file(discovery.address, 20, 100, &empty_list())).await;
    wait_stats(&conductor, |s| s.servers.ready == 4).await;
    let started = Instant::now();
    let mut connections = Vec::new();
    for _ in 0..300 {
        connections.push(TestPeer::connect(conductor.address()).await);
    }
    for k in 0..20 {
        let mut proxy = TestPeer::connect_proxy(conductor.address(), k).await;
        timeout(TIMEOUT, proxy.apply_until(k, |p| p.full_tables == 1)).await.expect("a table in time");
        connections.push(proxy);
    }
    assert_eq!(conductor.stats().await.unwrap().connected, 20);
    for mut idle in connections.drain(..300) {
        assert!(idle.next().await.is_none_or(|reply| reply["@type"] == "reject"));
    }
    assert!(started.elapsed() < TIMEOUT);
    wait_stats(&conductor, |s| s.connected == 20).await;
    conductor.stop().await;
}

/// Guards against a stream that ends on a malformed message, which is to be skipped and counted, and against
/// one that continues after bytes that are not a message.
#[tokio::test]
async fn malformed_messages_are_skipped_and_unreadable_bytes_end_the_stream() {
    let discovery = FakeDiscovery::start(&nodes(4)).await;
    let (conductor, _discovery_address) = start(&file(discovery.address, 4, 256, &empty_list())).await;
    let mut proxy = TestPeer::connect_proxy(conductor.address(), 0).await;
    proxy.apply_until(0, |p| p.full_tables == 1).await;
    wait_stats(&conductor, |s| s.pending_acks == 0).await;
    proxy.send(&json!({"@type": "done", "proxy": 0, "mark": "x", "took_ms": 1})).await;
    proxy.send(&json!({"@type": "done", "proxy": 1, "mark": 1, "took_ms": 1})).await;
    proxy.send(&json!({"@type": "client_stats", "proxy": 0, "class": "none", "tries": 1, "failed": 0, "span_ms": 1})).await;
    proxy.send(&json!({"@type": "hb"})).await;
    assert_eq!(proxy.next().await, Some(json!({"@type": "hb_ok"})));
    wait_stats(&conductor, |s| s.connected == 1 && s.invalid_inputs == 3).await;
    proxy.send_bytes(b"\x00\x01 nothing\n").await;
    wait_stats(&conductor, |s| s.connected == 0).await;
    let mut collector = TestPeer::connect(conductor.address()).await;
    collector.send(&json!({"@type": "telemetry", "zone": "a"})).await;
    collector.send(&json!({"@type": "upstream_stats", "zone": "a", "server": "s-0000", "tries": 0})).await;
    wait_stats(&conductor, |s| s.invalid_inputs == 4).await;
    collector.send_bytes(b"garbage\n").await;
    assert_eq!(collector.next().await, None, "nothing is written to a collector");
    conductor.stop().await;
}

/// Number of open file descriptors of this process.
fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Guards against leaks of descriptors, tables or acknowledgements that build up over months as streams and
/// servers are replaced; 400 replacements in a few seconds make them visible.
#[tokio::test]
async fn replaced_streams_and_servers_leak_nothing() {
    let discovery = FakeDiscovery::start(&nodes(4)).await;
    let (conductor, _discovery_address) = start(&file(discovery.address, 4, 64, &empty_list())).await;
    let mut proxy = TestPeer::connect_proxy(conductor.address(), 0).await;
    proxy.apply_until(0, |p| p.full_tables == 1).await;
    let before = descriptors();
    for round in 0..400 {
        let mut newer = TestPeer::connect_proxy(conductor.address(), 0).await;
        newer.apply_until(0, |p| p.full_tables == 1).await;
        // The old stream is closed by whichever end first notices that it was replaced.
        drop(std::mem::replace(&mut proxy, newer));
        let added = 4 + round;
        discovery.change(&[node(added, "ready", 0), node(added - 4, "gone", 0)]);
        if round % 100 == 99 {
            wait_stats(&conductor, |s| s.connected == 1 && s.servers.ready == 4).await;
        }
    }
    let stats =
        wait_stats(&conductor, |s| s.connected == 1 && s.servers.ready == 4 && s.unassigned == 0).await;
    let deadline = Instant::now() + TIMEOUT;
    while descriptors() > before + 4 {
        assert!(Instant::now() < deadline, "{} before {before}", descriptors());
        sleep(Duration::from_millis(20)).await;
    }
    assert!(stats.tables <= 4 && stats.pending_acks <= 4, "{stats:?}");
    conductor.stop().await;
}
