//! Playing a plan: stand-ins on loopback, a conductor, troubles at their times, and the verdict.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stepspur_conductor::Config;
use stepspur_conductor::config::Source;
use stepspur_conductor::source::{NodeRecord, NodeState};
use stepspur_identity::keys::KeyFault;
use stepspur_model::Micros;
use stepspur_proto::v1;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clients::{Crowd, Outcomes, Tally};
use crate::identity::DayKeys;
use crate::judge::{Break, Figures, Rule, judge};
use crate::launch::{LaunchError, Launcher, Running};
use crate::links::Links;
use crate::node::{Memories, Node};
use crate::plan::{Plan, Step, Strike, Trouble};
use crate::proxy::Proxy;
use crate::registry::Registry;
use crate::relay;
use crate::scenario::Bound;
use crate::series::{self, Sample, Series, ZoneSample};
use crate::trace::{Event, Trace, lock};
use crate::usage::Usage;

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A stand-in found no socket.
    #[error("a stand-in cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// The conductor did not start.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The day's own keys cannot be made.
    #[error("the day's keys: {0}")]
    Keys(#[from] KeyFault),
    /// More stand-ins than one machine has sockets for.
    #[error("{0} servers and {1} proxies are too many for sockets on one machine: play it in virtual time")]
    TooLarge(usize, usize),
    /// The plan's settings for the conductor are out of bounds.
    #[error("the day's settings are out of bounds: {0}")]
    Config(String),
}

/// How far a day is.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Since its begin.
    pub elapsed: Duration,
    /// By class.
    pub tallies: Vec<Tally>,
    /// Troubles that last.
    pub troubles: Vec<String>,
    /// The stand-ins, lately.
    pub sample: Sample,
}

/// A rule and how it fared.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The rule.
    pub rule: Rule,
    /// True: it was never broken.
    pub kept: bool,
    /// The first offence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub broken: Option<Break>,
}

/// An expectation and how it fared.
#[derive(Clone, Debug, Serialize)]
pub struct Expected {
    /// What was expected.
    pub words: String,
    /// What was.
    pub value: f64,
    /// True: it was as expected.
    pub met: bool,
}

/// A day that was played.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Its name.
    pub day: String,
    /// The paragraph of docs/on-call.md that it trains.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub trains: String,
    /// Zones' names.
    pub zones: Vec<String>,
    /// Its seed.
    pub seed: u64,
    /// Servers (those that start later among them), proxies, requests a second.
    pub size: (usize, usize, f64),
    /// By class.
    pub classes: Vec<Tally>,
    /// Worth answered over worth asked for, of simulated servers.
    pub service: f64,
    /// The five rules.
    pub rules: Vec<Verdict>,
    /// By phase, by class: requests asked in it.
    pub phases: Vec<(String, Vec<Tally>)>,
    /// What was expected beside the rules.
    pub expectations: Vec<Expected>,
    /// Servers that fell over.
    pub fallen: usize,
    /// Troubles that were played, and when: seconds from the day's begin.
    pub bands: Vec<(String, Range<f64>)>,
    /// Simulated time over this machine's time while requests came; 1 unless the machine fell behind.
    pub pace: f64,
    /// Processor time, seconds: by the emulator (this process) and by the conductor, if it has its own process.
    pub cpu_s: [f64; 2],
    /// The day over time.
    #[serde(skip)]
    pub series: Series,
    /// Orders that proxies read.
    pub orders: usize,
    /// How late this machine's timers were, milliseconds: p99 and most.
    pub lag_ms: [f64; 2],
    /// Why the day says nothing, if so: this machine was too slow for it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
}

impl Report {
    /// True: all rules were kept.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|r| r.kept)
    }

    /// True: all expectations were met.
    pub fn met(&self) -> bool {
        self.expectations.iter().all(|e| e.met)
    }
}

/// A conductor's place: who runs there now, where it listens, and its settings, with a list of its own.
struct Slot {
    config: Config,
    running: Mutex<Option<Running>>,
    address: watch::Sender<Option<SocketAddr>>,
}

