//! Peers that send long messages, or parts of them, over real sockets: the memory stays bounded, others are
//! served, and a sound long message passes.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{FakeDiscovery, TIMEOUT, file, list, node, start};
use serde_json::Value;
use stepspur_conductor::Conductor;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, timeout};

/// Upper bound of the growth of the process by the unfinished input of all connections, in bytes.
const MAX_GROWTH_BYTES: usize = 96 << 20;
/// Within this time a heartbeat is answered beside any input of others.
const PROMPT_REPLY: Duration = Duration::from_secs(2);
const JOIN: &[u8] = b"{\"@type\":\"telemetry\",\"zone\":\"a\"}\n";
const HEARTBEAT: &[u8] = b"{\"@type\":\"hb\"}\n";

/// Tests measure the memory of their common process, so that they run one after the other.
static MEASURING: Mutex<()> = Mutex::const_new(());

async fn start_conductor() -> (Conductor, FakeDiscovery) {
    let nodes: Vec<Value> = (0..4).map(|k| node(k, "ready", 0)).collect();
    let discovery = FakeDiscovery::start(&nodes).await;
    let (conductor, _) = start(&file(discovery.address, 20, 1024, &list(1, true, &nodes))).await;
    (conductor, discovery)
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
}

/// Connections that join as collectors, send these bytes as far as they are read, and stay open.
fn senders(address: SocketAddr, count: usize, bytes: &Arc<Vec<u8>>) -> JoinSet<()> {
    let mut senders = JoinSet::new();
    for _ in 0..count {
        let bytes = Arc::clone(bytes);
        senders.spawn(async move {
            let mut socket = TcpStream::connect(address).await.unwrap();
            let _ = socket.write_all(JOIN).await;
            let _ = socket.write_all(&bytes).await;
            let _ = socket.read(&mut [0]).await;
        });
    }
    senders
}

/// Sends bytes and a heartbeat on a new connection, and returns the time until its reply.
async fn time_to_reply(address: SocketAddr, bytes: &[u8]) -> Duration {
    let began = Instant::now();
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(JOIN).await.unwrap();
    socket.write_all(bytes).await.unwrap();
    socket.write_all(HEARTBEAT).await.unwrap();
    let mut reply = [0; 18];
    timeout(TIMEOUT, socket.read_exact(&mut reply)).await.expect("a reply in time").unwrap();
    assert!(reply.starts_with(b"{\"@type\":\"hb_ok\"}"), "{}", String::from_utf8_lossy(&reply));
    began.elapsed()
}

/// A sound report of exactly the longest length.
fn longest_report() -> Vec<u8> {
    let report =
        br#"{"@type":"upstream_stats","zone":"a","server":"s-0000","tries":1,"failed":1,"span_ms":500}"#;
    let mut line = report.to_vec();
    line.resize(1 << 20, b' ');
    line.push(b'\n');
    line
}

/// Has this many connections send these bytes, and checks for 3 s that heartbeats of others are answered promptly
/// and that the process grows little.
async fn assert_others_are_served(count: usize, bytes: Vec<u8>) {
    let _turn = MEASURING.lock().await;
    let (conductor, _discovery) = start_conductor().await;
    let before = resident_bytes();
    let _senders = senders(conductor.address(), count, &Arc::new(bytes));
    let began = Instant::now();
    let mut pace = interval(Duration::from_millis(100));
    while began.elapsed() < Duration::from_secs(3) {
        pace.tick().await;
        assert!(time_to_reply(conductor.address(), b"").await < PROMPT_REPLY);
        let growth = resident_bytes().saturating_sub(before);
        assert!(growth < MAX_GROWTH_BYTES, "{} MiB", growth >> 20);
    }
}

/// Guards against a process that passes its memory limit: hundreds of peers stopped inside a line, or wrote it
/// slowly, and each part was kept without end.
#[tokio::test(flavor = "multi_thread")]
async fn hundreds_of_unfinished_messages_use_little_memory() {
    assert_others_are_served(300, vec![b' '; 1_000_000]).await;
}

/// Guards against late replies and memory for messages of very many short fields.
#[tokio::test(flavor = "multi_thread")]
async fn messages_of_very_many_fields_delay_no_others() {
    let fields: Vec<String> = (0..90_000).map(|k| format!("\"k{k}\":1")).collect();
    assert_others_are_served(200, format!("{{{}}}\n", fields.join(",")).into_bytes()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sound_message_of_the_longest_length_passes_beside_unfinished_ones() {
    let _turn = MEASURING.lock().await;
    let (conductor, _discovery) = start_conductor().await;
    time_to_reply(conductor.address(), &longest_report()).await;
    let part = Arc::new(vec![b' '; 1_000_000]);
    let _senders = senders(conductor.address(), 40, &part);
    time_to_reply(conductor.address(), &longest_report()).await;
}

/// Guards against a message that is begun and never ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_message_that_does_not_end_in_time_ends_its_stream() {
    let _turn = MEASURING.lock().await;
    let (conductor, _discovery) = start_conductor().await;
    let part = Arc::new(vec![b' '; 100_000]);
    let mut senders = senders(conductor.address(), 1, &part);
    timeout(TIMEOUT, senders.join_next()).await.expect("the conductor ends the stream");
}
