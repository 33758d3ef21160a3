//! The world: clients, proxies, channel, conductors, node list, servers and troubles, as events in given time.
//!
//! [`run`] plays a plan: `setup` makes the world, `schedule` has what is to happen, and the other modules have what
//! then happens: `requests` and `attempts`, `servers`, `streams`, `conductors`, `probes`, `list` and `troubles`.

mod attempts;
mod conductors;
mod list;
mod probes;
mod requests;
mod schedule;
mod servers;
mod setup;
mod state;
mod streams;
mod troubles;

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
use stepspur_emulator::judge::{Break, Figures, judge};
use stepspur_emulator::links::Links;
use stepspur_emulator::plan::{Plan, Trouble};
use stepspur_emulator::trace::Event;
use stepspur_emulator::traffic::{Traffic, Weather};
use stepspur_model::Micros;
use stepspur_model::memory::Memory;
use stepspur_proto::FromConductor;

use crate::baseline::Baseline;
use crate::queue::Queue;
use schedule::Scheduled;
use setup::BASE;
use state::{ConductorState, ProxyState, RequestState, ServerState};

/// How a plan is played, beside what it says itself.
#[derive(Clone, Debug)]
pub struct Options {
    /// Conductors; proxies are dealt to them in turn. A conductor that is killed is the first.
    pub conductors: usize,
    /// Their zones; those beyond it lie in the plan's and the zones after that, in turn.
    pub conductor_zones: Vec<usize>,
    /// One way within a zone, microseconds.
    pub near: Micros,
    /// One way between zones, microseconds.
    pub far: Micros,
    /// Reports are so late all day, microseconds.
    pub reports_late: Micros,
    /// In place of conductors: tables made from the list alone.
    pub baseline: Option<Baseline>,
    /// True: events are kept and the five rules judged. Costs memory for each request.
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

/// What became of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// By class.
    pub classes: Vec<Tally>,
    /// Worth answered over worth asked for, of modelled servers.
    pub service: f64,
    /// Mean time of answers, milliseconds, over all classes.
    pub mean_ms: f64,
    /// Rules that were broken; empty if none was, or none was judged.
    pub breaks: Vec<Break>,
    /// Servers that fell over.
    pub fallen: usize,
    /// Requests asked, without repeats.
    pub asked: u64,
    /// Orders that proxies read.
    pub orders: u64,
    /// Events played.
    pub events: u64,
    /// This machine's time, seconds: in all, and in the engine. Not the same from run to run.
    #[serde(skip)]
    pub took_s: [f64; 2],
}

/// Servers' addresses tell their places.
fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, (place >> 16) as u8, (place >> 8) as u8, place as u8], 80))
}

fn place(server: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = server else { return None };
    let [ten, a, b, c] = v4.ip().octets();
    (ten == 10).then(|| usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c))
}

/// Proxies dial for the first time within so long, in microseconds.
const FIRST_DIALS: Micros = 100_000;
/// The last requests are waited for so long, in microseconds.
const LAST_REQUESTS: Micros = 120_000_000;
/// A lost packet is sent again after so long at first, in microseconds, and twice as long each time.
const RESEND_FIRST: Micros = 200_000;
/// It is not sent again after such a wait, in microseconds.
const RESEND_LAST: Micros = 6_400_000;

struct World {
    plan: Arc<Plan>,
    options: Options,
    config: Config,
    now: Micros,
    /// The first request comes then, and the last.
    begin: Micros,
    end: Micros,
    schedule: Queue<Scheduled>,
    rng: ChaCha8Rng,
    servers: Vec<ServerState>,
    proxies: Vec<ProxyState>,
    conductors: Vec<ConductorState>,
    traffic: Traffic,
    weather: Weather,
    links: Links,
    /// True: the list is out of reach.
    list_down: bool,
    /// Servers that the list names and that do not exist.
    ghosts: usize,
    /// Requests that groups of servers remember, by class and group.
    memories: HashMap<(usize, usize), Memory>,
    requests: HashMap<u64, RequestState>,
    next_request: u64,
    next_stream: u64,
    next_job: u64,
    outcomes: Outcomes,
    events: Vec<(Micros, Event)>,
    fallen: usize,
    orders: u64,
    engine_time: Duration,
    /// The frame decoded last: a change for many proxies is decoded once.
    decoded: Option<(Bytes, Arc<FromConductor>)>,
}

/// Plays a plan.
pub fn run(plan: &Plan, options: &Options) -> Outcome {
    let begun = Instant::now();
    let mut world = World::new(plan, options);
    world.play();
    world.finish(begun)
}