struct World {
    plan: Arc<Plan>,
    trace: Arc<Trace>,
    links: Arc<Links>,
    registry: Arc<Registry>,
    nodes: Vec<Arc<Node>>,
    proxies: Vec<Arc<Proxy>>,
    crowd: Arc<Crowd>,
    launcher: Launcher,
    conductors: Vec<Slot>,
    active: std::sync::Mutex<Vec<String>>,
    samples: std::sync::Mutex<Vec<Sample>>,
    places: BTreeMap<SocketAddr, usize>,
    /// Processor time of conductors that were killed, seconds.
    conductor_cpu: std::sync::Mutex<f64>,
    tasks: TaskTracker,
}

/// Servers and proxies that are played by sockets at most.
const BY_SOCKETS: usize = 5000;
/// The stand-ins have so long to come up before the first request.
const LEAD: Duration = Duration::from_millis(1000);
/// A machine whose timers are so late plays no day of this rate.
const LAG_P99: Duration = Duration::from_millis(100);
const LAG_MOST: Duration = Duration::from_millis(1500);

/// Plays a day through a conductor and judges it.
///
/// # Errors
/// See [`RunError`]. A broken rule is no error: the report tells.
pub async fn play(
    plan: Plan,
    launcher: Launcher,
    progress: Option<watch::Sender<Progress>>,
) -> Result<Report, RunError> {
    if plan.servers.len() + plan.proxies.len() > BY_SOCKETS {
        return Err(RunError::TooLarge(plan.servers.len(), plan.proxies.len()));
    }
    let plan = Arc::new(plan);
    let stop = CancellationToken::new();
    let _stopped = stop.clone().drop_guard();
    let world = World::build(Arc::clone(&plan), launcher, &stop).await?;
    // What goes wrong from the first moment does so before anybody has joined.
    for strike in plan.strikes.iter().filter(|s| s.from_the_start()) {
        world.set(&strike.trouble, true).await;
    }
    for conductor in 0..world.conductors.len() {
        world.start_conductor(conductor).await?;
    }
    let begin = Instant::now() + LEAD;
    let lag = tokio::spawn(measure_lag(stop.clone()));
    let mut strikes = JoinSet::new();
    for strike in &plan.strikes {
        strikes.spawn(Arc::clone(&world).strike(strike.clone(), begin));
    }
    if let Some(progress) = progress {
        world.tasks.spawn(Arc::clone(&world).tell(progress, begin, stop.clone()));
    }
    world.tasks.spawn(Arc::clone(&world).sample(begin, stop.clone()));
    let cpu_before = own_cpu();
    let fits = Arc::clone(&world.crowd).run(begin, stop.clone()).await;
    // Requests that came last are waited for; their time is no part of the pace.
    let fell_behind = world.crowd.behind();
    let cpu = own_cpu() - cpu_before;
    strikes.shutdown().await;
    let events = world.trace.take();
    stop.cancel();
    for conductor in 0..world.conductors.len() {
        world.kill_conductor(conductor).await;
    }
    world.tasks.close();
    world.tasks.wait().await;
    let lag = lag.await.unwrap_or_default();
    let zone = |n: &Arc<Node>| (n.address, plan.zones[n.zone].0.clone());
    let figures = Figures::new(&plan, world.nodes.iter().map(zone).collect());
    let begin_at = events.first().map_or(0, |(at, _)| *at) + LEAD.as_micros() as u64;
    let breaks = judge(&figures, begin_at, &events);
    let verdict = |rule: Rule| {
        let broken = breaks.iter().find(|b| b.rule == rule).cloned();
        Verdict { rule, kept: broken.is_none(), broken }
    };
    let outcomes = lock(&world.crowd.outcomes);
    let fallen = events.iter().filter(|(_, e)| matches!(e, Event::Fell { .. })).count();
    let away = longest_away(&events, begin_at + plan.length.as_micros() as u64);
    let bands = plan.strikes.iter().map(|s| {
        let from = s.at.as_secs_f64();
        (s.name.clone(), from..(from + s.lasts.as_secs_f64()).min(plan.length.as_secs_f64().max(from)))
    });
    let length = plan.length.as_secs_f64();
    Ok(Report {
        trains: plan.trains.clone(),
        zones: plan.zones.iter().map(|z| z.0.clone()).collect(),
        phases: plan.phases.iter().enumerate().map(|(k, p)| (p.0.clone(), outcomes.of_phase(k))).collect(),
        expectations: expectations(&plan, &outcomes, fallen, away),
        fallen,
        bands: bands.collect(),
        pace: length / (length + fell_behind.as_secs_f64()),
        cpu_s: [cpu, *lock(&world.conductor_cpu)],
        series: Series {
            samples: std::mem::take(&mut *lock(&world.samples)),
            orders: series::orders(&events, begin_at, plan.length),
            seconds: outcomes.seconds().to_vec(),
        },
        day: plan.name.clone(),
        seed: plan.seed,
        size: (plan.servers.len(), plan.proxies.len(), plan.rate),
        classes: outcomes.tallies(),
        service: outcomes.service(),
        rules: Rule::ALL.into_iter().map(verdict).collect(),
        orders: events.iter().filter(|(_, e)| matches!(e, Event::Order { .. })).count(),
        lag_ms: [lag.0, lag.1].map(|lag| lag.as_secs_f64() * 1e3),
        void: (!fits || lag.0 > LAG_P99 || lag.1 > LAG_MOST).then(|| {
            format!("this machine is too slow: timers were {:?} late at p99, {:?} at most", lag.0, lag.1)
        }),
    })
}

