//! How servers are probed.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between, rooted};

/// How servers are probed.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Probes {
    /// False: never.
    #[garde(skip)]
    pub enabled: bool,
    /// Path of the HTTP request; its answer may be a JSON object with the load columns.
    #[garde(length(min = 1, max = 1000), custom(rooted))]
    pub path: String,
    /// No answer for so long is a failure.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub timeout: Duration,
    /// Probes under way at once; more wait their turn.
    #[garde(range(min = 1, max = 10_000))]
    pub concurrency: usize,
}

impl Default for Probes {
    fn default() -> Self {
        Self { enabled: true, path: "/load".into(), timeout: Duration::from_secs(1), concurrency: 64 }
    }
}
