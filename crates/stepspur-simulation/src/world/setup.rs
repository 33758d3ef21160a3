//! Builds the world at the beginning of a run.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_emulator::clients::Outcomes;
use stepspur_emulator::links::Links;
use stepspur_emulator::plan::{Plan, ProxyPlan};
use stepspur_emulator::trace::Event;
use stepspur_emulator::traffic::{Traffic, TrafficFaults};
use stepspur_model::Micros;
use stepspur_model::proxy::{Proxy, Spec};
use stepspur_model::server::Server;

use super::state::{ConductorState, Impairment, ProxyState, ServerState};
use super::{Options, World, address};
use crate::baseline::Baseline;
use crate::queue::Queue;

/// Virtual time at which a run starts, in microseconds since 1970. Any time far from 0 works.
pub(super) const START_TIME: Micros = 1_000_000_000_000;
/// Time between the start of the run and the first request, in which proxies connect, in microseconds.
const JOIN_LEAD_TIME: Micros = 1_000_000;
/// Standing tables hold only servers of the proxy's zone if the zone has at least this many.
const MIN_LOCAL_SERVERS: usize = 3;
/// Report period of a proxy until a conductor sets it, in microseconds.
const DEFAULT_REPORT_PERIOD: Micros = 1_000_000;
/// Separates the world's random numbers from those of other users of the plan's seed.
const SEED_MASK: u64 = 0xf1ee7;

impl World {
    pub(super) fn new(plan: &Plan, options: &Options) -> Self {
        let options = Options { conductors: options.conductors.max(plan.conductors), ..options.clone() };
        let plan = Arc::new(plan.clone());
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ SEED_MASK);
        let mut config = plan.config.clone();
        config.fleet.conductors = options.conductors as u32;
        let servers = servers(&plan, &mut rng);
        let proxies = proxies(&plan, &options, &mut rng);
        let started = |(proxy, (_, standing)): (usize, &(ProxyState, Vec<SocketAddr>))| {
            (START_TIME, Event::ProxyStarted { proxy, standing: standing.clone() })
        };
        let events = proxies.iter().enumerate().map(started).collect();
        let begin = START_TIME + JOIN_LEAD_TIME;
        Self {
            conductors: conductors(&plan, &options),
            outcomes: Outcomes::new(&plan),
            traffic: Traffic::new(Arc::clone(&plan)),
            options,
            config,
            now: START_TIME,
            begin,
            end: begin + super::micros(plan.length),
            schedule: Queue::default(),
            rng,
            servers,
            proxies: proxies.into_iter().map(|(proxy, _)| proxy).collect(),
            weather: TrafficFaults::default(),
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
}

fn servers(plan: &Plan, rng: &mut ChaCha8Rng) -> Vec<ServerState> {
    let mut state = |server: &stepspur_emulator::plan::ServerPlan| {
        ServerState::new(Server::new(server.spec.clone(), rng.random(), START_TIME, true), server.up)
    };
    plan.servers.iter().map(&mut state).collect()
}

/// Builds the proxies, each with the servers of its standing table.
fn proxies(plan: &Plan, options: &Options, rng: &mut ChaCha8Rng) -> Vec<(ProxyState, Vec<SocketAddr>)> {
    let all = servers_up(plan, None);
    let local: Vec<_> = (0..plan.zones.len()).map(|zone| servers_up(plan, Some(zone))).collect();
    let mut proxy = |(number, proxy): (usize, &ProxyPlan)| {
        let local = &local[proxy.zone];
        let from = if local.len() >= MIN_LOCAL_SERVERS { local } else { &all };
        let standing: Vec<_> = from.sample(rng, plan.standing).copied().collect();
        let mut spec = Spec { classes: plan.classes.len(), ..plan.proxy.clone() };
        spec.pick = options.baseline.and_then(Baseline::pick).unwrap_or(spec.pick);
        let model = Proxy::new(spec, rng.random(), standing.clone(), START_TIME);
        (proxy_state(plan, options, number, proxy.zone, model), standing)
    };
    plan.proxies.iter().enumerate().map(&mut proxy).collect()
}

fn proxy_state(plan: &Plan, options: &Options, number: usize, zone: usize, model: Proxy) -> ProxyState {
    ProxyState {
        model,
        zone,
        conductor: number % options.conductors.max(1),
        stream: None,
        welcomed: false,
        redial_wait: plan.redial.as_micros() as Micros,
        report_every: DEFAULT_REPORT_PERIOD,
        impairment: Impairment { late: options.reports_late, ..Impairment::default() },
        unread: Vec::new(),
        busy_until: 0,
        newest_arrival: [0, 0],
        idle: HashMap::new(),
    }
}

/// Returns the servers that are up at the beginning, of one zone or of all zones.
fn servers_up(plan: &Plan, zone: Option<usize>) -> Vec<SocketAddr> {
    let is_selected = |server: &usize| {
        let planned = &plan.servers[*server];
        planned.up && zone.is_none_or(|zone| planned.zone == zone)
    };
    (0..plan.servers.len()).filter(is_selected).map(address).collect()
}

fn conductors(plan: &Plan, options: &Options) -> Vec<ConductorState> {
    let conductor = |number: usize| {
        let zone = options.conductor_zones.get(number).copied();
        ConductorState {
            engine: None,
            incarnation: 0,
            wake_at: Micros::MAX,
            tracking: false,
            zone: zone.unwrap_or(plan.conductor_zone + number) % plan.zones.len(),
            streams: BTreeMap::new(),
        }
    };
    (0..options.conductors.max(1)).map(conductor).collect()
}
