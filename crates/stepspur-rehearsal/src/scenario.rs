//! Scenario files: a day in TOML that a person can read and change. `rehearsals/` holds examples.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use stepspur_conductor::Config;
use stepspur_conductor::config::{AdmitConfig, ClassConfig, EffectConfig, Fleet, GroupConfig, Source};
use stepspur_model::{proxy, server};
use stepspur_proto::v1;

use crate::plan::{ClassPlan, Clients, Lie, Plan, ProxyPlan, Rules, ServerPlan, Step, Strike, Trouble};

/// The day that `stepspur rehearse` plays when none is named.
pub const BAD_DAY: &str = include_str!("../../../rehearsals/bad-day.toml");

/// What is wrong with a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// Its path.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// It is no scenario; the text names the line.
    #[error("{path}: {cause}")]
    Parse {
        /// Its path.
        path: String,
        /// Why, with the line.
        cause: Box<toml::de::Error>,
    },
    /// Values that make no day, each with its key.
    #[error("{path}: {}", .faults.join("; "))]
    Faults {
        /// Its path.
        path: String,
        /// All that is wrong.
        faults: Vec<String>,
    },
}

/// A day in a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is about, for people.
    #[serde(default)]
    pub about: String,
    /// Of all chance.
    #[serde(default = "one")]
    pub seed: u64,
    /// Time in which requests come.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Requests a second, without clients' repeats.
    pub rate: f64,
    /// Factors of the rate from a second on.
    #[serde(default)]
    pub shape: Vec<(f64, f64)>,
    /// Zones; servers and proxies are dealt to them in turn.
    pub zones: Vec<Zone>,
    /// Servers at the begin.
    pub servers: u32,
    /// Kinds of servers.
    pub kinds: Vec<Kind>,
    /// Proxies.
    pub proxies: u32,
    /// How proxies behave.
    #[serde(default)]
    pub proxy: ProxyMake,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Clients.
    #[serde(default)]
    pub clients: Clients,
    /// The node list tells changes so late.
    #[serde(default = "list_delay", with = "humantime_serde")]
    pub list_delay: Duration,
    /// The rules' figures.
    #[serde(default)]
    pub rules: Rules,
    /// Settings of the conductor beyond what follows from the above, as in its own file.
    #[serde(default)]
    pub conductor: toml::Table,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// A zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its part of the traffic, against others.
    #[serde(default = "whole")]
    pub share: f64,
}

/// A kind of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the servers, against others.
    #[serde(default = "whole")]
    pub share: f64,
    /// Its listed weight.
    #[serde(default = "whole")]
    pub weight: f64,
    /// Connections that it accepts.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Its make.
    #[serde(default)]
    pub server: server::Spec,
}

