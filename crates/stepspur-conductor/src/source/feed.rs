//! The channels between an endpoint source and the conductor.

use stepspur::interface::ListUpdate;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::engine::{DiscoveredEndpoint, Input};

/// Capacity of the channel of requests, and of the channel of updates.
const CHANNEL_CAPACITY: usize = 16;

/// A request of the decision module to an endpoint source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Send updates from now on, beginning with the changes since the last update.
    Watch,
    /// Send the complete list once.
    Fetch,
}

/// The source's side of the channels.
#[derive(Debug)]
pub struct EndpointFeed {
    /// The requests of the decision module. The channel is closed when the conductor stops.
    pub requests: mpsc::Receiver<DiscoveryRequest>,
    /// Sends updates to the conductor.
    pub updates: EndpointUpdateSender,
    /// Cancelled when the conductor stops.
    pub stop: CancellationToken,
}

/// The conductor's side of the channels, which drives a source.
#[derive(Debug)]
pub struct FeedDriver {
    /// Sends requests to the source.
    pub requests: mpsc::Sender<DiscoveryRequest>,
    /// The source's updates.
    pub updates: mpsc::Receiver<Input>,
}

impl EndpointFeed {
    /// Creates both sides of the channels. `stop` is cancelled when the conductor stops.
    pub fn new(stop: CancellationToken) -> (Self, FeedDriver) {
        let (request_sender, requests) = mpsc::channel(CHANNEL_CAPACITY);
        let (update_sender, updates) = mpsc::channel(CHANNEL_CAPACITY);
        let feed = Self { requests, updates: EndpointUpdateSender(update_sender), stop };
        (feed, FeedDriver { requests: request_sender, updates })
    }
}

/// Sends the updates of a source, waiting while the channel is full. Updates are dropped once the conductor
/// has ended.
#[derive(Clone, Debug)]
pub struct EndpointUpdateSender(mpsc::Sender<Input>);

impl EndpointUpdateSender {
    /// Sends endpoints. `kind` states whether they are the complete list, its changes, or a cached list.
    pub async fn send(&self, kind: ListUpdate, endpoints: Vec<DiscoveredEndpoint>) {
        // Sending fails only once the conductor has ended. The source is stopped by its token then.
        let _ = self.0.send(Input::EndpointList { update: kind, entries: endpoints }).await;
    }

    /// Logs and reports that a request or the watch has failed. The previous list stays in use.
    pub async fn send_failure(&self, error: impl std::fmt::Display) {
        tracing::warn!(event = "discovery_task_failed", cause = %error);
        self.send(ListUpdate::Failed, Vec::new()).await;
    }
}
