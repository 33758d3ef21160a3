//! How reports come in.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between};

/// How reports come in.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// Proxies report so often.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub every: Duration,
    /// What comes within this span is summed by server and zone before it counts as lines.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(1), HOUR)))]
    pub gather: Duration,
    /// Lines a second that are looked at, the oldest first; the rest adds up and follows.
    #[garde(range(min = 1.0, max = 1e9))]
    pub intake_per_s: f64,
    /// Values of a load report, in order: `rif`, `q`, `busy`, `lat_ms`, `rate` or `fail_rate`.
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

/// Values that a load report may have.
const LOAD_COLUMNS: [&str; 6] = ["rif", "q", "busy", "lat_ms", "rate", "fail_rate"];

fn load_column(name: &str, _: &()) -> garde::Result {
    match LOAD_COLUMNS.contains(&name) {
        true => Ok(()),
        false => Err(garde::Error::new(format!("`{name}` is no value of a load report"))),
    }
}
