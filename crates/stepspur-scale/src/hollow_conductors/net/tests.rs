//! Links that are cut and healed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::{Tcp, Transport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use super::{Counters, GatedNet, Gates};

const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough for loopback, short enough for a test: nothing is expected within it.
const NOTHING_WITHIN: Duration = Duration::from_millis(100);

#[tokio::test]
async fn nothing_passes_while_the_links_are_cut_and_all_of_it_after_the_healing() {
    let mut listener = Tcp.listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let gates = Gates::default();
    let net = GatedNet { gate: gates.of("north"), counters: Arc::new(Counters::default()) };
    let mut near = net.dial(listener.address()).await.unwrap();
    let mut far = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
    gates.of("south").set(true);
    near.write_all(b"one").await.unwrap();
    let mut read = [0; 3];
    timeout(PATIENCE, far.read_exact(&mut read)).await.unwrap().unwrap();

    gates.of("north").set(true);
    far.write_all(b"two").await.unwrap();
    assert!(timeout(NOTHING_WITHIN, near.read_exact(&mut read)).await.is_err(), "a cut link reads nothing");
    assert!(timeout(NOTHING_WITHIN, near.write_all(b"four")).await.is_err(), "a cut link writes nothing");
    assert!(timeout(NOTHING_WITHIN, net.dial(listener.address())).await.is_err(), "nobody is reached");

    let healed = tokio::spawn(async move {
        near.read_exact(&mut read).await.unwrap();
        read
    });
    tokio::task::yield_now().await;
    gates.of("north").set(false);
    assert_eq!(&timeout(PATIENCE, healed).await.unwrap().unwrap(), b"two");
    let bytes = net.counters.bytes();
    assert_eq!((bytes.read, bytes.written, bytes.writes), (3, 3, 1));
}