fn own_cpu() -> f64 {
    Usage::of(std::process::id()).unwrap_or_default().cpu_s
}

fn expectations(plan: &Plan, outcomes: &Outcomes, fallen: usize, away: Duration) -> Vec<Expected> {
    let mut all = Vec::new();
    for expect in &plan.expectations {
        let phase = expect.phase.as_ref().and_then(|name| plan.phases.iter().position(|p| p.0 == *name));
        let class = expect.class.as_ref().and_then(|name| plan.classes.iter().position(|c| c.name == *name));
        let tally = outcomes.tally(phase, class);
        let share = |many: u64| many as f64 / tally.asked.max(1) as f64;
        let whose = expect.class.as_deref().unwrap_or("requests");
        let when = expect.phase.as_ref().map(|p| format!(" in phase {p}")).unwrap_or_default();
        for (bound, limit) in expect.bounds() {
            let percent = limit * 100.0;
            let (words, value, met) = match bound {
                // Where nothing was asked, all was answered in time.
                Bound::InTime => {
                    let value = if tally.asked == 0 { 1.0 } else { share(tally.in_time) };
                    (format!("{percent:.1}% of {whose} in time at least{when}"), value, value >= limit)
                }
                Bound::Late => {
                    let value = share(tally.late);
                    (format!("{percent:.1}% of {whose} late at most{when}"), value, value <= limit)
                }
                Bound::Refused => {
                    let value = share(tally.refused);
                    (format!("{percent:.1}% of {whose} refused at most{when}"), value, value <= limit)
                }
                Bound::Lost => {
                    let value = share(tally.refused + tally.failed);
                    (format!("{percent:.1}% of {whose} lost at most{when}"), value, value <= limit)
                }
                Bound::P99 => {
                    let value = tally.answer_ms[1] / 1e3;
                    (format!("99% of answers to {whose} within {limit:.2} s{when}"), value, value <= limit)
                }
                Bound::Fallen => {
                    let value = fallen as f64;
                    (format!("{limit:.0} servers fall over at most"), value, value <= limit)
                }
                Bound::Away => {
                    let value = away.as_secs_f64();
                    (format!("no proxy is without a conductor for over {limit:.2} s"), value, value <= limit)
                }
            };
            all.push(Expected { words, value, met });
        }
    }
    all
}

/// The longest time that a proxy which had a conductor was without one, up to `end`.
fn longest_away(events: &[(Micros, Event)], end: Micros) -> Duration {
    let (mut down, mut longest) = (BTreeMap::new(), 0);
    for (at, event) in events.iter().filter(|(at, _)| *at <= end) {
        match event {
            Event::Down { proxy } => _ = down.insert(*proxy, *at),
            Event::Up { proxy, .. } => {
                longest = longest.max(down.remove(proxy).map_or(0, |since| at - since))
            }
            _ => {}
        }
    }
    Duration::from_micros(down.into_values().map(|since| end - since).fold(longest, Micros::max))
}

/// How late timers fire: at the 99th percentile, and at most.
async fn measure_lag(stop: CancellationToken) -> (Duration, Duration) {
    const EVERY: Duration = Duration::from_millis(10);
    let mut late = Vec::new();
    while !stop.is_cancelled() {
        let due = Instant::now() + EVERY;
        sleep_until(due).await;
        late.push(due.elapsed());
    }
    late.sort();
    let at = |share: f64| late.get((late.len() as f64 * share) as usize).copied().unwrap_or_default();
    (at(0.99), late.last().copied().unwrap_or_default())
}

