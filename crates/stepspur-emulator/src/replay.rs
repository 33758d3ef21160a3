//! Bench days: a day file as the simulator's `draw` prints it, made into a [`Plan`] at a size that fits.
//!
//! Every kind of trouble is mapped to what the stand-ins can do, or named in [`Replayed::left_out`]; nothing is
//! dropped in silence. Servers and proxies are thinned evenly, and the rate with them, so the load stays as drawn.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use stepspur_conductor::config::{AdmitConfig, ClassConfig, EffectConfig, Fleet, GroupConfig};
use stepspur_model::work::Form;
use stepspur_model::{proxy, server};
use stepspur_proto::v1;

use crate::plan::{ClassPlan, Clients, Lie, Plan, ProxyPlan, Rules, ServerPlan, Step, Strike, Trouble};
use crate::scenario::conductor_config;

/// Servers, proxies and requests a second that a small machine plays with ease.
const FITS: (f64, f64, f64) = (120.0, 120.0, 250.0);

/// Why a file is no day.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// It is not JSON, or a key is missing or of the wrong form; the text names line and column.
    #[error("not a day: {0}")]
    Parse(#[from] serde_json::Error),
    /// A kind of day that this program does not play.
    #[error("cannot be played: {0}")]
    Unfit(String),
}

/// A day made ready.
#[derive(Debug)]
pub struct Replayed {
    /// What is played.
    pub plan: Plan,
    /// Servers, proxies and traffic, as a part of the day's.
    pub scale: f64,
    /// The zones of the day's conductors; by sockets one is played, in the first of them.
    pub conductor_zones: Vec<usize>,
    /// How late reports are all day; by sockets they are as quick as loopback.
    pub reports_late: Duration,
    /// Kinds of trouble and facts that are not played, each with the reason.
    pub left_out: Vec<String>,
    /// Facts that are left out by sockets only.
    pub left_out_by_sockets: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Day {
    site: String,
    kind: String,
    noise: u64,
    length: f64,
    zones: Vec<String>,
    traffic: Traffic,
    clients: DayClients,
    discovery: Discovery,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    #[serde(default)]
    full_may_have_run: bool,
    #[serde(default)]
    only_draining_binds: bool,
    classes: Vec<DayClass>,
    tiers: Vec<Tier>,
    servers: Vec<DayServer>,
    balancers: Vec<Balancer>,
    troubles: Vec<DayTrouble>,
    fam: Family,
}

#[derive(Debug, Deserialize)]
struct Traffic {
    load: f64,
    shape: Vec<(f64, f64)>,
    zone_share: Vec<f64>,
    #[serde(default)]
    keys: u64,
    #[serde(default)]
    key_zipf: f64,
}

#[derive(Debug, Deserialize)]
struct DayClients {
    retries: u32,
    try_share: f64,
    backoff: String,
    #[serde(default)]
    backoff_us: f64,
}

#[derive(Debug, Deserialize)]
struct Discovery {
    notice: f64,
}

#[derive(Debug, Deserialize)]
struct DayClass {
    name: String,
    share: f64,
    work: f64,
    cv: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window: f64,
}

#[derive(Debug, Deserialize)]
struct Tier {
    kinds: Vec<DayKind>,
    #[serde(default)]
    handshake_work: f64,
    #[serde(default)]
    probe_work: f64,
    conn_cap_per_core: f64,
    report_period: f64,
    stated_cold_from: f64,
    stated_cold: f64,
}

#[derive(Debug, Deserialize)]
struct DayKind {
    cores: u32,
    slots: u32,
    queue: u32,
    thrash: f64,
    knee: f64,
    cold_from: f64,
    cold: f64,
    #[serde(default)]
    error_rate: f64,
    cancel: String,
}

#[derive(Debug, Deserialize)]
struct DayServer {
    tier: usize,
    zone: usize,
    kind: usize,
    speed: f64,
    weight: f64,
    up: bool,
}

#[derive(Debug, Deserialize)]
struct Balancer {
    zone: usize,
    weight: f64,
}

#[derive(Debug, Deserialize)]
struct DayTrouble {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: usize,
    #[serde(default)]
    steps: Vec<DayStep>,
    /// The form that it takes.
    #[serde(default)]
    how: Option<String>,
}

#[derive(Debug, Deserialize)]
struct DayStep {
    at: f64,
    stop: Vec<usize>,
    start: Vec<usize>,
}

#[derive(Debug, Deserialize)]
struct Family {
    admit: String,
    #[serde(default)]
    affinity_gain: f64,
    #[serde(default)]
    affinity_s: f64,
    backlog: f64,
    bare: f64,
    controllers: Vec<u32>,
    eject: f64,
    ejects: u32,
    head: f64,
    heard_late: f64,
    intake: f64,
    late: f64,
    messages_most: u32,
    period: f64,
    pick: String,
    rate: f64,
    redial: f64,
    slices: u32,
    standing: usize,
    #[serde(default)]
    usual_how: i32,
}

/// Reads a day; with no scale given, the largest that fits a small machine.
///
/// # Errors
/// See [`ReplayError`].
pub fn read(text: &str, scale: Option<f64>) -> Result<Replayed, ReplayError> {
    let day: Day = serde_json::from_str(text)?;
    let unfit = |what: &str| Err(ReplayError::Unfit(what.to_owned()));
    if day.fam.slices > 0 {
        return unfit("days with slices");
    }
    let tiers_known =
        day.servers.iter().all(|s| day.tiers.get(s.tier).is_some_and(|t| s.kind < t.kinds.len()));
    let zones_known = day.servers.iter().map(|s| s.zone).chain(day.balancers.iter().map(|b| b.zone));
    if day.zones.is_empty() || day.classes.is_empty() || !tiers_known {
        return unfit("no zones, no classes, or servers of kinds that it does not tell");
    }
    if !zones_known.into_iter().all(|zone| zone < day.zones.len()) {
        return unfit("a server or proxy in a zone that it does not name");
    }
    if let Some(scale) = scale
        && !(scale > 0.0 && scale <= 1.0)
    {
        return unfit("a scale is above 0 and 1 at most");
    }
    Made::new(&day, scale).finish()
}

/// A day on its way to a plan.
struct Made<'a> {
    day: &'a Day,
    scale: f64,
    /// Places of the servers and proxies that are kept.
    servers: BTreeMap<usize, usize>,
    proxies: Vec<usize>,
    rate: f64,
    left_out: Vec<String>,
}

