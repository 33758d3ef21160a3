//! What a conductor is told at its start, and again at each SIGHUP.

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
    Channel, ClassConfig, EffectConfig, Fleet, Listen, MassRemovalGuard, Probes, Reports, Source,
};

use crate::connections::Budget;
use crate::discovery::Answer;
use crate::message::Catalog;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Neither the environment nor the file says it.
    #[error("`{0}` is told neither by the environment nor by the configuration")]
    Missing(&'static str),
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// Its path.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// The file is no configuration.
    #[error("{path}: {cause}")]
    Parse {
        /// Its path.
        path: PathBuf,
        /// What is wrong and where.
        cause: serde_json::Error,
    },
    /// The settings are not what the conductor needs.
    #[error("{path}: settings: {cause}")]
    Settings {
        /// The file's path.
        path: PathBuf,
        /// What is wrong and where.
        cause: serde_json::Error,
    },
    /// A value that cannot be.
    #[error("{path}: `{key}`: {what}")]
    Value {
        /// The file's path.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// What is wrong.
        what: String,
    },
}

/// All that a conductor is told.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The file.
    path: PathBuf,
    /// What of the file cannot change while a conductor runs.
    fixed: Fixed,
    /// Its name, the same after a restart.
    pub name: String,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The list as last had.
    pub known: Answer,
    /// What the conductor's tasks go by.
    pub conductor: Config,
    /// What the decisions go by.
    pub settings: Settings,
    /// The names that messages may use.
    pub catalog: Catalog,
    /// Descriptors.
    pub budget: Budget,
}

#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Answer,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

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

/// Values of the file that only a start takes in.
#[derive(Clone, Debug, Deserialize, PartialEq)]
struct Fixed {
    #[serde(default)]
    name: Value,
    #[serde(default)]
    listen: Value,
    limits: Value,
    settings: Value,
}

#[derive(Deserialize)]
struct Discovery {
    discovery: Option<SocketAddr>,
}

/// What the file says to a conductor that runs already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reloaded {
    /// Where discovery answers now.
    pub discovery: SocketAddr,
    /// Values that differ and would need a start, by their place; what they were stays in force.
    pub refused: Vec<String>,
}

impl PlatformConfig {
    /// Reads the file that `LB_CONFIG` names; what it lacks is taken from the environment.
    ///
    /// # Errors
    /// [`ConfigError`] names the place.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = PathBuf::from(env("LB_CONFIG").ok_or(ConfigError::Missing("LB_CONFIG"))?);
        let text = read(&path)?;
        let parse = |cause| ConfigError::Parse { path: path.clone(), cause };
        let file: File<'_> = serde_json::from_slice(&text).map_err(parse)?;
        let fixed: Fixed = serde_json::from_slice(&text).map_err(parse)?;
        let listen = address(file.listen, "LB_LISTEN", &env)?;
        let discovery = address(file.discovery, "LB_DISCOVERY", &env)?;
        let settings = |cause| ConfigError::Settings { path: path.clone(), cause };
        let raw = file.settings.get();
        let names: Names = serde_json::from_str(raw).map_err(settings)?;
        let mut settings = stepspur_simulator_protocol::parse_settings(raw.as_bytes()).map_err(settings)?;
        // On sockets no list comes unasked, whatever the simulator does at this site.
        settings.poll_discovery = true;
        let value = |key, what: &str| ConfigError::Value { path: path.clone(), key, what: what.to_owned() };
        let seed = match file.seed.as_str() {
            "" => 0,
            seed => u64::from_str_radix(seed, 16).map_err(|_| value("seed", "is no hexadecimal number"))?,
        };
        let conductor = conductor(listen, discovery, &names, &settings);
        let catalog = Catalog {
            zones: names.zones.into(),
            classes: names.request_classes.into_iter().map(|class| class.name).collect(),
            proxies: settings.proxy_count.min(u32::from(u16::MAX)),
            columns: settings.load_columns.iter().cloned().collect(),
        };
        let zones = catalog.zones.len();
        let budget =
            Budget::of(file.limits.sockets, conductor.probes.concurrency, settings.proxy_count, zones);
        let budget = budget.ok_or_else(|| value("limits.sockets", "leaves no descriptor for connections"))?;
        let name = file.name.or_else(|| env("LB_NAME")).ok_or(ConfigError::Missing("LB_NAME"))?;
        let (known, discovery) = (file.known, discovery);
        Ok(Self { path, fixed, name, discovery, seed, known, conductor, settings, catalog, budget })
    }

    /// What the file says now. Its `seed` and `known` are for starts, and may differ.
    ///
    /// # Errors
    /// [`ConfigError`], also while the file is half written.
    pub fn reload(&self, env: impl Fn(&str) -> Option<String>) -> Result<Reloaded, ConfigError> {
        let text = read(&self.path)?;
        let parse = |cause| ConfigError::Parse { path: self.path.clone(), cause };
        let now: Discovery = serde_json::from_slice(&text).map_err(parse)?;
        let fixed: Fixed = serde_json::from_slice(&text).map_err(parse)?;
        let discovery = address(now.discovery, "LB_DISCOVERY", &env)?;
        let mut refused = Vec::new();
        let pairs = [
            ("name", &self.fixed.name, &fixed.name),
            ("listen", &self.fixed.listen, &fixed.listen),
            ("limits", &self.fixed.limits, &fixed.limits),
            ("settings", &self.fixed.settings, &fixed.settings),
        ];
        pairs.into_iter().for_each(|(place, old, new)| differences(place, old, new, &mut refused));
        Ok(Reloaded { discovery, refused })
    }
}