impl World {
    async fn build(
        plan: Arc<Plan>,
        launcher: Launcher,
        stop: &CancellationToken,
    ) -> Result<Arc<Self>, RunError> {
        let (trace, links, tasks) =
            (Arc::new(Trace::default()), Arc::new(Links::default()), TaskTracker::new());
        let registry = Registry::new(Arc::clone(&trace));
        let mut nodes = Vec::new();
        let memories = Arc::new(Memories::new(&plan));
        for k in 0..plan.servers.len() {
            let (node, socket) =
                Node::new(&plan, k, Arc::clone(&links), Arc::clone(&memories), Arc::clone(&trace))?;
            tasks.spawn(Arc::clone(&node).run(socket, stop.clone()));
            nodes.push(node);
        }
        let mut config = plan.config.clone();
        config.listen.address = SocketAddr::from(([127, 0, 0, 1], 0));
        config.status.address = None;
        config.fleet.conductors = config.fleet.conductors.max(plan.conductors as u32);
        let keys = if plan.identity { Some(Arc::new(DayKeys::new()?)) } else { None };
        if let Some(keys) = &keys {
            config.listen.plain_on_loopback = false;
            config.identity = Some(keys.config());
        }
        if let Some(fault) = config.faults().first() {
            return Err(RunError::Config(format!("{}: {}", fault.key, fault.what)));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x57a4d);
        let proxies: Vec<_> = (0..plan.proxies.len())
            .map(|k| {
                let standing = standing(&plan, &nodes, plan.proxies[k].zone, &mut rng);
                let keys = keys.clone();
                Ok(Arc::new(Proxy::new(&plan, k, standing, Arc::clone(&trace), keys)?))
            })
            .collect::<Result<_, KeyFault>>()?;
        let crowd = Crowd::new(Arc::clone(&plan), proxies.clone());
        let places = nodes.iter().map(|n| (n.address, n.index)).collect();
        let (mut conductors, mut fronts) = (Vec::new(), Vec::new());
        for k in 0..plan.conductors.max(1) {
            let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
            let source = Source::Http {
                address: listener.local_addr()?,
                path: "/v1/nodes".into(),
                poll: Duration::from_secs(5),
                timeout: Duration::from_secs(1),
                doubt: config.source.doubt().clone(),
            };
            tasks.spawn(Arc::clone(&registry).serve(k, listener, stop.clone()));
            let (address, running) = (watch::Sender::new(None), Mutex::new(None));
            let front = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
            fronts.push(front.local_addr()?);
            let zone = (plan.conductor_zone + k) % plan.zones.len().max(1);
            let before =
                relay::before_conductor(front, address.subscribe(), zone, Arc::clone(&links), stop.clone());
            tasks.spawn(before);
            conductors.push(Slot { config: Config { source, ..config.clone() }, running, address });
        }
        for proxy in &proxies {
            tasks.spawn(Arc::clone(proxy).run(fronts.clone(), stop.clone()));
        }
        let world = Self {
            plan,
            trace,
            links,
            registry,
            nodes,
            proxies,
            crowd,
            launcher,
            conductors,
            active: std::sync::Mutex::default(),
            samples: std::sync::Mutex::default(),
            places,
            conductor_cpu: std::sync::Mutex::default(),
            tasks,
        };
        let up = world.nodes.iter().filter(|n| n.is_up());
        world.registry.set(up.map(|node| world.record(node, NodeState::Ready, 0)));
        Ok(Arc::new(world))
    }

    async fn start_conductor(&self, conductor: usize) -> Result<(), LaunchError> {
        let slot = &self.conductors[conductor];
        let mut place = slot.running.lock().await;
        self.trace.note(Event::Conductor { conductor, up: true });
        let running = self.launcher.start(&slot.config).await?;
        slot.address.send_replace(Some(running.address));
        *place = Some(running);
        Ok(())
    }

    async fn kill_conductor(&self, conductor: usize) {
        let slot = &self.conductors[conductor];
        let running = slot.running.lock().await.take();
        slot.address.send_replace(None);
        if let Some(running) = running {
            self.count_cpu(&running);
            running.kill().await;
        }
        self.trace.note(Event::Conductor { conductor, up: false });
    }

