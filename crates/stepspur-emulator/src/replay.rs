//! Day files of the bench: converts a file, as the `draw` command of the simulator prints it, to a [`Plan`]
//! of a size that one machine can run.
//!
//! Every kind of fault is converted to one that the emulator can play, or listed in [`Replayed::left_out`];
//! none is dropped silently. Servers and proxies are thinned evenly, and the request rate in proportion, so
//! that the load per server stays as drawn. Times in day files are in microseconds unless noted.

mod day_file;

use std::collections::BTreeMap;
use std::time::Duration;

use stepspur_conductor::config::{
    AdmissionModeConfig, ClassConfig, DedupScopeConfig, Fleet, IdempotencyConfig,
};
use stepspur_model::work::Form;
use stepspur_model::{proxy, server};
use stepspur_proto::v1;

use self::day_file::{Day, DayClass, DayFault, DayKind, DayServer, DayStep, Tier};
use crate::plan::{
    ClassPlan, Clients, FalseReport, FaultAction, Plan, ProxyPlan, Rules, ScheduledFault, ServerPlan, Step,
};
use crate::scenario::conductor_config;

/// Running servers, proxies and requests per second that a small machine can run without falling behind.
const SMALL_MACHINE: (f64, f64, f64) = (120.0, 120.0, 250.0);

/// Why a day file cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// It is not JSON, or a key is missing or of the wrong type; the message names line and column.
    #[error("not a day file of the bench: {0}")]
    Parse(#[from] serde_json::Error),
    /// It is valid JSON but inconsistent, or uses a feature that is not supported.
    #[error("the day file cannot be played: {0}")]
    Unfit(String),
}

/// A converted day file.
#[derive(Debug)]
pub struct Replayed {
    /// The plan to run.
    pub plan: Plan,
    /// Share of the servers, proxies and traffic of the day that the plan keeps, above 0 and at most 1.
    pub scale: f64,
    /// Zone indices of the conductors of the day. The emulation with sockets runs one conductor, in the first
    /// of them.
    pub conductor_zones: Vec<usize>,
    /// Constant delay of reports. The emulation with sockets ignores it.
    pub reports_late: Duration,
    /// Faults that are not played, for display.
    pub left_out: Vec<String>,
    /// Properties of the day that only the emulation with sockets leaves out, each with the reason.
    pub left_out_by_sockets: Vec<String>,
}

/// Reads a day file. Without a scale, uses the largest one that a small machine can run.
///
/// # Errors
/// See [`ReplayError`].
pub fn read(text: &str, scale: Option<f64>) -> Result<Replayed, ReplayError> {
    let day: Day = serde_json::from_str(text)?;
    let unfit = |what: &str| Err(ReplayError::Unfit(what.to_owned()));
    if day.fam.slices > 0 {
        return unfit("`fam.slices` above 0 is not supported");
    }
    let tiers_known =
        day.servers.iter().all(|s| day.tiers.get(s.tier).is_some_and(|t| s.kind < t.kinds.len()));
    let zones_known = day.servers.iter().map(|s| s.zone).chain(day.balancers.iter().map(|b| b.zone));
    if day.zones.is_empty() || day.classes.is_empty() || !tiers_known {
        return unfit("no zones, no classes, or servers of undefined kinds");
    }
    if !zones_known.into_iter().all(|zone| zone < day.zones.len()) {
        return unfit("a server or proxy is in an undefined zone");
    }
    if let Some(scale) = scale
        && !(scale > 0.0 && scale <= 1.0)
    {
        return unfit("the scale must be above 0 and at most 1");
    }
    PlanBuilder::new(&day, scale).finish()
}

/// Converts a day file to a plan.
struct PlanBuilder<'a> {
    day: &'a Day,
    scale: f64,
    /// The servers that remain: index in the plan by index in the day.
    servers: BTreeMap<usize, usize>,
    /// Indices in the day of the proxies that remain.
    proxies: Vec<usize>,
    /// Requests per second of the plan.
    rate: f64,
    left_out: Vec<String>,
}

/// Converts microseconds to a duration; negative values give zero.
fn from_micros(us: f64) -> Duration {
    Duration::from_micros(us.max(0.0) as u64)
}