/// How proxies behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyMake {
    /// How they pick.
    pub pick: proxy::Pick,
    /// They avoid a server after so many own failures in a row; 0: never.
    pub avoid_after: u32,
    /// For so long.
    #[serde(with = "humantime_serde")]
    pub avoid_for: Duration,
    /// Servers in a standing table.
    pub standing: usize,
    /// Wait before a broken stream is dialled again.
    #[serde(with = "humantime_serde")]
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

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests, against others.
    #[serde(default = "whole")]
    pub share: f64,
    /// Mean work on a core of speed 1.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Its coefficient of variation.
    #[serde(default = "half")]
    pub cv: f64,
    /// An answer within this time earns the full worth.
    #[serde(with = "humantime_serde")]
    pub aim: Duration,
    /// How long a client waits in all.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Worth.
    #[serde(default = "whole")]
    pub worth: f64,
    /// Part of the worth of a late answer.
    #[serde(default)]
    pub late_worth: f64,
    /// What a repeat may do.
    pub effect: EffectConfig,
    /// For keyed classes: who drops repeats.
    #[serde(default)]
    pub group: GroupConfig,
    /// For keyed classes: for how long.
    #[serde(default, with = "humantime_serde")]
    pub window: Duration,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Traffic jumps: `times`.
    Burst,
    /// Part of the traffic moves to a zone: `zone`, `share`.
    Shift,
    /// Some requests of a class cost much more: `class`, `share`, `times`.
    HeavyTail,
    /// Servers are replaced by cold ones: `share` in all, `batch` at a time, each draining for `drain`.
    Release,
    /// Servers restart within a second, and come back cold at the end: `share`, `zone`.
    MassRestart,
    /// Cold servers join: `count` in all, `batch` at a time.
    Grow,
    /// Servers die, and come back cold at the end.
    Die,
    /// Servers go silent, and come back cold at the end.
    Vanish,
    /// Servers take requests and answer none.
    Hang,
    /// Servers fail a part of requests at once: `part`.
    FailFast,
    /// Servers stand still for `pause` every `every`.
    Pauses,
    /// Answers are lost: `part`.
    AnswersLost,
    /// Load reports are false: `times`.
    FalseReports,
    /// Servers accept fewer connections: `times`.
    FewConnections,
    /// New connections cost more: `times`, and take longer: `delay`.
    SlowHandshakes,
    /// The node list is out of reach.
    ListDown,
    /// The node list drops servers that live.
    WrongList,
    /// A zone is lost: `zone`, and with `proxies` its proxies' streams.
    ZoneLoss,
    /// A zone is cut off from the others: `zone`.
    ZoneCut,
    /// The link between `zone` and `to_zone` is slow: `delay`, and loses `part`.
    SlowLink,
    /// Orders reach proxies slower: `times`.
    ChannelSlow,
    /// Reports come later: `delay`.
    ReportsLate,
    /// Proxies reach no conductor: `share`.
    CutOff,
    /// Proxies read nothing: `share`.
    ProxyStalls,
    /// The conductor is killed outright, and started again at the end.
    ConductorKill,
}

/// A fault of a scenario. Which keys a kind takes, its description says; others are refused.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// From the day's begin.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// The part of servers, proxies or traffic that it strikes.
    pub share: Option<f64>,
    /// Only those of this zone.
    pub zone: Option<String>,
    /// The other end of a link.
    pub to_zone: Option<String>,
    /// A class.
    pub class: Option<String>,
    /// A factor.
    pub times: Option<f64>,
    /// The part of requests that it strikes.
    pub part: Option<f64>,
    /// Servers at a time.
    pub batch: Option<usize>,
    /// Servers in all.
    pub count: Option<usize>,
    /// How long a server drains.
    #[serde(default, with = "humantime_serde")]
    pub drain: Option<Duration>,
    /// From pause to pause.
    #[serde(default, with = "humantime_serde")]
    pub every: Option<Duration>,
    /// How long a pause is.
    #[serde(default, with = "humantime_serde")]
    pub pause: Option<Duration>,
    /// How much later.
    #[serde(default, with = "humantime_serde")]
    pub delay: Option<Duration>,
    /// Of a lost zone: its proxies, too.
    pub proxies: Option<bool>,
}

fn one() -> u64 {
    1
}
fn whole() -> f64 {
    1.0
}
fn half() -> f64 {
    0.5
}
fn connections() -> usize {
    200
}
fn list_delay() -> Duration {
    Duration::from_millis(800)
}

impl Scenario {
    /// Reads a scenario's text; `path` is for errors.
    ///
    /// # Errors
    /// [`ScenarioError::Parse`] with the line.
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

