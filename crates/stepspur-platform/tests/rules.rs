//! The five rules on the platform's protocol, verified by the checker that all fault tests share, through a
//! release, a drain and conductor restarts during which proxies keep their tables.

mod common;
#[path = "../../stepspur-conductor/tests/common/rules.rs"]
mod rules;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rules::Rules;
use serde_json::Value;
use stepspur::interface::{ListUpdate, ProxyId, ZoneId};
use stepspur_conductor::Config;
use stepspur_conductor::config::IdempotencyConfig;
use stepspur_conductor::engine::{Engine, Input, Output, StreamId};
use stepspur_platform::discovery::EndpointListUpdate;
use stepspur_platform::protocol::PlatformProtocol;
use stepspur_proto::v1;

const SECOND: u64 = 1_000_000;
const PROXIES: u16 = 8;

/// An engine on simulated time, its proxies and the checker.
struct Simulation {
    engine: Engine,
    config: Config,
    now: u64,
    rules: Rules,
    addresses: BTreeMap<String, SocketAddr>,
    /// Ejected servers of each proxy, which persist through new streams and conductor restarts.
    ejected: BTreeMap<u64, BTreeSet<String>>,
    /// Number of ejected servers that updates have restored.
    restored: usize,
}

/// A new engine, as after a start of the conductor.
fn engine(config: &Config, now: u64) -> Engine {
    let file = common::file("127.0.0.1:1".parse().unwrap(), PROXIES.into(), 256, &common::list(0, true, &[]));
    let platform = common::load(&file);
    Engine::with_protocol(
        config.clone(),
        platform.settings,
        Box::new(PlatformProtocol::new(platform.catalog.classes)),
        now,
        1,
        now,
    )
}

impl Simulation {
    fn new() -> Self {
        let file =
            common::file("127.0.0.1:1".parse().unwrap(), PROXIES.into(), 256, &common::list(0, true, &[]));
        let mut config = common::load(&file).conductor;
        // Only the checker uses these values.
        config.fleet.drain_grace = Duration::from_secs(2);
        config.fleet.unserved_max = Duration::from_millis(2400);
        config.fleet.classes[0].effect = IdempotencyConfig::ReadLike;
        let (now, rules) = (1000 * SECOND, Rules::new(&config));
        let (addresses, ejected) = (BTreeMap::new(), BTreeMap::new());
        Self { engine: engine(&config, now), config, now, rules, addresses, ejected, restored: 0 }
    }

    /// Sends a list to the engine, and to the checker as the true state.
    fn list(&mut self, kind: ListUpdate, nodes: &[Value]) {
        let list: EndpointListUpdate = serde_json::from_value(common::list(1, true, nodes)).unwrap();
        for entry in &list.entries {
            self.addresses.insert(entry.name.clone().unwrap(), entry.address);
        }
        self.rules.set_actual_states(self.now, &list.entries);
        self.engine.handle(self.now, Input::EndpointList { update: kind, entries: list.entries });
    }

    /// Connects all proxies.
    fn join_all(&mut self, fresh: bool) {
        for proxy in 0..PROXIES {
            let (stream, proxy, zone) = (StreamId(proxy.into()), ProxyId(proxy), ZoneId(proxy % 2));
            self.rules.proxy_connected(stream.0, self.now);
            self.engine.handle(self.now, Input::ProxyConnected { stream, proxy, zone, rate: 10.0, fresh });
        }
    }

