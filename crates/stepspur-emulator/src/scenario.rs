//! Scenario files: the description of a rehearsal in TOML. `rehearsals/` holds examples.
//!
//! Doc comments of types with `JsonSchema` are published as descriptions in
//! `rehearsals/scenario.schema.json`.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};
use stepspur_conductor::Config;
use stepspur_conductor::config::{
    AdmissionModeConfig, ClassConfig, DedupScopeConfig, Fleet, IdempotencyConfig, Source,
};
use stepspur_model::work::Form;
use stepspur_model::{proxy, server};
use stepspur_proto::v1;

use crate::faults::{Draw, Fault};
use crate::plan::{ClassPlan, Clients, Plan, ProxyPlan, Rules, ScheduledFault, ServerPlan};

/// The scenario that `stepspur rehearse` runs if none is given.
pub const BAD_DAY: &str = include_str!("../../../rehearsals/bad-day.toml");

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        cause: std::io::Error,
    },
    /// The text is not a valid scenario; the message names the line.
    #[error("{path}: {cause}")]
    Parse {
        /// Path of the file.
        path: String,
        /// Error with its line.
        cause: Box<toml::de::Error>,
    },
    /// Values are out of bounds or inconsistent.
    #[error("{path}: {}", .faults.join("; "))]
    Faults {
        /// Path of the file.
        path: String,
        /// All invalid values, each with its key.
        faults: Vec<String>,
    },
}

/// A rehearsal: fleet, traffic, faults and expectations. Durations are texts such as `1500ms` unless a key
/// says otherwise; times count from the start of the traffic.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, for reports.
    pub name: String,
    /// Summary of the scenario, for readers. Default: empty.
    #[serde(default)]
    pub about: String,
    /// The paragraph of docs/on-call.md that the scenario trains, given by its first words, which are bold
    /// there. Default: none.
    #[serde(default)]
    pub trains: String,
    /// Seed of all random choices; default 1.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Time during which clients send requests; at most 1 h.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub length: Duration,
    /// Mean requests per second of all clients, client retries not counted; above 0, at most 100000.
    pub rate: f64,
    /// Profile of the rate, as pairs in ascending order of time: from the time in seconds on, `rate` is
    /// multiplied by the factor, until the next pair. Default: factor 1 throughout.
    #[serde(default)]
    pub shape: Vec<(f64, f64)>,
    /// Zones, 1 to 100; servers and proxies are assigned to them round robin.
    pub zones: Vec<Zone>,
    /// Number of servers that run from the start; 1 to 20000.
    pub servers: u32,
    /// Number of cells (racks, partitions) in each zone; its servers are assigned to them round robin. 1 to
    /// 1000, default 1.
    #[serde(default = "default_cells")]
    pub cells: usize,
    /// Kinds of servers; at least one, with a share above 0.
    pub kinds: Vec<Kind>,
    /// Number of proxies; 1 to 50000.
    pub proxies: u32,
    /// Number of conductors, independent processes without shared state; proxies are assigned to them round
    /// robin. 1 to 9, default 1.
    #[serde(default = "default_conductors")]
    pub conductors: u32,
    /// Settings of all proxies.
    #[serde(default)]
    pub proxy: ProxyMake,
    /// Request classes; at least one, with a share above 0.
    pub classes: Vec<Class>,
    /// Behaviour of all clients: retries, timeouts and keys.
    #[serde(default)]
    pub clients: Clients,
    /// Delay after which the node list shows a change; default 800 ms.
    #[serde(default = "default_list_delay", with = "humantime_serde")]
    #[schemars(with = "String")]
    pub list_delay: Duration,
    /// Limits of the five rules that every rehearsal checks, and the overload limit of cold servers.
    #[serde(default)]
    pub rules: Rules,
    /// Settings of the conductors, in the format of their own file. They replace, key by key, those derived
    /// from the scenario. Default: none.
    #[serde(default)]
    #[schemars(with = "serde_json::Map<String, serde_json::Value>")]
    pub conductor: toml::Table,
    /// Faults, each with its own start and duration.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Faults drawn at random from the seed, in addition to those of `fault`.
    #[serde(default, rename = "draw")]
    pub draws: Vec<Draw>,
    /// Named time spans that expectations refer to.
    #[serde(default, rename = "phase")]
    pub phases: Vec<Phase>,
    /// Expectations that the run must meet, in addition to the five rules.
    #[serde(default, rename = "expect")]
    pub expectations: Vec<Expect>,
}

