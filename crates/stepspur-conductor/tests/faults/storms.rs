//! Random sequences of faults.

use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::engine::{DiscoveredEndpoint, Input};

use crate::common::engine_harness::SECOND;
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

/// Faults in random order, overlapping each other: 200 sequences.
#[test]
fn storms_of_faults_keep_the_rules() {
    for seed in 0..200 {
        let mut harness = running(four_classes());
        let mut random = Random(seed);
        let mut world = nodes(8);
        let mut streams: Vec<u64> = (1..5).collect();
        for step in 0..60 {
            let k = random.below(8) as usize;
            match random.below(12) {
                0 | 1 => {
                    world[k].state =
                        [EndpointState::Draining, EndpointState::Removed][random.below(2) as usize];
                    (0..2).for_each(|_| harness.change_list(ListUpdate::Delta, vec![world[k].clone()]));
                }
                2 | 3 => {
                    world[k].state = EndpointState::Ready;
                    world[k].started = harness.now;
                    harness.change_list(ListUpdate::Delta, vec![world[k].clone()]);
                }
                4 => {
                    let late = DiscoveredEndpoint {
                        started: 1 + random.below(100),
                        state: EndpointState::Removed,
                        ..world[k].clone()
                    };
                    if world[k].started > 0 {
                        harness.send_list(ListUpdate::Delta, vec![late]);
                    }
                }
                5 => harness.send_list(ListUpdate::Full, vec![]),
                6 => {
                    let mut odd = world.clone();
                    odd[k].zone = "closed".into();
                    odd[k].weight = f64::NAN;
                    harness.send_list(ListUpdate::Full, odd);
                }
                7 => {
                    let stream = 100 + step;
                    harness.connect(stream, &format!("p{}", random.below(30) + 10 * step), ["a", "b"][k % 2]);
                    streams.push(stream);
                }
                8 | 9 if streams.len() > 4 => {
                    let stream = streams.swap_remove(random.below(streams.len() as u64) as usize);
                    match random.below(2) {
                        0 => harness.disconnect(stream),
                        _ => harness.send_frame(stream, hello("again", "a")),
                    }
                    harness.rules.left(stream);
                }
                10 => {
                    let outcome = [ProbeOutcome::Ok, ProbeOutcome::Rejected][random.below(2) as usize];
                    let target = probe_target(k, world[k].started);
                    harness.engine.handle(
                        harness.now,
                        Input::ProbeResult { target, outcome, latency: 1, load: vec![] },
                    );
                }
                _ => harness.send_list(ListUpdate::Failed, vec![]),
            }
            harness.run_for([0, 1000, SECOND / 3, 2 * SECOND][random.below(4) as usize]);
        }
        harness.change_list(ListUpdate::Full, world);
        harness.run_for(40 * SECOND);
        eprintln!("storm {seed}");
        harness.finish();
    }
}
