//! The settings of `[distribution]`: for a control member, for a subscriber, and their bounds.

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

/// Control members in the settings, at most.
pub const MAX_CONTROL_MEMBERS: usize = 1_000;
/// The largest limit of subscribers of one control member.
pub const MAX_SUBSCRIBERS: u32 = 100_000;

/// The smallest rate limit of snapshots, in bytes per second: one part each second.
const MIN_SNAPSHOT_BYTES_PER_S: u32 = 64 << 10;
/// The largest rate limit of snapshots, in bytes per second.
const MAX_SNAPSHOT_BYTES_PER_S: u32 = 1 << 30;
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

/// Settings of a control member. Its id is that of `council.id`.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// All control members with this one, the same in the settings of each. Each is a conductor of the
    /// council.
    #[garde(dive, length(min = 1, max = MAX_CONTROL_MEMBERS), custom(distinct_ids))]
    pub members: Vec<ControlMemberAddress>,
    /// Rate limit of snapshots over all subscribers, in bytes per second. Deltas are not limited.
    #[serde(default = "snapshot_bytes_per_s")]
    #[garde(range(min = MIN_SNAPSHOT_BYTES_PER_S, max = MAX_SNAPSHOT_BYTES_PER_S))]
    pub snapshot_bytes_per_s: u32,
    /// Subscribers at once, at most. Further ones are rejected and go to the next control member.
    #[serde(default = "subscribers_max")]
    #[garde(range(min = 1, max = MAX_SUBSCRIBERS))]
    pub subscribers_max: u32,
    /// The interval at which an idle subscriber is sent the version that it is covered to.
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
    /// Its address.
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
    /// The name under which it is registered. No two subscribers share one.
    #[garde(custom(valid_name))]
    pub name: String,
    /// Its region: documents for other regions do not concern it.
    #[garde(custom(valid_name))]
    pub region: String,
    /// The file that stores its documents and their version. It is created if it does not exist.
    #[garde(custom(file_path))]
    pub state: PathBuf,
    /// Addresses of some control members, in any order. They name the others.
    #[garde(length(min = 1, max = MAX_CONTROL_MEMBERS), inner(custom(loopback_address)))]
    pub control: Vec<SocketAddr>,
    /// Services whose documents concern it.
    #[garde(dive, length(min = 1, max = MAX_SERVICES), custom(distinct_services))]
    pub services: Vec<ServiceConfig>,
    /// The time limit for connecting to a control member, and again for its first frame.
    #[serde(default = "dial_timeout", with = "humantime_serde")]
    #[garde(custom(between(MIN_TIMEOUT, MAX_TIMEOUT)))]
    pub dial_timeout: Duration,
    /// The time limit for writing a frame. Exceeding it ends the connection.
    #[serde(default = "write_timeout", with = "humantime_serde")]
    #[garde(custom(between(MIN_TIMEOUT, MAX_TIMEOUT)))]
    pub write_timeout: Duration,
}

/// A service whose documents concern a subscriber.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Its name.
    #[garde(custom(valid_name))]
    pub service: String,
    /// Tenants of the service that this conductor serves. Documents for all tenants concern it in any case.
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

/// A setting that does not fit the rest of the conductor's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The key, as `distribution.control`.
    pub key: String,
    /// Why it does not fit.
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
                "needs `[council]`: control members agree on configuration there",
            )],
        }
    }
}

impl ControlConfig {
    fn check_against(&self, council: &ConsensusConfig) -> Vec<SettingError> {
        let members_key = "distribution.control.members";
        let mut errors = Vec::new();
        if self.member(council.id).is_none() {
            let reason = format!("do not name this conductor's own number, {}", council.id);
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

/// Whether both are the same address. Port 0 is assigned by the system and never the same.
fn collides(one: SocketAddr, other: SocketAddr) -> bool {
    one == other && one.port() != 0
}

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
    let reason = || "must be a loopback address: these links carry no identity yet".to_owned();
    require(address.ip().is_loopback(), reason)
}

fn distinct_ids(members: &[ControlMemberAddress], (): &()) -> garde::Result {
    let ids: BTreeSet<u64> = members.iter().map(|member| member.id).collect();
    require(ids.len() == members.len(), || "name a number twice".to_owned())
}

fn distinct_services(services: &[ServiceConfig], (): &()) -> garde::Result {
    let names: BTreeSet<&str> = services.iter().map(|service| service.service.as_str()).collect();
    require(names.len() == services.len(), || "name a service twice".to_owned())?;
    let tenants: usize = services.iter().map(|service| service.tenants.len()).sum();
    require(tenants <= MAX_TENANTS, || format!("name {tenants} tenants, {MAX_TENANTS} at most"))
}

fn between(min: Duration, max: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |value, ()| require((min..=max).contains(value), || format!("must lie between {min:?} and {max:?}"))
}
