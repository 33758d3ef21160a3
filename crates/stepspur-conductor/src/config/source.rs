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
    /// A TOML file, checked for changes.
    File {
        /// Its path.
        #[garde(skip)]
        path: PathBuf,
        /// Interval between checks; default 500 ms, 10 ms to 1 h.
        #[serde(default = "default_every", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(10), HOUR)))]
        every: Duration,
        /// The guard against mass removals.
        #[serde(default)]
        #[garde(dive)]
        doubt: MassRemovalGuard,
    },
    /// An HTTP node list, see `docs/node-list.md`.
    Http {
        /// Its address, a loopback address.
        #[garde(custom(loopback))]
        address: SocketAddr,
        /// Path of the list; default `/v1/nodes`.
        #[serde(default = "default_path")]
        #[garde(custom(absolute_path))]
        path: String,
        /// Longest time that the server holds a long poll; default 10 s, 100 ms to 1 h.
        #[serde(default = "default_poll", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        poll: Duration,
        /// A poll without a response this long after `poll` has failed; default 2 s, 100 ms to 1 h.
        #[serde(default = "default_timeout", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        timeout: Duration,
        /// The guard against mass removals.
        #[serde(default)]
        #[garde(dive)]
        doubt: MassRemovalGuard,
    },
}

impl Source {
    /// The guard against mass removals.
    pub fn mass_removal_guard(&self) -> &MassRemovalGuard {
        match self {
            Source::File { doubt, .. } | Source::Http { doubt, .. } => doubt,
        }
    }
}

/// The guard against lists that suddenly lack many servers (Eureka: self-preservation).
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct MassRemovalGuard {
    /// Fraction of the ready servers that a complete list may lack at once; default 0.5, 0 to 1. Of a list
    /// that lacks more, what it names is applied, and what it lacks is not removed yet.
    #[garde(range(min = 0.0, max = 1.0))]
    pub loss_max: f64,
    /// A removal is applied after complete lists have lacked the servers for this long; default 30 s, up to 1
    /// h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub confirm_after: Duration,
    /// True: an empty list is applied in the same way; default false: never.
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
