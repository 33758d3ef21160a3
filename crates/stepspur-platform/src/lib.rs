//! The users' platform as one more way in and out of the conductor.
//!
//! [`message`] and [`dialect`] are its messages, sans-IO; [`config`] is what a conductor is told there at its start;
//! [`discovery`] is its list of servers as a [`stepspur_conductor::source::ServiceDiscovery`]; [`listener`] takes in proxies and
//! collectors. No decision stands here. `docs/platform.md` says how to run it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
mod connections;
pub mod dialect;
pub mod discovery;
mod handshake;
pub mod listener;
pub mod message;

use std::net::SocketAddr;
use std::time::Duration;

use stepspur_conductor::service::ProtocolServer;
use tokio::sync::watch;

pub use config::{ConfigError, PlatformConfig};

/// Tasks that have not ended by then are left behind: proxies go elsewhere as soon as the platform says stop.
const GRACE: Duration = Duration::from_millis(300);

/// What the conductor needs to serve the platform. Discovery is asked at the newest address of `discovery`.
pub fn front(config: PlatformConfig, discovery: watch::Receiver<SocketAddr>) -> ProtocolServer {
    let (ready, is_ready) = watch::channel(!config.known.entries.is_empty());
    let source = discovery::Discovery::new(discovery, &config.known, ready);
    let listener = listener::PlatformListener::new(config.catalog.clone(), config.budget, is_ready);
    ProtocolServer {
        config: config.conductor,
        settings: config.settings,
        seed: config.seed,
        protocol: Box::new(dialect::Lines::new(config.catalog.classes)),
        parse_load_report: message::probe_load,
        cached_endpoints: config.known.entries,
        source: Box::new(source),
        listener: Box::new(listener),
        shutdown_grace: GRACE,
    }
}
