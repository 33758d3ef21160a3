//! A property test of zone-local classes: for generated zones, subsets, classes and faults, no connected
//! proxy is without a server that it may use for a class for longer than permitted, as long as a warm one is
//! listed as ready. The generator has a fixed seed; `ZONE_LOCAL_CASES` sets the number of cases.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stepspur::interface::*;

/// Longest permitted time without a server, as in the platform's settings.
const MAX_GAP: Micros = 2_400_000;
/// Time between two batches.
const STEP: Micros = 250_000;
/// Steps of a case.
const STEPS: u32 = 120;
/// Upper bound of the servers in the static table of a proxy that has no other.
const STATIC_TABLE_SERVERS: usize = 10;
/// Cases without a limit of messages.
const UNLIMITED_CASES: u32 = 800;
/// Cases with a limit of messages: gaps are rarer there.
const LIMITED_CASES: u32 = 3000;
/// Upper bound of the attempts to simplify a failing case.
const MAX_SHRINK_ITERATIONS: u32 = 500;

/// What happens to servers or proxies during a fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The servers answer nothing, neither attempts nor probes.
    Hang,
    /// The servers answer probes, but no attempts from proxies of this zone.
    FailForZone(u16),
    /// The servers are listed as draining.
    Drain,
    /// The servers restart: they are listed as ready with a new start time.
    Restart,
    /// A complete list omits the servers.
    OmitFromList,
    /// A change of the list calls the servers removed.
    Remove,
    /// The streams of these proxies end. They connect again after the fault.
    EndStreams,
}

/// A fault of the selected servers or proxies: those whose bit is set, modulo 64.
#[derive(Clone, Debug)]
struct Disruption {
    fault: Fault,
    begin: u32,
    end: u32,
    selected: u64,
}

impl Disruption {
    fn concerns(&self, number: u16) -> bool {
        self.selected >> (number % 64) & 1 == 1
    }

    fn is_active(&self, step: u32) -> bool {
        (self.begin..self.end).contains(&step)
    }
}

/// A generated deployment and its disruptions.
#[derive(Clone, Debug)]
struct Scenario {
    set: Settings,
    /// The zone of each server.
    servers: Vec<u16>,
    /// The zone of each proxy, and the step in which it connects.
    proxies: Vec<(u16, u32)>,
    disruptions: Vec<Disruption>,
}

fn disruption(zones: u16) -> impl Strategy<Value = Disruption> {
    let fault = prop_oneof![
        3 => Just(Fault::Hang),
        2 => (0..zones).prop_map(Fault::FailForZone),
        1 => Just(Fault::Drain),
        2 => Just(Fault::Restart),
        2 => Just(Fault::OmitFromList),
        1 => Just(Fault::Remove),
        1 => Just(Fault::EndStreams),
    ];
    // Few, half, or most of the servers or proxies.
    let selected = prop_oneof![
        any::<(u64, u64)>().prop_map(|(a, b)| a & b),
        any::<u64>(),
        any::<(u64, u64)>().prop_map(|(a, b)| a | b),
    ];
    (fault, 0..STEPS, 1u32..80, selected).prop_map(|(fault, begin, length, selected)| Disruption {
        fault,
        begin,
        end: begin + length,
        selected,
    })
}

/// Scenarios in which a proxy may get this many messages in 10 s; 0: any number.
fn scenario(max_messages_per_window: u32) -> impl Strategy<Value = Scenario> {
    let connection_limits = prop_oneof![Just(0.0), Just(10.0), Just(20.0), Just(40.0)];
    let classes = (any::<[bool; 3]>(), 0usize..3);
    (1u16..=4, connection_limits, classes, any::<bool>(), any::<bool>()).prop_flat_map(
        move |(
            zones,
            min_server_connections,
            (mut zone_local, always),
            absence_is_advisory,
            health_checks,
        )| {
            zone_local[always] = true;
            let servers = prop::collection::vec(0..zones, 1..40);
            let proxies = prop::collection::vec((0..zones, prop_oneof![Just(0), 0..STEPS]), 1..60);
            let disruptions = prop::collection::vec(disruption(zones), 1..6);
            (servers, proxies, disruptions).prop_map(move |(servers, proxies, disruptions)| {
                let class = |zone_local| RequestClass { zone_local, ..settings().classes[0].clone() };
                let set = Settings {
                    zone_count: usize::from(zones),
                    classes: zone_local.map(class).to_vec(),
                    min_server_connections,
                    proxy_count: proxies.len() as u32,
                    max_messages_per_window,
                    max_pending_lines: 1e6,
                    channel_lines_per_second: 1e6,
                    absence_is_advisory,
                    active_health_checks: health_checks,
                    ..settings()
                };
                Scenario { set, servers, proxies, disruptions }
            })
        },
    )
}