    /// The day as it is played; the same seed makes the same day.
    ///
    /// # Errors
    /// [`ScenarioError::Faults`] with all values that make no day.
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
        let mut strikes = Vec::new();
        for fault in &self.faults {
            let trouble = self.trouble(fault, &mut servers, &mut rng);
            let name = format!("{:?} at {:.0?}", fault.kind, fault.at);
            strikes.push(Strike { name, at: fault.at, lasts: fault.lasts, trouble });
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
                usual_resend: v1::Resend::Never,
            },
            standing: self.proxy.standing,
            redial: self.proxy.redial,
            classes: self.classes.iter().map(class_plan).collect(),
            rate: self.rate,
            shape: self.shape.clone(),
            clients: self.clients.clone(),
            list_delay: self.list_delay,
            conductor_zone: 0,
            rules: self.rules.clone(),
            config,
            strikes,
            identity: false,
        })
    }

    /// All values that make no day.
    fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut need = |holds: bool, what: String| {
            if !holds {
                faults.push(what);
            }
        };
        need(self.length <= Duration::from_secs(3600), "length: an hour at most".into());
        need(self.rate > 0.0 && self.rate <= 1e5, "rate: above 0, 100000 at most".into());
        need((1..=5000).contains(&self.servers), "servers: 1 to 5000".into());
        need((1..=5000).contains(&self.proxies), "proxies: 1 to 5000".into());
        need(!self.zones.is_empty() && self.zones.len() <= 100, "zones: 1 to 100".into());
        need(!self.kinds.is_empty(), "kinds: one at least".into());
        need(self.kinds.iter().any(|k| k.share > 0.0), "kinds: one with a share above 0".into());
        need(!self.classes.is_empty(), "classes: one at least".into());
        need(self.classes.iter().any(|c| c.share > 0.0), "classes: one with a share above 0".into());
        let has_zone =
            |z: &Option<String>| z.as_ref().is_none_or(|z| self.zones.iter().any(|o| o.name == *z));
        for (k, fault) in self.faults.iter().enumerate() {
            let at = format!("fault[{k}] ({:?})", fault.kind);
            need(has_zone(&fault.zone), format!("{at}: `zone` is none of the zones"));
            need(has_zone(&fault.to_zone), format!("{at}: `to_zone` is none of the zones"));
            let class = fault.class.as_ref();
            let known = class.is_none_or(|c| self.classes.iter().any(|o| o.name == *c));
            need(known, format!("{at}: `class` is none of the classes"));
            for part in [fault.share, fault.part].into_iter().flatten() {
                need((0.0..=1.0).contains(&part), format!("{at}: a part lies between 0 and 1"));
            }
            need(fault.times.is_none_or(|t| t > 0.0 && t.is_finite()), format!("{at}: `times` is above 0"));
            let (needed, allowed) = keys(fault.kind);
            let given = fault.given();
            for key in needed.iter().filter(|key| !given.contains(key)) {
                need(false, format!("{at}: `{key}` is missing"));
            }
            for key in given.iter().filter(|key| !needed.contains(key) && !allowed.contains(key)) {
                need(false, format!("{at}: `{key}` means nothing here"));
            }
        }
        faults
    }

    fn server(&self, place: usize, up: bool, rng: &mut ChaCha8Rng) -> ServerPlan {
        // Dealt by share, so that a small fleet has its kinds too.
        let all: f64 = self.kinds.iter().map(|k| k.share).sum();
        let mut at = (place as f64 * 0.618_034).fract() * all;
        let kind = self.kinds.iter().find(|k| {
            at -= k.share;
            at < 0.0
        });
        let kind = kind.unwrap_or(&self.kinds[0]);
        let mut spec = kind.server.clone();
        spec.speed *= rng.random_range(0.9..1.1);
        spec.fall_multiple = self.rules.fall_multiple;
        spec.fall_span = self.rules.fall_span.as_micros() as u64;
        spec.connections = kind.connections;
        let zone = place % self.zones.len();
        ServerPlan { zone, weight: kind.weight, spec, cell: 0, kind: 0, up }
    }

    fn zone(&self, name: &Option<String>) -> Option<usize> {
        name.as_ref().and_then(|name| self.zones.iter().position(|z| z.name == *name))
    }

    fn trouble(&self, fault: &Fault, servers: &mut Vec<ServerPlan>, rng: &mut ChaCha8Rng) -> Trouble {
        let zone = self.zone(&fault.zone);
        let times = fault.times.unwrap_or(1.0);
        let part = fault.part.unwrap_or(1.0);
        let share = fault.share.unwrap_or(0.2);
        let delay = fault.delay.unwrap_or_default();
        let struck = |servers: &[ServerPlan], rng: &mut ChaCha8Rng| {
            let within = |k: &usize| servers[*k].up && zone.is_none_or(|zone| servers[*k].zone == zone);
            some((0..servers.len()).filter(within).collect(), share, rng)
        };
        match fault.kind {
            FaultKind::Burst => Trouble::Burst(times),
            FaultKind::Shift => Trouble::Shift(zone.unwrap_or(0), share),
            FaultKind::HeavyTail => {
                let class = self.classes.iter().position(|c| Some(&c.name) == fault.class.as_ref());
                Trouble::HeavyTail(class.unwrap_or(0), share, times)
            }
            FaultKind::Release => {
                let mut stop = struck(servers, rng);
                stop.shuffle(rng);
                self.release(fault, stop, servers, rng)
            }
            FaultKind::Grow => {
                let first = servers.len();
                let count = fault.count.unwrap_or(1).min(5000);
                for _ in 0..count {
                    let next = self.server(servers.len(), false, rng);
                    servers.push(next);
                }
                let start: Vec<usize> = (first..first + count).collect();
                let batches = start.chunks(fault.batch.unwrap_or(count).max(1));
                let gap = fault.lasts / (batches.len() as u32).max(1);
                let step = |(k, start): (usize, &[usize])| Step {
                    at: gap * k as u32,
                    stop: Vec::new(),
                    start: start.to_vec(),
                };
                Trouble::Release(Duration::ZERO, batches.enumerate().map(step).collect())
            }
            FaultKind::MassRestart | FaultKind::Die => Trouble::Die(struck(servers, rng)),
            FaultKind::Vanish => Trouble::Vanish(struck(servers, rng)),
            FaultKind::Hang => Trouble::Hang(struck(servers, rng)),
            FaultKind::FailFast => Trouble::Fail(struck(servers, rng), part),
            FaultKind::Pauses => {
                let (every, pause) = (fault.every.unwrap_or_default(), fault.pause.unwrap_or_default());
                Trouble::Pause(struck(servers, rng), every, pause)
            }
            FaultKind::AnswersLost => Trouble::LoseAnswers(struck(servers, rng), part, false),
            FaultKind::FalseReports => Trouble::FalseReports(struck(servers, rng), Lie::Times(times), 1.0),
            FaultKind::FewConnections => Trouble::FewConnections(struck(servers, rng), times),
            FaultKind::SlowHandshakes => Trouble::SlowHandshakes(struck(servers, rng), times, delay),
            FaultKind::ListDown => Trouble::ListDown,
            FaultKind::WrongList => Trouble::WrongList(struck(servers, rng)),
            FaultKind::ZoneLoss => Trouble::LoseZone(zone.unwrap_or(0), fault.proxies.unwrap_or(false)),
            FaultKind::ZoneCut => Trouble::CutZone(zone.unwrap_or(0)),
            FaultKind::SlowLink => {
                let to = self.zone(&fault.to_zone).unwrap_or(0);
                Trouble::SlowLink(zone.unwrap_or(0), to, delay, fault.part.unwrap_or(0.0))
            }
            FaultKind::ChannelSlow => Trouble::SlowChannel(times),
            FaultKind::ReportsLate => Trouble::LateReports(delay),
            FaultKind::CutOff | FaultKind::ProxyStalls => {
                let within = |k: &usize| zone.is_none_or(|zone| k % self.zones.len() == zone);
                let proxies = some((0..self.proxies as usize).filter(within).collect(), share, rng);
                match fault.kind {
                    FaultKind::CutOff => Trouble::CutOff(proxies),
                    _ => Trouble::Stall(proxies),
                }
            }
            FaultKind::ConductorKill => Trouble::KillConductor,
        }
    }

    /// Batches evenly over the time; each server is replaced by a cold one of its make.
    fn release(
        &self,
        fault: &Fault,
        stop: Vec<usize>,
        servers: &mut Vec<ServerPlan>,
        rng: &mut ChaCha8Rng,
    ) -> Trouble {
        let batches = stop.chunks(fault.batch.unwrap_or(1).max(1));
        let gap = fault.lasts / (batches.len() as u32).max(1);
        let mut steps = Vec::new();
        for (k, stop) in batches.enumerate() {
            let first = servers.len();
            for server in stop {
                let mut next = ServerPlan { up: false, ..servers[*server].clone() };
                next.spec.speed *= rng.random_range(0.95..1.05);
                servers.push(next);
            }
            steps.push(Step {
                at: gap * k as u32,
                stop: stop.to_vec(),
                start: (first..servers.len()).collect(),
            });
        }
        Trouble::Release(fault.drain.unwrap_or(Duration::from_secs(3)), steps)
    }

    /// The conductor's settings that follow from the day, and those given.
    fn config(&self) -> Result<Config, String> {
        let smallest = self.kinds.iter().map(|k| k.connections).min().unwrap_or(0);
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
            admit: AdmitConfig::Share,
            connections_min: smallest as u32,
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

impl Fault {
    fn given(&self) -> Vec<&'static str> {
        let all = [
            (self.share.is_some(), "share"),
            (self.zone.is_some(), "zone"),
            (self.to_zone.is_some(), "to_zone"),
            (self.class.is_some(), "class"),
            (self.times.is_some(), "times"),
            (self.part.is_some(), "part"),
            (self.batch.is_some(), "batch"),
            (self.count.is_some(), "count"),
            (self.drain.is_some(), "drain"),
            (self.every.is_some(), "every"),
            (self.pause.is_some(), "pause"),
            (self.delay.is_some(), "delay"),
            (self.proxies.is_some(), "proxies"),
        ];
        all.into_iter().filter(|(given, _)| *given).map(|(_, key)| key).collect()
    }
}