impl World {
    fn play(&mut self) {
        self.schedule_troubles();
        if self.options.baseline.is_some() {
            self.apply_baseline();
        } else {
            (0..self.conductors.len()).for_each(|conductor| self.start_conductor(conductor));
            for proxy in 0..self.proxies.len() {
                let at = self.now + self.rng.random_range(0..FIRST_DIALS);
                self.schedule.put(at, Scheduled::Dial(proxy));
            }
        }
        self.schedule.put(self.begin, Scheduled::NextRequest);
        while let Some((at, scheduled)) = self.schedule.take() {
            // The last requests are waited for; everything else ends with the day.
            if at >= self.end && (self.requests.is_empty() || at > self.end + LAST_REQUESTS) {
                break;
            }
            self.now = self.now.max(at);
            self.dispatch(scheduled);
        }
    }

    fn schedule_troubles(&mut self) {
        let plan = Arc::clone(&self.plan);
        for (number, strike) in plan.strikes.iter().enumerate() {
            let at = if strike.from_the_start() { BASE } else { self.begin + micros(strike.at) };
            self.schedule.put(at, Scheduled::Trouble(number, true));
            if !matches!(strike.trouble, Trouble::Release(..)) {
                let end = self.begin + micros(strike.at + strike.lasts);
                self.schedule.put(end, Scheduled::Trouble(number, false));
            }
        }
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::NextRequest => self.draw_request(),
            Scheduled::ClientTry(request) => self.start_try(request),
            Scheduled::AttemptArrives(id) => self.attempt_arrives(id),
            Scheduled::AttemptEnds(id, end) => self.attempt_ended(id, end),
            Scheduled::GiveUp(id) => self.give_up(id),
            Scheduled::Server(server) => self.run_server(server),
            Scheduled::Report(proxy, stream) => self.send_report(proxy, stream),
            Scheduled::Dial(proxy) => self.dial(proxy),
            Scheduled::FrameToConductor(conductor, stream, frame) => {
                self.frame_arrives(conductor, stream, *frame);
            }
            Scheduled::FrameToProxy(proxy, stream, frame) => self.deliver(proxy, stream, frame),
            Scheduled::FrameRead(proxy, stream, frame) => self.read_frame(proxy, stream, &frame),
            Scheduled::Engine(of) => self.wake_engine(of),
            Scheduled::ProbeArrives(probe) => self.probe_arrives(probe),
            Scheduled::ProbeEnds(probe, outcome, load) => self.probe_ends(probe, outcome, load),
            Scheduled::WholeList(to) => self.tell_whole_list(to),
            Scheduled::ListChanges(to, servers) => self.tell_list_changes(to, &servers),
            Scheduled::ListLearns(server, state, started) => self.list_learns(server, state, started),
            Scheduled::Trouble(number, on) => self.toggle_trouble(number, on),
            Scheduled::ReleaseDrains(number, step) => self.begin_release_step(number, step),
            Scheduled::ReleaseStops(number, step) => self.end_release_step(number, step),
        }
    }

    /// An event for the judge.
    fn note(&mut self, event: Event) {
        if self.options.judged {
            self.events.push((self.now, event));
        }
    }

    /// One way between two zones, now; none: it is cut, or lost.
    fn way(&mut self, from: usize, to: usize) -> Option<Micros> {
        let link = self.links.between(from, to);
        if link.cut {
            return None;
        }
        let mut late = if from == to { self.options.near } else { self.options.far } + micros(link.delay);
        let mut again = RESEND_FIRST;
        while link.loss > 0.0 && again < RESEND_LAST && self.rng.random_bool(link.loss.min(1.0)) {
            late += again;
            again *= 2;
        }
        Some(late)
    }

    fn finish(self, begun: Instant) -> Outcome {
        let breaks = if self.options.judged { self.breaks() } else { Vec::new() };
        let classes = self.outcomes.tallies();
        Outcome {
            service: self.outcomes.service(),
            mean_ms: self.outcomes.mean_ms(),
            asked: classes.iter().map(|tally| tally.asked).sum(),
            classes,
            breaks,
            fallen: self.fallen,
            orders: self.orders,
            events: self.schedule.count(),
            took_s: [begun.elapsed().as_secs_f64(), self.engine_time.as_secs_f64()],
        }
    }

    fn breaks(&self) -> Vec<Break> {
        let zone = |server: usize| self.plan.zones[self.plan.servers[server].zone].0.clone();
        let zones = (0..self.servers.len()).map(|server| (address(server), zone(server)));
        let figures = Figures::new(&self.plan, zones.collect());
        judge(&figures, self.begin, &self.events)
    }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}