/// An address of the file, or else of the environment.
fn address(
    file: Option<SocketAddr>,
    key: &'static str,
    env: &impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    if let Some(address) = file {
        return Ok(address);
    }
    let text = env(key).ok_or(ConfigError::Missing(key))?;
    let wrong = |_| ConfigError::Value {
        path: "the environment".into(),
        key,
        what: format!("`{text}` is no address with a port"),
    };
    text.parse().map_err(wrong)
}

/// The places at which two values differ, the innermost ones.
fn differences(place: &str, old: &Value, new: &Value, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let value = |of: &serde_json::Map<String, Value>| of.get(key).cloned().unwrap_or_default();
                differences(&format!("{place}.{key}"), &value(old), &value(new), found);
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (k, (old, new)) in old.iter().zip(new).enumerate() {
                differences(&format!("{place}[{k}]"), old, new, found);
            }
        }
        _ if old != new => found.push(place.to_owned()),
        _ => {}
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|cause| ConfigError::Read { path: path.to_owned(), cause })
}

/// Probes under way at once: each costs a descriptor for as long as its server says nothing.
const PROBES: usize = 16;

/// The conductor's own settings where the platform sets its limits: no pace, no intake, no doubt of its own, as the
/// decisions reckon with those of the platform alone, and no stream ended for a mark that comes late.
fn conductor(listen: SocketAddr, discovery: SocketAddr, names: &Names, settings: &Settings) -> Config {
    let classes = names.request_classes.iter().zip(&settings.classes).map(|(named, class)| ClassConfig {
        name: named.name.clone(),
        // The decisions are told the whole class by the platform's own settings; here its name counts.
        effect: EffectConfig::NonIdempotent,
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
            AdmissionMode::Ratio => stepspur_conductor::config::AdmitConfig::Share,
            AdmissionMode::RequestsPerSecond => stepspur_conductor::config::AdmitConfig::Rate,
            AdmissionMode::Ignored => stepspur_conductor::config::AdmitConfig::Silent,
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
            messages_max: settings.max_messages,
            message_window: Duration::from_micros(settings.message_window),
            mark_timeout: Duration::MAX,
            ..Channel::default()
        },
        reports: Reports { load_columns: settings.load_columns.clone(), ..Reports::default() },
        probes: Probes {
            enabled: settings.health_checks,
            path: path.to_owned(),
            concurrency: PROBES,
            ..Probes::default()
        },
        source: Source::Http {
            address: discovery,
            path: crate::discovery::PATH.to_owned(),
            poll: Duration::ZERO,
            timeout: Duration::ZERO,
            doubt,
        },
        status: Default::default(),
        identity: None,
        // Conductors share nothing here.
        council: None,
        distribution: None,
        tenants: Default::default(),
    }
}
