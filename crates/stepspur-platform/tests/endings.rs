//! What ends at a conductor on the platform, and what is still owed then; each bad order is forced.

#[path = "../../stepspur-conductor/tests/common/closing.rs"]
mod closing;
mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use closing::Ends;
use common::{Caller, SOON, StandIn, file, list, load, node};
use serde_json::{Value, json};
use stepspur_conductor::Conductor;
use stepspur_conductor::engine::{GoAway, ProxyProtocol, ProxyUpdate, ServerIds, Stats, UpdateStamp};
use stepspur_platform::{dialect, front};
use stepspur_proto::FrameError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval, timeout};

/// The platform's lines, each order followed by so many bytes that mean nothing: no kernel holds them all.
struct Padded(dialect::Lines, usize);

impl ProxyProtocol for Padded {
    fn encode_update(
        &self,
        at: UpdateStamp,
        order: &ProxyUpdate,
        servers: &ServerIds,
        most: usize,
    ) -> Result<Bytes, FrameError> {
        let mut line = self.0.encode_update(at, order, servers, most)?.to_vec();
        let end = line.pop().into_iter();
        line.extend(std::iter::repeat_n(b' ', self.1).chain(end));
        Ok(line.into())
    }

    fn go_away(&self, at: UpdateStamp, farewell: GoAway<'_>) -> Bytes {
        self.0.go_away(at, farewell)
    }

    fn ejections_persist(&self) -> bool {
        self.0.ejections_persist()
    }
}

/// The platform's lines, worded only once the test has let go of the gate: until then the engine stands still.
struct Gated(dialect::Lines, Mutex<std::sync::mpsc::Receiver<()>>, mpsc::Sender<()>);

impl ProxyProtocol for Gated {
    fn encode_update(
        &self,
        at: UpdateStamp,
        order: &ProxyUpdate,
        servers: &ServerIds,
        most: usize,
    ) -> Result<Bytes, FrameError> {
        let _ = self.2.try_send(());
        // The worker gives its other tasks away before it stands still.
        let _ = tokio::task::block_in_place(|| self.1.lock().unwrap().recv_timeout(SOON));
        self.0.encode_update(at, order, servers, most)
    }

    fn go_away(&self, at: UpdateStamp, farewell: GoAway<'_>) -> Bytes {
        self.0.go_away(at, farewell)
    }
}

/// More than the kernel keeps for a connection, on both sides.
const HUGE: usize = 16 << 20;

/// What the engine's queue holds.
const QUEUE: u64 = 16_384;

/// A conductor with four servers whose orders are `padding` bytes longer, and that takes its time to end.
async fn start(padding: usize) -> (Conductor, StandIn) {
    let discovery = StandIn::start(&(0..4).map(|k| node(k, "ready", 0)).collect::<Vec<_>>()).await;
    let config = load(&file(discovery.address, 8, 256, &list(0, true, &[])));
    let (_, newest) = watch::channel(config.discovery);
    let lines = dialect::Lines::new(config.catalog.classes.clone());
    let mut front = front(config, newest);
    front.protocol = Box::new(Padded(lines, padding));
    front.shutdown_grace = SOON;
    let conductor = Conductor::start_protocol_server(front).await.unwrap();
    counts(&conductor, |s| s.servers.ready == 4).await;
    (conductor, discovery)
}

/// Waits until the engine's counts are so.
async fn counts(conductor: &Conductor, are: impl Fn(&Stats) -> bool) {
    let (deadline, mut look) = (Instant::now() + SOON, interval(Duration::from_millis(10)));
    loop {
        look.tick().await;
        let stats = conductor.stats().await.expect("the engine lives");
        if are(&stats) {
            return;
        }
        assert!(Instant::now() < deadline, "{stats:?}");
    }
}

