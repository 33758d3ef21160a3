//! The world: clients, proxies, channel, conductors, node list, servers and troubles, as events in given time.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stepspur::interface::{ListHow, ListState, ProbeOutcome};
use stepspur_conductor::Config;
use stepspur_conductor::config::{EffectConfig, GroupConfig};
use stepspur_conductor::engine::{Engine, Input, NodeEntry, Output, ProbeTarget, StreamId};
use stepspur_conductor::source::{NodeRecord, NodeState};
use stepspur_model::Micros;
use stepspur_model::memory::Memory;
use stepspur_model::proxy::{Proxy, Spec, Tried};
use stepspur_model::serve::{Answer, Next, Serving, client_repeats};
use stepspur_model::server::{Ails, Ask, Conn, Job, Load, Offer, Server, WarmBy};
use stepspur_proto::{FromConductor, FromProxy, VERSION, from_conductor, from_proxy, split_frame, v1};
use stepspur_rehearsal::clients::{Outcomes, Tally};
use stepspur_rehearsal::judge::{Break, Figures, judge};
use stepspur_rehearsal::links::Links;
use stepspur_rehearsal::plan::{Lie, Plan, Trouble};
use stepspur_rehearsal::trace::{Arrival, Came, Event, RequestId};
use stepspur_rehearsal::traffic::{Drawn, Traffic, Weather};

use crate::baseline::Baseline;
use crate::queue::Queue;

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

/// Things due.
#[derive(Debug)]
enum Due {
    /// The next request is drawn.
    Ask,
    /// A client's try begins.
    Try(u64),
    /// An attempt reaches its server.
    Reaches(u64, u32),
    /// An attempt's end reaches its proxy.
    Back(u64, u32, Tried),
    /// An attempt, or the client's try, is given up.
    GiveUp(u64, u32),
    /// A server has something to tell.
    Server(usize),
    /// A proxy reports.
    Report(usize, StreamId),
    /// A proxy dials.
    Dial(usize),
    /// A frame reaches a conductor.
    Up(usize, StreamId, Box<FromProxy>),
    /// A frame reaches a proxy.
    Down(usize, StreamId, Arc<FromConductor>),
    /// A proxy has read a frame that came over a slow channel.
    Read(usize, StreamId, Arc<FromConductor>),
    /// A conductor has something to do.
    Engine(usize, u64),
    /// A probe reaches a server, and its answer the conductor.
    Probe(usize, u64, ProbeTarget, Micros),
    Probed(usize, u64, ProbeTarget, Micros, ProbeOutcome, Option<Load>),
    /// The list answers a conductor: the whole, or changes of these.
    Listed(usize, u64, bool, Vec<usize>),
    /// The list learns a server's state and start.
    Learns(usize, NodeState, Micros),
    /// A trouble begins or ends.
    Strike(usize, bool),
    /// A step of a release: its servers drain; they stop.
    Step(usize, usize, bool),
}

struct Srv {
    server: Server,
    up: bool,
    /// Rises with every start and stop.
    life: u64,
    wake: Micros,
    jobs: HashMap<Job, (u64, u32)>,
    /// Effects of jobs, for the judge: kept when the client has gone.
    running: HashMap<Job, ((RequestId, u32, u32), usize)>,
    ails: Ails,
    silent: bool,
    lose: (f64, bool),
    lie: Option<Lie>,
    stuck: Load,
    connections_divide: f64,
    handshakes: (f64, Micros),
    listed: Option<(NodeState, Micros)>,
    hidden: bool,
}

#[derive(Default)]
struct Fate {
    cut_off: u32,
    stalled: bool,
    slow: f64,
    late: Micros,
}

struct Prx {
    model: Proxy,
    zone: usize,
    conductor: usize,
    stream: Option<StreamId>,
    welcomed: bool,
    wait: Micros,
    report_every: Micros,
    fate: Fate,
    /// Frames that it has not read.
    unread: Vec<(StreamId, Arc<FromConductor>)>,
    busy_until: Micros,
    /// The newest frame on its way reaches the other end then, down and up: none overtakes another.
    last: [Micros; 2],
    /// Idle connections by server.
    pool: HashMap<usize, Vec<(u64, Conn)>>,
}

struct Cond {
    engine: Option<Engine>,
    /// Rises with every start.
    life: u64,
    wake: Micros,
    tracking: bool,
    zone: usize,
    streams: BTreeMap<StreamId, usize>,
}

struct Attempt {
    server: usize,
    /// The server's life, its connection there, and the job once it was taken.
    life: u64,
    conn: Option<Conn>,
    job: Option<Job>,
}

struct Req {
    drawn: Drawn,
    asked: Micros,
    end: Micros,
    client_try: u32,
    rng: ChaCha8Rng,
    serving: Option<Serving>,
    /// Attempts of all tries: what is due for an earlier one is passed over.
    serial: u32,
    attempt: Option<Attempt>,
}

/// Idle connections that a proxy keeps to a server.
const POOL: usize = 16;
/// No connection in this time is none.
const DIAL: Micros = 300_000;
/// Requests that a group remembers at most.
const REMEMBERED: usize = 1_000_000;
/// A run's first moment, microseconds since 1970: any time long after the beginning of time.
const BASE: Micros = 1_000_000_000_000;
/// Proxies join for so long before the first request.
const LEAD: Micros = 1_000_000;

