//! Tests of how a proxy reads orders and keeps its stream alive.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_proto::{
    DEFAULT_MAX_FRAME_BYTES, Frames, FromConductor, FromProxy, from_conductor, from_proxy, v1,
};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::{OrderLog, Ordered, Table, run_stream};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn server(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 16, 0, 1], port))
}

fn line(port: u16, weight: f32) -> v1::Line {
    v1::Line { server: Some(server(port).into()), weight }
}

fn withdrawal(port: u16, out: bool) -> v1::Withdrawal {
    v1::Withdrawal { server: Some(server(port).into()), out }
}

#[test]
fn only_changes_that_affect_requests_are_recorded() {
    let mut table = Table { classes: vec!["read".into(), "write".into()], ..Table::default() };
    let full_table = v1::Table { lines: vec![line(1, 1.0), line(2, 0.0)], ..Default::default() };
    let first = table.apply(v1::Order { table: Some(full_table), ..Default::default() });
    assert_eq!(first, [Ordered::Released(server(1))]);
    let drained = table.apply(v1::Order { lines: vec![line(1, 0.0), line(2, 0.5)], ..Default::default() });
    assert_eq!(drained, [Ordered::Held(server(1)), Ordered::Released(server(2))]);
    let withdrawn = table.apply(v1::Order { withdrawals: vec![withdrawal(2, true)], ..Default::default() });
    assert_eq!(withdrawn, [Ordered::Held(server(2))]);
    assert!(table.apply(v1::Order { lines: vec![line(2, 0.7)], ..Default::default() }).is_empty());
    let admit = Some(v1::level::Admit::Share(0.25));
    let level = v1::Level { class: 1, resend: 0, admit };
    let capped = table.apply(v1::Order { levels: vec![level], ..Default::default() });
    assert_eq!(capped, [Ordered::Level { class: "write".into(), ppm: 250_000.0 }]);
}

/// Guards against idle timeouts: in the first run at full size, conductors closed the streams of all proxies
/// every 15 s, because the proxies sent nothing.
#[tokio::test]
async fn an_idle_proxy_pings_at_the_interval_of_its_conductor() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let proxy = tokio::spawn(async move { run_stream(address, "p", "a", &OrderLog::default()).await });
    let (socket, _) = timeout(TEST_TIMEOUT, listener.accept()).await.unwrap().unwrap();
    let mut frames = Framed::new(socket, Frames::<FromProxy, FromConductor>::new(DEFAULT_MAX_FRAME_BYTES));
    let hello = timeout(TEST_TIMEOUT, frames.next()).await.expect("in time").unwrap().unwrap().kind;
    assert!(matches!(hello, Some(from_proxy::Kind::Hello(_))));
    let welcome = v1::Welcome { keepalive_us: 100_000, ..Default::default() };
    frames.send(FromConductor::new(1, 0, from_conductor::Kind::Welcome(welcome))).await.unwrap();
    for _ in 0..2 {
        let received = timeout(TEST_TIMEOUT, frames.next()).await.expect("in time").unwrap().unwrap().kind;
        assert!(matches!(received, Some(from_proxy::Kind::Ping(_))), "{received:?}");
    }
    drop(frames);
    assert!(timeout(TEST_TIMEOUT, proxy).await.expect("it ends").unwrap().is_err());
}
