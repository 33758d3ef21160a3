//! The configuration file of a conductor on the platform: read at start, and again at each SIGHUP.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use stepspur::interface::{AdmissionMode, Settings};
use stepspur_conductor::Config;
use stepspur_conductor::config::{
    Channel, ClassConfig, Fleet, IdempotencyConfig, Listen, MassRemovalGuard, Probes, Reports, Source,
};

use crate::connections::ConnectionLimits;
use crate::discovery::EndpointListUpdate;
use crate::message::Catalog;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required value is set neither in the environment nor in the file. Holds the environment variable.
    #[error("`{0}` is set neither in the environment nor in the configuration file")]
    Missing(&'static str),
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The file is not valid JSON, or lacks a required key.
    #[error("{path}: {cause}")]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error with its line and column.
        cause: serde_json::Error,
    },
    /// The `settings` object is invalid or incomplete.
    #[error("{path}: settings: {cause}")]
    Settings {
        /// Path of the file.
        path: PathBuf,
        /// Error with its line and column, counted from the start of the object.
        cause: serde_json::Error,
    },
    /// A value is invalid.
    #[error("{path}: `{key}`: {what}")]
    Value {
        /// Path of the file, or `the environment`.
        path: PathBuf,
        /// Key in the file, or environment variable.
        key: &'static str,
        /// Why it is invalid.
        what: String,
    },
}

/// Configuration of a conductor on the platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Path of the file, which a reload reads again.
    path: PathBuf,
    /// Values that a reload cannot change.
    fixed: StartupValues,
    /// Name of the conductor, the same after a restart.
    pub name: String,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random numbers; 0 by default.
    pub seed: u64,
    /// Endpoint list as last known, which is used until discovery responds; may be empty.
    pub known_endpoints: EndpointListUpdate,
    /// Configuration of the conductor's tasks.
    pub conductor: Config,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names that messages may refer to.
    pub catalog: Catalog,
    /// Limits on the file descriptors of connections.
    pub connection_limits: ConnectionLimits,
}

/// The file as a start reads it.
#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: EndpointListUpdate,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct Limits {
    /// File descriptors that the process may open.
    sockets: usize,
}

/// Names of the settings object, which the parsed [`Settings`] do not keep.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Names {
    zones: Vec<String>,
    request_classes: Vec<Named>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

/// Values of the file that are read only at start.
#[derive(Clone, Debug, Deserialize, PartialEq)]
struct StartupValues {
    #[serde(default)]
    name: Value,
    #[serde(default)]
    listen: Value,
    limits: Value,
    settings: Value,
}

/// The part of the file that a reload applies.
#[derive(Deserialize)]
struct ReloadedValues {
    discovery: Option<SocketAddr>,
}

/// Result of a reload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reloaded {
    /// New address of the discovery service.
    pub discovery: SocketAddr,
    /// Paths of changed values that need a restart, such as `settings.rules.coldUs`. The old values stay in
    /// force.
    pub restart_required: Vec<String>,
}

impl PlatformConfig {
    /// Reads the file that `LB_CONFIG` names. A missing `name`, `listen` or `discovery` is taken from
    /// `LB_NAME`, `LB_LISTEN` or `LB_DISCOVERY`.
    ///
    /// # Errors
    /// [`ConfigError`] names the file and the value.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = PathBuf::from(env("LB_CONFIG").ok_or(ConfigError::Missing("LB_CONFIG"))?);
        let text = read(&path)?;
        let parse = |cause| ConfigError::Parse { path: path.clone(), cause };
        let file: File<'_> = serde_json::from_slice(&text).map_err(parse)?;
        let fixed: StartupValues = serde_json::from_slice(&text).map_err(parse)?;
        let listen = resolve_address(file.listen, "LB_LISTEN", &env)?;
        let discovery = resolve_address(file.discovery, "LB_DISCOVERY", &env)?;
        let settings = |cause| ConfigError::Settings { path: path.clone(), cause };
        let raw = file.settings.get();
        let names: Names = serde_json::from_str(raw).map_err(settings)?;
        let mut settings = stepspur_simulator_protocol::parse_settings(raw.as_bytes()).map_err(settings)?;
        // The platform never pushes the endpoint list, even for sites where the simulator does.
        settings.poll_discovery = true;
        let value = |key, what: &str| ConfigError::Value { path: path.clone(), key, what: what.to_owned() };
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|_| value("seed", "is not hexadecimal"))?,
        };
        let conductor = conductor_config(listen, discovery, &names, &settings);
        let catalog = Catalog {
            zones: names.zones.into(),
            classes: names.request_classes.into_iter().map(|class| class.name).collect(),
            proxies: settings.proxy_count.min(u32::from(u16::MAX)),
            columns: settings.load_columns.iter().cloned().collect(),
        };
        let zones = catalog.zones.len();
        let connection_limits = ConnectionLimits::new(
            file.limits.sockets,
            conductor.probes.concurrency,
            settings.proxy_count,
            zones,
        );
        let connection_limits = connection_limits
            .ok_or_else(|| value("limits.sockets", "leaves no file descriptor for connections"))?;
        let name = file.name.or_else(|| env("LB_NAME")).ok_or(ConfigError::Missing("LB_NAME"))?;
        let (known_endpoints, discovery) = (file.known, discovery);
        Ok(Self {
            path,
            fixed,
            name,
            discovery,
            seed,
            known_endpoints,
            conductor,
            settings,
            catalog,
            connection_limits,
        })
    }

    /// Reads the file again and compares it with the values at start. `seed` and `known` apply only at start
    /// and are not compared.
    ///
    /// # Errors
    /// [`ConfigError`], also if the file is read while it is being written.
    pub fn reload(&self, env: impl Fn(&str) -> Option<String>) -> Result<Reloaded, ConfigError> {
        let text = read(&self.path)?;
        let parse = |cause| ConfigError::Parse { path: self.path.clone(), cause };
        let reloaded: ReloadedValues = serde_json::from_slice(&text).map_err(parse)?;
        let fixed: StartupValues = serde_json::from_slice(&text).map_err(parse)?;
        let discovery = resolve_address(reloaded.discovery, "LB_DISCOVERY", &env)?;
        let mut restart_required = Vec::new();
        let pairs = [
            ("name", &self.fixed.name, &fixed.name),
            ("listen", &self.fixed.listen, &fixed.listen),
            ("limits", &self.fixed.limits, &fixed.limits),
            ("settings", &self.fixed.settings, &fixed.settings),
        ];
        pairs.into_iter().for_each(|(path, old, new)| changed_paths(path, old, new, &mut restart_required));
        Ok(Reloaded { discovery, restart_required })
    }
}

