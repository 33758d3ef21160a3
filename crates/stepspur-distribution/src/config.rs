//! The settings in `[distribution]`, for a control member and for a subscriber, with their defaults and
//! bounds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur_consensus_node::ConsensusConfig;

use crate::document::{
    DocumentError, Interest, MAX_NAME_BYTES, MAX_SERVICES, MAX_TENANTS, ServiceInterest, is_valid_name,
};
use crate::keep_alive::{MAX_KEEP_ALIVE, MIN_KEEP_ALIVE};

/// Maximum number of control members in the settings.
pub const MAX_CONTROL_MEMBERS: usize = 1_000;
/// Upper bound of the setting `subscribers_max` of a control member.
pub const MAX_SUBSCRIBERS: u32 = 100_000;

/// Lower bound of the rate limit of snapshots, in bytes per second: at least one part per second.
const MIN_SNAPSHOT_BYTES_PER_S: u32 = 64 << 10;
/// Upper bound of the rate limit of snapshots, in bytes per second.
const MAX_SNAPSHOT_BYTES_PER_S: u32 = 1 << 30;
/// Bounds of the time limits of a subscriber.
const MIN_TIMEOUT: Duration = Duration::from_millis(10);
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// The roles of a conductor in the distribution: control member, subscriber, or both.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Distribution {
    /// As a control member it replicates the configuration and serves it to subscribers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub control: Option<ControlConfig>,
    /// As a subscriber it applies the configuration that a control member sends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub subscriber: Option<SubscriberConfig>,
}

/// Settings of a control member. Its id is `council.id`.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// All control members, this one included; the list must be the same at each. Each must be a conductor in
    /// `council.conductors`.
    #[garde(dive, length(min = 1, max = MAX_CONTROL_MEMBERS), custom(distinct_ids))]
    pub members: Vec<ControlMemberAddress>,
    /// Rate limit of snapshots over all subscribers, in bytes per second; 8 MiB/s by default. Deltas are not
    /// limited.
    #[serde(default = "snapshot_bytes_per_s")]
    #[garde(range(min = MIN_SNAPSHOT_BYTES_PER_S, max = MAX_SNAPSHOT_BYTES_PER_S))]
    pub snapshot_bytes_per_s: u32,
    /// Maximum number of attached subscribers; 10,000 by default. Further ones are redirected to other
    /// control members.
    #[serde(default = "subscribers_max")]
    #[garde(range(min = 1, max = MAX_SUBSCRIBERS))]
    pub subscribers_max: u32,
    /// The interval at which an idle subscriber is sent a keep-alive with the version up to which no document
    /// of its interest has changed; 5 s by default.
    #[serde(default = "keep_alive", with = "humantime_serde")]
    #[garde(custom(between(MIN_KEEP_ALIVE, MAX_KEEP_ALIVE)))]
    pub keep_alive: Duration,
}

/// The address at which a control member accepts subscribers.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ControlMemberAddress {
    /// Its id in the consensus group.
    #[garde(range(min = 1))]
    pub id: u64,
    /// Its address. Must be a loopback address.
    #[garde(custom(loopback_address))]
    pub address: SocketAddr,
    /// Its region: subscribers of the same region try it first.
    #[garde(custom(valid_name))]
    pub region: String,
}

/// Settings of a subscriber.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct SubscriberConfig {
    /// The name under which it is registered. It must be unique among subscribers.
    #[garde(custom(valid_name))]
    pub name: String,
    /// Its region: documents for other regions do not concern it.
    #[garde(custom(valid_name))]
    pub region: String,
    /// The file that stores its documents and their version. It is created if it does not exist.
    #[garde(custom(file_path))]
    pub state: PathBuf,
    /// Addresses of some control members, in any order. Their welcome names the others.
    #[garde(length(min = 1, max = MAX_CONTROL_MEMBERS), inner(custom(loopback_address)))]
    pub control: Vec<SocketAddr>,
    /// Services whose documents concern it.
    #[garde(dive, length(min = 1, max = MAX_SERVICES), custom(distinct_services))]
    pub services: Vec<ServiceConfig>,
    /// Time limit for connecting to a control member, and again for its first frame; 2 s by default.
    #[serde(default = "dial_timeout", with = "humantime_serde")]
    #[garde(custom(between(MIN_TIMEOUT, MAX_TIMEOUT)))]
    pub dial_timeout: Duration,
    /// Time limit for writing a frame; 5 s by default. Exceeding it ends the connection.
    #[serde(default = "write_timeout", with = "humantime_serde")]
    #[garde(custom(between(MIN_TIMEOUT, MAX_TIMEOUT)))]
    pub write_timeout: Duration,
}

/// A service whose documents concern a subscriber.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name of the service.
    #[garde(custom(valid_name))]
    pub service: String,
    /// Tenants of the service that this conductor serves. Documents for all tenants always concern it.
    #[serde(default)]
    #[garde(inner(custom(valid_name)))]
    pub tenants: Vec<String>,
}

