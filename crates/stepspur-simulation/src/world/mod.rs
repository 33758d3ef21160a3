//! The discrete-event simulation of a fleet: clients, proxies, streams, conductors, the server list, servers
//! and injected faults.
//!
//! [`run`] simulates a plan. `setup` builds the world, `schedule` defines the events, and the other modules
//! handle them: `requests` and `attempts`, `servers`, `streams`, `conductors`, `probes`, `discovery` and
//! `faults`.

mod attempts;
mod conductors;
mod discovery;
mod faults;
mod probes;
mod requests;
mod schedule;
mod servers;
mod setup;
mod state;
mod streams;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stepspur_conductor::Config;
use stepspur_emulator::clients::{Outcomes, Tally};
use stepspur_emulator::judge::{RuleLimits, Violation, judge};
use stepspur_emulator::links::Links;
use stepspur_emulator::plan::{FaultAction, Plan};
use stepspur_emulator::trace::Event;
use stepspur_emulator::traffic::{Traffic, TrafficFaults};
use stepspur_model::Micros;
use stepspur_model::memory::Memory;
use stepspur_proto::FromConductor;

use crate::baseline::Baseline;
use crate::queue::Queue;
use schedule::Scheduled;
use setup::START_TIME;
use state::{ConductorState, ProxyState, RequestState, ServerState};

/// Parameters of a run in addition to its plan.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of conductors, at least that of the plan. Proxies are assigned to them round robin. Faults of
    /// the plan affect only the first ones, as many as the plan itself has: a plan with one conductor kills
    /// the first.
    pub conductors: usize,
    /// Zones of the conductors, by index. Conductor `k` beyond the end is in zone `k` after the plan's
    /// conductor zone.
    pub conductor_zones: Vec<usize>,
    /// One-way delay within a zone, in microseconds.
    pub near: Micros,
    /// One-way delay between zones, in microseconds.
    pub far: Micros,
    /// Delay of proxy reports during the whole run, in microseconds.
    pub reports_late: Micros,
    /// Replaces the conductors by tables that are computed from the server list alone; `None` runs
    /// conductors.
    pub baseline: Option<Baseline>,
    /// Records events and checks the five rules on them. Costs memory for each request.
    pub judged: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            conductors: 1,
            conductor_zones: Vec::new(),
            near: 100,
            far: 400,
            reports_late: 0,
            baseline: None,
            judged: true,
        }
    }
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Request results by class.
    pub classes: Vec<Tally>,
    /// Service score on modelled servers: the value of answered requests over that of all
    /// requests.
    pub service: f64,
    /// Mean response time in milliseconds, over all classes.
    pub mean_ms: f64,
    /// Violations of the rules; empty if there was none, or if [`Options::judged`] is off.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Number of servers that collapsed under load.
    pub fallen: usize,
    /// Number of requests, without client repeats.
    pub asked: u64,
    /// Number of orders that proxies have read.
    pub orders: u64,
    /// Number of simulated events.
    pub events: u64,
    /// Wall-clock time in seconds: in total, and in the engines. It differs from run to run.
    #[serde(skip)]
    pub took_s: [f64; 2],
}

/// Returns the address of a server, which encodes its index.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 80))
}

/// Returns the index that an address encodes; `None` for a foreign address. Ghosts have an index, too.
fn server_index(server: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = server else { return None };
    let [ten, a, b, c] = v4.ip().octets();
    (ten == 10).then(|| usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c))
}

/// Proxies open their first streams at random times within this window, in microseconds.
const FIRST_DIAL_WINDOW: Micros = 100_000;
/// How long a run waits for unfinished requests after its end, in microseconds.
const LAST_REQUESTS_TIMEOUT: Micros = 120_000_000;
/// First retransmission timeout of a lost packet, in microseconds; it doubles with each loss.
const INITIAL_RETRANSMIT_TIMEOUT: Micros = 200_000;
/// Retransmission timeout, in microseconds, at which no further loss is simulated and the packet arrives.
const MAX_RETRANSMIT_TIMEOUT: Micros = 6_400_000;

struct World {
    plan: Arc<Plan>,
    options: Options,
    config: Config,
    now: Micros,
    /// Arrival time of the first request.
    begin: Micros,
    /// No new request arrives from then on.
    end: Micros,
    schedule: Queue<Scheduled>,
    rng: ChaCha8Rng,
    servers: Vec<ServerState>,
    proxies: Vec<ProxyState>,
    conductors: Vec<ConductorState>,
    traffic: Traffic,
    weather: TrafficFaults,
    links: Links,
    /// True while the server list is unavailable.
    list_down: bool,
    /// Number of servers that the server list names although they do not exist.
    ghosts: usize,
    /// Deduplication memories, by class and group of servers.
    memories: HashMap<(usize, usize), Memory>,
    requests: HashMap<u64, RequestState>,
    next_request: u64,
    next_stream: u64,
    next_job: u64,
    outcomes: Outcomes,
    /// Events for the rule check, with their times.
    events: Vec<(Micros, Event)>,
    fallen: usize,
    orders: u64,
    /// Wall-clock time spent in the engines.
    engine_time: Duration,
    /// The last decoded frame and its bytes: a frame that goes to many proxies is decoded once.
    decoded: Option<(Bytes, Arc<FromConductor>)>,
}

