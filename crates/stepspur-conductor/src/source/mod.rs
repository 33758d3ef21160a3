//! Where the list of servers comes from.
//!
//! A source answers what the decision module asks: changes from now on, or the whole list once. When to ask
//! again after a failure is the module's decision, so a source that fails says so and waits to be asked.

mod file;
mod http;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use serde::{Deserialize, Serialize};
use stepspur::interface::{EndpointState, ListUpdate};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::config;
use crate::engine::{DiscoveredEndpoint, Input};

pub use file::FileSource;
pub use http::{EndpointListResponse, HttpSource};

/// What the module asks of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Changes from now on, what was missed first.
    Track,
    /// The whole list, once.
    Lookup,
}

/// A source's ends: what is asked, where to tell, and when to stop.
#[derive(Debug)]
pub struct EndpointFeed {
    /// What is asked; closed when the conductor stops.
    pub asks: mpsc::Receiver<DiscoveryRequest>,
    /// Where to tell.
    pub news: EndpointUpdateSender,
    /// Cancelled when the conductor stops.
    pub stop: CancellationToken,
}

impl EndpointFeed {
    /// A feed, and for whoever drives the source the other ends: where to ask, and what it tells.
    pub fn new(stop: CancellationToken) -> (Self, mpsc::Sender<DiscoveryRequest>, mpsc::Receiver<Input>) {
        let (ask, asks) = mpsc::channel(WAITING);
        let (news, told) = mpsc::channel(WAITING);
        (Self { asks, news: EndpointUpdateSender(news), stop }, ask, told)
    }
}

/// Asks, and pieces of news, that may wait.
const WAITING: usize = 16;

/// Where a source tells its news. It waits while the conductor is busy.
#[derive(Clone, Debug)]
pub struct EndpointUpdateSender(mpsc::Sender<Input>);

impl EndpointUpdateSender {
    /// Tells of entries: `Delta`, `Full` or `Cached`.
    pub async fn list(&self, how: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        let _ = self.0.send(Input::EndpointList { update: how, entries }).await;
    }

    /// Tells that a call or the subscription failed; the old list stands.
    pub async fn failed(&self, cause: impl std::fmt::Display) {
        tracing::warn!(event = "discovery_task_failed", %cause);
        let _ = self.0.send(Input::EndpointList { update: ListUpdate::Failed, entries: Vec::new() }).await;
    }
}

/// The future that runs a source.
pub type DiscoveryFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A source of the list of servers.
///
/// Every [`DiscoveryRequest`] is answered by one piece of news; while a track stands, changes follow by themselves. The future
/// ends when `stop` is cancelled.
pub trait ServiceDiscovery: Send + 'static {
    /// Serves the feed until it is stopped.
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture;
}

/// The source that the settings name.
pub fn from_config(source: &config::Source) -> Box<dyn ServiceDiscovery> {
    match source {
        config::Source::File { path, every, .. } => Box::new(FileSource::new(path.clone(), *every)),
        config::Source::Http { address, path, poll, timeout, .. } => {
            Box::new(HttpSource::new(*address, path.clone(), *poll, *timeout))
        }
    }
}

/// A server as files and HTTP lists word it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointRecord {
    /// IPv4 or IPv6 address and port.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its state; ready where left out.
    #[serde(default)]
    pub state: EndpointRecordState,
    /// Its weight against others; 0 or left out: none is listed.
    #[serde(default)]
    pub weight: f64,
    /// Its last start, milliseconds since 1970; 0 or left out: long ago.
    #[serde(default)]
    pub started_unix_ms: u64,
}

/// A server's state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRecordState {
    /// Its process runs.
    #[default]
    Ready,
    /// Finishing its work; send nothing new.
    Draining,
    /// Removed.
    Gone,
}

impl From<EndpointRecord> for DiscoveredEndpoint {
    fn from(record: EndpointRecord) -> Self {
        Self {
            name: None,
            address: record.address,
            zone: record.zone,
            state: match record.state {
                EndpointRecordState::Ready => EndpointState::Ready,
                EndpointRecordState::Draining => EndpointState::Draining,
                EndpointRecordState::Gone => EndpointState::Removed,
            },
            weight: record.weight,
            started: record.started_unix_ms.saturating_mul(1000),
        }
    }
}
