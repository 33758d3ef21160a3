//! Runs the conductor on the users' platform: its messages, configuration file, discovery service and
//! listener.
//!
//! [`message`] parses received messages and [`protocol`] encodes updates, both without I/O; [`config`] reads
//! the configuration file; [`discovery`] follows the endpoint list as a
//! [`stepspur_conductor::source::ServiceDiscovery`]; [`listener`] accepts proxies and collectors. This crate
//! makes no load-balancing decisions. `docs/platform.md` describes how to run it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
mod connections;
pub mod discovery;
mod handshake;
mod input_budget;
pub mod listener;
pub mod message;
pub mod protocol;

use std::net::SocketAddr;
use std::time::Duration;

use stepspur_conductor::service::ProtocolServer;
use tokio::sync::watch;

pub use config::{ConfigError, PlatformConfig};

/// Time that tasks have to end at a shutdown; later ones are aborted. It is short because the platform has
/// proxies connect to another conductor as soon as it stops this one.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(300);

/// Assembles what the conductor needs to serve the platform. Discovery is queried at the current value of
/// `discovery`.
pub fn protocol_server(config: PlatformConfig, discovery: watch::Receiver<SocketAddr>) -> ProtocolServer {
    let (ready, is_ready) = watch::channel(!config.known_endpoints.entries.is_empty());
    let source = discovery::Discovery::new(discovery, &config.known_endpoints, ready);
    let listener =
        listener::PlatformListener::new(config.catalog.clone(), config.connection_limits, is_ready);
    ProtocolServer {
        config: config.conductor,
        settings: config.settings,
        seed: config.seed,
        protocol: Box::new(protocol::PlatformProtocol::new(config.catalog.classes)),
        parse_load_report: message::parse_probe_load,
        cached_endpoints: config.known_endpoints.entries,
        source: Box::new(source),
        listener: Box::new(listener),
        shutdown_grace: SHUTDOWN_GRACE,
    }
}
