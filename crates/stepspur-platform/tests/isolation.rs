//! Two customers' conductors in one process, with different names and limits in their settings: each behaves
//! as it does alone. Guards against state that is shared between the conductors of a process.

mod common;

use std::collections::BTreeSet;

use common::{FakeDiscovery, TestPeer, start};
use serde_json::{Value, json};
use stepspur_conductor::Conductor;

/// The names and limits of a customer, which differ from those of the other one.
struct Customer {
    zones: &'static [&'static str],
    classes: &'static [&'static str],
    servers: &'static str,
    admit: &'static str,
    proxies: usize,
    columns: &'static [&'static str],
    /// Factor applied to the numbers in the settings.
    scale: f64,
}

const NORTH: Customer = Customer {
    zones: &["faial", "pico", "corvo"],
    classes: &["track", "quote", "pay"],
    servers: "n",
    admit: "rps",
    proxies: 9,
    columns: &["q"],
    scale: 1.0,
};

const SOUTH: Customer = Customer {
    zones: &["lagos", "faro"],
    classes: &["open", "revoke"],
    servers: "s",
    admit: "ratio",
    proxies: 6,
    columns: &["rif", "busy"],
    scale: 1.7,
};

impl Customer {
    fn server(&self, number: usize, status: &str) -> Value {
        let zone = self.zones[number % self.zones.len()];
        let address = format!("127.0.0.{}:{}", 8 + self.zones.len(), 30_000 + number);
        json!({"name": format!("{}-{number:04}", self.servers), "address": address, "zone": zone, "type": "x",
            "group": 0, "status": status, "weight": self.scale, "since_ms": 0})
    }

    fn file(&self, discovery: &FakeDiscovery) -> Value {
        let us = |micros: f64| (micros * self.scale).round();
        let class = |(k, name): (usize, &&str)| {
            let effect = ["read_like", "non_idempotent"][k % 2];
            json!({"name": name, "effect": effect, "credit": 1.0 + self.scale * k as f64, "promiseUs": us(6e5),
                "deadlineUs": us(2e6)})
        };
        let classes: Vec<Value> = self.classes.iter().enumerate().map(class).collect();
        json!({"name": self.servers, "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
            "seed": "1f", "limits": {"cores": 0.5 * self.scale, "memory_mb": 64, "sockets": 100 + 40 * self.proxies},
            "known": {"index": 0, "snapshot": true, "endpoints": []},
            "settings": {"balancers": self.zones.len(), "zones": self.zones, "myZone": self.zones.len() - 1,
                "membershipMode": "on_request", "requestClasses": classes,
                "familyInfo": {"admit": self.admit, "egressPerS": 9000.0 * self.scale, "intervalUs": us(1e6),
                    "pendingMax": 9000.0 * self.scale, "perMessage": 3.0 * self.scale, "proxies": self.proxies,
                    "pushDelayMaxUs": us(2e5), "pushesAllowed": 0, "slices": 0, "unservedMaxUs": us(2e6),
                    "updateWindowUs": us(8e6)},
                "feedback": {"columns": self.columns, "how": "pull"}, "permissions": {"probing": false},
                "rules": {"coldUs": us(9e6), "fallMultiple": 2.0 * self.scale, "startCapacity": 0.2 * self.scale}}})
    }
}

/// A customer's conductor, its discovery server and its proxies.
struct Deployment<'a> {
    customer: &'a Customer,
    discovery: FakeDiscovery,
    conductor: Conductor,
    proxies: Vec<TestPeer>,
}

impl<'a> Deployment<'a> {
    async fn start(customer: &'a Customer) -> Self {
        let servers: Vec<Value> =
            (0..2 * customer.zones.len()).map(|k| customer.server(k, "ready")).collect();
        let discovery = FakeDiscovery::start(&servers).await;
        let (conductor, _) = start(&customer.file(&discovery)).await;
        Self { customer, discovery, conductor, proxies: Vec::new() }
    }

    /// Connects one more proxy and waits for its table.
    async fn join(&mut self) {
        let (number, zones) = (self.proxies.len(), self.customer.zones);
        let zone = zones[number % zones.len()];
        let mut proxy = TestPeer::connect(self.conductor.address()).await;
        proxy
            .send(&json!({"@type": "attach", "proxy": number, "zone": zone, "weight": 3.0, "fresh": true}))
            .await;
        proxy.apply_until(number, |p| p.full_tables == 1).await;
        self.proxies.push(proxy);
    }

