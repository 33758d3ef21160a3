//! Settings of active health checks.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, absolute_path, between};

/// Active health checks: HTTP requests to servers, sent when the decision module requests them.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Probes {
    /// If false, servers are never probed; default true.
    #[garde(skip)]
    pub enabled: bool,
    /// Path of the HTTP request, default `/load`, 1 to 1000 bytes. The response may be a JSON object with the
    /// load columns.
    #[garde(length(min = 1, max = 1000), custom(absolute_path))]
    pub path: String,
    /// Time limit of a probe's response, after which the probe has failed; default 1 s, 10 ms to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub timeout: Duration,
    /// Maximum number of concurrent probes, default 64, 1 to 10,000; further ones are queued.
    #[garde(range(min = 1, max = 10_000))]
    pub concurrency: usize,
}

impl Default for Probes {
    fn default() -> Self {
        Self { enabled: true, path: "/load".into(), timeout: Duration::from_secs(1), concurrency: 64 }
    }
}
