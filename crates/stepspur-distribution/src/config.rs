//! `[distribution]` as an operator words it: a control member's part, a subscriber's part, and the bounds of both.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur_consensus_node::ConsensusConfig;

use crate::document::{DocumentError, Interest, MAX_NAME_BYTES, MAX_SERVICES, MAX_TENANTS, ServiceInterest};

/// Control members that settings may name.
pub const MAX_CONTROL_MEMBERS: usize = 1_000;
/// Subscribers that one control member may have at once.
pub const MAX_SUBSCRIBERS: u32 = 100_000;

const HOUR: Duration = Duration::from_secs(3_600);
/// The least that a control member may spend on snapshots, in bytes a second: one part each second.
const SNAPSHOT_BYTES_PER_S_LEAST: u32 = 64 << 10;
/// The most that a control member may spend on snapshots, in bytes a second.
const SNAPSHOT_BYTES_PER_S_MOST: u32 = 1 << 30;

/// What a conductor does for the distribution of configuration: it is a control member, a subscriber, or both.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Distribution {
    /// It agrees on configuration in the council and serves it to subscribers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub control: Option<ControlConfig>,
    /// It acts by the configuration that a control member pushes to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub subscriber: Option<SubscriberConfig>,
}

/// A control member's part. Its id is that of `council.id`.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// All control members, this one too, alike in all their settings; each is a conductor of the council.
    #[garde(dive, length(min = 1, max = MAX_CONTROL_MEMBERS), custom(ids_once))]
    pub members: Vec<ControlMemberAddress>,
    /// Bytes a second that it spends on snapshots, over all subscribers. Deltas do not wait for them.
    #[serde(default = "snapshot_bytes_per_s")]
    #[garde(range(min = SNAPSHOT_BYTES_PER_S_LEAST, max = SNAPSHOT_BYTES_PER_S_MOST))]
    pub snapshot_bytes_per_s: u32,
    /// Subscribers at once; another is refused and goes to the next control member.
    #[serde(default = "subscribers_max")]
    #[garde(range(min = 1, max = MAX_SUBSCRIBERS))]
    pub subscribers_max: u32,
    /// A subscriber that nothing concerns is told so often to which version it is covered.
    #[serde(default = "keep_alive", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), Duration::from_secs(600))))]
    pub keep_alive: Duration,
}

/// Where a control member listens to subscribers.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ControlMemberAddress {
    /// Its number in the council.
    #[garde(range(min = 1))]
    pub id: u64,
    /// Its address.
    #[garde(custom(loopback))]
    pub address: SocketAddr,
    /// Where it stands: subscribers of the same region try it first.
    #[garde(custom(sound_name))]
    pub region: String,
}

/// A subscriber's part.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct SubscriberConfig {
    /// Its name in the register. No two subscribers share one.
    #[garde(custom(sound_name))]
    pub name: String,
    /// Where it stands: documents for other regions do not concern it.
    #[garde(custom(sound_name))]
    pub region: String,
    /// The file that keeps its documents and their version, made where there is none.
    #[garde(custom(file))]
    pub state: PathBuf,
    /// Addresses of control members to begin with, in any order; the rest are learned from them.
    #[garde(length(min = 1, max = MAX_CONTROL_MEMBERS), inner(custom(loopback)))]
    pub control: Vec<SocketAddr>,
    /// Services whose documents concern it.
    #[garde(dive, length(min = 1, max = MAX_SERVICES), custom(services_once))]
    pub services: Vec<ServiceConfig>,
    /// Dialling a control member, and its first answer, are due in this time.
    #[serde(default = "dial_timeout", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub dial_timeout: Duration,
    /// A write that the control member does not take for so long ends the connection.
    #[serde(default = "write_timeout", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub write_timeout: Duration,
}

/// A service whose documents concern a subscriber.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Its name.
    #[garde(custom(sound_name))]
    pub service: String,
    /// Tenants of the service that this conductor serves. Documents for all tenants concern it in any case.
    #[serde(default)]
    #[garde(inner(custom(sound_name)))]
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

