//! Settings of service discovery and of the guard against mass removals.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, absolute_path, between, loopback};

/// The source of the endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Source {
    /// A TOML file that is checked for changes.
    File {
        /// Path of the file; required.
        #[garde(skip)]
        path: PathBuf,
        /// Interval between checks for changes, default 500 ms, 10 ms to 1 h.
        #[serde(default = "default_every", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(10), HOUR)))]
        every: Duration,
        /// Guard against mass removals.
        #[serde(default)]
        #[garde(dive)]
        doubt: MassRemovalGuard,
    },
    /// An HTTP server with a node list, see `docs/node-list.md`.
    Http {
        /// Address of the server, a loopback address; required.
        #[garde(custom(loopback))]
        address: SocketAddr,
        /// Path of the list, default `/v1/nodes`.
        #[serde(default = "default_path")]
        #[garde(custom(absolute_path))]
        path: String,
        /// Maximum time for which the server delays its response to a long poll, default 10 s, 100 ms to 1 h.
        #[serde(default = "default_poll", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        poll: Duration,
        /// Time after `poll` within which a response must arrive, or the poll has failed; default 2 s, 100 ms
        /// to 1 h.
        #[serde(default = "default_timeout", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        timeout: Duration,
        /// Guard against mass removals.
        #[serde(default)]
        #[garde(dive)]
        doubt: MassRemovalGuard,
    },
}

impl Source {
    /// Returns the source's guard against mass removals.
    pub fn mass_removal_guard(&self) -> &MassRemovalGuard {
        match self {
            Source::File { doubt, .. } | Source::Http { doubt, .. } => doubt,
        }
    }
}

/// The guard against lists that suddenly omit many servers, like Eureka's self-preservation mode.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct MassRemovalGuard {
    /// Maximum fraction of the ready servers that a complete list may omit at once, default 0.5, 0 to 1. If a
    /// list omits more, its entries are applied, and the omitted servers are not removed until
    /// `confirm_after`.
    #[garde(range(min = 0.0, max = 1.0))]
    pub loss_max: f64,
    /// Time for which complete lists must omit too many servers until the removal is applied, default 30 s,
    /// up to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub confirm_after: Duration,
    /// If true, an empty list is applied after `confirm_after` as well; default false: it never is.
    #[garde(skip)]
    pub empty_allowed: bool,
}

fn default_every() -> Duration {
    Duration::from_millis(500)
}

fn default_path() -> String {
    "/v1/nodes".into()
}

fn default_poll() -> Duration {
    Duration::from_secs(10)
}

fn default_timeout() -> Duration {
    Duration::from_secs(2)
}

impl Default for MassRemovalGuard {
    fn default() -> Self {
        Self { loss_max: 0.5, confirm_after: Duration::from_secs(30), empty_allowed: false }
    }
}
