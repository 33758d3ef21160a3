//! Faults of scenarios: given one by one or drawn from the seed, each with its time, its share and its scope.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::plan::{Lie, ServerPlan, Step, Trouble};
use crate::scenario::Scenario;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, JsonSchema)]
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
    /// Nothing passes between `zone` and `to_zone`.
    LinkCut,
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
    /// Conductors are killed outright, and started again at the end: `share`, all if not told.
    ConductorKill,
    /// All conductors are told to end and started again, one after the other over the time.
    ConductorRestart,
}

/// A fault of a scenario. Which keys a kind takes, its description says; others are refused.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// From the day's begin.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub lasts: Duration,
    /// The part of servers, proxies or traffic that it strikes.
    pub share: Option<f64>,
    /// Only those of this zone.
    pub zone: Option<String>,
    /// Only servers of this cell of their zone, from 0.
    pub cell: Option<usize>,
    /// Only servers of this kind.
    pub of_kind: Option<String>,
    /// Only this server, by its place from 0.
    pub server: Option<usize>,
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
    #[schemars(with = "Option<String>")]
    pub drain: Option<Duration>,
    /// From pause to pause.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub every: Option<Duration>,
    /// How long a pause is.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub pause: Option<Duration>,
    /// How much later.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub delay: Option<Duration>,
    /// Of a lost zone: its proxies, too.
    pub proxies: Option<bool>,
}

/// Faults drawn from the scenario's seed.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Draw {
    /// Of these kinds.
    pub of: Vec<FaultKind>,
    /// So many.
    pub count: u32,
    /// The first begins then at the earliest.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub from: Duration,
    /// The last begins then at the latest.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub until: Duration,
    /// Each lasts so long at least.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub shortest: Duration,
    /// ... and so long at most.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub longest: Duration,
    /// The part of servers, proxies or traffic that each strikes, at most; 0.25 if not told.
    pub share_at_most: Option<f64>,
}

/// Draws a duration between two bounds, in whole milliseconds.
fn between(rng: &mut ChaCha8Rng, low: Duration, high: Duration) -> Duration {
    Duration::from_millis(rng.random_range(low.as_millis() as u64..=high.as_millis() as u64))
}

impl Draw {
    /// Reports each invalid value through `require`; `at` names the table for the message.
    pub(crate) fn check(&self, at: &str, require: &mut impl FnMut(bool, String)) {
        require(!self.of.is_empty(), format!("{at}: `of` lists no kind of fault"));
        require(self.count <= 100, format!("{at}: `count` must be at most 100"));
        require(self.from <= self.until, format!("{at}: `from` is after `until`"));
        require(self.shortest <= self.longest, format!("{at}: `shortest` is longer than `longest`"));
        let share = self.share_at_most.is_none_or(|s| s > 0.0 && s <= 1.0);
        require(share, format!("{at}: `share_at_most` must be above 0 and at most 1"));
    }

    /// Draws the faults. `index` is the position of this draw in the scenario; draws at other positions and
    /// faults given one by one do not change the result.
    pub(crate) fn faults(&self, index: usize, scenario: &Scenario) -> Vec<Fault> {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xd4a3 ^ (index as u64) << 32);
        (0..self.count)
            .filter_map(|_| Some(self.fault(*self.of.choose(&mut rng)?, scenario, &mut rng)))
            .collect()
    }

    /// Draws one fault; keys that its kind does not take stay `None`.
    fn fault(&self, kind: FaultKind, scenario: &Scenario, rng: &mut ChaCha8Rng) -> Fault {
        let max_share = self.share_at_most.unwrap_or(0.25);
        let (required, allowed) = keys_of(kind);
        let has = |key| required.contains(&key) || allowed.contains(&key);
        let zone = rng.random_range(0..scenario.zones.len());
        let to_zone =
            (zone + 1 + rng.random_range(0..scenario.zones.len().max(2) - 1)) % scenario.zones.len();
        let name = |zone: usize| Some(scenario.zones[zone].name.clone());
        let ms = Duration::from_millis;
        Fault {
            kind,
            at: between(rng, self.from, self.until),
            lasts: between(rng, self.shortest, self.longest),
            share: has("share").then(|| max_share * rng.random_range(0.3..=1.0)),
            // Half of the faults for which a zone is optional are limited to one.
            zone: name(zone).filter(|_| required.contains(&"zone") || has("zone") && rng.random_bool(0.5)),
            to_zone: name(to_zone).filter(|_| has("to_zone")),
            cell: None,
            of_kind: None,
            server: None,
            class: scenario.classes.choose(rng).map(|c| c.name.clone()).filter(|_| has("class")),
            times: has("times").then(|| rng.random_range(1.5..4.0)),
            part: has("part").then(|| rng.random_range(0.1..0.6)),
            batch: has("batch").then_some(1),
            count: has("count").then(|| rng.random_range(1..=1 + scenario.servers as usize / 10)),
            drain: None,
            every: has("every").then(|| between(rng, ms(500), ms(2000))),
            pause: has("pause").then(|| between(rng, ms(100), ms(800))),
            delay: has("delay").then(|| between(rng, ms(50), ms(400))),
            proxies: None,
        }
    }
}