/// A proxy that has said who it is, and reads nothing by itself.
async fn deaf(conductor: &Conductor, number: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut stream = socket.connect(conductor.address()).await.unwrap();
    let attach = json!({"@type": "attach", "proxy": number, "zone": "a", "weight": 20.0, "fresh": true});
    stream.write_all(format!("{attach}\n").as_bytes()).await.unwrap();
    stream
}

/// All that comes until the stream ends in order; a reset fails.
async fn rest(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let read = timeout(SOON, stream.read_to_string(&mut text)).await.expect("the end in time");
    read.expect("no reset");
    text
}

/// The kernel resets a socket that is closed over unread bytes, and throws away what its peer has not got yet: a
/// caller that is refused would not always learn why.
#[tokio::test]
async fn a_caller_that_is_refused_reads_why_though_its_bytes_lie_unread() {
    let (conductor, _discovery) = start(0).await;
    let flood = "x".repeat(200 << 10);
    let cases = [
        ("a report before joining", "{\"@type\":\"done\",\"proxy\":1,\"mark\":1,\"took_ms\":1}\n"),
        ("HTTP", "GET / HTTP/1.1\r\n\r\n"),
        ("an endless line", ""),
    ];
    for (what, first) in cases {
        let mut caller = TcpStream::connect(conductor.address()).await.unwrap();
        let ends = Ends::of(&caller);
        caller.write_all(format!("{first}{flood}").as_bytes()).await.unwrap();
        let text = rest(&mut caller).await;
        let rejection: Value = serde_json::from_str(&text).expect(what);
        assert_eq!(rejection["@type"], "reject", "{what}");
        caller.shutdown().await.unwrap();
        ends.closed_in_order(&caller).await;
    }
    conductor.stop().await;
}

/// SIGTERM while an order is half written to a proxy: the order arrives whole, and the stream ends in order.
#[tokio::test]
async fn an_order_that_is_half_written_at_a_stop_arrives_whole() {
    let (conductor, _discovery) = start(HUGE).await;
    let mut proxy = deaf(&conductor, 0).await;
    let mut first = [0; 1];
    timeout(SOON, proxy.peek(&mut first)).await.expect("an order begins").unwrap();
    let stopping = tokio::spawn(conductor.stop());
    // The listener is gone as soon as the conductor ends: then the writer has been told too.
    let address = proxy.peer_addr().unwrap();
    let (deadline, mut look) = (Instant::now() + SOON, interval(Duration::from_millis(5)));
    while TcpStream::connect(address).await.is_ok() {
        assert!(Instant::now() < deadline);
        look.tick().await;
    }
    // A report that nobody can take in any more ends nothing.
    let report = json!({"@type": "client_stats", "proxy": 0, "class": "order", "tries": 1, "failed": 0, "span_ms": 1.0});
    proxy.write_all(format!("{report}\n").as_bytes()).await.unwrap();
    let text = rest(&mut proxy).await;
    assert!(text.len() > HUGE && text.ends_with('\n'), "{} bytes", text.len());
    for line in text.lines() {
        let order: Value = serde_json::from_str(line).expect("a whole order");
        assert_eq!(order["@type"], "assign");
    }
    proxy.shutdown().await.unwrap();
    timeout(SOON, stopping).await.expect("it ends").unwrap();
}

/// One that neither reads nor ends may not hold a conductor back for longer than its grace.
#[tokio::test]
async fn a_stop_waits_for_nobody_beyond_its_grace() {
    let discovery = StandIn::start(&[node(0, "ready", 0)]).await;
    let config = load(&file(discovery.address, 8, 256, &list(0, true, &[])));
    let (_, newest) = watch::channel(config.discovery);
    let lines = dialect::Lines::new(config.catalog.classes.clone());
    let mut front = front(config, newest);
    front.protocol = Box::new(Padded(lines, HUGE));
    let conductor = Conductor::start_protocol_server(front).await.unwrap();
    counts(&conductor, |s| s.servers.ready == 1).await;
    let proxy = deaf(&conductor, 0).await;
    timeout(SOON, proxy.peek(&mut [0; 1])).await.expect("an order begins").unwrap();
    timeout(SOON, conductor.stop()).await.expect("it ends all the same");
}