/// Simulates a plan. The same plan and options give the same outcome, except for [`Outcome::took_s`].
pub fn run(plan: &Plan, options: &Options) -> Outcome {
    let started_at = Instant::now();
    let mut world = World::new(plan, options);
    world.simulate();
    world.finish(started_at)
}

impl World {
    fn simulate(&mut self) {
        self.schedule_faults();
        if self.options.baseline.is_some() {
            self.apply_baseline();
        } else {
            (0..self.conductors.len()).for_each(|conductor| self.start_conductor(conductor));
            for proxy in 0..self.proxies.len() {
                let at = self.now + self.rng.random_range(0..FIRST_DIAL_WINDOW);
                self.schedule.push(at, Scheduled::Dial(proxy));
            }
        }
        self.schedule.push(self.begin, Scheduled::NextRequest);
        while let Some((at, scheduled)) = self.schedule.pop() {
            // After the end, the run goes on only until the last requests are finished.
            if at >= self.end && (self.requests.is_empty() || at > self.end + LAST_REQUESTS_TIMEOUT) {
                break;
            }
            self.now = self.now.max(at);
            self.dispatch(scheduled);
        }
    }

    fn schedule_faults(&mut self) {
        let plan = Arc::clone(&self.plan);
        for (number, fault) in plan.faults.iter().enumerate() {
            let at = if fault.from_the_start() { START_TIME } else { self.begin + micros(fault.at) };
            self.schedule.push(at, Scheduled::ToggleFault(number, true));
            if !matches!(fault.trouble, FaultAction::Release(..)) {
                let end = self.begin + micros(fault.at + fault.duration);
                self.schedule.push(end, Scheduled::ToggleFault(number, false));
            }
        }
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::NextRequest => self.draw_request(),
            Scheduled::ClientTry(request) => self.start_try(request),
            Scheduled::AttemptArrives(id) => self.attempt_arrives(id),
            Scheduled::AttemptEnds(id, end) => self.attempt_ended(id, end),
            Scheduled::AttemptTimeout(id) => self.time_out_attempt(id),
            Scheduled::ServerDue(server) => self.run_server(server),
            Scheduled::Report(proxy, stream) => self.send_report(proxy, stream),
            Scheduled::Dial(proxy) => self.dial(proxy),
            Scheduled::FrameToConductor(conductor, stream, frame) => {
                self.frame_arrives(conductor, stream, *frame);
            }
            Scheduled::FrameToProxy(proxy, stream, frame) => self.deliver(proxy, stream, frame),
            Scheduled::FrameRead(proxy, stream, frame) => self.read_frame(proxy, stream, &frame),
            Scheduled::EngineDue(of) => self.wake_engine(of),
            Scheduled::ProbeArrives(probe) => self.probe_arrives(probe),
            Scheduled::ProbeEnds(probe, outcome, load) => self.probe_ends(probe, outcome, load),
            Scheduled::FullList(to) => self.send_full_list(to),
            Scheduled::ListChanges(to, servers) => self.send_list_changes(to, &servers),
            Scheduled::ListUpdate(server, state, started) => self.update_list(server, state, started),
            Scheduled::ToggleFault(number, on) => self.toggle_fault(number, on),
            Scheduled::ReleaseDrains(number, step) => self.begin_release_step(number, step),
            Scheduled::ReleaseStops(number, step) => self.end_release_step(number, step),
        }
    }

    /// Records an event for the rule check.
    fn record_event(&mut self, event: Event) {
        if self.options.judged {
            self.events.push((self.now, event));
        }
    }

    /// Returns the present one-way delay between two zones in microseconds, including retransmissions of lost
    /// packets; `None` if the link is cut.
    fn delay(&mut self, from: usize, to: usize) -> Option<Micros> {
        let link = self.links.between(from, to);
        if link.cut {
            return None;
        }
        let mut delay = if from == to { self.options.near } else { self.options.far } + micros(link.delay);
        let mut retransmit_timeout = INITIAL_RETRANSMIT_TIMEOUT;
        while link.loss > 0.0
            && retransmit_timeout < MAX_RETRANSMIT_TIMEOUT
            && self.rng.random_bool(link.loss.min(1.0))
        {
            delay += retransmit_timeout;
            retransmit_timeout *= 2;
        }
        Some(delay)
    }

    fn finish(self, started_at: Instant) -> Outcome {
        let violations = if self.options.judged { self.judge_events() } else { Vec::new() };
        let classes = self.outcomes.tallies();
        Outcome {
            service: self.outcomes.service(),
            mean_ms: self.outcomes.mean_ms(),
            asked: classes.iter().map(|tally| tally.asked).sum(),
            classes,
            violations,
            fallen: self.fallen,
            orders: self.orders,
            events: self.schedule.count(),
            took_s: [started_at.elapsed().as_secs_f64(), self.engine_time.as_secs_f64()],
        }
    }

    /// Checks the recorded events against the rules.
    fn judge_events(&self) -> Vec<Violation> {
        let zone = |server: usize| self.plan.zones[self.plan.servers[server].zone].0.clone();
        let zones = (0..self.servers.len()).map(|server| (address(server), zone(server)));
        let limits = RuleLimits::new(&self.plan, zones.collect());
        judge(&limits, self.begin, &self.events)
    }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}
