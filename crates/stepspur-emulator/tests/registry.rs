//! Guards against measurements that start before a conductor has read the node list: `Registry::polled` must
//! return only once a long poll holds the newest version and waits for the next change.

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

/// Limit of every wait, far above what a slow machine needs.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Largest response of the node list that is read.
const MAX_RESPONSE_BYTES: usize = 1 << 16;

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

/// Gets the full list, or waits for changes since a version.
async fn get_list(list: SocketAddr, since: Option<u64>) -> EndpointListResponse {
    let path = match since {
        Some(version) => format!("/v1/nodes?since={version}&wait_ms={}", WAIT_LIMIT.as_millis()),
        None => "/v1/nodes".to_owned(),
    };
    let (status, body) = http::get(list, &path, WAIT_LIMIT, MAX_RESPONSE_BYTES).await.unwrap();
    assert!(status.is_success(), "{status}");
    serde_json::from_slice(&body).unwrap()
}

/// True if the future is ready without waiting.
async fn is_over(future: impl Future<Output = ()>) -> bool {
    tokio::select! {
        biased;
        () = future => true,
        () = std::future::ready(()) => false,
    }
}

#[tokio::test]
async fn polled_waits_for_a_long_poll_that_holds_the_newest_version() {
    let registry = Registry::new(Arc::new(Trace::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (list, stop) = (listener.local_addr().unwrap(), CancellationToken::new());
    let serving = tokio::spawn(Arc::clone(&registry).serve(0, listener, stop.clone()));
    registry.set([ready(1)]);
    let full = get_list(list, None).await;
    assert_eq!((full.version, registry.polls()), (1, 0), "a request without `since` is not a long poll");
    assert!(!is_over(registry.wait_until_polled(0)).await);

    let first = tokio::spawn(get_list(list, Some(1)));
    timeout(WAIT_LIMIT, registry.wait_until_polled(0)).await.unwrap();
    assert_eq!(registry.polls(), 1);
    assert!(is_over(registry.wait_until_polled(0)).await, "the long poll still waits");

    // A change answers the poll, so that no poll holds the new version until the next request.
    registry.set([ready(2)]);
    assert_eq!(first.await.unwrap().version, 2);
    assert!(!is_over(registry.wait_until_polled(0)).await);
    let late = get_list(list, Some(1)).await;
    assert_eq!((late.version, registry.polls()), (2, 1), "an older version is answered at once");
    assert!(!is_over(registry.wait_until_polled(0)).await);
    let second = tokio::spawn(get_list(list, Some(2)));
    timeout(WAIT_LIMIT, registry.wait_until_polled(1)).await.unwrap();
    assert_eq!(registry.polls(), 2);
    assert!(!is_over(registry.wait_until_polled(2)).await, "only a later poll counts");

    stop.cancel();
    serving.await.unwrap();
    second.abort();
}