/// The platform around the decision module: the list, the servers' answers and the proxies' tables.
struct Fleet<'a> {
    scenario: &'a Scenario,
    harness: Harness,
    step: u32,
    /// The list as last sent.
    listed: BTreeMap<u8, Endpoint>,
    /// The servers that each proxy had when it connected, until a table is assigned to it.
    static_tables: BTreeMap<ProxyId, BTreeSet<ServerId>>,
    /// Servers that proxies are ordered not to use.
    ejected: BTreeSet<ServerId>,
    probes: Vec<ServerId>,
    /// Since when each proxy is without a server for a class.
    gaps: BTreeMap<(ProxyId, usize), Micros>,
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        Fleet {
            scenario,
            harness: Harness::new(scenario.set.clone()),
            step: 0,
            listed: BTreeMap::new(),
            static_tables: BTreeMap::new(),
            ejected: BTreeSet::new(),
            probes: Vec::new(),
            gaps: BTreeMap::new(),
        }
    }

    fn active(&self) -> impl Iterator<Item = &Disruption> {
        self.scenario.disruptions.iter().filter(|disruption| disruption.is_active(self.step))
    }

    /// The entry of a server in the list of this step; `None` if the list omits it.
    fn entry(&self, n: u8) -> Option<Endpoint> {
        let mut entry = endpoint(n, self.scenario.servers[usize::from(n)]);
        for disruption in self.scenario.disruptions.iter().filter(|d| d.concerns(u16::from(n))) {
            let active = disruption.is_active(self.step);
            match disruption.fault {
                Fault::OmitFromList if active => return None,
                Fault::Remove if active => entry.state = EndpointState::Removed,
                Fault::Drain if active && entry.state == EndpointState::Ready => {
                    entry.state = EndpointState::Draining;
                }
                Fault::Restart if self.step >= disruption.begin => {
                    let started_at = START + u64::from(disruption.begin) * STEP;
                    entry.started_at = entry.started_at.max(started_at);
                }
                _ => {}
            }
        }
        Some(entry)
    }

    /// The change of the list in this step: a complete list if it omits other servers than the last one, else
    /// the changed entries.
    fn list_event(&mut self) -> Option<Event> {
        let numbers = 0..self.scenario.servers.len() as u8;
        let list: BTreeMap<u8, Endpoint> = numbers.filter_map(|n| Some((n, self.entry(n)?))).collect();
        let changed: Vec<_> = list
            .iter()
            .filter(|(n, entry)| self.listed.get(n) != Some(entry))
            .map(|(_, e)| e.clone())
            .collect();
        let same_servers = list.keys().eq(self.listed.keys());
        let complete: Vec<_> = list.values().filter(|e| e.state != EndpointState::Removed).cloned().collect();
        self.listed = list;
        if !same_servers {
            return Some(endpoint_list(ListUpdate::Full, &complete));
        }
        (!changed.is_empty()).then(|| endpoint_list(ListUpdate::Delta, &changed))
    }

    /// Streams that begin or end in this step.
    fn stream_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for (number, (zone, connects_at)) in self.scenario.proxies.iter().enumerate() {
            let (number, proxy) = (number as u16, ProxyId(number as u16));
            let ended = self.active().any(|d| matches!(d.fault, Fault::EndStreams) && d.concerns(number));
            let connected = self.step >= *connects_at && !ended;
            if connected && !self.harness.connected.contains(&proxy) {
                self.static_tables.entry(proxy).or_insert_with(|| static_table(&self.listed, *zone));
                events.push(proxy_connected(number, *zone));
            } else if !connected && self.harness.connected.contains(&proxy) {
                let servers = self.servers_at(proxy);
                self.static_tables.insert(proxy, servers);
                events.push(Event::ProxyDisconnected { proxy });
            }
        }
        events
    }

    /// The servers in the table that a proxy uses.
    fn servers_at(&self, proxy: ProxyId) -> BTreeSet<ServerId> {
        match self.harness.assigned.get(&proxy) {
            Some(table) => self.harness.tables[table].keys().copied().collect(),
            None => self.static_tables[&proxy].clone(),
        }
    }

    fn answers(&self, n: u8, zone: u16) -> bool {
        !self.active().filter(|d| d.concerns(u16::from(n))).any(|d| match d.fault {
            Fault::Hang => true,
            Fault::FailForZone(failing) => failing == zone,
            _ => false,
        })
    }

    /// Reports of one second of the attempts at all servers in tables, by zone, and of the proxies' requests.
    fn reports(&self) -> Vec<Event> {
        let mut attempted: BTreeSet<(u16, ServerId)> = BTreeSet::new();
        for proxy in &self.harness.connected {
            let zone = self.zone_of(*proxy);
            attempted.extend(self.servers_at(*proxy).into_iter().map(|server| (zone, server)));
        }
        let mut events = Vec::new();
        for (zone, server) in attempted {
            let n = server.0[3];
            let failed = if self.answers(n, zone) { 0 } else { 10 };
            events.push(upstream_stats(n, zone, 10, failed, 20_000));
        }
        events.extend(self.harness.connected.iter().map(|proxy| client_stats(proxy.0, 10)));
        events
    }

    fn probe_results(&mut self) -> Vec<Event> {
        let probes = std::mem::take(&mut self.probes);
        let result = |server: ServerId| {
            let hangs =
                self.active().any(|d| matches!(d.fault, Fault::Hang) && d.concerns(u16::from(server.0[3])));
            probe_result(server.0[3], if hangs { ProbeOutcome::Timeout } else { ProbeOutcome::Ok })
        };
        probes.into_iter().map(result).collect()
    }

    fn zone_of(&self, proxy: ProxyId) -> u16 {
        self.scenario.proxies[usize::from(proxy.0)].0
    }

    /// Plays one step.
    fn advance(&mut self) {
        let mut events: Vec<Event> = self.list_event().into_iter().collect();
        events.extend(self.stream_events());
        events.extend(self.probe_results());
        if self.harness.now.is_multiple_of(SECOND) {
            events.extend(self.reports());
        }
        for action in self.harness.decide(&events) {
            match action {
                Action::Probe { server } => self.probes.push(server),
                Action::SetEjected { server, ejected: true } => drop(self.ejected.insert(server)),
                Action::SetEjected { server, ejected: false } => drop(self.ejected.remove(&server)),
                _ => {}
            }
        }
        self.step += 1;
        self.harness.now += STEP;
    }

    /// Checks the rule for each connected proxy and class.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let connected = self.harness.connected.clone();
        self.gaps.retain(|(proxy, _), _| connected.contains(proxy));
        for proxy in connected {
            let servers = self.servers_at(proxy);
            for class in 0..self.scenario.set.classes.len() {
                let may_serve = |entry: &Endpoint| {
                    !self.scenario.set.classes[class].zone_local || entry.zone.0 == self.zone_of(proxy)
                };
                let warm_since = self.harness.now.saturating_sub(self.scenario.set.warm_up);
                let is_due = self.listed.values().any(|entry| {
                    entry.state == EndpointState::Ready && entry.started_at <= warm_since && may_serve(entry)
                });
                let has_server = servers.iter().any(|server| {
                    let zone = ZoneId(self.scenario.servers[usize::from(server.0[3])]);
                    !self.ejected.contains(server) && may_serve(&Endpoint { zone, ..Endpoint::default() })
                });
                if !is_due || has_server {
                    self.gaps.remove(&(proxy, class));
                    continue;
                }
                let since = *self.gaps.entry((proxy, class)).or_insert(self.harness.now);
                prop_assert!(
                    self.harness.now - since <= MAX_GAP,
                    "{proxy:?} of zone {} has no server for class {class} since {since}, in step {}: {:?} \
                     with {servers:?}, ejected {:?}",
                    self.zone_of(proxy),
                    self.step,
                    self.harness.assigned.get(&proxy),
                    self.ejected
                );
            }
        }
        Ok(())
    }
}

