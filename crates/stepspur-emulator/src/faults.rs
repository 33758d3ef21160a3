//! Faults of scenarios: given one by one or drawn from the seed, each with its time, its share and its scope.
//!
//! Doc comments of types with `JsonSchema` are published as descriptions in
//! `rehearsals/scenario.schema.json`.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::plan::{FalseReport, FaultAction, ServerPlan, Step};
use crate::scenario::Scenario;

/// Kinds of faults, each with the keys that it takes. Kinds that affect a `share` of the servers also take
/// `zone`, `cell`, `of_kind` and `server`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The request rate is multiplied by `times`.
    Burst,
    /// `share` of all requests enters through the proxies of `zone`.
    Shift,
    /// The work of `share` of the requests of `class` is multiplied by `times`.
    HeavyTail,
    /// `share` of the servers are replaced by cold ones of the same kinds, `batch` at a time and evenly over
    /// the duration; each drains for `drain` before it stops.
    Release,
    /// `share` of the servers stop at once, and start cold at the end; the same as `die`.
    MassRestart,
    /// `count` cold servers join, `batch` at a time and evenly over the duration.
    Grow,
    /// `share` of the servers stop at once, and start cold at the end.
    Die,
    /// `share` of the servers become unresponsive (no reset, no answer), and restart cold at the end.
    Vanish,
    /// `share` of the servers accept requests and answer none.
    Hang,
    /// `share` of the servers fail `part` of their requests at once.
    FailFast,
    /// `share` of the servers repeatedly pause for `pause`, at intervals of `every`.
    Pauses,
    /// `share` of the servers run `part` of their requests without the answers being delivered; no reset is
    /// sent.
    AnswersLost,
    /// `share` of the servers multiply all values of their load reports by `times`.
    FalseReports,
    /// `share` of the servers have their connection limit divided by `times`.
    FewConnections,
    /// On `share` of the servers, the work of a new connection is multiplied by `times`, and it takes longer
    /// by `delay`.
    SlowHandshakes,
    /// The node list is unavailable.
    ListDown,
    /// The node list omits `share` of the servers although they run.
    WrongList,
    /// All servers of `zone` stop, and start cold at the end; with `proxies`, its proxies are cut off from
    /// all conductors for that time.
    ZoneLoss,
    /// `zone` is cut off from all other zones.
    ZoneCut,
    /// Nothing passes between `zone` and `to_zone`, in either direction.
    LinkCut,
    /// The link between `zone` and `to_zone` has the extra one-way delay `delay`, and loses `part` of all
    /// chunks.
    SlowLink,
    /// Orders take `times` as long to reach proxies.
    ChannelSlow,
    /// Reports of proxies are delayed by `delay`.
    ReportsLate,
    /// `share` of the proxies, of `zone` if it is set, cannot reach any conductor.
    CutOff,
    /// `share` of the proxies, of `zone` if it is set, neither read from their streams nor send reports.
    ProxyStalls,
    /// `share` of the conductors, by default all, are killed together without notice, and started again at
    /// the end.
    ConductorKill,
    /// All conductors are terminated (SIGTERM) and started again, one after the other and evenly over the
    /// duration.
    ConductorRestart,
}

/// A fault of a scenario. The description of its kind names the keys that it takes; any other key is an
/// error.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, since the start of the traffic.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub at: Duration,
    /// Duration of the fault; its targets recover at its end.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub lasts: Duration,
    /// Share of the servers, proxies, conductors or requests that are affected, from 0 to 1; of servers,
    /// proxies and conductors at least one. Not needed with `server`.
    pub share: Option<f64>,
    /// Zone that is affected; for faults of servers or proxies, only those of this zone. Default: all zones.
    pub zone: Option<String>,
    /// Only servers of this cell of their zone: an index from 0, below `cells`. Default: all cells.
    pub cell: Option<usize>,
    /// Only servers of the kind with this name. Default: all kinds.
    pub of_kind: Option<String>,
    /// Only this server: an index from 0, below `servers`. `share`, `zone`, `cell` and `of_kind` are then
    /// ignored.
    pub server: Option<usize>,
    /// Zone at the other end of a link; differs from `zone`.
    pub to_zone: Option<String>,
    /// Class whose requests are affected.
    pub class: Option<String>,
    /// Factor or divisor that the kind applies; above 0.
    pub times: Option<f64>,
    /// Share of requests, answers or chunks that are affected, from 0 to 1; default 0 for `slow_link`.
    pub part: Option<f64>,
    /// Number of servers per batch; default 1 for `release`, all at once for `grow`.
    pub batch: Option<usize>,
    /// Total number of servers that join; more than 5000 count as 5000.
    pub count: Option<usize>,
    /// How long each server drains before it stops; default 3 s.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub drain: Option<Duration>,
    /// Mean time from the end of a pause to the start of the next.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub every: Option<Duration>,
    /// Duration of each pause.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub pause: Option<Duration>,
    /// Extra delay; default 0 for `slow_handshakes`.
    #[serde(default, with = "humantime_serde")]
    #[schemars(with = "Option<String>")]
    pub delay: Option<Duration>,
    /// True if the proxies of a lost zone lose their conductors, too; default false.
    pub proxies: Option<bool>,
}

