//! The conductor's settings, with defaults and bounds.
//!
//! Every key has a default except the fleet's `zones`, `proxies` and `classes`, the source, and some keys of
//! optional groups. [`Config::invalid_settings`] returns every setting that is out of bounds;
//! `examples/conductor.toml` shows every key.
//!
//! Each group of settings has a module. `checks` has the checks that several groups share, and `settings`
//! converts the settings into those of the decision module.

mod channel;
mod checks;
mod fleet;
mod identity;
mod listen;
mod probes;
mod reports;
mod settings;
mod source;
mod status;
mod tenant;

use std::collections::BTreeMap;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur::interface::Micros;
use stepspur_consensus_node::ConsensusConfig;
use stepspur_distribution::config::Distribution;

use channel::can_hold_table;
use identity::{authenticated_or_loopback, tenants_are_authenticated};

pub use channel::Channel;
pub use fleet::{AdmissionModeConfig, ClassConfig, DedupScopeConfig, Fleet, IdempotencyConfig};
pub use identity::Identity;
pub use listen::Listen;
pub use probes::Probes;
pub use reports::Reports;
pub use source::{MassRemovalGuard, Source};
pub use status::Status;
pub use tenant::Tenant;

/// All settings of a conductor.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The deployment: zones, request classes, warm-up and time limits.
    #[garde(dive)]
    pub fleet: Fleet,
    /// The listener for proxies.
    #[serde(default)]
    #[garde(dive)]
    pub listen: Listen,
    /// The channel to the proxies.
    #[serde(default)]
    #[garde(dive, custom(can_hold_table(&self.fleet)))]
    pub channel: Channel,
    /// Load reports of proxies.
    #[serde(default)]
    #[garde(dive)]
    pub reports: Reports,
    /// Active health checks of servers.
    #[serde(default)]
    #[garde(dive)]
    pub probes: Probes,
    /// The source of the endpoint list.
    #[garde(dive)]
    pub source: Source,
    /// The status page, which `stepspur status` reads.
    #[serde(default)]
    #[garde(dive)]
    pub status: Status,
    /// Authentication of callers; default: none, which requires `listen.plain_on_loopback`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive, custom(authenticated_or_loopback(&self.listen)))]
    pub identity: Option<Identity>,
    /// The consensus group of conductors, which assigns roles that one member holds at a time; default: none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub council: Option<ConsensusConfig>,
    /// Distribution of shared configuration, as its server or as a subscriber; default: none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub distribution: Option<Distribution>,
    /// Further tenants by name, each with its own servers and decisions; default: none. All other settings
    /// apply to every tenant.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, custom(tenants_are_authenticated(&self.identity)))]
    pub tenants: BTreeMap<String, Tenant>,
}

/// A setting that is out of bounds or contradicts another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Key of the setting, such as `fleet.classes[0].aim`.
    pub key: String,
    /// Why its value is invalid.
    pub what: String,
}

impl Config {
    /// Returns all invalid settings; empty if the conductor may start.
    pub fn invalid_settings(&self) -> Vec<InvalidSetting> {
        let mut invalid = Vec::new();
        if let Err(report) = self.validate() {
            for (key, what) in report.iter() {
                invalid.push(InvalidSetting { key: key.to_string(), what: what.to_string() });
            }
        }
        if let Some(distribution) = &self.distribution {
            for error in distribution.check_against(self.council.as_ref()) {
                invalid.push(InvalidSetting { key: error.key, what: error.reason });
            }
        }
        invalid
    }
}

/// Converts a duration to whole microseconds; one that is too long becomes `u64::MAX`.
pub(crate) fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