/// A named time span; a request belongs to a phase if the client first sends it within the span.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name of the phase, for the `phase` of expectations.
    pub name: String,
    /// Start of the span, inclusive, since the start of the traffic.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub from: Duration,
    /// End of the span, exclusive, since the start of the traffic; after `from`.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub until: Duration,
}

/// Bounds on the results of requests; at least one bound is required. Shares, from 0 to 1, are of all
/// requests of the class that belong to the phase. A bound that is not set is not checked.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Class whose requests count; default: all classes.
    pub class: Option<String>,
    /// Phase whose requests count; default: the whole run.
    pub phase: Option<String>,
    /// Minimum share of requests answered within the `aim` of their class.
    pub in_time_at_least: Option<f64>,
    /// Maximum share of requests answered later than the `aim` of their class.
    pub late_at_most: Option<f64>,
    /// Maximum share of requests that are refused after all client retries.
    pub refused_at_most: Option<f64>,
    /// Maximum share of requests that fail, time out or are refused.
    pub lost_at_most: Option<f64>,
    /// Maximum of the 99th percentile of the response times of answered requests.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub p99_at_most: Option<Duration>,
    /// Maximum number of collapses of servers from overload while cold, over the whole run; `class` and
    /// `phase` do not apply.
    pub fallen_at_most: Option<u32>,
    /// Maximum time that any proxy may be without a conductor, from its first connection to one until the
    /// last request is sent; `class` and `phase` do not apply.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub away_at_most: Option<Duration>,
}

/// A zone with its servers and proxies.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Share of the traffic that enters through the proxies of the zone, relative to the other zones; default
    /// 1.
    #[serde(default = "default_weight")]
    pub share: f64,
}

/// A kind of servers, with the same parameters except that the speed of each varies by up to 10%.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind, for the `of_kind` of faults.
    pub name: String,
    /// Share of the servers that are of this kind, relative to the other kinds; default 1.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// Weight of each server in the node list; default 1.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Maximum number of connections of each server; replaces `server.connections`. Default 200.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Parameters of the server model.
    #[serde(default)]
    pub server: server::Spec,
}

/// Settings of all proxies.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyMake {
    /// Load balancing algorithm; default `wheel`.
    pub pick: proxy::Pick,
    /// Number of consecutive failed attempts of a proxy at a server after which it avoids the server; 0:
    /// never. Default 5.
    pub avoid_after: u32,
    /// How long a proxy avoids a server; default 3 s.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub avoid_for: Duration,
    /// Maximum number of servers in the standing table, which a proxy uses until its first order; default 10.
    pub standing: usize,
    /// Wait before a proxy connects again after its stream to a conductor breaks; it doubles with each failed
    /// pass over all conductors, up to eight times this value. Default 300 ms.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub redial: Duration,
}

impl Default for ProxyMake {
    fn default() -> Self {
        Self {
            pick: proxy::Pick::Wheel,
            avoid_after: 5,
            avoid_for: Duration::from_secs(3),
            standing: 10,
            redial: Duration::from_millis(300),
        }
    }
}

/// A class of requests with the same work, latency target and retry rules.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Share of the requests that are of this class, relative to the other classes; default 1.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// Mean work of a request, as time on a core of speed 1; above 0.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub work: Duration,
    /// Distribution of the work around its mean; default `log_normal`.
    #[serde(default)]
    pub form: Form,
    /// Coefficient of variation (standard deviation over mean) of the work; above 0, at most 20, default 0.5.
    /// Forms `constant` and `exponential` ignore it.
    #[serde(default = "default_cv")]
    pub cv: f64,
    /// Latency target: an answer within this time counts with the full `worth`; 1 ms to 1 h.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub aim: Duration,
    /// How long a client waits for an answer, including its retries; `aim` to 1 h.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub deadline: Duration,
    /// Priority weight: value of an answer within the latency target, relative to other classes; 0 to
    /// 1000000, default 1.
    #[serde(default = "default_weight")]
    pub worth: f64,
    /// Share of `worth` that an answer after the latency target counts with, from 0 to 1; default 0.
    #[serde(default)]
    pub late_worth: f64,
    /// Effect of running a request twice: harmless (`read_like`), prevented by servers that deduplicate by
    /// key (`idempotency_key`), or harmful (`non_idempotent`).
    #[schemars(schema_with = "effects")]
    pub effect: IdempotencyConfig,
    /// For `idempotency_key`: the servers that share the record of keys and so drop repeats, all of them or
    /// those of one zone or cell; default `all`.
    #[serde(default)]
    #[schemars(schema_with = "groups")]
    pub group: DedupScopeConfig,
    /// For `idempotency_key`: how long repeats of a request are dropped; at most 1 h, default 0.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "String")]
    pub window: Duration,
}

