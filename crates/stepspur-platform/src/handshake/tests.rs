use std::io::Write;

use tokio::net::TcpListener;

use super::*;

/// A connection over loopback: the conductor's end, and the caller's, which needs no runtime.
async fn connection() -> (Socket, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (read, write) = listener.accept().await.unwrap().0.into_split();
    (Socket { read, write, lines: Lines::default() }, caller)
}

async fn handshake(
    socket: &mut Socket,
    cut: &CancellationToken,
    stop: &CancellationToken,
) -> Result<Option<Joined>, Refusal> {
    let (_ready, is_ready) = watch::channel(true);
    let catalog = Catalog { zones: ["a".to_owned()].into(), proxies: 4, ..Catalog::default() };
    Handshake { catalog: catalog.into(), ready: is_ready }.run(socket, cut, stop).await
}

const ATTACH: &[u8] = b"{\"@type\":\"attach\",\"proxy\":3,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n";

/// The core was busy: it is told to give way in the same moment in which its bytes, sent long before, are seen.
#[tokio::test]
async fn one_that_spoke_before_it_was_to_give_way_has_joined() {
    let expected = Joined::Proxy { proxy: ProxyId(3), zone: ZoneId(0), rate: 1.0, fresh: true };
    // Were it left to chance which of the two is looked at first, one of so many would be lost.
    for _ in 0..64 {
        let (mut socket, mut caller) = connection().await;
        caller.write_all(ATTACH).unwrap();
        socket.read.readable().await.unwrap();
        let cut = CancellationToken::new();
        cut.cancel();
        let joined = handshake(&mut socket, &cut, &CancellationToken::new()).await;
        assert_eq!(joined.unwrap(), Some(expected));
    }
}

#[tokio::test]
async fn one_that_says_nothing_gives_way_at_once() {
    let (mut socket, mut caller) = connection().await;
    caller.write_all(&ATTACH[..20]).unwrap();
    let cut = CancellationToken::new();
    cut.cancel();
    let refused = handshake(&mut socket, &cut, &CancellationToken::new()).await;
    assert!(matches!(refused, Err(Refusal::Crowded)), "{refused:?}");
}

#[tokio::test]
async fn one_that_says_nothing_is_refused_after_its_time() {
    let (mut socket, _caller) = connection().await;
    let began = tokio::time::Instant::now();
    let refused = handshake(&mut socket, &CancellationToken::new(), &CancellationToken::new()).await;
    assert!(matches!(refused, Err(Refusal::Late)), "{refused:?}");
    assert!(began.elapsed() >= JOIN);
}

#[tokio::test]
async fn a_stop_tells_those_that_have_not_joined() {
    let (mut socket, _caller) = connection().await;
    let stop = CancellationToken::new();
    stop.cancel();
    let refused = handshake(&mut socket, &CancellationToken::new(), &stop).await;
    assert!(matches!(refused, Err(Refusal::Stopping)), "{refused:?}");
}
