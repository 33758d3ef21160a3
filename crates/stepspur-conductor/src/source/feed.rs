//! The channels between a source and the conductor.

use stepspur::interface::ListUpdate;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::engine::{DiscoveredEndpoint, Input};

/// Requests, and updates, that may wait.
const QUEUE: usize = 16;

/// What the decision module requests of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Send updates from now on, beginning with what was missed.
    Watch,
    /// Send the complete list once.
    Fetch,
}

/// A source's side of its channels.
#[derive(Debug)]
pub struct EndpointFeed {
    /// The requests; closed when the conductor stops.
    pub requests: mpsc::Receiver<DiscoveryRequest>,
    /// Where updates go.
    pub updates: EndpointUpdateSender,
    /// Cancelled when the conductor stops.
    pub stop: CancellationToken,
}

/// The other side: what drives a source.
#[derive(Debug)]
pub struct FeedDriver {
    /// Where requests go.
    pub requests: mpsc::Sender<DiscoveryRequest>,
    /// The source's updates.
    pub updates: mpsc::Receiver<Input>,
}

impl EndpointFeed {
    /// Creates both sides of the channels.
    pub fn new(stop: CancellationToken) -> (Self, FeedDriver) {
        let (request_sender, requests) = mpsc::channel(QUEUE);
        let (update_sender, updates) = mpsc::channel(QUEUE);
        let feed = Self { requests, updates: EndpointUpdateSender(update_sender), stop };
        (feed, FeedDriver { requests: request_sender, updates })
    }
}

/// Sends a source's updates, waiting while the conductor is busy. Updates after the conductor's end are
/// dropped.
#[derive(Clone, Debug)]
pub struct EndpointUpdateSender(mpsc::Sender<Input>);

impl EndpointUpdateSender {
    /// Sends endpoints; `how` says whether they are the complete list, its changes, or a cached list.
    pub async fn send(&self, how: ListUpdate, endpoints: Vec<DiscoveredEndpoint>) {
        // The source is stopped by its token: there is nothing to do here once the conductor has ended.
        let _ = self.0.send(Input::EndpointList { update: how, entries: endpoints }).await;
    }

    /// Logs and reports that a request or the watch has failed. The list before stays in use.
    pub async fn send_failure(&self, error: impl std::fmt::Display) {
        tracing::warn!(event = "discovery_task_failed", cause = %error);
        self.send(ListUpdate::Failed, Vec::new()).await;
    }
}