fn span(us: f64) -> Duration {
    Duration::from_micros(us.max(0.0) as u64)
}

impl<'a> Made<'a> {
    fn new(day: &'a Day, scale: Option<f64>) -> Self {
        // The servers that run at the start, filled to the day's load.
        let up = day.servers.iter().filter(|s| s.up);
        let capacity: f64 = up.clone().map(|s| f64::from(kind(day, s).cores) * s.speed).sum();
        let shares: f64 = day.classes.iter().map(|c| c.share).sum();
        let work: f64 = day.classes.iter().map(|c| c.share * c.work).sum::<f64>() / shares.max(1e-9);
        let full = day.traffic.load * capacity / (work * 1e-6).max(1e-9);
        let fit =
            (FITS.0 / up.count() as f64).min(FITS.1 / day.balancers.len().max(1) as f64).min(FITS.2 / full);
        let scale = scale.unwrap_or(fit).min(1.0);
        let kept = thin(day.servers.iter().map(|s| (s.zone, s.kind, s.up)), scale);
        let servers = kept.iter().enumerate().map(|(new, old)| (*old, new)).collect();
        let proxies = thin(day.balancers.iter().map(|b| (b.zone, 0, true)), scale);
        // What thinning kept of the capacity says what the rate must be.
        let up_kept = kept.iter().map(|k| &day.servers[*k]).filter(|s| s.up);
        let kept_capacity: f64 = up_kept.map(|s| f64::from(kind(day, s).cores) * s.speed).sum();
        let rate = full * kept_capacity / capacity.max(1e-9);
        Self { day, scale, servers, proxies, rate, left_out: Vec::new() }
    }