/// All who hold a connection are told that it ends: pending ones why, collectors and proxies by an end in order.
#[tokio::test]
async fn a_stop_ends_every_connection_in_order() {
    let (conductor, _discovery) = start(0).await;
    let address = conductor.address();
    let mut pending = TcpStream::connect(address).await.unwrap();
    pending.write_all(b"{\"@type\":\"hb\"}\n").await.unwrap();
    assert_eq!(pending.read_u8().await.unwrap(), b'{', "it has been taken in");
    let mut collector = TcpStream::connect(address).await.unwrap();
    let report = json!({"@type": "upstream_stats", "zone": "a", "server": "s-0000", "tries": 0});
    collector
        .write_all(format!("{{\"@type\":\"telemetry\",\"zone\":\"a\"}}\n{report}\n").as_bytes())
        .await
        .unwrap();
    let mut proxy = deaf(&conductor, 0).await;
    counts(&conductor, |s| s.connected == 1 && s.messages > 0 && s.invalid_inputs == 1).await;
    let stopping = tokio::spawn(conductor.stop());
    assert!(rest(&mut pending).await.contains("the conductor stops"));
    assert_eq!(rest(&mut collector).await, "");
    assert!(rest(&mut proxy).await.ends_with('\n'));
    drop((pending, collector, proxy));
    timeout(SOON, stopping).await.expect("it ends").unwrap();
}

/// A proxy that reads nothing costs no more memory than its queue may hold: by bytes, long before 512 messages.
#[tokio::test]
async fn what_waits_for_a_proxy_that_reads_nothing_is_bounded_in_bytes() {
    let (conductor, discovery) = start(HUGE).await;
    let proxy = deaf(&conductor, 0).await;
    timeout(SOON, proxy.peek(&mut [0; 1])).await.expect("an order begins").unwrap();
    let (deadline, mut look) = (Instant::now() + SOON, interval(Duration::from_millis(20)));
    let mut changes = 0;
    while conductor.stats().await.unwrap().connected > 0 {
        assert!(Instant::now() < deadline, "{:?}", conductor.stats().await);
        discovery.change(&[node(3, ["draining", "ready"][changes % 2], 0)]);
        changes += 1;
        look.tick().await;
    }
    assert!(conductor.stats().await.unwrap().messages < 512);
    conductor.stop().await;
}

/// The newer stream of a proxy has it; the old one, not yet seen to end, ends in order and takes nothing with it.
#[tokio::test]
async fn a_proxy_that_joins_anew_before_its_old_stream_ends_keeps_its_place() {
    let (conductor, discovery) = start(0).await;
    let mut old = deaf(&conductor, 0).await;
    counts(&conductor, |s| s.connected == 1 && s.unassigned == 0).await;
    // Bytes that the conductor may not have read when it ends the old stream.
    old.write_all(&b"{\"@type\":\"hb\"}\n".repeat(64)).await.unwrap();
    let mut newer = Caller::proxy(conductor.address(), 0).await;
    newer.until(0, |p| p.whole == 1).await;
    let ends = Ends::of(&old);
    rest(&mut old).await;
    old.shutdown().await.unwrap();
    ends.closed_in_order(&old).await;
    discovery.change(&[node(0, "draining", 0)]);
    newer.until(0, |p| !p.picks("s-0000")).await;
    counts(&conductor, |s| s.connected == 1).await;
    conductor.stop().await;
}

