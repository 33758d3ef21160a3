//! How connections end: rejections, shutdowns, replaced and closed streams, and the messages that must still
//! arrive. Each test forces the order of events in which the failure comes about.

#[path = "../../stepspur-conductor/tests/common/closing.rs"]
mod closing;
mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use closing::ConnectionEnds;
use common::{FakeDiscovery, TIMEOUT, TestPeer, file, list, load, node};
use serde_json::{Value, json};
use stepspur_conductor::Conductor;
use stepspur_conductor::engine::{GoAway, ProxyProtocol, ProxyUpdate, ServerIds, Stats, UpdateStamp};
use stepspur_platform::protocol::PlatformProtocol;
use stepspur_platform::protocol_server;
use stepspur_proto::FrameError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval, timeout};

/// The platform's protocol with this many spaces added to each update, so that it exceeds the socket buffers.
struct PaddedProtocol(PlatformProtocol, usize);

impl ProxyProtocol for PaddedProtocol {
    fn encode_update(
        &self,
        stamp: UpdateStamp,
        update: &ProxyUpdate,
        servers: &ServerIds,
        max_size: usize,
    ) -> Result<Bytes, FrameError> {
        let mut line = self.0.encode_update(stamp, update, servers, max_size)?.to_vec();
        let end = line.pop().into_iter();
        line.extend(std::iter::repeat_n(b' ', self.1).chain(end));
        Ok(line.into())
    }

    fn go_away(&self, stamp: UpdateStamp, go_away: GoAway<'_>) -> Bytes {
        self.0.go_away(stamp, go_away)
    }

    fn ejections_persist(&self) -> bool {
        self.0.ejections_persist()
    }
}

/// The platform's protocol with an encoder that blocks the engine until the test drops its sender. It reports
/// over the second channel that the engine is blocked.
struct GatedProtocol(PlatformProtocol, Mutex<std::sync::mpsc::Receiver<()>>, mpsc::Sender<()>);

impl ProxyProtocol for GatedProtocol {
    fn encode_update(
        &self,
        stamp: UpdateStamp,
        update: &ProxyUpdate,
        servers: &ServerIds,
        max_size: usize,
    ) -> Result<Bytes, FrameError> {
        let _ = self.2.try_send(());
        // The worker hands its other tasks over before it blocks.
        let _ = tokio::task::block_in_place(|| self.1.lock().unwrap().recv_timeout(TIMEOUT));
        self.0.encode_update(stamp, update, servers, max_size)
    }

    fn go_away(&self, stamp: UpdateStamp, go_away: GoAway<'_>) -> Bytes {
        self.0.go_away(stamp, go_away)
    }
}

/// Bytes that exceed the socket buffers of both ends of a connection.
const OVER_SOCKET_BUFFERS: usize = 16 << 20;

/// Number of inputs that the engine's queue holds.
const ENGINE_QUEUE_LENGTH: u64 = 16_384;

/// Starts a conductor with 4 servers, updates padded by `padding` bytes, and a long shutdown grace time.
async fn start(padding: usize) -> (Conductor, FakeDiscovery) {
    let discovery = FakeDiscovery::start(&(0..4).map(|k| node(k, "ready", 0)).collect::<Vec<_>>()).await;
    let config = load(&file(discovery.address, 8, 256, &list(0, true, &[])));
    let (_, discovery_address) = watch::channel(config.discovery);
    let protocol = PlatformProtocol::new(config.catalog.classes.clone());
    let mut server = protocol_server(config, discovery_address);
    server.protocol = Box::new(PaddedProtocol(protocol, padding));
    server.shutdown_grace = TIMEOUT;
    let conductor = Conductor::start_protocol_server(server).await.unwrap();
    wait_stats(&conductor, |s| s.servers.ready == 4).await;
    (conductor, discovery)
}

/// Waits until the engine's statistics satisfy the condition.
async fn wait_stats(conductor: &Conductor, condition: impl Fn(&Stats) -> bool) {
    let (deadline, mut ticks) = (Instant::now() + TIMEOUT, interval(Duration::from_millis(10)));
    loop {
        ticks.tick().await;
        let stats = conductor.stats().await.expect("the engine runs");
        if condition(&stats) {
            return;
        }
        assert!(Instant::now() < deadline, "{stats:?}");
    }
}

