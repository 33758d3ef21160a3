//! Settings of the deployment: zones, request classes, warm-up of servers and time limits.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between, known_zone, unique};

/// The deployment that the conductor serves.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones, 1 to 1000 distinct names of 1 to 128 bytes; required. A zone's index is its id.
    #[garde(length(min = 1, max = 1000), inner(length(min = 1, max = 128)), custom(unique))]
    pub zones: Vec<String>,
    /// Zone that this conductor runs in, one of `zones`; default: the first.
    #[serde(default)]
    #[garde(custom(known_zone(&self.zones)))]
    pub my_zone: Option<String>,
    /// Number of conductors, default 1, 1 to 1000. Each proxy connects to one of them at random, and each
    /// conductor knows only its own proxies.
    #[serde(default = "default_conductors")]
    #[garde(range(min = 1, max = 1000))]
    pub conductors: u32,
    /// Number of proxies over all conductors, 1 to 65,000; required. It determines the size of subsets.
    #[garde(range(min = 1, max = 65_000))]
    pub proxies: u32,
    /// Request classes, 1 to 16; required. Messages identify a class by its index.
    #[garde(length(min = 1, max = 16), dive)]
    pub classes: Vec<ClassConfig>,
    /// How proxies interpret admission levels; default `share`.
    #[serde(default)]
    #[garde(skip)]
    pub admit: AdmissionModeConfig,
    /// Number of connections that the smallest servers accept, default 0, up to 1,000,000. 0 means unknown:
    /// zones then get no subsets.
    #[serde(default)]
    #[garde(range(min = 0, max = 1_000_000))]
    pub connections_min: u32,
    /// Warm-up time, after which a restarted server has its full capacity at the latest; default 20 s, up to
    /// 1 h.
    #[serde(default = "default_cold", with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub cold: Duration,
    /// Minimum fraction of its full capacity that a server has at its start, default 0.3, 0.01 to 1.
    #[serde(default = "default_start_capacity")]
    #[garde(range(min = 0.01, max = 1.0))]
    pub start_capacity: f64,
    /// Multiple of its current capacity at which a server that is warming up collapses, default 3, 1 to 100.
    #[serde(default = "default_fall_multiple")]
    #[garde(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// Time within which proxies must stop sending to a server once it is known to drain or to be removed;
    /// default 2 s, 100 ms to 1 h.
    #[serde(default = "default_drain_grace", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub drain_grace: Duration,
    /// Longest time for which a connected proxy may have no usable server, default 3 s, 100 ms to 1 h.
    #[serde(default = "default_unserved_max", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub unserved_max: Duration,
    /// If true, only the state `draining` forbids the use of a server: one that a list omits may stay in
    /// tables. Default false.
    #[serde(default)]
    #[garde(skip)]
    pub drain_binds_alone: bool,
}

/// A class of requests: what retries may cause, its time limits and its priority.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// Name of the class, 1 to 128 bytes.
    #[garde(length(min = 1, max = 128))]
    pub name: String,
    /// What repeating a request may cause; required.
    #[garde(skip)]
    pub effect: IdempotencyConfig,
    /// Latency objective, within which a response has its full value; 1 ms to 1 h, required.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(1), HOUR)))]
    pub aim: Duration,
    /// How long a client waits for a response, retries included; `aim` to 1 h, required.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(self.aim, HOUR)))]
    pub deadline: Duration,
    /// Priority weight, the value of one request relative to other classes; default 1, 0 to 1,000,000.
    #[serde(default = "default_worth")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// Which servers drop repeats of a request with an idempotency key; default `all`.
    #[serde(default)]
    #[garde(skip)]
    pub group: DedupScopeConfig,
    /// Deduplication window: how long servers drop repeats of a request with an idempotency key; default 0,
    /// up to 1 h.
    #[serde(default, with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub window: Duration,
    /// If true, only servers in the proxy's own zone may serve the class; default false.
    #[serde(default)]
    #[garde(skip)]
    pub own_zone: bool,
}

/// What repeating a request may cause, see [`stepspur::interface::Idempotency`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyConfig {
    /// Safe to repeat.
    ReadLike,
    /// Carries an idempotency key: the servers of `group` drop repeats within `window`.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// Which servers recognize repeats of a request, see [`stepspur::interface::DedupScope`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum DedupScopeConfig {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// How proxies interpret an admission level, see [`stepspur::interface::AdmissionMode`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionModeConfig {
    /// As the fraction of requests to admit.
    #[default]
    Share,
    /// As requests per second to admit at each proxy.
    Rate,
    /// Proxies ignore levels.
    Silent,
}

fn default_conductors() -> u32 {
    1
}

fn default_worth() -> f64 {
    1.0
}

fn default_cold() -> Duration {
    Duration::from_secs(20)
}

fn default_start_capacity() -> f64 {
    0.3
}

fn default_fall_multiple() -> f64 {
    3.0
}

fn default_drain_grace() -> Duration {
    Duration::from_secs(2)
}

fn default_unserved_max() -> Duration {
    Duration::from_secs(3)
}