/// Keys that a kind needs, and those that it may have.
fn keys(kind: FaultKind) -> (&'static [&'static str], &'static [&'static str]) {
    match kind {
        FaultKind::Burst | FaultKind::ChannelSlow => (&["times"], &[]),
        FaultKind::Shift => (&["zone", "share"], &[]),
        FaultKind::HeavyTail => (&["class", "share", "times"], &[]),
        FaultKind::Release => (&["share"], &["batch", "drain", "zone"]),
        FaultKind::Grow => (&["count"], &["batch"]),
        FaultKind::MassRestart
        | FaultKind::Die
        | FaultKind::Vanish
        | FaultKind::Hang
        | FaultKind::WrongList => (&["share"], &["zone"]),
        FaultKind::FailFast | FaultKind::AnswersLost => (&["share", "part"], &["zone"]),
        FaultKind::Pauses => (&["share", "every", "pause"], &["zone"]),
        FaultKind::FalseReports | FaultKind::FewConnections => (&["share", "times"], &["zone"]),
        FaultKind::SlowHandshakes => (&["share", "times"], &["zone", "delay"]),
        FaultKind::ListDown | FaultKind::ConductorKill => (&[], &[]),
        FaultKind::ZoneLoss => (&["zone"], &["proxies"]),
        FaultKind::ZoneCut => (&["zone"], &[]),
        FaultKind::SlowLink => (&["zone", "to_zone", "delay"], &["part"]),
        FaultKind::ReportsLate => (&["delay"], &[]),
        FaultKind::CutOff | FaultKind::ProxyStalls => (&["share"], &["zone"]),
    }
}