/// The static table of a proxy of a zone: ready servers of its zone, of all zones if there are under three.
fn static_table(listed: &BTreeMap<u8, Endpoint>, zone: u16) -> BTreeSet<ServerId> {
    let ready = || listed.values().filter(|entry| entry.state == EndpointState::Ready);
    let own: Vec<_> = ready().filter(|entry| entry.zone.0 == zone).collect();
    let drawn = if own.len() >= 3 { own } else { ready().collect() };
    drawn.into_iter().take(STATIC_TABLE_SERVERS).map(|entry| entry.server).collect()
}

/// Plays generated scenarios with this limit of messages and checks the rule after each step.
fn check_scenarios(max_messages_per_window: u32, default_cases: u32) {
    let cases = std::env::var("ZONE_LOCAL_CASES").ok().and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(default_cases),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let result = runner.run(&scenario(max_messages_per_window), |scenario| {
        let mut fleet = Fleet::new(&scenario);
        for _ in 0..STEPS {
            fleet.advance();
            fleet.check()?;
        }
        Ok(())
    });
    result.unwrap();
}

/// Guards against proxies without a server for a class that must stay within their zone, whatever faults
/// coincide: a table was filled from other zones alone.
#[test]
fn proxies_have_a_server_for_each_class_while_a_warm_one_is_listed() {
    check_scenarios(0, UNLIMITED_CASES);
}

/// Guards against the same gap where messages are limited, as at a customer.
#[test]
fn proxies_have_a_server_for_each_class_with_twelve_messages_in_ten_seconds() {
    check_scenarios(12, LIMITED_CASES);
}
