//! Orders as a proxy reads them.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_proto::{Frames, FromConductor, FromProxy, LARGEST_FRAME, from_conductor, from_proxy, v1};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::{Log, Ordered, Table, stream};

const PATIENCE: Duration = Duration::from_secs(20);

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
fn what_changes_for_requests_is_told_and_nothing_else() {
    let mut table = Table { classes: vec!["read".into(), "write".into()], ..Table::default() };
    let whole = v1::Table { lines: vec![line(1, 1.0), line(2, 0.0)], ..Default::default() };
    let first = table.take(v1::Order { table: Some(whole), ..Default::default() });
    assert_eq!(first, [Ordered::Released(server(1))]);
    let drained = table.take(v1::Order { lines: vec![line(1, 0.0), line(2, 0.5)], ..Default::default() });
    assert_eq!(drained, [Ordered::Held(server(1)), Ordered::Released(server(2))]);
    let withdrawn = table.take(v1::Order { withdrawals: vec![withdrawal(2, true)], ..Default::default() });
    assert_eq!(withdrawn, [Ordered::Held(server(2))]);
    assert!(table.take(v1::Order { lines: vec![line(2, 0.7)], ..Default::default() }).is_empty());
    let admit = Some(v1::level::Admit::Share(0.25));
    let level = v1::Level { class: 1, resend: 0, admit };
    let capped = table.take(v1::Order { levels: vec![level], ..Default::default() });
    assert_eq!(capped, [Ordered::Level { class: "write".into(), ppm: 250_000.0 }]);
}

/// In the first run at full size conductors cut all proxies off every 15 s: they had said nothing.
#[tokio::test]
async fn a_proxy_with_nothing_to_say_pings_as_often_as_its_conductor_asks() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let proxy = tokio::spawn(async move { stream(address, "p", "a", &Log::default()).await });
    let (socket, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
    let mut frames = Framed::new(socket, Frames::<FromProxy, FromConductor>::new(LARGEST_FRAME));
    let hello = timeout(PATIENCE, frames.next()).await.expect("in time").unwrap().unwrap().kind;
    assert!(matches!(hello, Some(from_proxy::Kind::Hello(_))));
    let welcome = v1::Welcome { keepalive_us: 100_000, ..Default::default() };
    frames.send(FromConductor::new(1, 0, from_conductor::Kind::Welcome(welcome))).await.unwrap();
    for _ in 0..2 {
        let said = timeout(PATIENCE, frames.next()).await.expect("in time").unwrap().unwrap().kind;
        assert!(matches!(said, Some(from_proxy::Kind::Ping(_))), "{said:?}");
    }
    drop(frames);
    assert!(timeout(PATIENCE, proxy).await.expect("it ends").unwrap().is_err());
}
