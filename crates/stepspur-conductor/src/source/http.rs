//! An endpoint list behind HTTP: the complete list, or its changes since a version by long polling.
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

/// The shortest time between the starts of two calls of a watch. Without it a list that answers long polls at
/// once, or changes all the time, would be called as fast as it answers.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// An endpoint list behind HTTP.
#[derive(Debug)]
pub struct HttpSource {
    address: SocketAddr,
    path: String,
    long_poll: Duration,
    timeout: Duration,
}

/// An answer of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointListResponse {
    /// The list's version, from which changes are requested next.
    pub version: u64,
    /// The complete list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<Vec<EndpointRecord>>,
    /// Only the changes since the requested version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<EndpointRecord>>,
}

/// Why a call gave no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The request failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The answer has a status of a failure.
    #[error("status {}", .0.as_u16())]
    Status(StatusCode),
    /// The answer is not JSON of the list's form.
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    /// The answer has no list, or only changes where the complete list was requested.
    #[error("an answer with neither `nodes` nor `changes`")]
    NoList,
}

impl HttpSource {
    /// A source that calls a path. The list answers a long poll within `long_poll`; a call fails `timeout`
    /// later.
    pub fn new(address: SocketAddr, path: String, long_poll: Duration, timeout: Duration) -> Self {
        Self { address, path, long_poll, timeout }
    }

    /// Serves requests until their channel is closed.
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
            // A request is answered by the complete list.
            let since = if request.is_some() { None } else { version };
            let next_call_at = Instant::now() + MIN_CALL_INTERVAL;
            match self.update(&updates, since).await {
                Ok(new_version) => {
                    version = new_version;
                    watching |= request == Some(DiscoveryRequest::Watch);
                    sleep_until(next_call_at).await;
                }
                Err(error) => {
                    watching = false;
                    updates.send_failure(error).await;
                }
            }
        }
    }

    /// Calls the list, sends what it answers, and returns the version that is now known.
    async fn update(
        &self,
        updates: &EndpointUpdateSender,
        since: Option<u64>,
    ) -> Result<Option<u64>, CallError> {
        let Some(response) = self.call(since).await? else { return Ok(since) };
        let (how, records) = match (response.nodes, response.changes) {
            (Some(nodes), _) => (ListUpdate::Full, nodes),
            (None, Some(changes)) if since.is_some() => (ListUpdate::Delta, changes),
            _ => return Err(CallError::NoList),
        };
        updates.send(how, to_endpoints(records)).await;
        Ok(Some(response.version))
    }

    /// Calls the list; none if nothing has changed since that version.
    async fn call(&self, since: Option<u64>) -> Result<Option<EndpointListResponse>, CallError> {
        let (status, body) = match since {
            Some(version) => {
                let wait_ms = self.long_poll.as_millis();
                let path = format!("{}?since={version}&wait_ms={wait_ms}", self.path);
                get(self.address, &path, self.long_poll + self.timeout, MAX_ANSWER_BYTES).await?
            }
            None => get(self.address, &self.path, self.timeout, MAX_ANSWER_BYTES).await?,
        };
        match status {
            StatusCode::OK => Ok(Some(serde_json::from_slice(&body)?)),
            StatusCode::NOT_MODIFIED if since.is_some() => Ok(None),
            other => Err(CallError::Status(other)),
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
