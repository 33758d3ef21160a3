//! An endpoint list that is fetched over HTTP: the complete list, or its changes since a version by long
//! polling.
//!
//! `docs/node-list.md` describes the API.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::StatusCode;
use serde::{Deserialize, Serialize};
use stepspur::interface::ListUpdate;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use super::record::to_endpoints;
use super::{
    DiscoveryFuture, DiscoveryRequest, EndpointFeed, EndpointRecord, EndpointUpdateSender, ServiceDiscovery,
};
use crate::http::{HttpError, get};

/// The shortest time between the starts of two requests of a watch. Without it, a server that responds to
/// long polls at once, or a list that changes constantly, would cause requests in a tight loop.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An endpoint source that fetches the list over HTTP.
#[derive(Debug)]
pub struct HttpSource {
    address: SocketAddr,
    path: String,
    /// How long the server may delay the response to a long poll.
    long_poll: Duration,
    /// How long a request may take, in addition to `long_poll` for a long poll.
    timeout: Duration,
}

/// The body of a response: the complete list or its changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointListResponse {
    /// The version of the list. The next long poll requests the changes since it.
    pub version: u64,
    /// The complete list; none if the response has only the changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<Vec<EndpointRecord>>,
    /// The changes since the requested version; none if the response has the complete list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<EndpointRecord>>,
}

/// Why a request failed to return a list.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The HTTP request failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response has an unexpected status.
    #[error("unexpected status {}", .0.as_u16())]
    Status(StatusCode),
    /// The response body is not JSON of the form of [`EndpointListResponse`].
    #[error("invalid endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    /// The response has no list, or only changes although the complete list was requested.
    #[error("the response has neither `nodes` nor the requested `changes`")]
    NoList,
}

impl HttpSource {
    /// Creates a source that requests `path` from `address`. The server responds to a long poll within
    /// `long_poll`; the request fails `timeout` after that.
    pub fn new(address: SocketAddr, path: String, long_poll: Duration, timeout: Duration) -> Self {
        Self { address, path, long_poll, timeout }
    }

    /// Serves the requests of the decision module until their channel is closed.
    async fn serve(&self, mut requests: mpsc::Receiver<DiscoveryRequest>, updates: EndpointUpdateSender) {
        let mut watching = false;
        let mut version = None;
        loop {
            let request = if watching {
                requests.try_recv().ok()
            } else {
                let Some(request) = requests.recv().await else { return };
                Some(request)
            };
            // A request gets the complete list.
            let since = if request.is_some() { None } else { version };
            let next_request_at = Instant::now() + MIN_REQUEST_INTERVAL;
            match self.update(&updates, since).await {
                Ok(new_version) => {
                    version = new_version;
                    watching |= request == Some(DiscoveryRequest::Watch);
                    sleep_until(next_request_at).await;
                }
                Err(error) => {
                    watching = false;
                    updates.send_failure(error).await;
                }
            }
        }
    }

    /// Requests the list or its changes since a version, sends them to the conductor, and returns the version
    /// that the conductor now has.
    async fn update(
        &self,
        updates: &EndpointUpdateSender,
        since: Option<u64>,
    ) -> Result<Option<u64>, FetchError> {
        let Some(response) = self.fetch(since).await? else { return Ok(since) };
        let (update, records) = match (response.nodes, response.changes) {
            (Some(nodes), _) => (ListUpdate::Full, nodes),
            (None, Some(changes)) if since.is_some() => (ListUpdate::Delta, changes),
            _ => return Err(FetchError::NoList),
        };
        updates.send(update, to_endpoints(records)).await;
        Ok(Some(response.version))
    }

    /// Requests the list or its changes since a version; none if the list has not changed since that version.
    async fn fetch(&self, since: Option<u64>) -> Result<Option<EndpointListResponse>, FetchError> {
        let (status, body) = match since {
            Some(version) => {
                let wait_ms = self.long_poll.as_millis();
                let path = format!("{}?since={version}&wait_ms={wait_ms}", self.path);
                get(self.address, &path, self.long_poll + self.timeout, MAX_RESPONSE_BYTES).await?
            }
            None => get(self.address, &self.path, self.timeout, MAX_RESPONSE_BYTES).await?,
        };
        match status {
            StatusCode::OK => Ok(Some(serde_json::from_slice(&body)?)),
            StatusCode::NOT_MODIFIED if since.is_some() => Ok(None),
            other => Err(FetchError::Status(other)),
        }
    }
}

impl ServiceDiscovery for HttpSource {
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(async move {
            let EndpointFeed { requests, updates, stop } = feed;
            tokio::select! {
                () = self.serve(requests, updates) => {}
                () = stop.cancelled() => {}
            }
        })
    }
}