fn effects(_: &mut SchemaGenerator) -> Schema {
    json_schema!({ "enum": ["read_like", "idempotency_key", "non_idempotent"] })
}

fn groups(_: &mut SchemaGenerator) -> Schema {
    json_schema!({ "enum": ["all", "zone", "cell"] })
}

/// The JSON schema of scenario files, for editors and other programs.
pub fn schema() -> Schema {
    schemars::schema_for!(Scenario)
}

fn default_seed() -> u64 {
    1
}
fn default_conductors() -> u32 {
    1
}
fn default_cells() -> usize {
    1
}
/// Default of shares, weights and worth.
fn default_weight() -> f64 {
    1.0
}
fn default_cv() -> f64 {
    0.5
}
/// Default of the connection limit of a server.
fn default_connections() -> usize {
    200
}
fn default_list_delay() -> Duration {
    Duration::from_millis(800)
}

impl Expect {
    /// The bounds that are set: the measurement and its limit (a share, a count, or seconds).
    pub fn bounds(&self) -> Vec<(Bound, f64)> {
        let p99 = self.p99_at_most.map(|p99| p99.as_secs_f64());
        let all = [
            (Bound::InTime, self.in_time_at_least),
            (Bound::Late, self.late_at_most),
            (Bound::Refused, self.refused_at_most),
            (Bound::Lost, self.lost_at_most),
            (Bound::P99, p99),
            (Bound::Fallen, self.fallen_at_most.map(f64::from)),
            (Bound::Away, self.away_at_most.map(|away| away.as_secs_f64())),
        ];
        all.into_iter().filter_map(|(bound, value)| Some((bound, value?))).collect()
    }
}

/// A measurement that an expectation bounds. All are upper bounds but [`Bound::InTime`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The share answered within the latency target; a lower bound.
    InTime,
    /// The share answered after the latency target.
    Late,
    /// The share refused after all client retries.
    Refused,
    /// The share refused, failed or timed out.
    Lost,
    /// The 99th percentile of response times, in seconds.
    P99,
    /// Number of times that a server failed from overload while cold.
    Fallen,
    /// The longest time that a proxy was without a conductor after its first connection, in seconds.
    Away,
}

impl Scenario {
    /// Parses a scenario; `path` is used in errors only.
    ///
    /// # Errors
    /// [`ScenarioError::Parse`], which names the line.
    pub fn parse(path: &str, text: &str) -> Result<Self, ScenarioError> {
        let failed = |cause| ScenarioError::Parse { path: path.to_owned(), cause: Box::new(cause) };
        toml::from_str(text).map_err(failed)
    }