/// Returns the address of the file, or else the one in the environment variable `key`.
fn resolve_address(
    file: Option<SocketAddr>,
    key: &'static str,
    env: &impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    if let Some(address) = file {
        return Ok(address);
    }
    let text = env(key).ok_or(ConfigError::Missing(key))?;
    let invalid = |_| ConfigError::Value {
        path: "the environment".into(),
        key,
        what: format!("`{text}` is not an IP address with a port"),
    };
    text.parse().map_err(invalid)
}

/// Collects the paths of the innermost values that differ.
fn changed_paths(path: &str, old: &Value, new: &Value, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let value = |of: &serde_json::Map<String, Value>| of.get(key).cloned().unwrap_or_default();
                changed_paths(&format!("{path}.{key}"), &value(old), &value(new), found);
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (k, (old, new)) in old.iter().zip(new).enumerate() {
                changed_paths(&format!("{path}[{k}]"), old, new, found);
            }
        }
        _ if old != new => found.push(path.to_owned()),
        _ => {}
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|cause| ConfigError::Read { path: path.to_owned(), cause })
}

/// Largest number of concurrent probes. Each holds a file descriptor until its server responds or it times
/// out.
const MAX_CONCURRENT_PROBES: usize = 16;

/// Configuration of the conductor's tasks. The conductor's own limits (line rate, mass-removal guard, grace
/// times) are off because the decision module applies the platform's limits, and a late acknowledgement ends
/// no stream.
fn conductor_config(listen: SocketAddr, discovery: SocketAddr, names: &Names, settings: &Settings) -> Config {
    let classes = names.request_classes.iter().zip(&settings.classes).map(|(named, class)| ClassConfig {
        name: named.name.clone(),
        // Only the name matters here: the decision module reads classes from the platform's settings.
        effect: IdempotencyConfig::NonIdempotent,
        aim: Duration::from_micros(class.latency_objective),
        deadline: Duration::from_micros(class.deadline),
        worth: class.priority_weight,
        group: Default::default(),
        window: Duration::ZERO,
        own_zone: class.zone_local,
    });
    let fleet = Fleet {
        zones: names.zones.clone(),
        my_zone: names.zones.get(usize::from(settings.local_zone.0)).cloned(),
        conductors: settings.conductor_count,
        proxies: settings.proxy_count,
        classes: classes.collect(),
        admit: match settings.admission_mode {
            AdmissionMode::Ratio => stepspur_conductor::config::AdmissionModeConfig::Share,
            AdmissionMode::RequestsPerSecond => stepspur_conductor::config::AdmissionModeConfig::Rate,
            AdmissionMode::Ignored => stepspur_conductor::config::AdmissionModeConfig::Silent,
        },
        connections_min: 0,
        cold: Duration::from_micros(settings.warm_up),
        start_capacity: settings.initial_capacity_ratio,
        fall_multiple: settings.collapse_ratio,
        drain_grace: Duration::ZERO,
        unserved_max: Duration::ZERO,
        drain_binds_alone: settings.absence_is_advisory,
    };
    let path = if settings.load_columns.is_empty() { "/health" } else { "/status/load" };
    let doubt = MassRemovalGuard { loss_max: 1.0, confirm_after: Duration::ZERO, empty_allowed: true };
    Config {
        fleet,
        listen: Listen { address: listen, ..Listen::default() },
        channel: Channel {
            lines_per_s: f64::INFINITY,
            message_head: settings.message_overhead_lines,
            waiting_max: settings.max_pending_lines,
            messages_max: settings.max_messages_per_window,
            message_window: Duration::from_micros(settings.message_window),
            mark_timeout: Duration::MAX,
            ..Channel::default()
        },
        reports: Reports { load_columns: settings.load_columns.clone(), ..Reports::default() },
        probes: Probes {
            enabled: settings.active_health_checks,
            path: path.to_owned(),
            concurrency: MAX_CONCURRENT_PROBES,
            ..Probes::default()
        },
        source: Source::Http {
            address: discovery,
            path: crate::discovery::ENDPOINTS_PATH.to_owned(),
            poll: Duration::ZERO,
            timeout: Duration::ZERO,
            doubt,
        },
        status: Default::default(),
        identity: None,
        // Conductors on the platform share no state.
        council: None,
        distribution: None,
        tenants: Default::default(),
    }
}