impl<'a> PlanBuilder<'a> {
    fn new(day: &'a Day, scale: Option<f64>) -> Self {
        // The request rate that fills the servers that run at the start to the load of the day.
        let up = day.servers.iter().filter(|s| s.up);
        let capacity: f64 = up.clone().map(|s| f64::from(kind(day, s).cores) * s.speed).sum();
        let shares: f64 = day.classes.iter().map(|c| c.share).sum();
        let work: f64 = day.classes.iter().map(|c| c.share * c.work).sum::<f64>() / shares.max(1e-9);
        let day_rate = day.traffic.load * capacity / (work * 1e-6).max(1e-9);
        let max_scale = (SMALL_MACHINE.0 / up.count() as f64)
            .min(SMALL_MACHINE.1 / day.balancers.len().max(1) as f64)
            .min(SMALL_MACHINE.2 / day_rate);
        let scale = scale.unwrap_or(max_scale).min(1.0);
        let retained = thin_evenly(day.servers.iter().map(|s| (s.zone, s.kind, s.up)), scale);
        let servers = retained.iter().enumerate().map(|(new, old)| (*old, new)).collect();
        let proxies = thin_evenly(day.balancers.iter().map(|b| (b.zone, 0, true)), scale);
        // The rate is reduced like the capacity of the running servers, which thinning changes unevenly.
        let up_retained = retained.iter().map(|k| &day.servers[*k]).filter(|s| s.up);
        let retained_capacity: f64 = up_retained.map(|s| f64::from(kind(day, s).cores) * s.speed).sum();
        let rate = day_rate * retained_capacity / capacity.max(1e-9);
        Self { day, scale, servers, proxies, rate, left_out: Vec::new() }
    }