/// However a proxy ends its stream, it has left, and nothing of it stays.
#[tokio::test]
async fn a_proxy_that_half_closes_resets_or_joins_and_goes_has_left() {
    let (conductor, _discovery) = start(0).await;
    for end in ["half close", "reset", "at once"] {
        let mut proxy = deaf(&conductor, 3).await;
        if end != "at once" {
            counts(&conductor, |s| s.connected == 1 && s.unassigned == 0).await;
        }
        match end {
            "half close" => {
                proxy.shutdown().await.unwrap();
                timeout(SOON, proxy.read_to_end(&mut Vec::new())).await.expect("its end").unwrap();
            }
            "reset" => proxy.set_zero_linger().unwrap(),
            _ => {}
        }
        drop(proxy);
        // One that joins after it is seen joined, and then alone.
        let mut last = Caller::proxy(conductor.address(), 4).await;
        last.until(4, |p| p.whole == 1).await;
        counts(&conductor, |s| s.connected == 1 && s.pending_acks == 0).await;
        drop(last);
        counts(&conductor, |s| s.connected == 0 && s.pending_acks == 0 && s.unassigned == 0).await;
    }
    conductor.stop().await;
}

/// A collector reports and is gone: what it wrote before its end counts.
#[tokio::test]
async fn reports_that_are_unread_when_their_collector_ends_count() {
    let (conductor, _discovery) = start(0).await;
    let mut collector = TcpStream::connect(conductor.address()).await.unwrap();
    // Servers that no list named are counted as nonsense: each report shows.
    let report = json!({"@type": "upstream_stats", "zone": "a", "server": "none", "tries": 1, "failed": 1, "span_ms": 1000.0});
    let reports = format!("{report}\n").repeat(3000);
    collector
        .write_all(format!("{{\"@type\":\"telemetry\",\"zone\":\"a\"}}\n{reports}").as_bytes())
        .await
        .unwrap();
    drop(collector);
    counts(&conductor, |s| s.invalid_inputs == 3000).await;
    conductor.stop().await;
}

/// The engine stands still and its queue is full: who tells waits, and nothing that came is dropped.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_comes_while_the_engines_queue_is_full_waits_and_counts() {
    let discovery = StandIn::start(&[node(0, "ready", 0)]).await;
    let config = load(&file(discovery.address, 8, 256, &list(0, true, &[])));
    let (_, newest) = watch::channel(config.discovery);
    let ((gate, is_open), (reached, mut stands)) = (std::sync::mpsc::channel(), mpsc::channel(1));
    let lines = dialect::Lines::new(config.catalog.classes.clone());
    let mut front = front(config, newest);
    front.protocol = Box::new(Gated(lines, Mutex::new(is_open), reached));
    let conductor = Conductor::start_protocol_server(front).await.unwrap();
    counts(&conductor, |s| s.servers.ready == 1).await;
    let _proxy = deaf(&conductor, 0).await;
    timeout(SOON, stands.recv()).await.expect("the engine stands still");
    let mut collector = TcpStream::connect(conductor.address()).await.unwrap();
    let ends = Ends::of(&collector);
    let report = json!({"@type": "upstream_stats", "zone": "a", "server": "none", "tries": 1, "failed": 1, "span_ms": 1.0});
    let report = format!("{report}\n");
    let (long, written) = (report.len() as u64, Arc::new(AtomicU64::new(0)));
    let count = Arc::clone(&written);
    let telling = tokio::spawn(async move {
        collector.write_all(b"{\"@type\":\"telemetry\",\"zone\":\"a\"}\n").await.unwrap();
        for _ in 0..400 {
            collector.write_all(report.repeat(100).as_bytes()).await.unwrap();
            count.fetch_add(100 * long, Ordering::SeqCst);
        }
        collector
    });
    // The conductor has read one report more than its queue holds: who reads them waits for the engine.
    let (deadline, mut look) = (Instant::now() + SOON, interval(Duration::from_millis(5)));
    while written.load(Ordering::SeqCst).saturating_sub(ends.unread()) < (QUEUE + 1) * long {
        assert!(Instant::now() < deadline, "{} of {}", ends.unread(), written.load(Ordering::SeqCst));
        look.tick().await;
    }
    drop(gate);
    let _collector = timeout(SOON, telling).await.expect("all is taken").unwrap();
    counts(&conductor, |s| s.invalid_inputs == 40_000).await;
    conductor.stop().await;
}
