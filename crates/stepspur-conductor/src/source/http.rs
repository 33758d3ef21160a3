//! An HTTP node list: the whole list, or changes since a version by long poll. `docs/node-list.md` words the API.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stepspur::interface::ListUpdate;
use tokio::time::{Instant, sleep_until};

use super::{DiscoveryFuture, DiscoveryRequest, EndpointFeed, EndpointRecord, ServiceDiscovery};
use crate::http::get;

/// A node list behind HTTP.
#[derive(Debug)]
pub struct HttpSource {
    address: SocketAddr,
    path: String,
    poll: Duration,
    timeout: Duration,
}

/// Calls of a track begin no sooner after each other: a list that does not wait as it was asked to, or changes all
/// the time, would else be called as fast as it answers.
const PACE: Duration = Duration::from_millis(50);
/// The largest answer that is read, in bytes.
const LARGEST: usize = 64 << 20;

/// An answer of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointListResponse {
    /// Its version: changes are asked for since then.
    pub version: u64,
    /// The whole list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nodes: Option<Vec<EndpointRecord>>,
    /// Only what has changed since the version asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Vec<EndpointRecord>>,
}

impl HttpSource {
    /// Reads the list at a path; a long poll is answered within `poll`, a call has failed `timeout` beyond.
    pub fn new(address: SocketAddr, path: String, poll: Duration, timeout: Duration) -> Self {
        Self { address, path, poll, timeout }
    }

    /// One call; nothing if there was no change.
    async fn call(&self, since: Option<u64>) -> Result<Option<EndpointListResponse>, String> {
        let (path, within) = match since {
            Some(version) => {
                let wait = self.poll.as_millis();
                let path = format!("{}?since={version}&wait_ms={wait}", self.path);
                (path, self.poll + self.timeout)
            }
            None => (self.path.clone(), self.timeout),
        };
        let (status, body) = get(self.address, &path, within, LARGEST).await.map_err(|e| e.to_string())?;
        match status.as_u16() {
            200 => serde_json::from_slice(&body).map(Some).map_err(|e| format!("not a list: {e}")),
            304 if since.is_some() => Ok(None),
            other => Err(format!("status {other}")),
        }
    }

    /// Calls, tells what came, and gives the version that it stands at.
    async fn tell(&self, feed: &EndpointFeed, since: Option<u64>) -> Result<Option<u64>, String> {
        let Some(answer) = self.call(since).await? else { return Ok(since) };
        let (how, records) = match (answer.nodes, answer.changes) {
            (Some(nodes), _) => (ListUpdate::Full, nodes),
            (None, Some(changes)) if since.is_some() => (ListUpdate::Delta, changes),
            _ => return Err("an answer with neither `nodes` nor `changes`".to_owned()),
        };
        feed.news.list(how, records.into_iter().map(Into::into).collect()).await;
        Ok(Some(answer.version))
    }

    async fn serve(self, mut feed: EndpointFeed) {
        let stop = feed.stop.clone();
        let serve = async {
            let mut tracking = false;
            let mut version = None;
            loop {
                let ask = match tracking {
                    true => feed.asks.try_recv().ok(),
                    false => match feed.asks.recv().await {
                        Some(ask) => Some(ask),
                        None => return,
                    },
                };
                let since = version.filter(|_| ask.is_none());
                let next = Instant::now() + PACE;
                match self.tell(&feed, since).await {
                    Ok(now) => {
                        version = now;
                        tracking |= ask == Some(DiscoveryRequest::Track);
                        sleep_until(next).await;
                    }
                    Err(cause) => {
                        tracking = false;
                        feed.news.failed(cause).await;
                    }
                }
            }
        };
        tokio::select! {
            () = serve => {}
            () = stop.cancelled() => {}
        }
    }
}

impl ServiceDiscovery for HttpSource {
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(self.serve(feed))
    }
}