    fn finish(mut self) -> Result<Replayed, ReplayError> {
        let day = self.day;
        let strikes = day.troubles.iter().flat_map(|t| self.strikes(t)).collect();
        let mut left_out_by_sockets = Vec::new();
        // Told by the zone of each.
        let in_zone = |zone: &u32| (*zone as usize) % day.zones.len();
        let conductor_zones: Vec<usize> = day.fam.controllers.iter().map(in_zone).collect();
        if conductor_zones.len() > 1 {
            let many = conductor_zones.len();
            left_out_by_sockets.push(format!("{many} conductors: one is played, with all proxies"));
        }
        let reports_late = span(day.fam.heard_late);
        if !reports_late.is_zero() {
            left_out_by_sockets.push(format!(
                "reports {:.1} s late all day: loopback is quicker",
                reports_late.as_secs_f64()
            ));
        }
        let server = |old: &usize| self.server(&day.servers[*old]);
        let by_place: BTreeMap<usize, usize> = self.servers.iter().map(|(old, new)| (*new, *old)).collect();
        let zones = day.zones.iter().enumerate();
        let share = |k: usize| day.traffic.zone_share.get(k).copied().unwrap_or(0.0);
        let plan = Plan {
            name: format!("{} {}", day.site, day.kind),
            seed: day.noise,
            length: span(day.length),
            zones: zones.map(|(k, name)| (name.clone(), share(k))).collect(),
            servers: by_place.values().map(server).collect(),
            proxies: self
                .proxies
                .iter()
                .map(|k| {
                    let balancer = &day.balancers[*k];
                    ProxyPlan { zone: balancer.zone, weight: balancer.weight }
                })
                .collect(),
            proxy: proxy::Spec {
                pick: match day.fam.pick.as_str() {
                    "round" => proxy::Pick::Wheel,
                    "two" => proxy::Pick::Two,
                    _ => proxy::Pick::Lottery,
                },
                avoid_after: day.fam.ejects,
                avoid_for: day.fam.eject as u64,
                classes: day.classes.len(),
                usual_resend: v1::Resend::try_from(day.fam.usual_how).unwrap_or_default(),
            },
            standing: day.fam.standing,
            redial: span(day.fam.redial),
            classes: day.classes.iter().map(class_plan).collect(),
            rate: self.rate,
            shape: day.traffic.shape.clone(),
            clients: Clients {
                retries: day.clients.retries,
                wait: if day.clients.backoff == "none" {
                    Duration::ZERO
                } else {
                    span(day.clients.backoff_us)
                },
                try_share: day.clients.try_share,
                keys: day.traffic.keys,
                key_zipf: day.traffic.key_zipf,
            },
            list_delay: span(day.discovery.notice),
            conductors: 1,
            conductor_zone: conductor_zones.first().copied().unwrap_or(0),
            rules: self.rules(),
            config: self.config()?,
            strikes,
            phases: Vec::new(),
            expectations: Vec::new(),
            trains: String::new(),
            identity: false,
        };
        let Self { scale, left_out, .. } = self;
        Ok(Replayed { plan, scale, conductor_zones, reports_late, left_out, left_out_by_sockets })
    }

    fn tier(&self) -> &Tier {
        &self.day.tiers[0]
    }

    fn server(&self, server: &DayServer) -> ServerPlan {
        let (tier, kind) = (&self.day.tiers[server.tier], kind(self.day, server));
        let spec = server::Spec {
            cores: kind.cores,
            speed: server.speed,
            slots: kind.slots,
            room: kind.queue,
            knee: kind.knee,
            thrash: kind.thrash,
            cold_from: kind.cold_from,
            cold: kind.cold as u64,
            fall_multiple: self.day.fall_multiple,
            fall_span: self.day.fall_for as u64,
            cancel: match kind.cancel.as_str() {
                "none" => server::Cancel::None,
                "all" => server::Cancel::All,
                _ => server::Cancel::Queued,
            },
            error_rate: kind.error_rate,
            connections: ((tier.conn_cap_per_core * f64::from(kind.cores)) as usize).max(1),
            handshake_work: tier.handshake_work,
            probe_work: tier.probe_work,
            report_every: tier.report_period as u64,
            key_span: (self.day.fam.affinity_s * 1e6) as u64,
            key_gain: self.day.fam.affinity_gain,
            keys: 1000,
            ..server::Spec::default()
        };
        ServerPlan {
            zone: server.zone,
            weight: server.weight,
            spec,
            cell: 0,
            kind: server.kind,
            up: server.up,
        }
    }

    fn rules(&self) -> Rules {
        Rules {
            unserved_max: span(self.day.fam.bare),
            drain_grace: span(self.day.drain_grace),
            cold: span(self.tier().stated_cold),
            start_capacity: self.tier().stated_cold_from,
            fall_multiple: self.day.fall_multiple,
            fall_span: span(self.day.fall_for),
            full_may_have_run: self.day.full_may_have_run,
            drain_binds_alone: self.day.only_draining_binds
                || self.day.troubles.iter().any(|t| t.kind == "wrong_list"),
        }
    }

