//! The five rules on the platform's lines, judged by the checker that all tests with faults share: a release, a drain
//! and a conductor that is killed and starts again while proxies keep what they hold.

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
use stepspur_conductor::config::EffectConfig;
use stepspur_conductor::engine::{Engine, Input, Output, StreamId};
use stepspur_platform::dialect::Lines;
use stepspur_platform::discovery::Answer;
use stepspur_proto::v1;

const SECOND: u64 = 1_000_000;
const PROXIES: u16 = 8;

struct Day {
    engine: Engine,
    config: Config,
    now: u64,
    rules: Rules,
    addresses: BTreeMap<String, SocketAddr>,
    /// What each proxy shuts out: it outlives streams and conductors.
    out: BTreeMap<u64, BTreeSet<String>>,
    restored: usize,
}

fn engine(config: &Config, now: u64) -> Engine {
    let file = common::file("127.0.0.1:1".parse().unwrap(), PROXIES.into(), 256, &common::list(0, true, &[]));
    let told = common::load(&file);
    Engine::with_protocol(
        config.clone(),
        told.settings,
        Box::new(Lines::new(told.catalog.classes)),
        now,
        1,
        now,
    )
}

impl Day {
    fn new() -> Self {
        let file =
            common::file("127.0.0.1:1".parse().unwrap(), PROXIES.into(), 256, &common::list(0, true, &[]));
        let mut config = common::load(&file).conductor;
        // For the checker alone: the engine is told of neither.
        config.fleet.drain_grace = Duration::from_secs(2);
        config.fleet.unserved_max = Duration::from_millis(2400);
        config.fleet.classes[0].effect = EffectConfig::ReadLike;
        let (now, rules) = (1000 * SECOND, Rules::new(&config));
        let (addresses, out) = (BTreeMap::new(), BTreeMap::new());
        Self { engine: engine(&config, now), config, now, rules, addresses, out, restored: 0 }
    }

    fn list(&mut self, how: ListUpdate, nodes: &[Value]) {
        let answer: Answer = serde_json::from_value(common::list(1, true, nodes)).unwrap();
        for entry in &answer.entries {
            self.addresses.insert(entry.name.clone().unwrap(), entry.address);
        }
        self.rules.truth(self.now, &answer.entries);
        self.engine.handle(self.now, Input::EndpointList { update: how, entries: answer.entries });
    }

    fn join_all(&mut self, fresh: bool) {
        for proxy in 0..PROXIES {
            let (stream, proxy, zone) = (StreamId(proxy.into()), ProxyId(proxy), ZoneId(proxy % 2));
            self.rules.joined(stream.0, self.now);
            self.engine.handle(self.now, Input::ProxyConnected { stream, proxy, zone, rate: 10.0, fresh });
        }
    }

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

    /// One message as the proxy takes it, told to the checker in the project's own words.
    fn apply(&mut self, stream: StreamId, message: &str) {
        let names = |value: &Value| -> Vec<String> {
            value.as_array().into_iter().flatten().map(|n| n.as_str().unwrap().to_owned()).collect()
        };
        let (mut order, mut full, mut lines) = (v1::Order::default(), false, Vec::new());
        let out = self.out.entry(stream.0).or_default();
        for part in message.lines().map(|line| serde_json::from_str::<Value>(line).unwrap()) {
            full |= part["full"] == true;
            for line in part["endpoints"].as_array().into_iter().flatten() {
                let address = self.addresses[line[0].as_str().unwrap()];
                lines.push(v1::Line {
                    server: Some(address.into()),
                    weight: line[1].as_f64().unwrap() as f32,
                });
            }
            out.extend(names(&part["eject"]));
            for name in names(&part["restore"]) {
                self.restored += usize::from(out.remove(&name));
                let server = Some(self.addresses[&name].into());
                order.withdrawals.push(v1::Withdrawal { server, out: false });
            }
            if let Some(policy) = part["policy"].as_i64() {
                let routes = names(&part["routes"]);
                let meant = |class: &str| routes.is_empty() || routes.iter().any(|route| route == class);
                let classes = (0u32..).zip(["lookup", "order"]).filter(|(_, class)| meant(class));
                let resend = [v1::Resend::Never, v1::Resend::Unsent, v1::Resend::Once, v1::Resend::Twice];
                let resend = resend[policy as usize].into();
                order.levels.extend(classes.map(|(class, _)| v1::Level { class, resend, admit: None }));
            }
            if let Some(mark) = part["nonce_out"].as_u64() {
                let applied = Input::Acknowledged { stream, nonce: mark as u32, latency: Some(1000) };
                self.engine.handle(self.now, applied);
            }
        }
        // A whole table settles withdrawals in the checker's eyes; here they stay.
        let held =
            out.iter().map(|name| v1::Withdrawal { server: Some(self.addresses[name].into()), out: true });
        order.withdrawals.extend(held);
        if full {
            order.table = Some(v1::Table { lines, ..Default::default() });
        } else {
            order.lines = lines;
        }
        self.rules.order(stream.0, self.now, &order);
    }

    /// Killed and started again: proxies go on with what they hold, and come back.
    fn restart(&mut self, known: &[Value]) {
        (0..u64::from(PROXIES)).for_each(|stream| self.rules.left(stream));
        self.now += SECOND;
        self.engine = engine(&self.config, self.now);
        self.list(ListUpdate::Cached, known);
        self.join_all(false);
    }
}

#[test]
fn the_five_rules_hold_through_a_release_a_drain_and_a_restart() {
    let mut day = Day::new();
    let mut nodes: Vec<Value> = (0..12).map(|k| common::node(k, "ready", 0)).collect();
    day.list(ListUpdate::Full, &nodes);
    day.join_all(true);
    day.run(3 * SECOND);
    for k in [0, 3, 4] {
        nodes[k] = common::node(k, "draining", 0);
        day.list(ListUpdate::Full, &nodes);
        day.run(3 * SECOND);
        nodes[k] = common::node(k, "ready", day.now / 1000);
        day.list(ListUpdate::Full, &nodes);
        day.run(2 * SECOND);
    }
    // Drains that the new start is told of while nobody is bound: proxies that wait shut those servers out.
    nodes[5] = common::node(5, "draining", 0);
    nodes[6] = common::node(6, "draining", 0);
    day.restart(&nodes);
    day.run(5 * SECOND);
    // A second start, to which those servers are back: what the first shut out must not stay out.
    for k in [5, 6] {
        nodes[k] = common::node(k, "ready", day.now / 1000 - 30_000);
    }
    (0..u64::from(PROXIES))
        .for_each(|proxy| _ = day.out.entry(proxy).or_default().insert("s-0006".to_owned()));
    day.restart(&nodes);
    day.run(30 * SECOND);
    assert!(day.restored > 0);
    // Those whose table names it send to it again; the others hold it shut out, which costs them nothing.
    let server = day.addresses["s-0006"];
    for proxy in (0..u64::from(PROXIES)).step_by(2) {
        assert!(day.rules.held(proxy).contains_key(&server), "{proxy} keeps it out: {:?}", day.out[&proxy]);
    }
    day.rules.end(day.now, &day.engine.stats());
}
