//! Random sequences of faults.

use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::engine::{DiscoveredEndpoint, Input};

use crate::common::engine_harness::{EngineHarness, SECOND};
use crate::common::{hello, nodes, probe_target};
use crate::fixture::{four_classes, running};

/// A pseudo-random generator (linear congruential), the same for a seed on every run.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// One sequence of faults on a running engine.
struct Storm {
    harness: EngineHarness,
    random: Random,
    /// The servers as they are.
    servers: Vec<DiscoveredEndpoint>,
    streams: Vec<u64>,
}

impl Storm {
    fn new(seed: u64) -> Self {
        let streams = (1..5).collect();
        Self { harness: running(four_classes()), random: Random(seed), servers: nodes(8), streams }
    }

    /// One fault, whose stream is numbered after the step if it needs one, and some time after it.
    fn step(&mut self, step: u64) {
        let k = self.random.below(8) as usize;
        match self.random.below(12) {
            0 | 1 => self.remove_server(k),
            2 | 3 => self.restart_server(k),
            4 => self.send_late_removal(k),
            5 => self.harness.send_list(ListUpdate::Full, vec![]),
            6 => self.send_odd_entry(k),
            7 => self.connect(k, step),
            8 | 9 if self.streams.len() > 4 => self.end_stream(),
            10 => self.answer_probe(k),
            _ => self.harness.send_list(ListUpdate::Failed, vec![]),
        }
        self.harness.run_for([0, 1000, SECOND / 3, 2 * SECOND][self.random.below(4) as usize]);
    }

    fn remove_server(&mut self, k: usize) {
        let states = [EndpointState::Draining, EndpointState::Removed];
        self.servers[k].state = states[self.random.below(2) as usize];
        for _ in 0..2 {
            self.harness.change_list(ListUpdate::Delta, vec![self.servers[k].clone()]);
        }
    }

    fn restart_server(&mut self, k: usize) {
        self.servers[k].state = EndpointState::Ready;
        self.servers[k].started = self.harness.now;
        self.harness.change_list(ListUpdate::Delta, vec![self.servers[k].clone()]);
    }

    fn send_late_removal(&mut self, k: usize) {
        let late = DiscoveredEndpoint {
            started: 1 + self.random.below(100),
            state: EndpointState::Removed,
            ..self.servers[k].clone()
        };
        if self.servers[k].started > 0 {
            self.harness.send_list(ListUpdate::Delta, vec![late]);
        }
    }

    fn send_odd_entry(&mut self, k: usize) {
        let mut odd = self.servers.clone();
        odd[k].zone = "closed".into();
        odd[k].weight = f64::NAN;
        self.harness.send_list(ListUpdate::Full, odd);
    }

    fn connect(&mut self, k: usize, step: u64) {
        let stream = 100 + step;
        let name = format!("p{}", self.random.below(30) + 10 * step);
        self.harness.connect(stream, &name, ["a", "b"][k % 2]);
        self.streams.push(stream);
    }

    fn end_stream(&mut self) {
        let stream = self.streams.swap_remove(self.random.below(self.streams.len() as u64) as usize);
        match self.random.below(2) {
            0 => self.harness.disconnect(stream),
            _ => self.harness.send_frame(stream, hello("again", "a")),
        }
        self.harness.rules.left(stream);
    }

    fn answer_probe(&mut self, k: usize) {
        let outcome = [ProbeOutcome::Ok, ProbeOutcome::Rejected][self.random.below(2) as usize];
        let target = probe_target(k, self.servers[k].started);
        let result = Input::ProbeResult { target, outcome, latency: 1, load: vec![] };
        self.harness.engine.handle(self.harness.now, result);
    }
}

/// Faults in random order, overlapping each other: 200 sequences.
#[test]
fn storms_of_faults_keep_the_rules() {
    for seed in 0..200 {
        let mut storm = Storm::new(seed);
        for step in 0..60 {
            storm.step(step);
        }
        storm.harness.change_list(ListUpdate::Full, storm.servers);
        storm.harness.run_for(40 * SECOND);
        eprintln!("storm {seed}");
        storm.harness.finish();
    }
}
