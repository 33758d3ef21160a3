//! Two customers' conductors in one process, whose settings differ in every name and limit: each acts and answers as
//! it does alone.

mod common;

use std::collections::BTreeSet;

use common::{Caller, StandIn, start};
use serde_json::{Value, json};
use stepspur_conductor::Conductor;

/// A customer, by what only it has.
struct Customer {
    zones: &'static [&'static str],
    classes: &'static [&'static str],
    servers: &'static str,
    admit: &'static str,
    proxies: usize,
    columns: &'static [&'static str],
    /// Its settings' figures are this many times the other's.
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

    fn file(&self, discovery: &StandIn) -> Value {
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

/// A customer's conductor with all its proxies.
struct Played<'a> {
    of: &'a Customer,
    discovery: StandIn,
    conductor: Conductor,
    proxies: Vec<Caller>,
}

impl<'a> Played<'a> {
    async fn start(of: &'a Customer) -> Self {
        let servers: Vec<Value> = (0..2 * of.zones.len()).map(|k| of.server(k, "ready")).collect();
        let discovery = StandIn::start(&servers).await;
        let (conductor, _) = start(&of.file(&discovery)).await;
        Self { of, discovery, conductor, proxies: Vec::new() }
    }

    async fn join(&mut self) {
        let (number, zones) = (self.proxies.len(), self.of.zones);
        let zone = zones[number % zones.len()];
        let mut proxy = Caller::dial(self.conductor.address()).await;
        proxy
            .say(&json!({"@type": "attach", "proxy": number, "zone": zone, "weight": 3.0, "fresh": true}))
            .await;
        proxy.until(number, |p| p.whole == 1).await;
        self.proxies.push(proxy);
    }

    /// Its first server drains, and every proxy that has it hears so.
    async fn drain(&mut self) {
        self.discovery.change(&[self.of.server(0, "draining")]);
        let name = format!("{}-0000", self.of.servers);
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            proxy.until(number, |p| !p.picks(&name)).await;
        }
    }

    /// What it says to a caller that names a zone, a proxy or a class, or nothing that it knows.
    async fn answers(&self, zone: &str, number: usize, class: &str) -> Vec<Option<Value>> {
        let mut answers = Vec::new();
        for first in [
            json!({"@type": "telemetry", "zone": zone}),
            json!({"@type": "attach", "proxy": number, "zone": self.of.zones[0], "weight": 1.0, "fresh": true}),
        ] {
            let mut caller = Caller::dial(self.conductor.address()).await;
            caller.say(&first).await;
            caller.say(&json!({"@type": "hb"})).await;
            // A proxy that has joined may get its table before or after the answer to its heartbeat.
            let answer = loop {
                match caller.next().await {
                    Some(line) if line["@type"] == "assign" => {}
                    answer => break answer,
                }
            };
            answers.push(answer);
        }
        let before = self.conductor.stats().await.unwrap().invalid_inputs;
        let mut collector = Caller::dial(self.conductor.address()).await;
        collector.say(&json!({"@type": "telemetry", "zone": self.of.zones[0]})).await;
        collector
            .say(&json!({"@type": "client_stats", "proxy": 0, "class": class, "tries": 1, "failed": 0, "span_ms": 1.0}))
            .await;
        collector.say(&json!({"@type": "hb"})).await;
        answers.push(collector.next().await);
        answers.push(Some(json!(self.conductor.stats().await.unwrap().invalid_inputs - before)));
        answers
    }

    /// What its proxies hold in the end, and the words of it.
    fn held(&self) -> Vec<BTreeSet<String>> {
        self.proxies.iter().map(|proxy| proxy.lines.keys().cloned().collect()).collect()
    }
}

/// All that a customer's conductor does and answers, over the same course.
async fn course(played: &mut Played<'_>, other: &Customer) -> (Vec<BTreeSet<String>>, Vec<Option<Value>>) {
    while played.proxies.len() < played.of.proxies {
        played.join().await;
    }
    played.drain().await;
    let mut answers = Vec::new();
    for of in [other, played.of] {
        answers.extend(played.answers(of.zones[1], NORTH.proxies - 1, of.classes[0]).await);
    }
    (played.held(), answers)
}

#[tokio::test]
async fn two_conductors_in_one_process_act_and_answer_as_each_does_alone() {
    let mut alone = Vec::new();
    for (of, other) in [(&NORTH, &SOUTH), (&SOUTH, &NORTH)] {
        let mut played = Played::start(of).await;
        alone.push(course(&mut played, other).await);
        played.conductor.stop().await;
    }
    let (mut north, mut south) = (Played::start(&NORTH).await, Played::start(&SOUTH).await);
    // Join by join in turn, and then both at once.
    for _ in 0..SOUTH.proxies {
        north.join().await;
        south.join().await;
    }
    let together = tokio::join!(course(&mut north, &SOUTH), course(&mut south, &NORTH));
    assert_eq!(together.0, alone[0], "north");
    assert_eq!(together.1, alone[1], "south");
    for (played, other) in [(&north, &SOUTH), (&south, &NORTH)] {
        for held in played.held() {
            assert!(!held.is_empty(), "never bare");
            assert!(held.iter().all(|name| name.starts_with(played.of.servers)), "{held:?}");
        }
        let refused = played.answers(other.zones[0], 65_000, other.classes[0]).await;
        assert_eq!(refused[0].as_ref().unwrap()["@type"], "reject", "a zone of the other's");
        assert_eq!(refused[1].as_ref().unwrap()["@type"], "reject", "no proxy of this number");
        assert_eq!(refused[3], Some(json!(1)), "a class of the other's is nonsense here");
    }
    // One ends: the other goes on as if nothing had been.
    north.conductor.stop().await;
    south.discovery.change(&[SOUTH.server(1, "draining")]);
    for (number, proxy) in south.proxies.iter_mut().enumerate() {
        proxy.until(number, |p| !p.picks("s-0001")).await;
    }
    south.conductor.stop().await;
}
