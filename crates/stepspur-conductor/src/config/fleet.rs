//! The fleet: zones, classes and the rules' figures.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between, one_of, unique};

/// The fleet and the rules' figures.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones.
    #[garde(length(min = 1, max = 1000), inner(length(min = 1, max = 128)), custom(unique))]
    pub zones: Vec<String>,
    /// The zone in which this conductor stands; the first where left out.
    #[serde(default)]
    #[garde(custom(one_of(&self.zones)))]
    pub my_zone: Option<String>,
    /// Conductors that share the proxies by chance; each knows its own alone.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 1000))]
    pub conductors: u32,
    /// Proxies over all conductors, for which tables are cut.
    #[garde(range(min = 1, max = 65_000))]
    pub proxies: u32,
    /// Request classes; told by their place from then on.
    #[garde(length(min = 1, max = 16), dive)]
    pub classes: Vec<ClassConfig>,
    /// How levels are understood.
    #[serde(default)]
    #[garde(skip)]
    pub admit: AdmitConfig,
    /// Connections that the smallest servers accept; 0: not known, then zone tables are not cut into parts.
    #[serde(default)]
    #[garde(range(min = 0, max = 1_000_000))]
    pub connections_min: u32,
    /// A server that has started is warm after this at the latest.
    #[serde(default = "cold", with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub cold: Duration,
    /// A server starts at this share of its capacity or more.
    #[serde(default = "start_capacity")]
    #[garde(range(min = 0.01, max = 1.0))]
    pub start_capacity: f64,
    /// A cold server falls over at this many times its present capacity.
    #[serde(default = "fall_multiple")]
    #[garde(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// Proxies stop sending to a server so soon after it is known to drain or to be gone.
    #[serde(default = "drain_grace", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub drain_grace: Duration,
    /// A joined proxy lacks a line no longer than this.
    #[serde(default = "unserved", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub unserved_max: Duration,
    /// True: a server that a list merely drops may stay in tables; only `draining` binds.
    #[serde(default)]
    #[garde(skip)]
    pub drain_binds_alone: bool,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// Its name.
    #[garde(length(min = 1, max = 128))]
    pub name: String,
    /// What a repeat may do.
    #[garde(skip)]
    pub effect: EffectConfig,
    /// An answer within this time earns the full worth.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(1), HOUR)))]
    pub aim: Duration,
    /// How long a client waits in all.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(self.aim, HOUR)))]
    pub deadline: Duration,
    /// Worth of a request.
    #[serde(default = "worth")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// For keyed classes: which servers drop repeats.
    #[serde(default)]
    #[garde(skip)]
    pub group: GroupConfig,
    /// For keyed classes: for how long.
    #[serde(default, with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub window: Duration,
    /// True: only servers of the proxy's zone may serve it.
    #[serde(default)]
    #[garde(skip)]
    pub own_zone: bool,
}

/// See [`stepspur::interface::Effect`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EffectConfig {
    /// Safe to repeat.
    ReadLike,
    /// Repeats are dropped by the servers of the group, within the window.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// See [`stepspur::interface::Group`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum GroupConfig {
    /// All servers.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// See [`stepspur::interface::Admit`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum AdmitConfig {
    /// A share of the requests.
    #[default]
    Share,
    /// Requests a second at each proxy.
    Rate,
    /// Levels are not heeded.
    Silent,
}

fn one() -> u32 {
    1
}
fn worth() -> f64 {
    1.0
}
fn cold() -> Duration {
    Duration::from_secs(20)
}
fn start_capacity() -> f64 {
    0.3
}
fn fall_multiple() -> f64 {
    3.0
}
fn drain_grace() -> Duration {
    Duration::from_secs(2)
}
fn unserved() -> Duration {
    Duration::from_secs(3)
}