    /// Reads a scenario file.
    ///
    /// # Errors
    /// See [`ScenarioError`].
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| ScenarioError::Read { path: name.clone(), cause })?;
        Self::parse(&name, &text)
    }

    /// Builds the plan of the scenario; the same seed gives the same plan. `path` is used in errors only.
    ///
    /// # Errors
    /// [`ScenarioError::Faults`] with all invalid values.
    pub fn plan(&self, path: &str) -> Result<Plan, ScenarioError> {
        let faults = self.check();
        let failed = |faults| ScenarioError::Faults { path: path.to_owned(), faults };
        if !faults.is_empty() {
            return Err(failed(faults));
        }
        let config = self.config().map_err(|fault| failed(vec![fault]))?;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut servers: Vec<ServerPlan> =
            (0..self.servers as usize).map(|k| self.server(k, true, &mut rng)).collect();
        let mut scheduled_faults = Vec::new();
        let drawn: Vec<Fault> = self.draws.iter().enumerate().flat_map(|(k, d)| d.faults(k, self)).collect();
        for fault in self.faults.iter().chain(&drawn) {
            let trouble = self.resolve_fault(fault, &mut servers, &mut rng);
            let name = format!("{} at {:.1} s", fault.kind.word(), fault.at.as_secs_f64());
            scheduled_faults.push(ScheduledFault { name, at: fault.at, duration: fault.lasts, trouble });
        }
        let proxy = |k: usize| ProxyPlan { zone: k % self.zones.len(), weight: 1.0 };
        Ok(Plan {
            name: self.name.clone(),
            seed: self.seed,
            length: self.length,
            zones: self.zones.iter().map(|z| (z.name.clone(), z.share)).collect(),
            servers,
            proxies: (0..self.proxies as usize).map(proxy).collect(),
            proxy: proxy::Spec {
                pick: self.proxy.pick,
                avoid_after: self.proxy.avoid_after,
                avoid_for: self.proxy.avoid_for.as_micros() as u64,
                classes: self.classes.len(),
                default_retry_policy: v1::Resend::Never,
            },
            standing: self.proxy.standing,
            redial: self.proxy.redial,
            classes: self.classes.iter().map(class_plan).collect(),
            rate: self.rate,
            shape: self.shape.clone(),
            clients: self.clients.clone(),
            list_delay: self.list_delay,
            conductor_zone: 0,
            conductors: self.conductors as usize,
            rules: self.rules.clone(),
            config,
            faults: scheduled_faults,
            phases: self.phases.iter().map(|p| (p.name.clone(), p.from..p.until)).collect(),
            expectations: self.expectations.clone(),
            trains: self.trains.clone(),
            identity: false,
        })
    }

    /// Checks all values; returns a message for each invalid one.
    fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |holds: bool, what: String| {
            if !holds {
                faults.push(what);
            }
        };
        require(self.length <= Duration::from_secs(3600), "length: must be at most an hour".into());
        require(self.rate > 0.0 && self.rate <= 1e5, "rate: must be above 0 and at most 100000".into());
        require((1..=20_000).contains(&self.servers), "servers: must be 1 to 20000".into());
        require((1..=50_000).contains(&self.proxies), "proxies: must be 1 to 50000".into());
        require(!self.zones.is_empty() && self.zones.len() <= 100, "zones: must be 1 to 100".into());
        require(!self.kinds.is_empty(), "kinds: at least one is required".into());
        require(
            self.kinds.iter().any(|k| k.share > 0.0),
            "kinds: at least one must have a share above 0".into(),
        );
        require(!self.classes.is_empty(), "classes: at least one is required".into());
        require(
            self.classes.iter().any(|c| c.share > 0.0),
            "classes: at least one must have a share above 0".into(),
        );
        require((1..=9).contains(&self.conductors), "conductors: must be 1 to 9".into());
        require((1..=1000).contains(&self.cells), "cells: must be 1 to 1000".into());
        for class in &self.classes {
            let name = &class.name;
            require(class.work > Duration::ZERO, format!("class `{name}`: `work` must be above 0"));
            let spread = class.cv > 0.0 && class.cv <= 20.0;
            require(
                spread || class.form == Form::Constant,
                format!("class `{name}`: `cv` must be above 0 and at most 20"),
            );
        }
        for (k, fault) in self.faults.iter().enumerate() {
            fault.check(&format!("fault[{k}] ({})", fault.kind.word()), self, &mut require);
        }
        for (k, draw) in self.draws.iter().enumerate() {
            draw.check(&format!("draw[{k}]"), &mut require);
        }
        for phase in &self.phases {
            require(
                phase.from < phase.until,
                format!("phase `{}`: `from` must be before `until`", phase.name),
            );
        }
        for (k, expect) in self.expectations.iter().enumerate() {
            let known = expect.class.as_ref().is_none_or(|c| self.classes.iter().any(|o| o.name == *c));
            require(known, format!("expect[{k}]: `class` names no class of the scenario"));
            let known = expect.phase.as_ref().is_none_or(|p| self.phases.iter().any(|o| o.name == *p));
            require(known, format!("expect[{k}]: `phase` names no phase of the scenario"));
            require(!expect.bounds().is_empty(), format!("expect[{k}]: at least one bound is required"));
            let shares =
                [expect.in_time_at_least, expect.late_at_most, expect.refused_at_most, expect.lost_at_most];
            let parts = shares.into_iter().flatten().all(|part| (0.0..=1.0).contains(&part));
            require(parts, format!("expect[{k}]: shares must be between 0 and 1"));
        }
        faults
    }

    /// Builds the server with this index; `up` says whether it runs from the start.
    pub(crate) fn server(&self, index: usize, up: bool, rng: &mut ChaCha8Rng) -> ServerPlan {
        // Kinds follow a low-discrepancy sequence (golden ratio) instead of random draws, so that a small
        // fleet has all kinds in proportion to their shares.
        let all: f64 = self.kinds.iter().map(|k| k.share).sum();
        let mut at = (index as f64 * 0.618_034).fract() * all;
        let found = self.kinds.iter().position(|k| {
            at -= k.share;
            at < 0.0
        });
        let kind_index = found.unwrap_or(0);
        let kind = &self.kinds[kind_index];
        let mut spec = kind.server.clone();
        spec.speed *= rng.random_range(0.9..1.1);
        spec.fall_multiple = self.rules.fall_multiple;
        spec.fall_span = self.rules.fall_span.as_micros() as u64;
        spec.connections = kind.connections;
        let zone = index % self.zones.len();
        let cell = index / self.zones.len() % self.cells;
        ServerPlan { zone, weight: kind.weight, spec, cell, kind: kind_index, up }
    }

    /// Index of a zone by name; `None` without a name or with an unknown one.
    pub(crate) fn zone(&self, name: &Option<String>) -> Option<usize> {
        name.as_ref().and_then(|name| self.zones.iter().position(|z| z.name == *name))
    }

    /// The conductor's settings: derived from the scenario, with those of its `conductor` table on top.
    fn config(&self) -> Result<Config, String> {
        let min_connections = self.kinds.iter().map(|k| k.connections).min().unwrap_or(0);
        let class = |c: &Class| ClassConfig {
            name: c.name.clone(),
            effect: c.effect,
            aim: c.aim,
            deadline: c.deadline,
            worth: c.worth,
            group: c.group,
            window: c.window,
            own_zone: false,
        };
        let fleet = Fleet {
            zones: self.zones.iter().map(|z| z.name.clone()).collect(),
            my_zone: None,
            conductors: 1,
            proxies: self.proxies,
            classes: self.classes.iter().map(class).collect(),
            admit: AdmissionModeConfig::Share,
            connections_min: min_connections as u32,
            cold: self.rules.cold,
            start_capacity: self.rules.start_capacity,
            fall_multiple: self.rules.fall_multiple,
            drain_grace: self.rules.drain_grace,
            unserved_max: self.rules.unserved_max,
            drain_binds_alone: self.rules.drain_binds_alone,
        };
        conductor_config(fleet, &self.conductor)
    }
}