    fn finish(mut self) -> Result<Replayed, ReplayError> {
        let day = self.day;
        let scheduled_faults = day.troubles.iter().flat_map(|t| self.scheduled_faults(t)).collect();
        let mut left_out_by_sockets = Vec::new();
        // The file lists a zone for each conductor.
        let in_zone = |zone: &u32| (*zone as usize) % day.zones.len();
        let conductor_zones: Vec<usize> = day.fam.controllers.iter().map(in_zone).collect();
        if conductor_zones.len() > 1 {
            let count = conductor_zones.len();
            left_out_by_sockets.push(format!("{count} conductors: one is played, with all proxies"));
        }
        let reports_late = from_micros(day.fam.heard_late);
        if !reports_late.is_zero() {
            left_out_by_sockets.push(format!(
                "reports {:.1} s late all day: loopback is quicker",
                reports_late.as_secs_f64()
            ));
        }
        let server = |old: &usize| self.server(&day.servers[*old]);
        let by_index: BTreeMap<usize, usize> = self.servers.iter().map(|(old, new)| (*new, *old)).collect();
        let zones = day.zones.iter().enumerate();
        let share = |k: usize| day.traffic.zone_share.get(k).copied().unwrap_or(0.0);
        let plan = Plan {
            name: format!("{} {}", day.site, day.kind),
            seed: day.noise,
            length: from_micros(day.length),
            zones: zones.map(|(k, name)| (name.clone(), share(k))).collect(),
            servers: by_index.values().map(server).collect(),
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
                default_retry_policy: v1::Resend::try_from(day.fam.usual_how).unwrap_or_default(),
            },
            standing: day.fam.standing,
            redial: from_micros(day.fam.redial),
            classes: day.classes.iter().map(class_plan).collect(),
            rate: self.rate,
            shape: day.traffic.shape.clone(),
            clients: Clients {
                retries: day.clients.retries,
                wait: if day.clients.backoff == "none" {
                    Duration::ZERO
                } else {
                    from_micros(day.clients.backoff_us)
                },
                try_share: day.clients.try_share,
                keys: day.traffic.keys,
                key_zipf: day.traffic.key_zipf,
            },
            list_delay: from_micros(day.discovery.notice),
            conductors: 1,
            conductor_zone: conductor_zones.first().copied().unwrap_or(0),
            rules: self.rules(),
            config: self.config()?,
            faults: scheduled_faults,
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
            unserved_max: from_micros(self.day.fam.bare),
            drain_grace: from_micros(self.day.drain_grace),
            cold: from_micros(self.tier().stated_cold),
            start_capacity: self.tier().stated_cold_from,
            fall_multiple: self.day.fall_multiple,
            fall_span: from_micros(self.day.fall_for),
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
            admit: if day.fam.admit == "rate" {
                AdmissionModeConfig::Rate
            } else {
                AdmissionModeConfig::Share
            },
            connections_min: (self.tier().conn_cap_per_core * f64::from(cores)) as u32,
            cold: rules.cold,
            start_capacity: rules.start_capacity,
            fall_multiple: rules.fall_multiple,
            drain_grace: rules.drain_grace,
            unserved_max: rules.unserved_max,
            drain_binds_alone: rules.drain_binds_alone,
        };
        let overrides = toml::toml! {
            [probes]
            timeout = "600ms"
        };
        let mut config = conductor_config(fleet, &overrides).map_err(ReplayError::Unfit)?;
        config.channel.lines_per_s = day.fam.rate;
        config.channel.message_head = day.fam.head;
        config.channel.waiting_max = day.fam.backlog;
        config.channel.messages_max = day.fam.messages_most;
        config.channel.transit_max = from_micros(day.fam.late * 4.0);
        config.reports.every = from_micros(day.fam.period);
        config.reports.intake_per_s = day.fam.intake;
        Ok(config)
    }

    /// Plan indices of those of the given servers that remain.
    fn retained(&self, on: &[usize]) -> Vec<usize> {
        on.iter().filter_map(|old| self.servers.get(old).copied()).collect()
    }

    /// Converts a fault and its time. If it cannot be played, returns nothing and adds it to `left_out`.
    fn scheduled_faults(&mut self, fault: &DayFault) -> Vec<ScheduledFault> {
        let servers = self.retained(&fault.on);
        if !fault.on.is_empty() && servers.is_empty() {
            let what = format!("trouble `{}`: none of its servers remains at this scale", fault.kind);
            self.left_out.push(what);
            return Vec::new();
        }
        let how = fault.how.as_deref().unwrap_or_default();
        let Some(converted) = self.convert_fault(fault, how, servers) else {
            let form = if how.is_empty() { String::new() } else { format!(" ({how})") };
            self.left_out.push(format!("trouble `{}`{form} at {:.1} s", fault.kind, fault.at * 1e-6));
            return Vec::new();
        };
        let name = format!("{} at {:.0} s", fault.kind, fault.at * 1e-6);
        // A shift is permanent: `len` is only the time until it is complete.
        let lasts = if fault.kind == "shift" { self.day.length } else { fault.len };
        let mut scheduled_faults = vec![ScheduledFault {
            name,
            at: from_micros(fault.at),
            duration: from_micros(lasts),
            trouble: converted,
        }];
        if fault.kind == "grow" {
            let growth_traffic = FaultAction::Burst(1.0 + (fault.size - 1.0).max(0.0) * fault.extra);
            let name = "traffic follows growth".to_owned();
            let at = from_micros(fault.at + fault.len);
            scheduled_faults.push(ScheduledFault {
                name,
                at,
                duration: from_micros(self.day.length),
                trouble: growth_traffic,
            });
        }
        scheduled_faults
    }

    /// Converts the kind of a fault; `None` if the emulator cannot play it. `how` is the variant, empty for
    /// the usual one. Zones and classes in `which` wrap around.
    fn convert_fault(&mut self, fault: &DayFault, how: &str, servers: Vec<usize>) -> Option<FaultAction> {
        let (day, size, extra) = (self.day, fault.size, fault.extra);
        let zones = day.zones.len();
        let zone = fault.which % zones;
        let aim = day.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        let seconds = |s: f64| Duration::from_secs_f64(s.clamp(0.0, 60.0));
        Some(match (fault.kind.as_str(), how) {
            ("burst", _) => FaultAction::Burst(size),
            ("shift", "mix") => {
                let work = |k: &usize| day.classes[*k].work;
                let heaviest = (0..day.classes.len()).max_by(|a, b| work(a).total_cmp(&work(b)))?;
                FaultAction::Mix(heaviest, size.clamp(0.0, 1.0))
            }
            ("shift", _) => FaultAction::Shift(zone, size.clamp(0.0, 1.0)),
            ("heavy_tail", _) => FaultAction::HeavyTail(fault.which % day.classes.len(), extra, size),
            ("deploy", _) => FaultAction::Release(seconds(extra), self.steps(fault)),
            ("grow", _) => FaultAction::Release(Duration::ZERO, self.steps(fault)),
            ("mass_restart", "silence") | ("vanish", _) => FaultAction::Vanish(servers),
            ("mass_restart", _) => FaultAction::Die(servers),
            ("hang", _) => FaultAction::Hang(servers),
            ("fast_errors", _) => FaultAction::Fail(servers, size.clamp(0.0, 1.0)),
            ("pauses", _) => FaultAction::Pause(servers, seconds(extra.max(0.01)), from_micros(size * 1e3)),
            ("answer_lost", how) => FaultAction::LoseAnswers(servers, size.clamp(0.0, 1.0), how == "reset"),
            ("false_reports", how) => {
                let lie = match how {
                    "zero" => FalseReport::Times(0.0),
                    "stuck" => FalseReport::Stuck,
                    "busy" => FalseReport::Busy,
                    _ => FalseReport::Times(size),
                };
                FaultAction::FalseReports(servers, lie, extra.max(1.0))
            }
            ("conn_squeeze", _) => {
                let cap = size * self.proxies.len() as f64 / self.servers.len().max(1) as f64 + 1.0;
                let min_cores = day.tiers[0].kinds.iter().map(|k| k.cores).min()?;
                FaultAction::FewConnections(
                    servers,
                    (day.tiers[0].conn_cap_per_core * f64::from(min_cores) / cap).max(1.0),
                )
            }
            ("handshake_slow", _) => {
                FaultAction::SlowHandshakes(servers, extra.max(1.0), from_micros(size * 1e3))
            }
            ("discovery_down", _) => FaultAction::ListDown,
            ("wrong_list", "shrink") => FaultAction::WrongList(servers),
            ("wrong_list", "empty") => FaultAction::WrongList((0..self.servers.len()).collect()),
            ("wrong_list", "ghosts") => FaultAction::Ghosts(servers.len().max(1)),
            ("zone_loss", _) if extra > 0.5 => {
                let within = |(old, new): (&usize, &usize)| (day.servers[*old].zone == zone).then_some(*new);
                FaultAction::Vanish(self.servers.iter().filter_map(within).collect())
            }
            ("zone_loss", _) => FaultAction::LoseZone(zone, size > 0.5),
            ("zone_cut", _) => FaultAction::CutZone(zone),
            // A pair of zones is encoded as `first * zones + second`.
            ("slow_link", "pair") if fault.which / zones < zones && fault.which / zones != zone => {
                FaultAction::SlowLink(
                    fault.which / zones,
                    zone,
                    from_micros(size * aim),
                    extra.clamp(0.0, 1.0),
                )
            }
            ("slow_link", _) if zones > 1 => FaultAction::SlowLink(
                zone,
                (zone + 1) % zones,
                from_micros(size * aim),
                extra.clamp(0.0, 1.0),
            ),
            ("origin_slow", _) => FaultAction::SlowChannel(size),
            ("report_late", _) => FaultAction::LateReports(seconds(size)),
            // The file does not say how many proxies: just under half is the most that was seen.
            ("counter_down", _) => FaultAction::CutOff((0..self.proxies.len()).step_by(2).collect()),
            _ => return None,
        })
    }

    fn steps(&self, fault: &DayFault) -> Vec<Step> {
        let step = |s: &DayStep| Step {
            at: from_micros(s.at - fault.at),
            stop: self.retained(&s.stop),
            start: self.retained(&s.start),
        };
        fault.steps.iter().map(step).collect()
    }
}

