//! The stand-in node list tells when a conductor waits for its next change.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_conductor::http;
use stepspur_conductor::source::{EndpointListResponse, EndpointRecord, EndpointRecordState};
use stepspur_emulator::registry::Registry;
use stepspur_emulator::trace::Trace;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Every wait ends after this: it is no measure of speed.
const PATIENCE: Duration = Duration::from_secs(30);
const LARGEST_ANSWER: usize = 1 << 16;

fn ready(port: u16) -> EndpointRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    EndpointRecord {
        address,
        zone: "a".into(),
        state: EndpointRecordState::Ready,
        weight: 1.0,
        started_unix_ms: 0,
    }
}

/// Asks for the list, or for changes since a version.
async fn ask(list: SocketAddr, since: Option<u64>) -> EndpointListResponse {
    let path = match since {
        Some(version) => format!("/v1/nodes?since={version}&wait_ms={}", PATIENCE.as_millis()),
        None => "/v1/nodes".to_owned(),
    };
    let (status, body) = http::get(list, &path, PATIENCE, LARGEST_ANSWER).await.unwrap();
    assert!(status.is_success(), "{status}");
    serde_json::from_slice(&body).unwrap()
}

/// True: it is over already.
async fn is_over(awaited: impl Future<Output = ()>) -> bool {
    tokio::select! {
        biased;
        () = awaited => true,
        () = std::future::ready(()) => false,
    }
}

#[tokio::test]
async fn it_tells_when_a_long_poll_with_the_newest_version_waits() {
    let registry = Registry::new(Arc::new(Trace::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (list, stop) = (listener.local_addr().unwrap(), CancellationToken::new());
    let serving = tokio::spawn(Arc::clone(&registry).serve(0, listener, stop.clone()));
    registry.set([ready(1)]);
    let whole = ask(list, None).await;
    assert_eq!((whole.version, registry.polls()), (1, 0), "a call that does not wait is no long poll");
    assert!(!is_over(registry.polled(0)).await);

    let first = tokio::spawn(ask(list, Some(1)));
    timeout(PATIENCE, registry.polled(0)).await.unwrap();
    assert_eq!(registry.polls(), 1);
    assert!(is_over(registry.polled(0)).await, "it goes on waiting");

    // A change answers the poll: nobody waits with the new version until the next one.
    registry.set([ready(2)]);
    assert_eq!(first.await.unwrap().version, 2);
    assert!(!is_over(registry.polled(0)).await);
    let late = ask(list, Some(1)).await;
    assert_eq!((late.version, registry.polls()), (2, 1), "an older version is answered at once");
    assert!(!is_over(registry.polled(0)).await);
    let second = tokio::spawn(ask(list, Some(2)));
    timeout(PATIENCE, registry.polled(1)).await.unwrap();
    assert_eq!(registry.polls(), 2);
    assert!(!is_over(registry.polled(2)).await, "only a later poll counts");

    stop.cancel();
    serving.await.unwrap();
    second.abort();
}