    /// Told to end, it says goodbye to its proxies; it is started again at once.
    async fn restart_conductor(&self, conductor: usize) {
        let slot = &self.conductors[conductor];
        let running = slot.running.lock().await.take();
        if let Some(running) = running {
            self.count_cpu(&running);
            running.terminate().await;
        }
        slot.address.send_replace(None);
        self.trace.note(Event::Conductor { conductor, up: false });
        self.start_again(conductor).await;
    }

    async fn start_again(&self, conductor: usize) {
        if let Err(error) = self.start_conductor(conductor).await {
            tracing::error!(event = "conductor_lost", conductor, %error);
        }
    }

    fn count_cpu(&self, running: &Running) {
        if let Some(used) = running.pid().and_then(|pid| Usage::of(pid).ok()) {
            *lock(&self.conductor_cpu) += used.cpu_s;
        }
    }

    async fn tell(
        self: Arc<Self>,
        progress: watch::Sender<Progress>,
        begin: Instant,
        stop: CancellationToken,
    ) {
        while !stop.is_cancelled() {
            let tallies = lock(&self.crowd.outcomes).tallies();
            let troubles = lock(&self.active).clone();
            let elapsed = Instant::now().saturating_duration_since(begin);
            let sample = lock(&self.samples).last().cloned().unwrap_or_default();
            progress.send_replace(Progress { elapsed, tallies, troubles, sample });
            tokio::select! {
                () = stop.cancelled() => {}
                () = sleep(Duration::from_millis(250)) => {}
            }
        }
    }

    /// Looks at the stand-ins every [`series::STEP`].
    async fn sample(self: Arc<Self>, begin: Instant, stop: CancellationToken) {
        let mut at = begin;
        loop {
            tokio::select! {
                () = sleep_until(at) => {}
                () = stop.cancelled() => return,
            }
            let seen = self.look((Instant::now() - begin).as_secs_f64());
            lock(&self.samples).push(seen);
            at += series::STEP;
        }
    }

    fn look(&self, at_s: f64) -> Sample {
        let mut zones = vec![ZoneSample::default(); self.plan.zones.len()];
        let mut cores = vec![0.0; zones.len()];
        let mut cold = vec![false; self.nodes.len()];
        for node in &self.nodes {
            let Some((held, own_cores)) = node.held() else { continue };
            let zone = &mut zones[node.zone];
            zone.heat += held as f64;
            cores[node.zone] += f64::from(own_cores);
            zone.up += 1;
            cold[node.index] = node.cold();
            zone.cold += usize::from(cold[node.index]);
            zone.fallen += usize::from(node.fallen());
        }
        for (zone, cores) in zones.iter_mut().zip(cores) {
            zone.heat /= f64::max(cores, 1.0);
        }
        let (mut cold_weight, mut levels) = (0.0, vec![0.0; self.plan.classes.len()]);
        let many = self.proxies.len().max(1) as f64;
        let usual = self.plan.rate / many;
        for proxy in &self.proxies {
            proxy.look(|model| {
                let all: f64 = model.lines().map(|(_, weight)| weight).sum();
                for (server, weight) in model.lines() {
                    let Some(place) = self.places.get(&server) else { continue };
                    let part = weight / f64::max(all, 1e-9) / many;
                    zones[self.nodes[*place].zone].weight += part;
                    cold_weight += if cold[*place] { part } else { 0.0 };
                }
                for (class, level) in levels.iter_mut().enumerate() {
                    let admit = model.level(class).and_then(|level| level.admit);
                    *level += match admit {
                        None => 1.0,
                        Some(v1::level::Admit::Share(share)) => f64::from(share),
                        Some(v1::level::Admit::Rate(rate)) => (f64::from(rate) / usual).min(1.0),
                    } / many;
                }
            });
        }
        Sample { at_s, zones, cold_weight, levels }
    }

    fn record(&self, node: &Node, state: NodeState, started: u64) -> NodeRecord {
        NodeRecord {
            address: node.address,
            zone: self.plan.zones[node.zone].0.clone(),
            state,
            weight: node.weight,
            started_unix_ms: started / 1000,
        }
    }

    /// The list learns it late.
    fn list(self: &Arc<Self>, server: usize, state: NodeState, started: u64, times: u32) {
        let world = Arc::clone(self);
        let delay = self.plan.list_delay * times;
        self.tasks.spawn(async move {
            sleep(delay).await;
            world.registry.set([world.record(&world.nodes[server], state, started)]);
        });
    }

