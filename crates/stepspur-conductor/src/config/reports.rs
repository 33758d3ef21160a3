//! Settings of load reports.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between};

/// Load reports of proxies: their interval, aggregation and columns.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// Interval between a proxy's reports, default 1 s, 100 ms to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub every: Duration,
    /// Aggregation interval, within which reports are summed by server and zone, and by proxy and class;
    /// default 250 ms, 1 ms to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(1), HOUR)))]
    pub gather: Duration,
    /// Maximum rate, in entries per second, at which summed entries reach the decision module, oldest first;
    /// default 10,000, 1 to 1e9. Entries beyond it stay queued, and later reports are added to them.
    #[garde(range(min = 1.0, max = 1e9))]
    pub intake_per_s: f64,
    /// Columns of a load report, in their order: up to 4 of `rif`, `q`, `busy`, `lat_ms`, `rate` and
    /// `fail_rate`; default `q` and `lat_ms`.
    #[garde(length(max = 4), inner(custom(load_column)))]
    pub load_columns: Vec<String>,
}

impl Default for Reports {
    fn default() -> Self {
        Self {
            every: Duration::from_secs(1),
            gather: Duration::from_millis(250),
            intake_per_s: 10_000.0,
            load_columns: vec!["q".into(), "lat_ms".into()],
        }
    }
}

/// Columns that a load report may have.
const LOAD_COLUMNS: [&str; 6] = ["rif", "q", "busy", "lat_ms", "rate", "fail_rate"];

/// Checks that a name is one of [`LOAD_COLUMNS`].
fn load_column(name: &str, _: &()) -> garde::Result {
    if LOAD_COLUMNS.contains(&name) {
        Ok(())
    } else {
        Err(garde::Error::new(format!("`{name}` is not a column of a load report")))
    }
}