    fn config(&self) -> Result<stepspur_conductor::Config, ReplayError> {
        let (day, rules) = (self.day, self.rules());
        let class = |c: &DayClass| {
            let plan = class_plan(c);
            ClassConfig {
                name: plan.name,
                effect: plan.effect,
                aim: plan.aim,
                deadline: plan.deadline,
                worth: plan.worth,
                group: plan.group,
                window: plan.window,
                own_zone: false,
            }
        };
        let cores = self.tier().kinds.iter().map(|k| k.cores).min().unwrap_or(1);
        let fleet = Fleet {
            zones: day.zones.clone(),
            my_zone: None,
            conductors: 1,
            proxies: self.proxies.len() as u32,
            classes: day.classes.iter().map(class).collect(),
            admit: if day.fam.admit == "rate" { AdmitConfig::Rate } else { AdmitConfig::Share },
            connections_min: (self.tier().conn_cap_per_core * f64::from(cores)) as u32,
            cold: rules.cold,
            start_capacity: rules.start_capacity,
            fall_multiple: rules.fall_multiple,
            drain_grace: rules.drain_grace,
            unserved_max: rules.unserved_max,
            drain_binds_alone: rules.drain_binds_alone,
        };
        let over = toml::toml! {
            [probes]
            timeout = "600ms"
        };
        let mut config = conductor_config(fleet, &over).map_err(ReplayError::Unfit)?;
        config.channel.lines_per_s = day.fam.rate;
        config.channel.message_head = day.fam.head;
        config.channel.waiting_max = day.fam.backlog;
        config.channel.messages_max = day.fam.messages_most;
        config.channel.transit_max = span(day.fam.late * 4.0);
        config.reports.every = span(day.fam.period);
        config.reports.intake_per_s = day.fam.intake;
        Ok(config)
    }

    /// Places of kept servers, of those that a trouble names.
    fn kept(&self, on: &[usize]) -> Vec<usize> {
        on.iter().filter_map(|old| self.servers.get(old).copied()).collect()
    }

    /// A trouble as the stand-ins play it; nothing, and a word in `left_out`, if they cannot.
    fn strikes(&mut self, trouble: &DayTrouble) -> Vec<Strike> {
        let servers = self.kept(&trouble.on);
        if !trouble.on.is_empty() && servers.is_empty() {
            let what = format!("trouble `{}`: none of its servers is kept at this scale", trouble.kind);
            self.left_out.push(what);
            return Vec::new();
        }
        let how = trouble.how.as_deref().unwrap_or_default();
        let Some(mapped) = self.map(trouble, how, servers) else {
            let form = if how.is_empty() { String::new() } else { format!(" ({how})") };
            self.left_out.push(format!("trouble `{}`{form} at {:.1} s", trouble.kind, trouble.at * 1e-6));
            return Vec::new();
        };
        let name = format!("{} at {:.0} s", trouble.kind, trouble.at * 1e-6);
        // A shift stays for good: its length is the time that it takes.
        let lasts = if trouble.kind == "shift" { self.day.length } else { trouble.len };
        let mut strikes = vec![Strike { name, at: span(trouble.at), lasts: span(lasts), trouble: mapped }];
        if trouble.kind == "grow" {
            let follows = Trouble::Burst(1.0 + (trouble.size - 1.0).max(0.0) * trouble.extra);
            let name = "traffic follows growth".to_owned();
            let at = span(trouble.at + trouble.len);
            strikes.push(Strike { name, at, lasts: span(self.day.length), trouble: follows });
        }
        strikes
    }