impl Scenario {
    /// Resolves a fault to its targets. Servers that the fault starts are appended to `servers`.
    pub(crate) fn resolve_fault(
        &self,
        fault: &Fault,
        servers: &mut Vec<ServerPlan>,
        rng: &mut ChaCha8Rng,
    ) -> Trouble {
        let zone = self.zone(&fault.zone);
        let times = fault.times.unwrap_or(1.0);
        let part = fault.part.unwrap_or(1.0);
        let share = fault.share.unwrap_or(0.2);
        let delay = fault.delay.unwrap_or_default();
        let targets = |servers: &[ServerPlan], rng: &mut ChaCha8Rng| {
            if let Some(server) = fault.server {
                return vec![server];
            }
            let kind =
                fault.of_kind.as_ref().and_then(|name| self.kinds.iter().position(|k| k.name == *name));
            let within = |k: &usize| {
                let server = &servers[*k];
                server.up
                    && zone.is_none_or(|zone| server.zone == zone)
                    && fault.cell.is_none_or(|cell| server.cell == cell)
                    && kind.is_none_or(|kind| server.kind == kind)
            };
            sample_share((0..servers.len()).filter(within).collect(), share, rng)
        };
        match fault.kind {
            FaultKind::Burst => Trouble::Burst(times),
            FaultKind::Shift => Trouble::Shift(zone.unwrap_or(0), share),
            FaultKind::HeavyTail => {
                let class = self.classes.iter().position(|c| Some(&c.name) == fault.class.as_ref());
                Trouble::HeavyTail(class.unwrap_or(0), share, times)
            }
            FaultKind::Release => {
                let mut stop = targets(servers, rng);
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
            FaultKind::MassRestart | FaultKind::Die => Trouble::Die(targets(servers, rng)),
            FaultKind::Vanish => Trouble::Vanish(targets(servers, rng)),
            FaultKind::Hang => Trouble::Hang(targets(servers, rng)),
            FaultKind::FailFast => Trouble::Fail(targets(servers, rng), part),
            FaultKind::Pauses => {
                let (every, pause) = (fault.every.unwrap_or_default(), fault.pause.unwrap_or_default());
                Trouble::Pause(targets(servers, rng), every, pause)
            }
            FaultKind::AnswersLost => Trouble::LoseAnswers(targets(servers, rng), part, false),
            FaultKind::FalseReports => Trouble::FalseReports(targets(servers, rng), Lie::Times(times), 1.0),
            FaultKind::FewConnections => Trouble::FewConnections(targets(servers, rng), times),
            FaultKind::SlowHandshakes => Trouble::SlowHandshakes(targets(servers, rng), times, delay),
            FaultKind::ListDown => Trouble::ListDown,
            FaultKind::WrongList => Trouble::WrongList(targets(servers, rng)),
            FaultKind::ZoneLoss => Trouble::LoseZone(zone.unwrap_or(0), fault.proxies.unwrap_or(false)),
            FaultKind::ZoneCut => Trouble::CutZone(zone.unwrap_or(0)),
            FaultKind::LinkCut => Trouble::CutLink(zone.unwrap_or(0), self.zone(&fault.to_zone).unwrap_or(0)),
            FaultKind::SlowLink => {
                let to = self.zone(&fault.to_zone).unwrap_or(0);
                Trouble::SlowLink(zone.unwrap_or(0), to, delay, fault.part.unwrap_or(0.0))
            }
            FaultKind::ChannelSlow => Trouble::SlowChannel(times),
            FaultKind::ReportsLate => Trouble::LateReports(delay),
            FaultKind::CutOff | FaultKind::ProxyStalls => {
                let within = |k: &usize| zone.is_none_or(|zone| k % self.zones.len() == zone);
                let proxies = sample_share((0..self.proxies as usize).filter(within).collect(), share, rng);
                match fault.kind {
                    FaultKind::CutOff => Trouble::CutOff(proxies),
                    _ => Trouble::Stall(proxies),
                }
            }
            FaultKind::ConductorKill => {
                let all: Vec<usize> = (0..self.conductors as usize).collect();
                Trouble::KillConductor(match fault.share {
                    Some(share) => sample_share(all, share, rng),
                    None => all,
                })
            }
            FaultKind::ConductorRestart => {
                Trouble::RestartConductors((0..self.conductors as usize).collect())
            }
        }
    }

    /// Builds a release in batches, at even intervals over its duration. Each stopped server is replaced by a
    /// cold one of the same kind, with its speed varied by up to 5%.
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
}

impl FaultKind {
    /// Its name in scenario files: the variant in snake case.
    pub fn word(self) -> String {
        let name = format!("{self:?}");
        let mut word = String::new();
        for character in name.chars() {
            if character.is_uppercase() && !word.is_empty() {
                word.push('_');
            }
            word.push(character.to_ascii_lowercase());
        }
        word
    }
}

impl Fault {
    /// Reports each invalid, missing or inapplicable key through `require`; `at` names the fault for the
    /// message.
    pub(crate) fn check(&self, at: &str, scenario: &Scenario, require: &mut impl FnMut(bool, String)) {
        let has_zone =
            |z: &Option<String>| z.as_ref().is_none_or(|z| scenario.zones.iter().any(|o| o.name == *z));
        require(has_zone(&self.zone), format!("{at}: `zone` names no zone of the scenario"));
        require(has_zone(&self.to_zone), format!("{at}: `to_zone` names no zone of the scenario"));
        require(
            self.zone.is_none() || self.zone != self.to_zone,
            format!("{at}: `to_zone` and `zone` are the same"),
        );
        let known = self.class.as_ref().is_none_or(|c| scenario.classes.iter().any(|o| o.name == *c));
        require(known, format!("{at}: `class` names no class of the scenario"));
        let known = self.of_kind.as_ref().is_none_or(|k| scenario.kinds.iter().any(|o| o.name == *k));
        require(known, format!("{at}: `of_kind` names no kind of the scenario"));
        require(self.cell.is_none_or(|c| c < scenario.cells), format!("{at}: `cell` is not below `cells`"));
        let known = self.server.is_none_or(|s| s < scenario.servers as usize);
        require(known, format!("{at}: `server` is not below `servers`"));
        for part in [self.share, self.part].into_iter().flatten() {
            require((0.0..=1.0).contains(&part), format!("{at}: `share` and `part` must be between 0 and 1"));
        }
        require(
            self.times.is_none_or(|t| t > 0.0 && t.is_finite()),
            format!("{at}: `times` must be above 0"),
        );
        let (required, allowed) = keys_of(self.kind);
        let given = self.given();
        for key in required.iter().filter(|key| !given.contains(key)) {
            // With `server` a share is not needed.
            require(*key == "share" && given.contains(&"server"), format!("{at}: `{key}` is missing"));
        }
        for key in given.iter().filter(|key| !required.contains(key) && !allowed.contains(key)) {
            require(false, format!("{at}: `{key}` does not apply to this kind of fault"));
        }
    }

