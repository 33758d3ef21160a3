//! Random sequences of faults that overlap each other.

use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::engine::{DiscoveredEndpoint, Input};

use crate::common::engine_harness::{EngineHarness, SECOND};
use crate::common::{hello, nodes, probe_target};
use crate::fixture::{four_classes, running};

/// A linear congruential generator; a seed gives the same sequence in every run.
struct Random(u64);

impl Random {
    /// Returns a number from 0 to `bound` - 1.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// One sequence of faults in a running deployment.
struct FaultSequence {
    harness: EngineHarness,
    random: Random,
    /// Actual states of the servers.
    servers: Vec<DiscoveredEndpoint>,
    /// Open streams.
    streams: Vec<u64>,
}

impl FaultSequence {
    fn new(seed: u64) -> Self {
        let streams = (1..5).collect();
        Self { harness: running(four_classes()), random: Random(seed), servers: nodes(8), streams }
    }

    /// Injects one random fault and lets a random time pass. `step` numbers a new stream.
    fn step(&mut self, step: u64) {
        let k = self.random.below(8) as usize;
        match self.random.below(12) {
            0 | 1 => self.remove_server(k),
            2 | 3 => self.restart_server(k),
            4 => self.send_late_removal(k),
            5 => self.harness.send_list(ListUpdate::Full, vec![]),
            6 => self.send_invalid_entry(k),
            7 => self.connect(k, step),
            8 | 9 if self.streams.len() > 4 => self.end_stream(),
            10 => self.answer_probe(k),
            _ => self.harness.send_list(ListUpdate::Failed, vec![]),
        }
        self.harness.run_for([0, 1000, SECOND / 3, 2 * SECOND][self.random.below(4) as usize]);
    }

    /// Drains or removes a server, and repeats the update.
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

    /// Sends the removal of an earlier process of a restarted server.
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

    /// Sends a complete list in which one entry has an unknown zone and an invalid weight.
    fn send_invalid_entry(&mut self, k: usize) {
        let mut invalid = self.servers.clone();
        invalid[k].zone = "closed".into();
        invalid[k].weight = f64::NAN;
        self.harness.send_list(ListUpdate::Full, invalid);
    }

    fn connect(&mut self, k: usize, step: u64) {
        let stream = 100 + step;
        let name = format!("p{}", self.random.below(30) + 10 * step);
        self.harness.connect(stream, &name, ["a", "b"][k % 2]);
        self.streams.push(stream);
    }

    /// Ends a stream, or has the engine close it for a second `Hello`.
    fn end_stream(&mut self) {
        let stream = self.streams.swap_remove(self.random.below(self.streams.len() as u64) as usize);
        match self.random.below(2) {
            0 => self.harness.disconnect(stream),
            _ => self.harness.send_frame(stream, hello("again", "a")),
        }
        self.harness.rules.proxy_disconnected(stream);
    }

    fn answer_probe(&mut self, k: usize) {
        let outcome = [ProbeOutcome::Ok, ProbeOutcome::Rejected][self.random.below(2) as usize];
        let target = probe_target(k, self.servers[k].started);
        let result = Input::ProbeResult { target, outcome, latency: 1, load: vec![] };
        self.harness.engine.handle(self.harness.now, result);
    }
}

/// Guards against faults that are harmless alone and violate a rule when they overlap. Runs 200 sequences of
/// 60 random faults.
#[test]
fn random_fault_sequences_satisfy_the_rules() {
    for seed in 0..200 {
        let mut sequence = FaultSequence::new(seed);
        for step in 0..60 {
            sequence.step(step);
        }
        sequence.harness.change_list(ListUpdate::Full, sequence.servers);
        sequence.harness.run_for(40 * SECOND);
        eprintln!("seed {seed}");
        sequence.harness.finish();
    }
}