    fn map(&mut self, trouble: &DayTrouble, how: &str, servers: Vec<usize>) -> Option<Trouble> {
        let (day, size, extra) = (self.day, trouble.size, trouble.extra);
        let zones = day.zones.len();
        let zone = trouble.which % zones;
        let aim = day.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        let seconds = |s: f64| Duration::from_secs_f64(s.clamp(0.0, 60.0));
        Some(match (trouble.kind.as_str(), how) {
            ("burst", _) => Trouble::Burst(size),
            ("shift", "mix") => {
                let work = |k: &usize| day.classes[*k].work;
                let heaviest = (0..day.classes.len()).max_by(|a, b| work(a).total_cmp(&work(b)))?;
                Trouble::Mix(heaviest, size.clamp(0.0, 1.0))
            }
            ("shift", _) => Trouble::Shift(zone, size.clamp(0.0, 1.0)),
            ("heavy_tail", _) => Trouble::HeavyTail(trouble.which % day.classes.len(), extra, size),
            ("deploy", _) => Trouble::Release(seconds(extra), self.steps(trouble)),
            ("grow", _) => Trouble::Release(Duration::ZERO, self.steps(trouble)),
            ("mass_restart", "silence") | ("vanish", _) => Trouble::Vanish(servers),
            ("mass_restart", _) => Trouble::Die(servers),
            ("hang", _) => Trouble::Hang(servers),
            ("fast_errors", _) => Trouble::Fail(servers, size.clamp(0.0, 1.0)),
            ("pauses", _) => Trouble::Pause(servers, seconds(extra.max(0.01)), span(size * 1e3)),
            ("answer_lost", how) => Trouble::LoseAnswers(servers, size.clamp(0.0, 1.0), how == "reset"),
            ("false_reports", how) => {
                let lie = match how {
                    "zero" => Lie::Times(0.0),
                    "stuck" => Lie::Stuck,
                    "busy" => Lie::Busy,
                    _ => Lie::Times(size),
                };
                Trouble::FalseReports(servers, lie, extra.max(1.0))
            }
            ("conn_squeeze", _) => {
                let cap = size * self.proxies.len() as f64 / self.servers.len().max(1) as f64 + 1.0;
                let least = day.tiers[0].kinds.iter().map(|k| k.cores).min()?;
                Trouble::FewConnections(
                    servers,
                    (day.tiers[0].conn_cap_per_core * f64::from(least) / cap).max(1.0),
                )
            }
            ("handshake_slow", _) => Trouble::SlowHandshakes(servers, extra.max(1.0), span(size * 1e3)),
            ("discovery_down", _) => Trouble::ListDown,
            ("wrong_list", "shrink") => Trouble::WrongList(servers),
            ("wrong_list", "empty") => Trouble::WrongList((0..self.servers.len()).collect()),
            ("wrong_list", "ghosts") => Trouble::Ghosts(servers.len().max(1)),
            ("zone_loss", _) if extra > 0.5 => {
                let within = |(old, new): (&usize, &usize)| (day.servers[*old].zone == zone).then_some(*new);
                Trouble::Vanish(self.servers.iter().filter_map(within).collect())
            }
            ("zone_loss", _) => Trouble::LoseZone(zone, size > 0.5),
            ("zone_cut", _) => Trouble::CutZone(zone),
            // Pairs are told as first zone times zones, plus the second.
            ("slow_link", "pair") if trouble.which / zones < zones && trouble.which / zones != zone => {
                Trouble::SlowLink(trouble.which / zones, zone, span(size * aim), extra.clamp(0.0, 1.0))
            }
            ("slow_link", _) if zones > 1 => {
                Trouble::SlowLink(zone, (zone + 1) % zones, span(size * aim), extra.clamp(0.0, 1.0))
            }
            ("origin_slow", _) => Trouble::SlowChannel(size),
            ("report_late", _) => Trouble::LateReports(seconds(size)),
            // The day does not tell how many: just under half is the most that was seen.
            ("counter_down", _) => Trouble::CutOff((0..self.proxies.len()).step_by(2).collect()),
            _ => return None,
        })
    }

    fn steps(&self, trouble: &DayTrouble) -> Vec<Step> {
        let step = |s: &DayStep| Step {
            at: span(s.at - trouble.at),
            stop: self.kept(&s.stop),
            start: self.kept(&s.start),
        };
        trouble.steps.iter().map(step).collect()
    }
}

fn kind<'a>(day: &'a Day, server: &DayServer) -> &'a DayKind {
    &day.tiers[server.tier].kinds[server.kind]
}

/// Every so many of each group, one at least, in their order.
fn thin<G: Ord>(groups: impl Iterator<Item = G>, scale: f64) -> Vec<usize> {
    let mut seen: BTreeMap<G, usize> = BTreeMap::new();
    let mut kept = Vec::new();
    for (place, group) in groups.enumerate() {
        let nth = seen.entry(group).or_default();
        // The nth is kept when the rounded count rises with it; the first always is.
        if *nth == 0 || (scale * (*nth + 1) as f64).ceil() > (scale * *nth as f64).ceil() {
            kept.push(place);
        }
        *nth += 1;
    }
    kept
}

fn class_plan(class: &DayClass) -> ClassPlan {
    ClassPlan {
        name: class.name.clone(),
        share: class.share,
        work: class.work,
        form: Form::LogNormal,
        cv: class.cv,
        aim: span(class.aim),
        deadline: span(class.deadline),
        worth: class.worth,
        late_worth: class.late_worth,
        effect: match class.effect.as_str() {
            "safe" => EffectConfig::ReadLike,
            "keyed" => EffectConfig::IdempotencyKey,
            _ => EffectConfig::NonIdempotent,
        },
        group: match class.group.as_str() {
            "zone" => GroupConfig::Zone,
            "cell" => GroupConfig::Cell,
            _ => GroupConfig::All,
        },
        window: span(class.window),
    }
}