    /// Names of the optional keys that are set.
    fn given(&self) -> Vec<&'static str> {
        let all = [
            (self.share.is_some(), "share"),
            (self.zone.is_some(), "zone"),
            (self.to_zone.is_some(), "to_zone"),
            (self.cell.is_some(), "cell"),
            (self.of_kind.is_some(), "of_kind"),
            (self.server.is_some(), "server"),
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

/// Keys that a kind of fault requires, and further keys that it allows.
fn keys_of(kind: FaultKind) -> (&'static [&'static str], &'static [&'static str]) {
    const SCOPE: &[&str] = &["zone", "cell", "of_kind", "server"];
    match kind {
        FaultKind::Burst | FaultKind::ChannelSlow => (&["times"], &[]),
        FaultKind::Shift => (&["zone", "share"], &[]),
        FaultKind::HeavyTail => (&["class", "share", "times"], &[]),
        FaultKind::Release => (&["share"], &["batch", "drain", "zone", "cell", "of_kind", "server"]),
        FaultKind::Grow => (&["count"], &["batch"]),
        FaultKind::MassRestart
        | FaultKind::Die
        | FaultKind::Vanish
        | FaultKind::Hang
        | FaultKind::WrongList => (&["share"], SCOPE),
        FaultKind::FailFast | FaultKind::AnswersLost => (&["share", "part"], SCOPE),
        FaultKind::Pauses => (&["share", "every", "pause"], SCOPE),
        FaultKind::FalseReports | FaultKind::FewConnections => (&["share", "times"], SCOPE),
        FaultKind::SlowHandshakes => (&["share", "times"], &["zone", "cell", "of_kind", "server", "delay"]),
        FaultKind::ListDown | FaultKind::ConductorRestart => (&[], &[]),
        FaultKind::ConductorKill => (&[], &["share"]),
        FaultKind::ZoneLoss => (&["zone"], &["proxies"]),
        FaultKind::ZoneCut => (&["zone"], &[]),
        FaultKind::LinkCut => (&["zone", "to_zone"], &[]),
        FaultKind::SlowLink => (&["zone", "to_zone", "delay"], &["part"]),
        FaultKind::ReportsLate => (&["delay"], &[]),
        FaultKind::CutOff | FaultKind::ProxyStalls => (&["share"], &["zone"]),
    }
}

/// Draws a share of the indices at random: at least one, if there is any.
fn sample_share(indices: Vec<usize>, share: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let count = ((indices.len() as f64 * share).round() as usize).clamp(1.min(indices.len()), indices.len());
    indices.sample(rng, count).copied().collect()
}
