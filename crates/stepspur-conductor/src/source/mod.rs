//! Sources of the endpoint list.
//!
//! A source serves the requests of the decision module to watch the list or to fetch it once. The decision
//! module decides when to retry, so a source reports a failure and waits for the next request.

mod feed;
mod file;
mod http;
mod record;

use std::future::Future;
use std::pin::Pin;

use crate::config;

pub use feed::{DiscoveryRequest, EndpointFeed, EndpointUpdateSender, FeedDriver};
pub use file::FileSource;
pub use http::{EndpointListResponse, HttpSource};
pub use record::{EndpointRecord, EndpointRecordState};

/// The future that runs a source.
pub type DiscoveryFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A source of the endpoint list.
///
/// Each [`DiscoveryRequest`] gets one update. While a watch is active, the source sends further updates when
/// the list changes. The future ends when the feed's `stop` is cancelled.
pub trait ServiceDiscovery: Send + 'static {
    /// Serves the requests of the feed until `stop` is cancelled.
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture;
}

/// Creates the source that the settings describe.
pub fn from_config(source: &config::Source) -> Box<dyn ServiceDiscovery> {
    match source {
        config::Source::File { path, every, .. } => Box::new(FileSource::new(path.clone(), *every)),
        config::Source::Http { address, path, poll, timeout, .. } => {
            Box::new(HttpSource::new(*address, path.clone(), *poll, *timeout))
        }
    }
}