struct World {
    plan: Arc<Plan>,
    options: Options,
    config: Config,
    now: Micros,
    begin: Micros,
    due: Queue<Due>,
    rng: ChaCha8Rng,
    servers: Vec<Srv>,
    proxies: Vec<Prx>,
    conductors: Vec<Cond>,
    traffic: Traffic,
    weather: Weather,
    links: Links,
    list_down: bool,
    ghosts: usize,
    memories: HashMap<(usize, usize), Memory>,
    requests: HashMap<u64, Req>,
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
    fn new(plan: &Plan, options: &Options) -> Self {
        let options = &Options { conductors: options.conductors.max(plan.conductors), ..options.clone() };
        let plan = Arc::new(plan.clone());
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0xf1ee7);
        let mut config = plan.config.clone();
        config.fleet.conductors = options.conductors as u32;
        let servers = plan.servers.iter().map(|server| Srv {
            server: Server::new(server.spec.clone(), rng.random(), BASE, true),
            up: server.up,
            life: 0,
            wake: Micros::MAX,
            jobs: HashMap::new(),
            running: HashMap::new(),
            ails: Ails::default(),
            silent: false,
            lose: (0.0, false),
            lie: None,
            stuck: Load::default(),
            connections_divide: 1.0,
            handshakes: (1.0, 0),
            listed: server.up.then_some((NodeState::Ready, 0)),
            hidden: false,
        });
        let servers: Vec<Srv> = servers.collect();
        let up = |zone: Option<usize>| -> Vec<SocketAddr> {
            let within = |k: &usize| plan.servers[*k].up && zone.is_none_or(|z| plan.servers[*k].zone == z);
            (0..plan.servers.len()).filter(within).map(address).collect()
        };
        let (all, near): (Vec<_>, Vec<_>) = (up(None), (0..plan.zones.len()).map(|z| up(Some(z))).collect());
        let mut events = Vec::new();
        let proxies = plan.proxies.iter().enumerate().map(|(k, proxy)| {
            let from = if near[proxy.zone].len() >= 3 { &near[proxy.zone] } else { &all };
            let standing: Vec<_> = from.sample(&mut rng, plan.standing).copied().collect();
            events.push((BASE, Event::ProxyStarted { proxy: k, standing: standing.clone() }));
            let mut spec = Spec { classes: plan.classes.len(), ..plan.proxy.clone() };
            spec.pick = options.baseline.and_then(Baseline::pick).unwrap_or(spec.pick);
            Prx {
                model: Proxy::new(spec, rng.random(), standing, BASE),
                zone: proxy.zone,
                conductor: k % options.conductors.max(1),
                stream: None,
                welcomed: false,
                wait: plan.redial.as_micros() as Micros,
                report_every: 1_000_000,
                fate: Fate { late: options.reports_late, ..Fate::default() },
                unread: Vec::new(),
                busy_until: 0,
                last: [0, 0],
                pool: HashMap::new(),
            }
        });
        let proxies: Vec<Prx> = proxies.collect();
        let conductor = |k: usize| Cond {
            engine: None,
            life: 0,
            wake: Micros::MAX,
            tracking: false,
            zone: options.conductor_zones.get(k).copied().unwrap_or(plan.conductor_zone + k)
                % plan.zones.len(),
            streams: BTreeMap::new(),
        };
        Self {
            conductors: (0..options.conductors.max(1)).map(conductor).collect(),
            outcomes: Outcomes::new(&plan),
            traffic: Traffic::new(Arc::clone(&plan)),
            options: options.clone(),
            config,
            now: BASE,
            begin: BASE + LEAD,
            due: Queue::default(),
            rng,
            servers,
            proxies,
            weather: Weather::default(),
            links: Links::default(),
            list_down: false,
            ghosts: 0,
            memories: HashMap::new(),
            requests: HashMap::new(),
            next_request: 0,
            next_stream: 0,
            next_job: 0,
            events,
            fallen: 0,
            orders: 0,
            engine_time: Duration::ZERO,
            decoded: None,
            plan,
        }
    }

    fn play(&mut self) {
        let plan = Arc::clone(&self.plan);
        for (k, strike) in plan.strikes.iter().enumerate() {
            let at = if strike.from_the_start() { BASE } else { self.begin + micros(strike.at) };
            self.due.put(at, Due::Strike(k, true));
            if !matches!(strike.trouble, Trouble::Release(..)) {
                self.due.put(self.begin + micros(strike.at + strike.lasts), Due::Strike(k, false));
            }
        }
        if self.options.baseline.is_some() {
            self.deal_tables();
        } else {
            for conductor in 0..self.conductors.len() {
                self.start_conductor(conductor);
            }
            for proxy in 0..self.proxies.len() {
                let at = self.now + self.rng.random_range(0..100_000);
                self.due.put(at, Due::Dial(proxy));
            }
        }
        self.due.put(self.begin, Due::Ask);
        let end = self.begin + micros(plan.length);
        while let Some((at, due)) = self.due.take() {
            // The last requests are waited for; everything else ends with the day.
            if at >= end && (self.requests.is_empty() || at > end + 120_000_000) {
                break;
            }
            self.now = self.now.max(at);
            self.happen(due, end);
        }
    }

    fn happen(&mut self, due: Due, end: Micros) {
        match due {
            Due::Ask => self.ask(end),
            Due::Try(id) => self.client_try(id),
            Due::Reaches(id, serial) => self.reaches(id, serial),
            Due::Back(id, serial, end) => self.ended(id, serial, end),
            Due::GiveUp(id, serial) => self.give_up(id, serial),
            Due::Server(server) => self.serve(server),
            Due::Report(proxy, stream) => self.report(proxy, stream),
            Due::Dial(proxy) => self.dial(proxy),
            Due::Up(conductor, stream, frame) => {
                if self.conductors[conductor].streams.contains_key(&stream) {
                    self.tell(conductor, Input::Frame { stream, frame: *frame });
                }
            }
            Due::Down(proxy, stream, frame) => self.down(proxy, stream, frame),
            Due::Read(proxy, stream, frame) => self.read(proxy, stream, &frame),
            Due::Engine(conductor, life) => {
                if self.conductors[conductor].life == life && self.conductors[conductor].wake <= self.now {
                    self.conductors[conductor].wake = Micros::MAX;
                    self.act(conductor);
                }
            }
            Due::Probe(conductor, life, target, sent) => self.probe(conductor, life, target, sent),
            Due::Probed(conductor, life, target, sent, outcome, load) => {
                if self.conductors[conductor].life == life {
                    let load = load.map(|l| self.columns(l)).unwrap_or_default();
                    let latency = self.now - sent;
                    self.tell(conductor, Input::Probed { target, outcome, latency, load });
                }
            }
            Due::Listed(conductor, life, whole, servers) => self.listed(conductor, life, whole, servers),
            Due::Learns(server, state, started) => {
                self.servers[server].listed = Some((state, started));
                self.list_changed(vec![server]);
            }
            Due::Strike(strike, on) => self.strike(strike, on),
            Due::Step(strike, step, stops) => self.step(strike, step, stops),
        }
    }

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
        let mut again = 200_000;
        while link.loss > 0.0 && again < 6_400_000 && self.rng.random_bool(link.loss.min(1.0)) {
            late += again;
            again *= 2;
        }
        Some(late)
    }

    // Clients.

    fn ask(&mut self, end: Micros) {
        let at_s = (self.now - self.begin) as f64 * 1e-6;
        let gap = self.traffic.gap(&self.weather, at_s);
        let next = self.now + (gap * 1e6) as Micros;
        if next >= end {
            return;
        }
        self.due.put(next, Due::Ask);
        let Some(drawn) = self.traffic.draw(&self.weather) else { return };
        self.next_request += 1;
        let request = Req {
            asked: self.now,
            end: self.now + micros(self.plan.classes[drawn.class].deadline),
            client_try: 0,
            rng: ChaCha8Rng::seed_from_u64(drawn.seed),
            serving: None,
            serial: 0,
            attempt: None,
            drawn,
        };
        self.requests.insert(self.next_request, request);
        self.client_try(self.next_request);
    }

    fn client_try(&mut self, id: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.plan.classes[request.drawn.class];
        let patience = micros(class.deadline.mul_f64(self.plan.clients.try_share));
        let until = (now + patience).min(request.end);
        let model = &mut self.proxies[request.drawn.proxy].model;
        let (serving, next) = Serving::begin(model, now, request.drawn.class, micros(class.aim), until);
        request.serving = Some(serving);
        self.next(id, next);
    }

    fn next(&mut self, id: u64, next: Next) {
        match next {
            Next::Tell(answer) => self.answered(id, answer),
            Next::Send { server, until } => self.send(id, server, until),
        }
    }

    fn answered(&mut self, id: u64, answer: Answer) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.client_try += 1;
        request.serial += 1;
        request.attempt = None;
        let class = &self.plan.classes[request.drawn.class];
        let since = now - request.asked;
        if client_repeats(answer, class.repeat(), since)
            && request.client_try <= self.plan.clients.retries
            && now < request.end
        {
            let wait = self.plan.clients.wait.mul_f64(request.rng.random_range(0.8..1.2));
            self.due.put(now + micros(wait), Due::Try(id));
            return;
        }
        let Some(request) = self.requests.remove(&id) else { return };
        let asked = Duration::from_micros(request.asked.saturating_sub(self.begin));
        let repeats = request.client_try.saturating_sub(1);
        let took = Duration::from_micros(since);
        self.outcomes.note(class, request.drawn.class, asked, took, answer, repeats);
    }

    // Proxies and servers.

    fn send(&mut self, id: u64, to: SocketAddr, until: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.serial += 1;
        let (serial, proxy) = (request.serial, request.drawn.proxy);
        let zone = self.proxies[proxy].zone;
        let target = self.server_at(to);
        let Some(server) = target else {
            // A ghost: nobody listens there.
            self.due.put(self.now + 2 * self.options.near, Due::Back(id, serial, Tried::NeverRan));
            return;
        };
        let life = self.servers[server].life;
        let conn = self.pooled(proxy, server, life);
        let to_zone = self.plan.servers[server].zone;
        let (way, slow) = (self.way(zone, to_zone), self.servers[server].handshakes.1);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempt = Some(Attempt { server, life, conn, job: None });
        }
        self.due.put(until, Due::GiveUp(id, serial));
        let silent = self.servers[server].silent;
        match (way, conn) {
            // Over a cut link, or to a machine that has gone, nothing comes back: dials fail, the rest hangs.
            (None, None) => self.due.put(self.now + DIAL, Due::Back(id, serial, Tried::NeverRan)),
            (Some(_), None) if silent => {
                self.due.put(self.now + DIAL, Due::Back(id, serial, Tried::NeverRan))
            }
            (None, Some(_)) => {}
            (Some(way), Some(_)) => self.due.put(self.now + way, Due::Reaches(id, serial)),
            // A dial goes there and back first; one that takes too long is none.
            (Some(way), None) if 2 * way > DIAL => {
                self.due.put(self.now + DIAL, Due::Back(id, serial, Tried::NeverRan));
            }
            (Some(way), None) => self.due.put(self.now + 3 * way + slow, Due::Reaches(id, serial)),
        }
    }

    /// An idle connection that still stands.
    fn pooled(&mut self, proxy: usize, server: usize, life: u64) -> Option<Conn> {
        let kept = self.proxies[proxy].pool.get_mut(&server)?;
        while let Some((of_life, conn)) = kept.pop() {
            if of_life == life && self.servers[server].server.is_open(conn) {
                return Some(conn);
            }
        }
        None
    }

    fn reaches(&mut self, id: u64, serial: u32) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.serial == serial) else { return };
        let (drawn, client_try) = (request.drawn, request.client_try);
        let attempt_number = request.serving.as_ref().map_or(0, |s| s.attempts().saturating_sub(1)) as u32;
        let Some(attempt) = &mut request.attempt else { return };
        let place = attempt.server;
        let plan = &self.plan.servers[place];
        let srv = &mut self.servers[place];
        let back =
            if self.proxies[drawn.proxy].zone == plan.zone { self.options.near } else { self.options.far };
        if !srv.up {
            // The port is closed; a connection of an earlier life is reset with nothing sent.
            self.due.put(now + back, Due::Back(id, serial, Tried::NeverRan));
            return;
        }
        if srv.silent {
            return;
        }
        if attempt.life != srv.life {
            (attempt.life, attempt.conn) = (srv.life, None);
        }
        if attempt.conn.is_none_or(|conn| !srv.server.is_open(conn)) {
            let cap = (plan.spec.connections as f64 / srv.connections_divide) as usize;
            let room = plan.spec.connections == 0 || srv.server.connections() < cap;
            attempt.conn = if room { srv.server.connect(now) } else { None };
            if attempt.conn.is_none() {
                self.due.put(now + back, Due::Back(id, serial, Tried::NeverRan));
                return;
            }
        }
        let class = drawn.class;
        let group = match (self.plan.classes[class].effect, self.plan.classes[class].group) {
            (EffectConfig::IdempotencyKey, GroupConfig::All) => Some(0),
            (EffectConfig::IdempotencyKey, GroupConfig::Zone) => Some(plan.zone),
            (EffectConfig::IdempotencyKey, GroupConfig::Cell) => Some(place),
            _ => None,
        };
        let window = micros(self.plan.classes[class].window);
        let memory = group.map(|group| {
            self.memories.entry((class, group)).or_insert_with(|| Memory::new(window, REMEMBERED))
        });
        let known = memory.map(|memory| memory.meet(now, id)) == Some(true);
        let conn = attempt.conn;
        let opening = if conn.is_some_and(|c| srv.server.is_new(c)) { plan.spec.handshake_work } else { 0.0 };
        let dearer = opening * (srv.handshakes.0 - 1.0);
        let (mut came, mut fell) = (Came::Known, false);
        if !known {
            self.next_job += 1;
            let job = Job(self.next_job);
            let was = srv.server.fallen();
            let offer = srv.server.offer(now, job, Ask { work: drawn.work + dearer, key: drawn.key, conn });
            fell = srv.server.fallen() && !was;
            came = match offer {
                Offer::Taken => Came::Taken,
                Offer::Full => Came::Full,
                Offer::Failed => Came::Failed,
                Offer::Fallen => Came::Fallen,
            };
            if came == Came::Taken {
                attempt.job = Some(job);
                srv.jobs.insert(job, (id, serial));
                let request = (RequestId(id), client_try, attempt_number);
                srv.running.insert(job, (request, class));
            } else if let Some(memory) = group.and_then(|g| self.memories.get_mut(&(class, g))) {
                memory.forget(id);
            }
        }
        if fell {
            self.fallen += 1;
            self.note(Event::Fell { server: address(place) });
        }
        self.note(Event::Arrived(Arrival {
            server: address(place),
            proxy: drawn.proxy,
            request: (RequestId(id), client_try, attempt_number),
            class,
            work: drawn.work + opening + dearer,
            came,
        }));
        let end = match came {
            Came::Known => Some(Tried::Good),
            Came::Full if self.plan.rules.full_may_have_run => Some(Tried::MayHaveRun),
            Came::Full => Some(Tried::NeverRan),
            Came::Failed | Came::Fallen => Some(Tried::MayHaveRun),
            Came::Taken => None,
        };
        if let Some(end) = end {
            self.due.put(now + back, Due::Back(id, serial, end));
        }
        self.wake_server(place);
    }

    fn wake_server(&mut self, place: usize) {
        let srv = &mut self.servers[place];
        let Some(at) = srv.server.next_at().filter(|_| srv.up) else { return };
        let at = at.max(self.now);
        if at < srv.wake {
            srv.wake = at;
            self.due.put(at, Due::Server(place));
        }
    }

    fn serve(&mut self, place: usize) {
        let now = self.now;
        let srv = &mut self.servers[place];
        if srv.wake > now {
            return;
        }
        srv.wake = Micros::MAX;
        if !srv.up {
            return;
        }
        while srv.server.closed(now).is_some() {}
        while let Some(done) = self.servers[place].server.poll(now) {
            let srv = &mut self.servers[place];
            if let Some((request, class)) = srv.running.remove(&done.job) {
                if done.good {
                    self.note(Event::Ran { server: address(place), request, class });
                } else {
                    self.forget(place, class, request.0.0);
                }
            }
            let Some((id, serial)) = self.servers[place].jobs.remove(&done.job) else { continue };
            let srv = &mut self.servers[place];
            let (part, by_reset) = srv.lose;
            let lost = part > 0.0 && self.rng.random_bool(part.min(1.0));
            let Some(request) = self.requests.get(&id) else { continue };
            let (from, to) = (self.plan.servers[place].zone, self.proxies[request.drawn.proxy].zone);
            let end = if done.good { Tried::Good } else { Tried::MayHaveRun };
            match (lost, self.way(from, to)) {
                (true, Some(way)) if by_reset => {
                    self.due.put(now + way, Due::Back(id, serial, Tried::MayHaveRun))
                }
                (true, _) | (_, None) => {}
                (false, Some(way)) => self.due.put(now + way, Due::Back(id, serial, end)),
            }
        }
        self.wake_server(place);
    }

    fn forget(&mut self, place: usize, class: usize, id: u64) {
        let group = match self.plan.classes[class].group {
            GroupConfig::All => 0,
            GroupConfig::Zone => self.plan.servers[place].zone,
            GroupConfig::Cell => place,
        };
        if let Some(memory) = self.memories.get_mut(&(class, group)) {
            memory.forget(id);
        }
    }

    fn ended(&mut self, id: u64, serial: u32, end: Tried) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.serial == serial) else { return };
        let proxy = &mut self.proxies[request.drawn.proxy];
        if let Some(Attempt { server, life, conn: Some(conn), .. }) = request.attempt.take() {
            let kept = proxy.pool.entry(server).or_default();
            if end != Tried::MayHaveRun && kept.len() < POOL && self.servers[server].life == life {
                kept.push((life, conn));
            } else if self.servers[server].life == life {
                self.servers[server].server.disconnect(now, conn);
            }
        }
        let Some(serving) = &mut request.serving else { return };
        request.serial += 1;
        let next = serving.ended(&mut proxy.model, now, end);
        self.next(id, next);
    }

    fn give_up(&mut self, id: u64, serial: u32) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.serial == serial) else { return };
        // The connection is closed: the server learns that nobody waits.
        if let Some(Attempt { server, life, conn, job }) = request.attempt.take() {
            let srv = &mut self.servers[server];
            if srv.life == life {
                if let Some(job) = job {
                    srv.jobs.remove(&job);
                    if srv.server.cancel(now, job)
                        && let Some((request, class)) = srv.running.remove(&job)
                    {
                        self.forget(server, class, request.0.0);
                    }
                }
                if let Some(conn) = conn {
                    self.servers[server].server.disconnect(now, conn);
                }
                self.wake_server(server);
            }
        }
        self.ended(id, serial, Tried::MayHaveRun);
    }

    // The channel.

    fn reaches_conductor(&self, proxy: usize) -> bool {
        let p = &self.proxies[proxy];
        p.fate.cut_off == 0 && !self.links.between(p.zone, self.conductors[p.conductor].zone).cut
    }

    fn dial(&mut self, proxy: usize) {
        if self.proxies[proxy].stream.is_some() {
            return;
        }
        let conductor = self.proxies[proxy].conductor;
        if !self.reaches_conductor(proxy) || self.conductors[conductor].engine.is_none() {
            return self.redial(proxy, true);
        }
        let (from, to) = (self.proxies[proxy].zone, self.conductors[conductor].zone);
        let Some(way) = self.way(from, to) else { return self.redial(proxy, true) };
        self.next_stream += 1;
        let stream = StreamId(self.next_stream);
        let p = &mut self.proxies[proxy];
        (p.stream, p.welcomed) = (Some(stream), false);
        let hello = v1::Hello {
            version: VERSION,
            name: format!("p-{proxy}"),
            zone: self.plan.zones[p.zone].0.clone(),
            usual_rate: self.plan.rate / self.plan.proxies.len().max(1) as f64,
            fresh: p.model.fresh(),
            ..v1::Hello::default()
        };
        let (epoch, sequence) = p.model.newest();
        let frame = FromProxy::new(epoch, sequence, from_proxy::Kind::Hello(hello));
        self.proxies[proxy].last = [0, 0];
        self.conductors[conductor].streams.insert(stream, proxy);
        let at = self.in_order(proxy, 1, self.now + 3 * way);
        self.due.put(at, Due::Up(conductor, stream, Box::new(frame)));
    }

    /// Dials again after a wait; `longer`: it was not welcomed.
    fn redial(&mut self, proxy: usize, longer: bool) {
        if self.options.baseline.is_some() {
            return;
        }
        let first = micros(self.plan.redial).max(1000);
        let p = &mut self.proxies[proxy];
        p.wait = if longer { (p.wait * 2).min(first * 8) } else { first };
        let jitter = self.rng.random_range(0.5..1.5);
        let at = self.now + (p.wait as f64 * jitter) as Micros;
        self.due.put(at, Due::Dial(proxy));
    }

    /// A proxy's stream is over; the conductor hears of it unless it ended it itself.
    fn hang_up(&mut self, proxy: usize, heard: bool) {
        let Some(stream) = self.proxies[proxy].stream.take() else { return };
        let conductor = self.proxies[proxy].conductor;
        self.conductors[conductor].streams.remove(&stream);
        self.proxies[proxy].unread.clear();
        let welcomed = std::mem::take(&mut self.proxies[proxy].welcomed);
        if welcomed {
            self.note(Event::Down { proxy });
        }
        if heard {
            self.tell(conductor, Input::Ended { stream });
        }
        self.redial(proxy, !welcomed);
    }

    /// A stream keeps the order of its frames, however late some are.
    fn in_order(&mut self, proxy: usize, way: usize, at: Micros) -> Micros {
        let last = &mut self.proxies[proxy].last[way];
        *last = at.max(*last);
        *last
    }

    fn up(&mut self, proxy: usize, stream: StreamId, kind: from_proxy::Kind) {
        let p = &self.proxies[proxy];
        let (conductor, (epoch, sequence)) = (p.conductor, p.model.newest());
        let (from, to) = (p.zone, self.conductors[conductor].zone);
        if let Some(way) = self.way(from, to) {
            let frame = Box::new(FromProxy::new(epoch, sequence, kind));
            let at = self.in_order(proxy, 1, self.now + way);
            self.due.put(at, Due::Up(conductor, stream, frame));
        }
    }

    fn down(&mut self, proxy: usize, stream: StreamId, frame: Arc<FromConductor>) {
        let p = &mut self.proxies[proxy];
        if p.stream != Some(stream) {
            return;
        }
        if p.fate.stalled {
            p.unread.push((stream, frame));
            return;
        }
        // A slow channel is read one frame after the other.
        if p.fate.slow > 1.0 || p.busy_until > self.now {
            let lines = match &frame.kind {
                Some(from_conductor::Kind::Order(order)) => {
                    order.cost() as f64 + self.config.channel.message_head
                }
                _ => 0.0,
            };
            let takes = lines / self.config.channel.lines_per_s * (p.fate.slow - 1.0).max(0.0);
            p.busy_until = p.busy_until.max(self.now) + (takes.min(5.0) * 1e6) as Micros;
            self.due.put(p.busy_until, Due::Read(proxy, stream, frame));
        } else {
            self.read(proxy, stream, &frame);
        }
    }

    fn read(&mut self, proxy: usize, stream: StreamId, frame: &FromConductor) {
        let p = &mut self.proxies[proxy];
        if p.stream != Some(stream) {
            return;
        }
        match &frame.kind {
            Some(from_conductor::Kind::Welcome(welcome)) => {
                p.model.welcome(frame.epoch);
                p.welcomed = true;
                p.report_every = welcome.report_every_us.max(10_000);
                let at = self.now + (p.report_every as f64 * self.rng.random_range(0.0..1.0)) as Micros;
                self.due.put(at, Due::Report(proxy, stream));
                let conductor = p.conductor;
                self.note(Event::Up { proxy, conductor });
            }
            Some(from_conductor::Kind::Order(order)) => {
                let lines = order.cost() as f64 + self.config.channel.message_head;
                self.orders += 1;
                let mark = p.model.apply(frame.epoch, frame.sequence, order);
                if self.options.judged {
                    let order = Arc::new(order.clone());
                    self.note(Event::Order { proxy, epoch: frame.epoch, order, lines });
                }
                if let Some(mark) = mark {
                    self.up(proxy, stream, from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 }));
                }
            }
            Some(from_conductor::Kind::Goodbye(_)) => self.hang_up(proxy, false),
            _ => {}
        }
    }

    fn report(&mut self, proxy: usize, stream: StreamId) {
        let p = &mut self.proxies[proxy];
        if p.stream != Some(stream) {
            return;
        }
        self.due.put(self.now + p.report_every, Due::Report(proxy, stream));
        if p.fate.stalled {
            return;
        }
        let mut report = p.model.report(self.now);
        let late = p.fate.late;
        report.age_us = late;
        let (epoch, sequence) = p.model.newest();
        let (conductor, zone) = (p.conductor, p.zone);
        let to = self.conductors[conductor].zone;
        if let Some(way) = self.way(zone, to) {
            let frame = Box::new(FromProxy::new(epoch, sequence, from_proxy::Kind::Report(report)));
            let at = if late > 0 { self.now + late + way } else { self.in_order(proxy, 1, self.now + way) };
            self.due.put(at, Due::Up(conductor, stream, frame));
        }
    }

    // Conductors.

    fn start_conductor(&mut self, k: usize) {
        let life = self.conductors[k].life + 1;
        let epoch = self.now + k as u64;
        let engine = Engine::new(self.config.clone(), epoch, self.plan.seed ^ life, self.now);
        let conductor = &mut self.conductors[k];
        (conductor.engine, conductor.life, conductor.tracking) = (Some(engine), life, false);
        conductor.wake = Micros::MAX;
        self.note(Event::Conductor { conductor: k, up: true });
        self.act(k);
    }

    fn kill_conductor(&mut self, k: usize) {
        self.conductors[k].engine = None;
        self.conductors[k].life += 1;
        self.note(Event::Conductor { conductor: k, up: false });
        let proxies: Vec<usize> = self.conductors[k].streams.values().copied().collect();
        for proxy in proxies {
            self.hang_up(proxy, false);
        }
        self.conductors[k].streams.clear();
    }

    fn tell(&mut self, k: usize, input: Input) {
        let (now, begun) = (self.now, Instant::now());
        let Some(engine) = &mut self.conductors[k].engine else { return };
        engine.handle(now, input);
        self.engine_time += begun.elapsed();
        self.act(k);
    }

    fn act(&mut self, k: usize) {
        loop {
            let (now, begun) = (self.now, Instant::now());
            let Some(engine) = &mut self.conductors[k].engine else { return };
            let output = engine.poll(now);
            self.engine_time += begun.elapsed();
            let life = self.conductors[k].life;
            match output {
                None => break,
                Some(Output::Send { stream, frame }) => {
                    let Some(proxy) = self.conductors[k].streams.get(&stream).copied() else { continue };
                    let Some(frame) = self.decode(frame) else { continue };
                    let (from, to) = (self.conductors[k].zone, self.proxies[proxy].zone);
                    if let Some(way) = self.way(from, to) {
                        let at = self.in_order(proxy, 0, now + way);
                        self.due.put(at, Due::Down(proxy, stream, frame));
                    }
                }
                Some(Output::Close { stream, .. }) => {
                    if let Some(proxy) = self.conductors[k].streams.remove(&stream) {
                        self.hang_up(proxy, false);
                    }
                }
                Some(Output::Probe { target }) => {
                    if let Some(server) = self.server_at(target.address) {
                        let to = self.plan.servers[server].zone;
                        let from = self.conductors[k].zone;
                        match self.way(from, to) {
                            Some(way) => self.due.put(now + 3 * way, Due::Probe(k, life, target, now)),
                            None => self.probe_lost(k, life, target, now),
                        }
                    } else if place(target.address).is_some() {
                        let back = now + 2 * self.options.near;
                        self.due
                            .put(back, Due::Probed(k, life, target, now, ProbeOutcome::Unreachable, None));
                    }
                }
                Some(Output::Track) => {
                    self.conductors[k].tracking = true;
                    self.due.put(now + 1000, Due::Listed(k, life, true, Vec::new()));
                }
                Some(Output::Lookup) => self.due.put(now + 1000, Due::Listed(k, life, true, Vec::new())),
                Some(Output::Note(_)) => {}
            }
        }
        let conductor = &mut self.conductors[k];
        let Some(at) = conductor.engine.as_ref().and_then(Engine::next_at) else { return };
        if at < conductor.wake {
            conductor.wake = at.max(self.now + 1);
            self.due.put(conductor.wake, Due::Engine(k, conductor.life));
        }
    }

    /// Frames for many proxies are the same bytes: each is decoded once. The bytes are kept with what they say, so
    /// that no other frame can come to lie at the same address.
    fn decode(&mut self, frame: Bytes) -> Option<Arc<FromConductor>> {
        let same = |kept: &Bytes| (kept.as_ptr(), kept.len()) == (frame.as_ptr(), frame.len());
        if let Some((_, decoded)) = self.decoded.as_ref().filter(|(kept, _)| same(kept)) {
            return Some(Arc::clone(decoded));
        }
        let decoded = Arc::new(split_frame::<FromConductor>(&frame).ok()?);
        self.decoded = Some((frame, Arc::clone(&decoded)));
        Some(decoded)
    }

    /// The place of the server at an address.
    fn server_at(&self, address: SocketAddr) -> Option<usize> {
        place(address).filter(|place| *place < self.servers.len())
    }

    fn probe_lost(&mut self, k: usize, life: u64, target: ProbeTarget, sent: Micros) {
        let at = sent + micros(self.config.probes.timeout);
        self.due.put(at, Due::Probed(k, life, target, sent, ProbeOutcome::Timeout, None));
    }

    fn probe(&mut self, k: usize, life: u64, target: ProbeTarget, sent: Micros) {
        let now = self.now;
        let Some(place) = self.server_at(target.address) else { return };
        let srv = &mut self.servers[place];
        let zone = self.plan.servers[place].zone;
        if !srv.up {
            let back = now + self.options.near;
            self.due.put(back, Due::Probed(k, life, target, sent, ProbeOutcome::Unreachable, None));
            return;
        }
        let load = if srv.silent { None } else { srv.server.probe(now) };
        let (lie, stuck) = (srv.lie, srv.stuck);
        let to = self.conductors[k].zone;
        match (load, self.way(zone, to)) {
            (Some(load), Some(way)) => {
                let shown = match lie {
                    None => load,
                    Some(Lie::Stuck) => stuck,
                    Some(Lie::Busy) => Load { rif: 50.0, q: 40.0, busy: 1.0, ..load },
                    Some(Lie::Times(times)) => Load {
                        rif: load.rif * times,
                        q: load.q * times,
                        busy: load.busy * times,
                        lat_ms: load.lat_ms * times,
                    },
                };
                self.due.put(now + way, Due::Probed(k, life, target, sent, ProbeOutcome::Ok, Some(shown)));
            }
            _ => self.probe_lost(k, life, target, sent),
        }
        self.wake_server(place);
    }

    /// A load report in the order of the settings' columns; none where one is unknown.
    fn columns(&self, load: Load) -> Vec<f32> {
        let value = |name: &String| match name.as_str() {
            "rif" => Some(load.rif as f32),
            "q" => Some(load.q as f32),
            "busy" => Some(load.busy as f32),
            "lat_ms" => Some(load.lat_ms as f32),
            _ => None,
        };
        self.config.reports.load_columns.iter().map(value).collect::<Option<Vec<_>>>().unwrap_or_default()
    }

    // The node list.

    fn listed(&mut self, k: usize, life: u64, whole: bool, servers: Vec<usize>) {
        if self.conductors[k].life != life {
            return;
        }
        if self.list_down {
            self.conductors[k].tracking = false;
            return self.tell(k, Input::List { how: ListHow::Failed, entries: Vec::new() });
        }
        let places: Vec<usize> = if whole { (0..self.servers.len()).collect() } else { servers };
        let mut records = Vec::new();
        for place in places {
            let srv = &self.servers[place];
            let Some((state, started)) = srv.listed else { continue };
            let state = if srv.hidden { NodeState::Gone } else { state };
            if whole && state == NodeState::Gone {
                continue;
            }
            let plan = &self.plan.servers[place];
            records.push(NodeRecord {
                address: address(place),
                zone: self.plan.zones[plan.zone].0.clone(),
                state,
                weight: plan.weight,
                started_unix_ms: started / 1000,
            });
        }
        for ghost in 0..self.ghosts {
            records.push(NodeRecord {
                address: address(0xff_0000 + ghost),
                zone: self.plan.zones[ghost % self.plan.zones.len()].0.clone(),
                state: NodeState::Ready,
                weight: 1.0,
                started_unix_ms: 0,
            });
        }
        let entries: Vec<NodeEntry> = records.iter().cloned().map(NodeEntry::from).collect();
        debug_assert!(
            entries
                .iter()
                .all(|e| matches!(e.state, ListState::Ready | ListState::Draining | ListState::Gone))
        );
        self.note(Event::Told { conductor: k, whole, nodes: Arc::new(records) });
        let how = if whole { ListHow::Full } else { ListHow::Delta };
        self.tell(k, Input::List { how, entries });
    }

    /// Without a conductor every proxy follows the list by itself.
    fn deal_tables(&mut self) {
        let Some(baseline) = self.options.baseline else { return };
        let listed = |k: &usize| {
            let srv = &self.servers[*k];
            !srv.hidden && srv.listed.is_some_and(|(state, _)| state == NodeState::Ready)
        };
        let entry = |k: usize| (k, self.plan.servers[k].zone, self.plan.servers[k].weight);
        let ready: Vec<_> = (0..self.servers.len()).filter(listed).map(entry).collect();
        // A list that cannot be had, or is empty, changes nothing.
        if self.list_down || ready.is_empty() {
            return;
        }
        let levels = Baseline::levels(&self.plan);
        for proxy in 0..self.proxies.len() {
            let chosen = baseline.choose(proxy, &self.plan, &ready);
            let line = |(k, _, weight): (usize, usize, f64)| v1::Line {
                server: Some(address(k).into()),
                weight: weight as f32,
            };
            let lines = chosen.into_iter().map(line).collect();
            let table = v1::Table { lines, levels: levels.clone(), ..v1::Table::default() };
            let order = v1::Order { table: Some(table), ..v1::Order::default() };
            let model = &mut self.proxies[proxy].model;
            let (_, sequence) = model.newest();
            model.apply(0, sequence + 1, &order);
            self.orders += 1;
        }
    }

    /// Conductors that track the list are told of changes.
    fn list_changed(&mut self, servers: Vec<usize>) {
        self.deal_tables();
        for k in 0..self.conductors.len() {
            if self.conductors[k].tracking && self.conductors[k].engine.is_some() {
                let life = self.conductors[k].life;
                self.due.put(self.now + 500, Due::Listed(k, life, false, servers.clone()));
            }
        }
    }

    // Troubles.

    fn start_server(&mut self, place: usize) {
        let now = self.now;
        self.stop_process(place);
        let spec = &self.plan.servers[place].spec;
        let srv = &mut self.servers[place];
        srv.server = Server::new(spec.clone(), self.rng.random(), now, false);
        srv.server.ail(now, srv.ails);
        (srv.up, srv.wake) = (true, Micros::MAX);
        let started = Event::ServerStarted {
            server: address(place),
            capacity: spec.capacity(),
            cold_from: spec.cold_from,
            cold: (spec.warm_by == WarmBy::Time).then_some(spec.cold),
        };
        self.note(started);
        self.due.put(now + micros(self.plan.list_delay), Due::Learns(place, NodeState::Ready, now));
    }

    fn stop_server(&mut self, place: usize) {
        self.stop_process(place);
        self.due.put(self.now + micros(self.plan.list_delay), Due::Learns(place, NodeState::Gone, 0));
    }

    /// What it held is lost: whoever waits learns it by a reset.
    fn stop_process(&mut self, place: usize) {
        let now = self.now;
        let srv = &mut self.servers[place];
        srv.life += 1;
        srv.up = false;
        let mut lost: Vec<(u64, u32)> = srv.jobs.drain().map(|(_, request)| request).collect();
        lost.sort_unstable();
        let running: BTreeSet<(usize, u64)> =
            srv.running.drain().map(|(_, (r, class))| (class, r.0.0)).collect();
        for (id, serial) in lost {
            self.due.put(now + self.options.near, Due::Back(id, serial, Tried::MayHaveRun));
        }
        for (class, id) in running {
            self.forget(place, class, id);
        }
    }

    fn ail(&mut self, servers: &[usize], change: impl Fn(&mut Ails)) {
        for place in servers {
            let srv = &mut self.servers[*place];
            change(&mut srv.ails);
            srv.server.ail(self.now, srv.ails);
            self.wake_server(*place);
        }
    }

    fn die(&mut self, servers: &[usize], on: bool) {
        for place in servers {
            if on { self.stop_server(*place) } else { self.start_server(*place) }
        }
    }

    fn cut_off(&mut self, proxy: usize, on: bool) {
        let fate = &mut self.proxies[proxy].fate;
        fate.cut_off = if on { fate.cut_off + 1 } else { fate.cut_off.saturating_sub(1) };
        if on {
            self.hang_up(proxy, true);
        }
    }

    /// Streams over links that are cut now break.
    fn break_cut_streams(&mut self) {
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].stream.is_some() && !self.reaches_conductor(proxy) {
                self.hang_up(proxy, true);
            }
        }
    }

    fn step(&mut self, strike: usize, step: usize, stops: bool) {
        let plan = Arc::clone(&self.plan);
        let Trouble::Release(drain, steps) = &plan.strikes[strike].trouble else { return };
        let Some(told) = steps.get(step) else { return };
        if stops {
            told.stop.iter().for_each(|place| self.stop_server(*place));
            return;
        }
        for place in &told.stop {
            self.servers[*place].server.drain(self.now);
            self.wake_server(*place);
            let at = self.now + micros(plan.list_delay);
            self.due.put(at, Due::Learns(*place, NodeState::Draining, 0));
        }
        told.start.iter().for_each(|place| self.start_server(*place));
        self.due.put(self.now + micros(plan.list_delay + *drain), Due::Step(strike, step, true));
    }

    fn strike(&mut self, strike: usize, on: bool) {
        let plan = Arc::clone(&self.plan);
        let part = |part: f64| if on { part } else { 0.0 };
        let times = |times: f64| if on { times } else { 1.0 };
        match &plan.strikes[strike].trouble {
            Trouble::Burst(by) => toggle(&mut self.weather.bursts, *by, on),
            Trouble::Shift(zone, share) => toggle(&mut self.weather.shifts, (*zone, *share), on),
            Trouble::Mix(class, share) => toggle(&mut self.weather.mixes, (*class, *share), on),
            Trouble::HeavyTail(class, share, by) => {
                toggle(&mut self.weather.tails, (*class, *share, *by), on);
            }
            Trouble::Release(_, steps) => {
                for (k, step) in steps.iter().enumerate() {
                    self.due.put(self.now + micros(step.at), Due::Step(strike, k, false));
                }
            }
            Trouble::Die(servers) => self.die(servers, on),
            Trouble::Vanish(servers) => {
                for place in servers {
                    self.servers[*place].silent = on;
                    if on {
                        let at = self.now + 3 * micros(plan.list_delay);
                        self.due.put(at, Due::Learns(*place, NodeState::Gone, 0));
                    } else {
                        self.start_server(*place);
                    }
                }
            }
            Trouble::Hang(servers) => self.ail(servers, |a| a.hangs = on),
            Trouble::Fail(servers, share) => self.ail(servers, |a| a.fails = part(*share)),
            Trouble::Pause(servers, every, pause) => {
                let rhythm = on.then_some((micros(*every), micros(*pause)));
                self.ail(servers, |a| a.pauses = rhythm);
            }
            Trouble::LoseAnswers(servers, share, by_reset) => {
                servers.iter().for_each(|k| self.servers[*k].lose = (part(*share), *by_reset));
            }
            Trouble::FalseReports(servers, lie, slower) => {
                for place in servers {
                    let srv = &mut self.servers[*place];
                    srv.stuck = srv.server.load(self.now);
                    srv.lie = on.then_some(*lie);
                }
                self.ail(servers, |a| a.slower = part(slower - 1.0));
            }
            Trouble::Ghosts(many) => {
                self.ghosts = if on { *many } else { 0 };
                self.list_changed(Vec::new());
            }
            Trouble::FewConnections(servers, divide) => {
                servers.iter().for_each(|k| self.servers[*k].connections_divide = times(*divide));
            }
            Trouble::SlowHandshakes(servers, factor, delay) => {
                let delay = if on { micros(*delay) } else { 0 };
                servers.iter().for_each(|k| self.servers[*k].handshakes = (times(*factor), delay));
            }
            Trouble::ListDown => {
                self.list_down = on;
                if on {
                    self.list_changed(Vec::new());
                }
            }
            Trouble::WrongList(servers) => {
                servers.iter().for_each(|k| self.servers[*k].hidden = on);
                self.list_changed(servers.clone());
            }
            Trouble::LoseZone(zone, proxies) => {
                let of_zone = |k: &usize| {
                    plan.servers[*k].zone == *zone && self.servers[*k].up == on && (on || plan.servers[*k].up)
                };
                let servers: Vec<usize> = (0..self.servers.len()).filter(of_zone).collect();
                self.die(&servers, on);
                for proxy in 0..self.proxies.len() {
                    if *proxies && self.proxies[proxy].zone == *zone {
                        self.cut_off(proxy, on);
                    }
                }
            }
            Trouble::CutZone(zone) => {
                self.links.cut(*zone, on);
                self.break_cut_streams();
            }
            Trouble::CutLink(a, b) => {
                self.links.cut_link(*a, *b, on);
                self.break_cut_streams();
            }
            Trouble::SlowLink(a, b, delay, loss) => self.links.slow(*a, *b, *delay, *loss, on),
            Trouble::SlowChannel(by) => {
                self.proxies.iter_mut().for_each(|p| p.fate.slow = part(*by));
            }
            Trouble::LateReports(by) => {
                let late = self.options.reports_late + if on { micros(*by) } else { 0 };
                self.proxies.iter_mut().for_each(|p| p.fate.late = late);
            }
            Trouble::CutOff(proxies) => proxies.iter().for_each(|p| self.cut_off(*p, on)),
            Trouble::Stall(proxies) => {
                for proxy in proxies {
                    self.proxies[*proxy].fate.stalled = on;
                    self.note(Event::Reads { proxy: *proxy, on: !on });
                    for (stream, frame) in std::mem::take(&mut self.proxies[*proxy].unread) {
                        self.due.put(self.now, Due::Down(*proxy, stream, frame));
                    }
                }
            }
            Trouble::KillConductor(_) | Trouble::RestartConductors(_) if self.options.baseline.is_some() => {}
            Trouble::KillConductor(conductors) => {
                for k in conductors.iter() {
                    if on { self.kill_conductor(*k) } else { self.start_conductor(*k) }
                }
            }
            // In virtual time a restart takes none, and all come at its begin.
            Trouble::RestartConductors(conductors) => {
                for k in conductors.iter().filter(|_| on) {
                    self.kill_conductor(*k);
                    self.start_conductor(*k);
                }
            }
        }
    }

    fn finish(self, begun: Instant) -> Outcome {
        let breaks = match self.options.judged {
            true => {
                let zone = |k: usize| (address(k), self.plan.zones[self.plan.servers[k].zone].0.clone());
                let figures = Figures::new(&self.plan, (0..self.servers.len()).map(zone).collect());
                judge(&figures, self.begin, &self.events)
            }
            false => Vec::new(),
        };
        let classes = self.outcomes.tallies();
        Outcome {
            service: self.outcomes.service(),
            mean_ms: self.outcomes.mean_ms(),
            asked: classes.iter().map(|t| t.asked).sum(),
            classes,
            breaks,
            fallen: self.fallen,
            orders: self.orders,
            events: self.due.count(),
            took_s: [begun.elapsed().as_secs_f64(), self.engine_time.as_secs_f64()],
        }
    }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

fn toggle<T: PartialEq>(list: &mut Vec<T>, item: T, on: bool) {
    if on {
        list.push(item);
    } else if let Some(place) = list.iter().position(|i| *i == item) {
        list.remove(place);
    }
}
