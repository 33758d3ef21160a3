use std::io::Write;

use tokio::net::TcpListener;

use super::*;

/// A connection over loopback: the conductor's end, and the peer's end, which is a blocking socket.
async fn connection() -> (Socket, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (read, write) = listener.accept().await.unwrap().0.into_split();
    (Socket { read, write, lines: LineBuffer::default() }, peer)
}

async fn handshake(
    socket: &mut Socket,
    evict: &CancellationToken,
    stop: &CancellationToken,
) -> Result<Option<PeerRole>, Refusal> {
    let (_ready, is_ready) = watch::channel(true);
    let catalog = Catalog { zones: ["a".to_owned()].into(), proxies: 4, ..Catalog::default() };
    Handshake { catalog: catalog.into(), ready: is_ready }.run(socket, evict, stop).await
}

const ATTACH: &[u8] = b"{\"@type\":\"attach\",\"proxy\":3,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n";

/// Guards against the eviction of a peer whose join message has arrived but was not yet read because the core
/// was busy: the message and the eviction are then seen at the same time.
#[tokio::test]
async fn a_join_that_arrived_before_the_eviction_counts() {
    let expected = PeerRole::Proxy { proxy: ProxyId(3), zone: ZoneId(0), rate: 1.0, fresh: true };
    // If the order in which the two are polled were random, one of 64 attempts would almost surely fail.
    for _ in 0..64 {
        let (mut socket, mut peer) = connection().await;
        peer.write_all(ATTACH).unwrap();
        socket.read.readable().await.unwrap();
        let evict = CancellationToken::new();
        evict.cancel();
        let joined = handshake(&mut socket, &evict, &CancellationToken::new()).await;
        assert_eq!(joined.unwrap(), Some(expected));
    }
}

#[tokio::test]
async fn an_evicted_peer_without_a_complete_message_is_rejected_at_once() {
    let (mut socket, mut peer) = connection().await;
    peer.write_all(&ATTACH[..20]).unwrap();
    let evict = CancellationToken::new();
    evict.cancel();
    let refused = handshake(&mut socket, &evict, &CancellationToken::new()).await;
    assert!(matches!(refused, Err(Refusal::Evicted)), "{refused:?}");
}

#[tokio::test]
async fn an_idle_peer_is_rejected_after_the_join_timeout() {
    let (mut socket, _peer) = connection().await;
    let started = tokio::time::Instant::now();
    let refused = handshake(&mut socket, &CancellationToken::new(), &CancellationToken::new()).await;
    assert!(matches!(refused, Err(Refusal::Timeout)), "{refused:?}");
    assert!(started.elapsed() >= JOIN_TIMEOUT);
}

#[tokio::test]
async fn a_shutdown_rejects_a_peer_that_has_not_joined() {
    let (mut socket, _peer) = connection().await;
    let stop = CancellationToken::new();
    stop.cancel();
    let refused = handshake(&mut socket, &CancellationToken::new(), &stop).await;
    assert!(matches!(refused, Err(Refusal::Stopping)), "{refused:?}");
}