    fn start_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].start();
        self.list(server, NodeState::Ready, self.trace.now(), 1);
    }

    fn stop_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].stop();
        self.list(server, NodeState::Gone, 0, 1);
    }

    async fn strike(self: Arc<Self>, strike: Strike, begin: Instant) {
        sleep_until(begin + strike.at).await;
        lock(&self.active).push(strike.name.clone());
        match &strike.trouble {
            Trouble::Release(drain, steps) => self.release(*drain, steps, begin + strike.at).await,
            Trouble::RestartConductors(conductors) => {
                let gap = strike.lasts / (conductors.len() as u32).max(1);
                for (k, conductor) in conductors.iter().enumerate() {
                    sleep_until(begin + strike.at + gap * k as u32).await;
                    self.restart_conductor(*conductor).await;
                }
            }
            trouble => {
                if !strike.from_the_start() {
                    self.set(trouble, true).await;
                }
                sleep_until(begin + strike.at + strike.lasts).await;
                self.set(trouble, false).await;
            }
        }
        let mut active = lock(&self.active);
        if let Some(place) = active.iter().position(|name| *name == strike.name) {
            active.remove(place);
        }
    }

    async fn release(self: &Arc<Self>, drain: Duration, steps: &[Step], from: Instant) {
        let mut ends = JoinSet::new();
        for step in steps.iter().cloned() {
            let world = Arc::clone(self);
            ends.spawn(async move {
                sleep_until(from + step.at).await;
                for server in &step.stop {
                    world.nodes[*server].drain();
                    world.list(*server, NodeState::Draining, 0, 1);
                }
                step.start.iter().for_each(|server| world.start_server(*server));
                // Drained in the list's eyes before its process ends.
                sleep(world.plan.list_delay + drain).await;
                step.stop.iter().for_each(|server| world.stop_server(*server));
            });
        }
        while ends.join_next().await.is_some() {}
    }

    fn servers<'a>(&'a self, places: &'a [usize]) -> impl Iterator<Item = &'a Arc<Node>> {
        places.iter().filter_map(|place| self.nodes.get(*place))
    }

    fn proxies<'a>(&'a self, places: &'a [usize]) -> impl Iterator<Item = &'a Arc<Proxy>> {
        places.iter().filter_map(|place| self.proxies.get(*place))
    }

    /// A trouble begins or ends.
    async fn set(self: &Arc<Self>, trouble: &Trouble, on: bool) {
        let part = |part: f64| if on { part } else { 0.0 };
        let times = |times: f64| if on { times } else { 1.0 };
        match trouble {
            Trouble::Burst(times) => toggle(&mut lock(&self.crowd.weather).bursts, *times, on),
            Trouble::Shift(zone, part) => toggle(&mut lock(&self.crowd.weather).shifts, (*zone, *part), on),
            Trouble::Mix(class, part) => toggle(&mut lock(&self.crowd.weather).mixes, (*class, *part), on),
            Trouble::HeavyTail(class, part, times) => {
                toggle(&mut lock(&self.crowd.weather).tails, (*class, *part, *times), on);
            }
            Trouble::Release(..) => {}
            Trouble::Die(servers) => self.die(servers, on),
            Trouble::Vanish(servers) => {
                for server in servers {
                    self.nodes[*server].silent(on);
                    if on {
                        self.list(*server, NodeState::Gone, 0, 3);
                    } else {
                        self.nodes[*server].stop();
                        self.start_server(*server);
                    }
                }
            }
            Trouble::Hang(servers) => self.servers(servers).for_each(|n| n.ail(|a| a.hangs = on)),
            Trouble::Fail(servers, share) => {
                self.servers(servers).for_each(|n| n.ail(|a| a.fails = part(*share)))
            }
            Trouble::Pause(servers, every, pause) => {
                let rhythm = on.then_some((every.as_micros() as u64, pause.as_micros() as u64));
                self.servers(servers).for_each(|n| n.ail(|a| a.pauses = rhythm));
            }
            Trouble::LoseAnswers(servers, share, by_reset) => {
                self.servers(servers).for_each(|n| n.lose_answers(part(*share), *by_reset));
            }
            Trouble::FalseReports(servers, lie, slower) => {
                for node in self.servers(servers) {
                    node.lie(on.then_some(*lie));
                    node.ail(|a| a.slower = part(slower - 1.0));
                }
            }
            Trouble::Ghosts(many) => self.haunt(*many, on),
            Trouble::FewConnections(servers, divide) => {
                self.servers(servers).for_each(|n| n.few_connections(times(*divide)));
            }
            Trouble::SlowHandshakes(servers, factor, delay) => {
                let delay = if on { *delay } else { Duration::ZERO };
                self.servers(servers).for_each(|n| n.slow_handshakes(times(*factor), delay));
            }
            Trouble::ListDown => self.registry.down(on),
            Trouble::WrongList(servers) => {
                let addresses: Vec<_> = self.servers(servers).map(|n| n.address).collect();
                self.registry.hide(&addresses, on);
            }
            Trouble::LoseZone(zone, proxies) => {
                let servers: Vec<_> = self.of_zone(*zone, on).collect();
                self.die(&servers, on);
                let within = self.proxies.iter().filter(|p| *proxies && p.zone == *zone);
                within.for_each(|p| cut_off(p, on));
            }
            Trouble::CutZone(zone) => self.links.cut(*zone, on),
            Trouble::CutLink(a, b) => self.links.cut_link(*a, *b, on),
            Trouble::SlowLink(a, b, delay, loss) => self.links.slow(*a, *b, *delay, *loss, on),
            Trouble::SlowChannel(times) => {
                self.proxies.iter().for_each(|p| p.fate(|lot| lot.slow = part(*times)));
            }
            Trouble::LateReports(by) => {
                let late = if on { *by } else { Duration::ZERO };
                self.proxies.iter().for_each(|p| p.fate(|lot| lot.late = late));
            }
            Trouble::CutOff(proxies) => self.proxies(proxies).for_each(|p| cut_off(p, on)),
            Trouble::Stall(proxies) => self.proxies(proxies).for_each(|p| p.fate(|lot| lot.stalled = on)),
            Trouble::KillConductor(conductors) => {
                for conductor in conductors {
                    if on {
                        self.kill_conductor(*conductor).await
                    } else {
                        self.start_again(*conductor).await
                    }
                }
            }
            // One after the other over its time: see `strike`.
            Trouble::RestartConductors(_) => {}
        }
    }

    /// Servers of a zone: those that run, or those that were stopped with it.
    fn of_zone(&self, zone: usize, up: bool) -> impl Iterator<Item = usize> + '_ {
        let within = move |n: &Arc<Node>| n.zone == zone && n.is_up() == up;
        let planned = |k: &usize| self.plan.servers[*k].up;
        (0..self.nodes.len()).filter(move |k| within(&self.nodes[*k]) && (up || planned(k)))
    }

    /// Servers that do not exist are listed: the discard port refuses every connection.
    fn haunt(&self, many: usize, on: bool) {
        let state = if on { NodeState::Ready } else { NodeState::Gone };
        let ghost = |k: usize| NodeRecord {
            address: SocketAddr::from(([127, 9, (k >> 8) as u8, k as u8], 9)),
            zone: self.plan.zones[k % self.plan.zones.len()].0.clone(),
            state,
            weight: 1.0,
            started_unix_ms: 0,
        };
        self.registry.set((0..many).map(ghost));
    }

    fn die(self: &Arc<Self>, servers: &[usize], on: bool) {
        for server in servers {
            if on { self.stop_server(*server) } else { self.start_server(*server) }
        }
    }
}

fn cut_off(proxy: &Proxy, on: bool) {
    proxy.fate(|lot| lot.cut_off = if on { lot.cut_off + 1 } else { lot.cut_off.saturating_sub(1) });
}

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T, on: bool) {
    if on {
        list.push(item);
    } else if let Some(place) = list.iter().position(|i| *i == item) {
        list.remove(place);
    }
}

/// A standing table: servers of its zone if three are there, else of all, drawn by chance.
fn standing(plan: &Plan, nodes: &[Arc<Node>], zone: usize, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
    let up = nodes.iter().filter(|n| n.is_up());
    let near: Vec<_> = up.clone().filter(|n| n.zone == zone).map(|n| n.address).collect();
    let from = if near.len() >= 3 { near } else { up.map(|n| n.address).collect() };
    from.sample(rng, plan.standing).copied().collect()
}