/// A group of faults drawn at random from the seed of the scenario.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Draw {
    /// Kinds to draw from, all equally likely; at least one.
    pub of: Vec<FaultKind>,
    /// Number of faults to draw; at most 100.
    pub count: u32,
    /// Earliest start of a fault, since the start of the traffic.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub from: Duration,
    /// Latest start of a fault, since the start of the traffic; not before `from`.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub until: Duration,
    /// Minimum duration of a fault.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub shortest: Duration,
    /// Maximum duration of a fault; not below `shortest`.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub longest: Duration,
    /// Maximum share of the servers, proxies, conductors or requests that a fault affects; above 0, at most
    /// 1, default 0.25.
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
    ) -> FaultAction {
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
            FaultKind::Burst => FaultAction::Burst(times),
            FaultKind::Shift => FaultAction::Shift(zone.unwrap_or(0), share),
            FaultKind::HeavyTail => {
                let class = self.classes.iter().position(|c| Some(&c.name) == fault.class.as_ref());
                FaultAction::HeavyTail(class.unwrap_or(0), share, times)
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
                FaultAction::Release(Duration::ZERO, batches.enumerate().map(step).collect())
            }
            FaultKind::MassRestart | FaultKind::Die => FaultAction::Die(targets(servers, rng)),
            FaultKind::Vanish => FaultAction::Vanish(targets(servers, rng)),
            FaultKind::Hang => FaultAction::Hang(targets(servers, rng)),
            FaultKind::FailFast => FaultAction::Fail(targets(servers, rng), part),
            FaultKind::Pauses => {
                let (every, pause) = (fault.every.unwrap_or_default(), fault.pause.unwrap_or_default());
                FaultAction::Pause(targets(servers, rng), every, pause)
            }
            FaultKind::AnswersLost => FaultAction::LoseAnswers(targets(servers, rng), part, false),
            FaultKind::FalseReports => {
                FaultAction::FalseReports(targets(servers, rng), FalseReport::Times(times), 1.0)
            }
            FaultKind::FewConnections => FaultAction::FewConnections(targets(servers, rng), times),
            FaultKind::SlowHandshakes => FaultAction::SlowHandshakes(targets(servers, rng), times, delay),
            FaultKind::ListDown => FaultAction::ListDown,
            FaultKind::WrongList => FaultAction::WrongList(targets(servers, rng)),
            FaultKind::ZoneLoss => FaultAction::LoseZone(zone.unwrap_or(0), fault.proxies.unwrap_or(false)),
            FaultKind::ZoneCut => FaultAction::CutZone(zone.unwrap_or(0)),
            FaultKind::LinkCut => {
                FaultAction::CutLink(zone.unwrap_or(0), self.zone(&fault.to_zone).unwrap_or(0))
            }
            FaultKind::SlowLink => {
                let to = self.zone(&fault.to_zone).unwrap_or(0);
                FaultAction::SlowLink(zone.unwrap_or(0), to, delay, fault.part.unwrap_or(0.0))
            }
            FaultKind::ChannelSlow => FaultAction::SlowChannel(times),
            FaultKind::ReportsLate => FaultAction::LateReports(delay),
            FaultKind::CutOff | FaultKind::ProxyStalls => {
                let within = |k: &usize| zone.is_none_or(|zone| k % self.zones.len() == zone);
                let proxies = sample_share((0..self.proxies as usize).filter(within).collect(), share, rng);
                match fault.kind {
                    FaultKind::CutOff => FaultAction::CutOff(proxies),
                    _ => FaultAction::Stall(proxies),
                }
            }
            FaultKind::ConductorKill => {
                let all: Vec<usize> = (0..self.conductors as usize).collect();
                FaultAction::KillConductor(match fault.share {
                    Some(share) => sample_share(all, share, rng),
                    None => all,
                })
            }
            FaultKind::ConductorRestart => {
                FaultAction::RestartConductors((0..self.conductors as usize).collect())
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
    ) -> FaultAction {
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
        FaultAction::Release(fault.drain.unwrap_or(Duration::from_secs(3)), steps)
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
