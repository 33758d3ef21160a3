//! The conductor's settings: what an operator may set, with defaults, bounds and their reasons.
//!
//! Every key has a default but the fleet's `zones` and `classes`. [`Config::faults`] names all that is out of
//! bounds in one go; `examples/conductor.toml` shows every key. Each table of the settings has a module; `checks` has the
//! bounds that several share, `settings` words them for the decision module.

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

use std::collections::BTreeMap;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur::interface::Micros;
use stepspur_consensus_node::ConsensusConfig;
use stepspur_distribution::config::Distribution;

use channel::holds_a_table;
use identity::{known_or_plain, tenants_need_identity};

pub use channel::Channel;
pub use fleet::{AdmitConfig, ClassConfig, EffectConfig, Fleet, GroupConfig};
pub use identity::Identity;
pub use listen::Listen;
pub use probes::Probes;
pub use reports::Reports;
pub use source::{MassRemovalGuard, Source};
pub use status::Status;

/// All settings of a conductor.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Zones, classes and the rules' figures.
    #[garde(dive)]
    pub fleet: Fleet,
    /// Where proxies dial in, and what is taken from strangers.
    #[serde(default)]
    #[garde(dive)]
    pub listen: Listen,
    /// How orders leave.
    #[serde(default)]
    #[garde(dive, custom(holds_a_table(&self.fleet)))]
    pub channel: Channel,
    /// How reports come in.
    #[serde(default)]
    #[garde(dive)]
    pub reports: Reports,
    /// How servers are probed.
    #[serde(default)]
    #[garde(dive)]
    pub probes: Probes,
    /// Where the list of servers comes from.
    #[garde(dive)]
    pub source: Source,
    /// Where `stepspur status` asks.
    #[serde(default)]
    #[garde(dive)]
    pub status: Status,
    /// Who may call; where left out, `listen.plain_on_loopback` must be set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive, custom(known_or_plain(&self.listen)))]
    pub identity: Option<Identity>,
    /// A council with other conductors, for work that one of them does at a time; none where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub council: Option<ConsensusConfig>,
    /// Configuration that many conductors share, served or subscribed to; none where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub distribution: Option<Distribution>,
    /// Further tenants, each with servers and decisions of its own; the rest of the settings is the same.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, custom(tenants_need_identity(&self.identity)))]
    pub tenants: BTreeMap<String, Tenant>,
}

/// A further tenant.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its zones, classes and rules.
    #[garde(dive)]
    pub fleet: Fleet,
    /// Its servers.
    #[garde(dive)]
    pub source: Source,
}

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Its key, as `fleet.classes[0].aim`.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

impl Config {
    /// All settings that are out of bounds; empty if the conductor may start.
    pub fn faults(&self) -> Vec<InvalidSetting> {
        let report = self.validate().err();
        let bounds = report.iter().flat_map(|report| report.iter());
        let bounds =
            bounds.map(|(key, what)| InvalidSetting { key: key.to_string(), what: what.to_string() });
        let beside = self.distribution.iter().flat_map(|set| set.check_against(self.council.as_ref()));
        bounds.chain(beside.map(|error| InvalidSetting { key: error.key, what: error.reason })).collect()
    }
}

/// Whole microseconds.
pub(crate) fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
