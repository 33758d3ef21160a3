//! Where the list of servers comes from, and when it is doubted.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between, loopback, rooted};

/// Where the list of servers comes from.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Source {
    /// A TOML file that is watched.
    File {
        /// Its path.
        #[garde(skip)]
        path: PathBuf,
        /// Looked at so often.
        #[serde(default = "file_every", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(10), HOUR)))]
        every: Duration,
        /// Lists that lose much.
        #[serde(default)]
        #[garde(dive)]
        doubt: MassRemovalGuard,
    },
    /// An HTTP node list, see `docs/node-list.md`.
    Http {
        /// Host and port; loopback alone until callers are known.
        #[garde(custom(loopback))]
        address: SocketAddr,
        /// Path of the list.
        #[serde(default = "list_path")]
        #[garde(custom(rooted))]
        path: String,
        /// A long poll is answered within this time.
        #[serde(default = "poll", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        poll: Duration,
        /// A call with no answer for so long beyond that has failed.
        #[serde(default = "call_timeout", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        timeout: Duration,
        /// Lists that lose much.
        #[serde(default)]
        #[garde(dive)]
        doubt: MassRemovalGuard,
    },
}

impl Source {
    /// What is held of lists that lose much.
    pub fn doubt(&self) -> &MassRemovalGuard {
        match self {
            Source::File { doubt, .. } | Source::Http { doubt, .. } => doubt,
        }
    }
}

/// When a whole list is not believed at once.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct MassRemovalGuard {
    /// A whole list that lacks more than this part of the ready servers known before is doubted: what it
    /// lacks stays as it was, what it names counts.
    #[garde(range(min = 0.0, max = 1.0))]
    pub loss_max: f64,
    /// It is believed once whole lists have said so for so long.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub confirm_after: Duration,
    /// True: an empty list is believed in the same way; else never.
    #[garde(skip)]
    pub empty_allowed: bool,
}

fn file_every() -> Duration {
    Duration::from_millis(500)
}
fn list_path() -> String {
    "/v1/nodes".into()
}
fn poll() -> Duration {
    Duration::from_secs(10)
}
fn call_timeout() -> Duration {
    Duration::from_secs(2)
}

impl Default for MassRemovalGuard {
    fn default() -> Self {
        Self { loss_max: 0.5, confirm_after: Duration::from_secs(30), empty_allowed: false }
    }
}
