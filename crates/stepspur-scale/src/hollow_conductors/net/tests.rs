//! Tests of links that are cut and restored.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::{Tcp, Transport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use super::{Counters, GatedTransport, Gates};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which no result is expected: far above the latency of loopback, but short for a test.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

#[tokio::test]
async fn cut_links_block_traffic_and_restored_links_deliver_it() {
    let mut listener = Tcp.listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let gates = Gates::default();
    let transport =
        GatedTransport { gate: gates.for_region("north"), counters: Arc::new(Counters::default()) };
    let mut near = transport.dial(listener.address()).await.unwrap();
    let mut far = timeout(WAIT_TIMEOUT, listener.accept()).await.unwrap().unwrap();
    gates.for_region("south").set(true);
    near.write_all(b"one").await.unwrap();
    let mut read = [0; 3];
    timeout(WAIT_TIMEOUT, far.read_exact(&mut read)).await.unwrap().unwrap();

    gates.for_region("north").set(true);
    far.write_all(b"two").await.unwrap();
    assert!(timeout(SILENCE_TIMEOUT, near.read_exact(&mut read)).await.is_err(), "a cut link reads nothing");
    assert!(timeout(SILENCE_TIMEOUT, near.write_all(b"four")).await.is_err(), "a cut link writes nothing");
    assert!(
        timeout(SILENCE_TIMEOUT, transport.dial(listener.address())).await.is_err(),
        "a cut link opens no connection"
    );

    let healed = tokio::spawn(async move {
        near.read_exact(&mut read).await.unwrap();
        read
    });
    tokio::task::yield_now().await;
    gates.for_region("north").set(false);
    assert_eq!(&timeout(WAIT_TIMEOUT, healed).await.unwrap().unwrap(), b"two");
    let bytes = transport.counters.bytes();
    assert_eq!((bytes.read, bytes.written, bytes.writes), (3, 3, 1));
}