    /// Advances time by `span` microseconds, applies every message, and checks the rules.
    fn run(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            while let Some(output) = self.engine.poll(self.now) {
                if let Output::Send { stream, frame } = output {
                    self.apply(stream, std::str::from_utf8(&frame).unwrap());
                }
            }
            self.rules.check(self.now);
            let next = self.engine.next_at().unwrap_or(end).max(self.now + 1);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
        }
    }

    /// Applies a message as a proxy does, and passes it to the checker in the form of the project's own
    /// protocol.
    fn apply(&mut self, stream: StreamId, message: &str) {
        let names = |value: &Value| -> Vec<String> {
            value.as_array().into_iter().flatten().map(|n| n.as_str().unwrap().to_owned()).collect()
        };
        let (mut order, mut full, mut lines) = (v1::Order::default(), false, Vec::new());
        let ejected = self.ejected.entry(stream.0).or_default();
        for part in message.lines().map(|line| serde_json::from_str::<Value>(line).unwrap()) {
            full |= part["full"] == true;
            for line in part["endpoints"].as_array().into_iter().flatten() {
                let address = self.addresses[line[0].as_str().unwrap()];
                lines.push(v1::Line {
                    server: Some(address.into()),
                    weight: line[1].as_f64().unwrap() as f32,
                });
            }
            ejected.extend(names(&part["eject"]));
            for name in names(&part["restore"]) {
                self.restored += usize::from(ejected.remove(&name));
                let server = Some(self.addresses[&name].into());
                order.withdrawals.push(v1::Withdrawal { server, out: false });
            }
            if let Some(policy) = part["policy"].as_i64() {
                let routes = names(&part["routes"]);
                let applies = |class: &str| routes.is_empty() || routes.iter().any(|route| route == class);
                let classes = (0u32..).zip(["lookup", "order"]).filter(|(_, class)| applies(class));
                let resend = [v1::Resend::Never, v1::Resend::Unsent, v1::Resend::Once, v1::Resend::Twice];
                let resend = resend[policy as usize].into();
                order.levels.extend(classes.map(|(class, _)| v1::Level { class, resend, admit: None }));
            }
            if let Some(nonce) = part["nonce_out"].as_u64() {
                let applied = Input::Acknowledged { stream, nonce: nonce as u32, latency: Some(1000) };
                self.engine.handle(self.now, applied);
            }
        }
        // For the checker a complete table ends all withdrawals; on the platform ejections persist, so they
        // are repeated.
        let held = ejected
            .iter()
            .map(|name| v1::Withdrawal { server: Some(self.addresses[name].into()), out: true });
        order.withdrawals.extend(held);
        if full {
            order.table = Some(v1::Table { lines, ..Default::default() });
        } else {
            order.lines = lines;
        }
        self.rules.apply_update(stream.0, self.now, &order);
    }

    /// Kills the conductor and starts it again with a known list. Proxies keep their tables and join again.
    fn restart(&mut self, known: &[Value]) {
        (0..u64::from(PROXIES)).for_each(|stream| self.rules.proxy_disconnected(stream));
        self.now += SECOND;
        self.engine = engine(&self.config, self.now);
        self.list(ListUpdate::Cached, known);
        self.join_all(false);
    }
}

#[test]
fn the_five_rules_hold_through_a_release_a_drain_and_a_restart() {
    let mut simulation = Simulation::new();
    let mut nodes: Vec<Value> = (0..12).map(|k| common::node(k, "ready", 0)).collect();
    simulation.list(ListUpdate::Full, &nodes);
    simulation.join_all(true);
    simulation.run(3 * SECOND);
    for k in [0, 3, 4] {
        nodes[k] = common::node(k, "draining", 0);
        simulation.list(ListUpdate::Full, &nodes);
        simulation.run(3 * SECOND);
        nodes[k] = common::node(k, "ready", simulation.now / 1000);
        simulation.list(ListUpdate::Full, &nodes);
        simulation.run(2 * SECOND);
    }
    // Two servers drain during the restart, while no proxy has a table of the new start: proxies that wait
    // for one are sent ejections.
    nodes[5] = common::node(5, "draining", 0);
    nodes[6] = common::node(6, "draining", 0);
    simulation.restart(&nodes);
    simulation.run(5 * SECOND);
    // At a second restart those servers are ready again: they must not stay ejected.
    for k in [5, 6] {
        nodes[k] = common::node(k, "ready", simulation.now / 1000 - 30_000);
    }
    (0..u64::from(PROXIES))
        .for_each(|proxy| _ = simulation.ejected.entry(proxy).or_default().insert("s-0006".to_owned()));
    simulation.restart(&nodes);
    simulation.run(30 * SECOND);
    assert!(simulation.restored > 0);
    // Proxies whose table has the server use it again. For the others it stays ejected, without effect.
    let server = simulation.addresses["s-0006"];
    for proxy in (0..u64::from(PROXIES)).step_by(2) {
        assert!(
            simulation.rules.usable_servers(proxy).contains_key(&server),
            "{proxy} still ejects it: {:?}",
            simulation.ejected[&proxy]
        );
    }
    simulation.rules.assert_satisfied(simulation.now, &simulation.engine.stats());
}