/// Joins as a proxy that does not read.
async fn join_without_reading(conductor: &Conductor, number: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut stream = socket.connect(conductor.address()).await.unwrap();
    let attach = json!({"@type": "attach", "proxy": number, "zone": "a", "weight": 20.0, "fresh": true});
    stream.write_all(format!("{attach}\n").as_bytes()).await.unwrap();
    stream
}

/// Everything received until the stream ends gracefully. Fails on a reset.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let read =
        timeout(TIMEOUT, stream.read_to_string(&mut text)).await.expect("the end of the stream in time");
    read.expect("no reset");
    text
}

/// Guards against a lost rejection. The kernel resets a socket that is closed with unread bytes, and discards
/// what its peer has not received yet.
#[tokio::test]
async fn a_rejected_peer_receives_the_reason_even_if_its_bytes_are_unread() {
    let (conductor, _discovery) = start(0).await;
    let flood = "x".repeat(200 << 10);
    let cases = [
        ("a report before joining", "{\"@type\":\"done\",\"proxy\":1,\"mark\":1,\"took_ms\":1}\n"),
        ("HTTP", "GET / HTTP/1.1\r\n\r\n"),
        ("an endless line", ""),
    ];
    for (what, first) in cases {
        let mut peer = TcpStream::connect(conductor.address()).await.unwrap();
        let ends = ConnectionEnds::of(&peer);
        peer.write_all(format!("{first}{flood}").as_bytes()).await.unwrap();
        let text = read_to_end(&mut peer).await;
        let rejection: Value = serde_json::from_str(&text).expect(what);
        assert_eq!(rejection["@type"], "reject", "{what}");
        peer.shutdown().await.unwrap();
        ends.assert_orderly_close(&peer).await;
    }
    conductor.stop().await;
}

/// Guards against a truncated update when SIGTERM arrives while the update is partly written: it must arrive
/// complete and the stream end gracefully.
#[tokio::test]
async fn a_partly_written_update_arrives_complete_at_a_shutdown() {
    let (conductor, _discovery) = start(OVER_SOCKET_BUFFERS).await;
    let mut proxy = join_without_reading(&conductor, 0).await;
    let mut first = [0; 1];
    timeout(TIMEOUT, proxy.peek(&mut first)).await.expect("an update begins").unwrap();
    let stopping = tokio::spawn(conductor.stop());
    // The listener closes when the conductor stops; by then the writer has been notified as well.
    let address = proxy.peer_addr().unwrap();
    let (deadline, mut ticks) = (Instant::now() + TIMEOUT, interval(Duration::from_millis(5)));
    while TcpStream::connect(address).await.is_ok() {
        assert!(Instant::now() < deadline);
        ticks.tick().await;
    }
    // A report that can no longer be processed must not end the stream.
    let report = json!({"@type": "client_stats", "proxy": 0, "class": "order", "tries": 1, "failed": 0, "span_ms": 1.0});
    proxy.write_all(format!("{report}\n").as_bytes()).await.unwrap();
    let text = read_to_end(&mut proxy).await;
    assert!(text.len() > OVER_SOCKET_BUFFERS && text.ends_with('\n'), "{} bytes", text.len());
    for line in text.lines() {
        let update: Value = serde_json::from_str(line).expect("a complete line");
        assert_eq!(update["@type"], "assign");
    }
    proxy.shutdown().await.unwrap();
    timeout(TIMEOUT, stopping).await.expect("the conductor stops").unwrap();
}

/// Guards against a shutdown that is delayed beyond its grace time by a proxy that neither reads nor closes.
#[tokio::test]
async fn a_shutdown_ends_after_its_grace_time() {
    let discovery = FakeDiscovery::start(&[node(0, "ready", 0)]).await;
    let config = load(&file(discovery.address, 8, 256, &list(0, true, &[])));
    let (_, discovery_address) = watch::channel(config.discovery);
    let protocol = PlatformProtocol::new(config.catalog.classes.clone());
    let mut server = protocol_server(config, discovery_address);
    server.protocol = Box::new(PaddedProtocol(protocol, OVER_SOCKET_BUFFERS));
    let conductor = Conductor::start_protocol_server(server).await.unwrap();
    wait_stats(&conductor, |s| s.servers.ready == 1).await;
    let proxy = join_without_reading(&conductor, 0).await;
    timeout(TIMEOUT, proxy.peek(&mut [0; 1])).await.expect("an update begins").unwrap();
    timeout(TIMEOUT, conductor.stop()).await.expect("the conductor stops after its grace time");
}