    /// Drains the first server and waits until no proxy uses it.
    async fn drain(&mut self) {
        self.discovery.change(&[self.customer.server(0, "draining")]);
        let name = format!("{}-0000", self.customer.servers);
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            proxy.apply_until(number, |p| !p.may_use(&name)).await;
        }
    }

    /// Replies to a collector of this zone and to a proxy of this number, then to a collector that reports
    /// this class, with the number of inputs that this report made invalid.
    async fn replies(&self, zone: &str, number: usize, class: &str) -> Vec<Option<Value>> {
        let mut replies = Vec::new();
        for first in [
            json!({"@type": "telemetry", "zone": zone}),
            json!({"@type": "attach", "proxy": number, "zone": self.customer.zones[0], "weight": 1.0, "fresh": true}),
        ] {
            let mut caller = TestPeer::connect(self.conductor.address()).await;
            caller.send(&first).await;
            caller.send(&json!({"@type": "hb"})).await;
            // A proxy that has joined may get its table before or after the reply to its heartbeat.
            let reply = loop {
                match caller.next().await {
                    Some(line) if line["@type"] == "assign" => {}
                    reply => break reply,
                }
            };
            replies.push(reply);
        }
        let before = self.conductor.stats().await.unwrap().invalid_inputs;
        let mut collector = TestPeer::connect(self.conductor.address()).await;
        collector.send(&json!({"@type": "telemetry", "zone": self.customer.zones[0]})).await;
        collector
            .send(&json!({"@type": "client_stats", "proxy": 0, "class": class, "tries": 1, "failed": 0, "span_ms": 1.0}))
            .await;
        collector.send(&json!({"@type": "hb"})).await;
        replies.push(collector.next().await);
        replies.push(Some(json!(self.conductor.stats().await.unwrap().invalid_inputs - before)));
        replies
    }

    /// Names of the servers in the table of each proxy.
    fn tables(&self) -> Vec<BTreeSet<String>> {
        self.proxies.iter().map(|proxy| proxy.weights.keys().cloned().collect()).collect()
    }
}

/// Runs the scenario on a conductor: all proxies join, a server drains, callers name what either customer
/// has. Returns the tables of the proxies and the replies.
async fn run_scenario(
    deployment: &mut Deployment<'_>,
    other: &Customer,
) -> (Vec<BTreeSet<String>>, Vec<Option<Value>>) {
    while deployment.proxies.len() < deployment.customer.proxies {
        deployment.join().await;
    }
    deployment.drain().await;
    let mut replies = Vec::new();
    for customer in [other, deployment.customer] {
        replies.extend(deployment.replies(customer.zones[1], NORTH.proxies - 1, customer.classes[0]).await);
    }
    (deployment.tables(), replies)
}

#[tokio::test]
async fn two_conductors_in_one_process_behave_as_each_does_alone() {
    let mut alone = Vec::new();
    for (customer, other) in [(&NORTH, &SOUTH), (&SOUTH, &NORTH)] {
        let mut deployment = Deployment::start(customer).await;
        alone.push(run_scenario(&mut deployment, other).await);
        deployment.conductor.stop().await;
    }
    let (mut north, mut south) = (Deployment::start(&NORTH).await, Deployment::start(&SOUTH).await);
    // The proxies join one conductor and the other in turn; then both scenarios run concurrently.
    for _ in 0..SOUTH.proxies {
        north.join().await;
        south.join().await;
    }
    let together = tokio::join!(run_scenario(&mut north, &SOUTH), run_scenario(&mut south, &NORTH));
    assert_eq!(together.0, alone[0], "north");
    assert_eq!(together.1, alone[1], "south");
    for (deployment, other) in [(&north, &SOUTH), (&south, &NORTH)] {
        for table in deployment.tables() {
            assert!(!table.is_empty(), "a table is never empty");
            assert!(table.iter().all(|name| name.starts_with(deployment.customer.servers)), "{table:?}");
        }
        let refused = deployment.replies(other.zones[0], 65_000, other.classes[0]).await;
        assert_eq!(refused[0].as_ref().unwrap()["@type"], "reject", "a zone of the other customer");
        assert_eq!(refused[1].as_ref().unwrap()["@type"], "reject", "no proxy has this number");
        assert_eq!(refused[3], Some(json!(1)), "a class of the other customer is invalid here");
    }
    // One conductor stops; the other continues to serve.
    north.conductor.stop().await;
    south.discovery.change(&[SOUTH.server(1, "draining")]);
    for (number, proxy) in south.proxies.iter_mut().enumerate() {
        proxy.apply_until(number, |p| !p.may_use("s-0001")).await;
    }
    south.conductor.stop().await;
}