fn snapshot_bytes_per_s() -> u32 {
    8 << 20
}
fn subscribers_max() -> u32 {
    10_000
}
fn keep_alive() -> Duration {
    Duration::from_secs(5)
}
fn dial_timeout() -> Duration {
    Duration::from_secs(2)
}
fn write_timeout() -> Duration {
    Duration::from_secs(5)
}

/// A setting that conflicts with other settings of the conductor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The key of the setting, such as `distribution.control`.
    pub key: String,
    /// The conflict, to be shown after the key.
    pub reason: String,
}

impl SettingError {
    fn new(key: &str, reason: impl Into<String>) -> Self {
        Self { key: key.to_owned(), reason: reason.into() }
    }
}

impl Distribution {
    /// Checks the settings against those of the consensus group. [`Validate`] checks the bounds of single
    /// values.
    pub fn check_against(&self, council: Option<&ConsensusConfig>) -> Vec<SettingError> {
        if self.control.is_none() && self.subscriber.is_none() {
            return vec![SettingError::new("distribution", "needs `control`, `subscriber` or both")];
        }
        match (&self.control, council) {
            (None, _) => Vec::new(),
            (Some(control), Some(council)) => control.check_against(council),
            (Some(_), None) => vec![SettingError::new(
                "distribution.control",
                "needs `[council]`: control members replicate the configuration in that group",
            )],
        }
    }
}

impl ControlConfig {
    fn check_against(&self, council: &ConsensusConfig) -> Vec<SettingError> {
        let members_key = "distribution.control.members";
        let mut errors = Vec::new();
        if self.member(council.id).is_none() {
            let reason = format!("do not include this conductor's own id, {}", council.id);
            errors.push(SettingError::new(members_key, reason));
        }
        for (index, member) in self.members.iter().enumerate() {
            if !council.conductors.iter().any(|conductor| conductor.id == member.id) {
                let reason = format!("{} is no conductor of `council.conductors`", member.id);
                errors.push(SettingError::new(&format!("{members_key}[{index}].id"), reason));
            }
            if council.conductors.iter().any(|conductor| collides(conductor.address, member.address)) {
                let address = member.address;
                let reason = format!("{address} is where a conductor of the council listens to the others");
                errors.push(SettingError::new(&format!("{members_key}[{index}].address"), reason));
            }
        }
        errors
    }

    /// The control member with this id.
    pub fn member(&self, id: u64) -> Option<&ControlMemberAddress> {
        self.members.iter().find(|member| member.id == id)
    }
}

impl SubscriberConfig {
    /// Which documents concern the subscriber.
    ///
    /// # Errors
    /// The first error found. Settings that [`Validate`] accepts have none.
    pub fn interest(&self) -> Result<Interest, DocumentError> {
        let services = self.services.iter().map(|config| ServiceInterest {
            service: config.service.clone(),
            tenants: config.tenants.clone(),
        });
        Interest { region: self.region.clone(), services: services.collect() }.sorted()
    }
}

/// Whether both are the same address. With port 0 the system assigns a free port, which never collides.
fn collides(one: SocketAddr, other: SocketAddr) -> bool {
    one == other && one.port() != 0
}

/// An error with this reason unless the condition holds.
fn require(condition: bool, reason: impl FnOnce() -> String) -> garde::Result {
    if condition { Ok(()) } else { Err(garde::Error::new(reason())) }
}

fn valid_name(name: &str, (): &()) -> garde::Result {
    let reason = || format!("must have 1 to {MAX_NAME_BYTES} bytes and no control characters");
    require(is_valid_name(name), reason)
}

fn file_path(path: &std::path::Path, (): &()) -> garde::Result {
    require(path.file_name().is_some(), || "must be the path of a file".to_owned())
}

fn loopback_address(address: &SocketAddr, (): &()) -> garde::Result {
    let reason = || "must be a loopback address: these connections are not authenticated yet".to_owned();
    require(address.ip().is_loopback(), reason)
}

fn distinct_ids(members: &[ControlMemberAddress], (): &()) -> garde::Result {
    let ids: BTreeSet<u64> = members.iter().map(|member| member.id).collect();
    require(ids.len() == members.len(), || "contain an id twice".to_owned())
}

fn distinct_services(services: &[ServiceConfig], (): &()) -> garde::Result {
    let names: BTreeSet<&str> = services.iter().map(|service| service.service.as_str()).collect();
    require(names.len() == services.len(), || "contain a service twice".to_owned())?;
    let tenants: usize = services.iter().map(|service| service.tenants.len()).sum();
    require(tenants <= MAX_TENANTS, || format!("contain {tenants} tenants, {MAX_TENANTS} at most"))
}

fn between(min: Duration, max: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |value, ()| require((min..=max).contains(value), || format!("must lie between {min:?} and {max:?}"))
}