fn kind<'a>(day: &'a Day, server: &DayServer) -> &'a DayKind {
    &day.tiers[server.tier].kinds[server.kind]
}

/// Keeps a share of each group, at least one member, at even intervals; returns the retained indices in
/// order.
fn thin_evenly<G: Ord>(groups: impl Iterator<Item = G>, scale: f64) -> Vec<usize> {
    let mut seen: BTreeMap<G, usize> = BTreeMap::new();
    let mut retained = Vec::new();
    for (index, group) in groups.enumerate() {
        let nth = seen.entry(group).or_default();
        // The nth member is retained if it increases the rounded-up count; the first always is.
        if *nth == 0 || (scale * (*nth + 1) as f64).ceil() > (scale * *nth as f64).ceil() {
            retained.push(index);
        }
        *nth += 1;
    }
    retained
}

fn class_plan(class: &DayClass) -> ClassPlan {
    ClassPlan {
        name: class.name.clone(),
        share: class.share,
        work: class.work,
        form: Form::LogNormal,
        cv: class.cv,
        aim: from_micros(class.aim),
        deadline: from_micros(class.deadline),
        worth: class.worth,
        late_worth: class.late_worth,
        effect: match class.effect.as_str() {
            "safe" => IdempotencyConfig::ReadLike,
            "keyed" => IdempotencyConfig::IdempotencyKey,
            _ => IdempotencyConfig::NonIdempotent,
        },
        group: match class.group.as_str() {
            "zone" => DedupScopeConfig::Zone,
            "cell" => DedupScopeConfig::Cell,
            _ => DedupScopeConfig::All,
        },
        window: from_micros(class.window),
    }
}
