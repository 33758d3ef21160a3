//! Hundreds that dial and say nothing, over real connections: none is left to wait at the listener, and no proxy is
//! kept out.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::{Caller, SOON, StandIn, file, list, node, start};
use serde_json::Value;
use stepspur_conductor::Conductor;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, interval, timeout};

/// Half the time that a caller has to join: who gets in within it did not wait for others to be timed out.
const PROMPTLY: Duration = Duration::from_millis(650);

/// A conductor for twenty proxies with four servers and so many descriptors.
async fn conductor(descriptors: usize) -> (Conductor, StandIn) {
    let nodes: Vec<Value> = (0..4).map(|k| node(k, "ready", 0)).collect();
    let discovery = StandIn::start(&nodes).await;
    let (conductor, _) = start(&file(discovery.address, 20, descriptors, &list(1, true, &nodes))).await;
    (conductor, discovery)
}

/// Dials without waiting to be taken in.
fn dial(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

fn strangers(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| dial(address)).collect()
}

/// Connections that the kernel keeps waiting at this listener.
fn waiting(address: SocketAddr) -> u32 {
    let SocketAddr::V4(at) = address else { panic!("{address}") };
    let listening =
        format!("{:08X}:{:04X} 00000000:0000 0A ", u32::from_ne_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let row = table.lines().find_map(|line| Some(line.split_once(&listening)?.1)).expect("it listens");
    u32::from_str_radix(row.split([':', ' ']).nth(1).unwrap(), 16).unwrap()
}

/// That each is told `reject`, or closed, within the 3 s that a stranger is owed.
async fn are_shown_out(strangers: Vec<TcpStream>, began: Instant) {
    for stranger in strangers {
        let mut stranger = tokio::net::TcpStream::from_std(stranger).unwrap();
        let mut told = String::new();
        // A reset closes it too.
        let _ = timeout(SOON, stranger.read_to_string(&mut told)).await.expect("its end in time");
        assert!(told.is_empty() || told.contains("\"reject\""), "{told}");
    }
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

/// Far more strangers than may stay pending: there are descriptors, so that nobody waits, and a proxy that dials
/// behind all of them has its table at once.
#[tokio::test]
async fn strangers_do_not_pile_up_at_the_listener_before_a_proxy() {
    let (conductor, _discovery) = conductor(2048).await;
    let address = conductor.address();
    let began = Instant::now();
    let strangers = strangers(address, 800);
    let mut proxy = Caller::proxy(address, 0).await;
    timeout(SOON, proxy.until(0, |p| p.whole == 1)).await.expect("a table");
    assert!(began.elapsed() < PROMPTLY, "{:?} behind 800 strangers", began.elapsed());
    assert_eq!(waiting(address), 0, "nobody waits at the listener");
    are_shown_out(strangers, began).await;
    conductor.stop().await;
}

/// Strangers that come without end, three times as fast as pending ones may come where each has its brief time: the
/// oldest are shown out, and never does a proxy wait behind them.
#[tokio::test]
async fn a_flood_that_does_not_end_keeps_no_proxy_out() {
    let (conductor, _discovery) = conductor(2048).await;
    let address = conductor.address();
    let (mut flood, mut pace) = (Vec::new(), interval(Duration::from_millis(20)));
    for proxy in 0..20 {
        for _ in 0..4 {
            pace.tick().await;
            flood.extend(strangers(address, 40));
        }
        let began = Instant::now();
        let mut caller = Caller::proxy(address, proxy).await;
        timeout(SOON, caller.until(proxy, |p| p.whole == 1)).await.expect("a table");
        assert!(began.elapsed() < PROMPTLY, "proxy {proxy}: {:?}", began.elapsed());
        flood.drain(..flood.len().saturating_sub(800));
    }
    conductor.stop().await;
}

/// Where descriptors run out strangers do wait, each no longer than those before it have their brief time.
#[tokio::test]
async fn strangers_that_wait_for_descriptors_are_taken_in_as_these_are_free() {
    let (conductor, _discovery) = conductor(100).await;
    let address = conductor.address();
    let began = Instant::now();
    let strangers = strangers(address, 300);
    let mut proxy = Caller::proxy(address, 0).await;
    timeout(SOON, proxy.until(0, |p| p.whole == 1)).await.expect("a table");
    // 64 descriptors, 200 ms each: 300 are through after one second.
    assert!(began.elapsed() < Duration::from_secs(2), "{:?} behind 300 strangers", began.elapsed());
    are_shown_out(strangers, began).await;
    conductor.stop().await;
}