fn class_plan(class: &Class) -> ClassPlan {
    ClassPlan {
        name: class.name.clone(),
        share: class.share,
        work: class.work.as_micros() as f64,
        form: class.form,
        cv: class.cv,
        aim: class.aim,
        deadline: class.deadline,
        worth: class.worth,
        late_worth: class.late_worth,
        effect: class.effect,
        group: class.group,
        window: class.window,
    }
}

/// Builds a conductor's settings from the fleet and the defaults; values in `overrides` replace them key by
/// key.
///
/// # Errors
/// A message with the key of the first invalid setting.
pub(crate) fn conductor_config(fleet: Fleet, overrides: &toml::Table) -> Result<Config, String> {
    let source = Source::Http {
        address: ([127, 0, 0, 1], 1).into(),
        path: "/v1/nodes".into(),
        poll: Duration::from_secs(5),
        timeout: Duration::from_secs(1),
        doubt: Default::default(),
    };
    let base = BTreeMap::from([
        ("fleet", toml::Value::try_from(fleet).map_err(|e| e.to_string())?),
        ("source", toml::Value::try_from(source).map_err(|e| e.to_string())?),
        ("listen", toml::Value::Table(toml::toml! { plain_on_loopback = true })),
    ]);
    let mut table: toml::Table = base.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
    merge_tables(&mut table, overrides);
    let config: Config =
        table.try_into().map_err(|e: toml::de::Error| format!("conductor: {}", e.message()))?;
    let faults = config.invalid_settings();
    match faults.first() {
        Some(fault) => Err(format!("conductor.{}: {}", fault.key, fault.what)),
        None => Ok(config),
    }
}

/// Merges `overrides` into `table`: subtables are merged recursively, other values replaced.
fn merge_tables(table: &mut toml::Table, overrides: &toml::Table) {
    for (key, value) in overrides {
        match (table.get_mut(key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(override_table)) => {
                merge_tables(base, override_table)
            }
            _ => _ = table.insert(key.clone(), value.clone()),
        }
    }
}