impl Distribution {
    /// What is wrong with it beside the rest of a conductor's settings: keys, as `distribution.control`, and faults.
    /// Bounds of single values are checked by [`Validate`].
    pub fn faults_beside(&self, council: Option<&ConsensusConfig>) -> Vec<(String, String)> {
        let fault = |key: &str, what: &str| (format!("distribution{key}"), what.to_owned());
        if self.control.is_none() && self.subscriber.is_none() {
            return vec![fault("", "needs `control`, `subscriber` or both")];
        }
        let Some(control) = &self.control else { return Vec::new() };
        let Some(council) = council else {
            return vec![fault(
                ".control",
                "needs `[council]`: control members agree on configuration there",
            )];
        };
        control.faults_beside(council)
    }
}

impl ControlConfig {
    fn faults_beside(&self, council: &ConsensusConfig) -> Vec<(String, String)> {
        let members = "distribution.control.members";
        let mut faults = Vec::new();
        if self.place(council.id).is_none() {
            let what = format!("do not name this conductor's own number, {}", council.id);
            faults.push((members.to_owned(), what));
        }
        for (place, member) in self.members.iter().enumerate() {
            if !council.conductors.iter().any(|conductor| conductor.id == member.id) {
                let what = format!("{} is no conductor of `council.conductors`", member.id);
                faults.push((format!("{members}[{place}].id"), what));
            }
            if council.conductors.iter().any(|conductor| taken(conductor.address, member.address)) {
                let what =
                    format!("{} is where a conductor of the council listens to the others", member.address);
                faults.push((format!("{members}[{place}].address"), what));
            }
        }
        faults
    }

    /// Where the control member of this number listens.
    pub fn place(&self, id: u64) -> Option<&ControlMemberAddress> {
        self.members.iter().find(|member| member.id == id)
    }
}

impl SubscriberConfig {
    /// Which documents concern it.
    ///
    /// # Errors
    /// The first fault; settings that [`Validate`] accepts have none.
    pub fn interest(&self) -> Result<Interest, DocumentError> {
        let read =
            |s: &ServiceConfig| ServiceInterest { service: s.service.clone(), tenants: s.tenants.clone() };
        let services = self.services.iter().map(read).collect();
        Interest { region: self.region.clone(), services }.sorted()
    }
}

/// True: the same address, and not one whose port the system chooses.
fn taken(one: SocketAddr, other: SocketAddr) -> bool {
    one == other && one.port() != 0
}

fn sound_name(name: &str, (): &()) -> garde::Result {
    let sound = (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
    match sound {
        true => Ok(()),
        false => {
            Err(garde::Error::new(format!("must have 1 to {MAX_NAME_BYTES} bytes and no control characters")))
        }
    }
}

fn file(path: &std::path::Path, (): &()) -> garde::Result {
    match path.file_name() {
        Some(_) => Ok(()),
        None => Err(garde::Error::new("must be the path of a file")),
    }
}

fn loopback(address: &SocketAddr, (): &()) -> garde::Result {
    match address.ip().is_loopback() {
        true => Ok(()),
        false => Err(garde::Error::new("must be a loopback address: these links carry no identity yet")),
    }
}

fn ids_once(members: &[ControlMemberAddress], (): &()) -> garde::Result {
    let ids: BTreeSet<u64> = members.iter().map(|member| member.id).collect();
    match ids.len() == members.len() {
        true => Ok(()),
        false => Err(garde::Error::new("name a number twice")),
    }
}

fn services_once(services: &[ServiceConfig], (): &()) -> garde::Result {
    let names: BTreeSet<&str> = services.iter().map(|service| service.service.as_str()).collect();
    if names.len() != services.len() {
        return Err(garde::Error::new("name a service twice"));
    }
    let tenants: usize = services.iter().map(|service| service.tenants.len()).sum();
    match tenants <= MAX_TENANTS {
        true => Ok(()),
        false => Err(garde::Error::new(format!("name {tenants} tenants, {MAX_TENANTS} at most"))),
    }
}

fn between(least: Duration, most: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |span, ()| match *span >= least && *span <= most {
        true => Ok(()),
        false => Err(garde::Error::new(format!("must lie between {least:?} and {most:?}"))),
    }
}