/// This part of them, one at least, drawn by chance.
fn some(of: Vec<usize>, share: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let many = ((of.len() as f64 * share).round() as usize).clamp(1.min(of.len()), of.len());
    of.sample(rng, many).copied().collect()
}

fn class_plan(class: &Class) -> ClassPlan {
    ClassPlan {
        name: class.name.clone(),
        share: class.share,
        work: class.work.as_micros() as f64,
        form: Default::default(),
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

/// A conductor's settings: the fleet, and tables of other settings laid over the defaults.
pub(crate) fn conductor_config(fleet: Fleet, over: &toml::Table) -> Result<Config, String> {
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
    lay_over(&mut table, over);
    let config: Config =
        table.try_into().map_err(|e: toml::de::Error| format!("conductor: {}", e.message()))?;
    let faults = config.faults();
    match faults.first() {
        Some(fault) => Err(format!("conductor.{}: {}", fault.key, fault.what)),
        None => Ok(config),
    }
}

fn lay_over(table: &mut toml::Table, over: &toml::Table) {
    for (key, value) in over {
        match (table.get_mut(key), value) {
            (Some(toml::Value::Table(below)), toml::Value::Table(above)) => lay_over(below, above),
            _ => _ = table.insert(key.clone(), value.clone()),
        }
    }
}