/// Guards against connections that are reset or left open at a shutdown: pending ones get a rejection with
/// the reason, collectors and proxies a graceful close.
#[tokio::test]
async fn a_shutdown_closes_every_connection_gracefully() {
    let (conductor, _discovery) = start(0).await;
    let address = conductor.address();
    let mut pending = TcpStream::connect(address).await.unwrap();
    pending.write_all(b"{\"@type\":\"hb\"}\n").await.unwrap();
    assert_eq!(pending.read_u8().await.unwrap(), b'{', "the connection is accepted");
    let mut collector = TcpStream::connect(address).await.unwrap();
    let report = json!({"@type": "upstream_stats", "zone": "a", "server": "s-0000", "tries": 0});
    collector
        .write_all(format!("{{\"@type\":\"telemetry\",\"zone\":\"a\"}}\n{report}\n").as_bytes())
        .await
        .unwrap();
    let mut proxy = join_without_reading(&conductor, 0).await;
    wait_stats(&conductor, |s| s.connected == 1 && s.messages > 0 && s.invalid_inputs == 1).await;
    let stopping = tokio::spawn(conductor.stop());
    assert!(read_to_end(&mut pending).await.contains("the conductor stops"));
    assert_eq!(read_to_end(&mut collector).await, "");
    assert!(read_to_end(&mut proxy).await.ends_with('\n'));
    drop((pending, collector, proxy));
    timeout(TIMEOUT, stopping).await.expect("the conductor stops").unwrap();
}

/// Guards against memory growth for a proxy that does not read: its queue is limited in bytes, which large
/// updates reach long before 512 messages.
#[tokio::test]
async fn the_queue_of_a_proxy_that_does_not_read_is_limited_in_bytes() {
    let (conductor, discovery) = start(OVER_SOCKET_BUFFERS).await;
    let proxy = join_without_reading(&conductor, 0).await;
    timeout(TIMEOUT, proxy.peek(&mut [0; 1])).await.expect("an update begins").unwrap();
    let (deadline, mut ticks) = (Instant::now() + TIMEOUT, interval(Duration::from_millis(20)));
    let mut changes = 0;
    while conductor.stats().await.unwrap().connected > 0 {
        assert!(Instant::now() < deadline, "{:?}", conductor.stats().await);
        discovery.change(&[node(3, ["draining", "ready"][changes % 2], 0)]);
        changes += 1;
        ticks.tick().await;
    }
    assert!(conductor.stats().await.unwrap().messages < 512);
    conductor.stop().await;
}

/// Guards against a proxy that loses its registration when it joins again before the end of its old stream is
/// noticed: the old stream closes gracefully and the new one keeps receiving updates.
#[tokio::test]
async fn a_proxy_that_joins_again_before_its_old_stream_ends_stays_connected() {
    let (conductor, discovery) = start(0).await;
    let mut old = join_without_reading(&conductor, 0).await;
    wait_stats(&conductor, |s| s.connected == 1 && s.unassigned == 0).await;
    // Bytes that the conductor may not have read when it closes the old stream.
    old.write_all(&b"{\"@type\":\"hb\"}\n".repeat(64)).await.unwrap();
    let mut newer = TestPeer::connect_proxy(conductor.address(), 0).await;
    newer.apply_until(0, |p| p.full_tables == 1).await;
    let ends = ConnectionEnds::of(&old);
    read_to_end(&mut old).await;
    old.shutdown().await.unwrap();
    ends.assert_orderly_close(&old).await;
    discovery.change(&[node(0, "draining", 0)]);
    newer.apply_until(0, |p| !p.may_use("s-0000")).await;
    wait_stats(&conductor, |s| s.connected == 1).await;
    conductor.stop().await;
}

/// Guards against state that remains for a proxy that half-closes, resets, or closes at once after its join.
#[tokio::test]
async fn a_proxy_is_disconnected_however_it_closes() {
    let (conductor, _discovery) = start(0).await;
    for end in ["half close", "reset", "at once"] {
        let mut proxy = join_without_reading(&conductor, 3).await;
        if end != "at once" {
            wait_stats(&conductor, |s| s.connected == 1 && s.unassigned == 0).await;
        }
        match end {
            "half close" => {
                proxy.shutdown().await.unwrap();
                timeout(TIMEOUT, proxy.read_to_end(&mut Vec::new()))
                    .await
                    .expect("the end of the stream")
                    .unwrap();
            }
            "reset" => proxy.set_zero_linger().unwrap(),
            _ => {}
        }
        drop(proxy);
        // Another proxy joins afterwards; once it is connected, it must be the only one.
        let mut last = TestPeer::connect_proxy(conductor.address(), 4).await;
        last.apply_until(4, |p| p.full_tables == 1).await;
        wait_stats(&conductor, |s| s.connected == 1 && s.pending_acks == 0).await;
        drop(last);
        wait_stats(&conductor, |s| s.connected == 0 && s.pending_acks == 0 && s.unassigned == 0).await;
    }
    conductor.stop().await;
}

/// Guards against reports that are lost because their collector closes before the conductor has read them.
#[tokio::test]
async fn unread_reports_of_a_closed_collector_are_processed() {
    let (conductor, _discovery) = start(0).await;
    let mut collector = TcpStream::connect(conductor.address()).await.unwrap();
    // Reports on a server that no list names count as invalid inputs, which makes each one visible.
    let report = json!({"@type": "upstream_stats", "zone": "a", "server": "none", "tries": 1, "failed": 1, "span_ms": 1000.0});
    let reports = format!("{report}\n").repeat(3000);
    collector
        .write_all(format!("{{\"@type\":\"telemetry\",\"zone\":\"a\"}}\n{reports}").as_bytes())
        .await
        .unwrap();
    drop(collector);
    wait_stats(&conductor, |s| s.invalid_inputs == 3000).await;
    conductor.stop().await;
}

/// Guards against dropped inputs while the engine is blocked and its queue is full: readers must wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn inputs_wait_while_the_engine_queue_is_full() {
    let discovery = FakeDiscovery::start(&[node(0, "ready", 0)]).await;
    let config = load(&file(discovery.address, 8, 256, &list(0, true, &[])));
    let (_, discovery_address) = watch::channel(config.discovery);
    let ((gate, is_open), (blocked, mut is_blocked)) = (std::sync::mpsc::channel(), mpsc::channel(1));
    let protocol = PlatformProtocol::new(config.catalog.classes.clone());
    let mut server = protocol_server(config, discovery_address);
    server.protocol = Box::new(GatedProtocol(protocol, Mutex::new(is_open), blocked));
    let conductor = Conductor::start_protocol_server(server).await.unwrap();
    wait_stats(&conductor, |s| s.servers.ready == 1).await;
    let _proxy = join_without_reading(&conductor, 0).await;
    timeout(TIMEOUT, is_blocked.recv()).await.expect("the engine is blocked");
    let mut collector = TcpStream::connect(conductor.address()).await.unwrap();
    let ends = ConnectionEnds::of(&collector);
    let report = json!({"@type": "upstream_stats", "zone": "a", "server": "none", "tries": 1, "failed": 1, "span_ms": 1.0});
    let report = format!("{report}\n");
    let (length, written) = (report.len() as u64, Arc::new(AtomicU64::new(0)));
    let count = Arc::clone(&written);
    let sending = tokio::spawn(async move {
        collector.write_all(b"{\"@type\":\"telemetry\",\"zone\":\"a\"}\n").await.unwrap();
        for _ in 0..400 {
            collector.write_all(report.repeat(100).as_bytes()).await.unwrap();
            count.fetch_add(100 * length, Ordering::SeqCst);
        }
        collector
    });
    // The conductor has read one report more than the queue holds, so the reader waits for the engine.
    let (deadline, mut ticks) = (Instant::now() + TIMEOUT, interval(Duration::from_millis(5)));
    while written.load(Ordering::SeqCst).saturating_sub(ends.unread_bytes())
        < (ENGINE_QUEUE_LENGTH + 1) * length
    {
        assert!(Instant::now() < deadline, "{} of {}", ends.unread_bytes(), written.load(Ordering::SeqCst));
        ticks.tick().await;
    }
    drop(gate);
    let _collector = timeout(TIMEOUT, sending).await.expect("all reports are read").unwrap();
    wait_stats(&conductor, |s| s.invalid_inputs == 40_000).await;
    conductor.stop().await;
}
