//! Draws the requests of clients from the seed of the plan: time, proxy, class, key and work.
//!
//! Uses neither sockets nor a clock, so that the emulator and the simulation of the fleet draw the same
//! requests.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::plan::Plan;

/// Traffic faults in effect.
#[derive(Clone, Debug, Default)]
pub struct TrafficFaults {
    /// Factors that the request rate is multiplied by.
    pub bursts: Vec<f64>,
    /// Zone and share: this share of all requests comes through the zone.
    pub shifts: Vec<(usize, f64)>,
    /// Class and share: this share of all requests becomes requests of the class.
    pub mixes: Vec<(usize, f64)>,
    /// Class, share and factor: the work of this share of the class's requests is multiplied by the factor.
    pub tails: Vec<(usize, f64, f64)>,
}

/// A request as drawn, before it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrawnRequest {
    /// Index of the proxy that it is sent through.
    pub proxy: usize,
    /// Index of its class.
    pub class: usize,
    /// Key for affinity, from 1; `None` if the plan has no keys.
    pub key: Option<u64>,
    /// Work that it costs, in microseconds of a core of speed 1.
    pub work: f64,
    /// Seed for the client's own random choices, such as the jitter of retries.
    pub seed: u64,
}

/// Cumulative weights, so that a weighted draw is a binary search. Negative weights count as 0.
#[derive(Debug, Default)]
struct Weighted(Vec<f64>);

impl Weighted {
    fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        Self(
            weights
                .map(|w| {
                    sum += w.max(0.0);
                    sum
                })
                .collect(),
        )
    }

    /// Draws an index by weight; `None` if all weights are 0.
    fn draw(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let total = self.0.last().copied().filter(|all| *all > 0.0)?;
        let target = rng.random::<f64>() * total;
        Some(self.0.partition_point(|sum| *sum <= target).min(self.0.len() - 1))
    }
}

/// The request generator of a plan.
#[derive(Debug)]
pub struct Traffic {
    plan: Arc<Plan>,
    rng: ChaCha8Rng,
    zones: Weighted,
    classes: Weighted,
    /// By zone: its proxies with their weights and indices.
    proxies: Vec<(Weighted, Vec<usize>)>,
    /// Distribution of keys; `None` if the plan has no keys.
    keys: Option<Zipf<f64>>,
}

impl Traffic {
    /// Creates the generator of a plan; the same seed draws the same requests.
    pub fn new(plan: Arc<Plan>) -> Self {
        let of_zone = |zone: usize| {
            let within: Vec<usize> =
                (0..plan.proxies.len()).filter(|k| plan.proxies[*k].zone == zone).collect();
            (Weighted::new(within.iter().map(|k| plan.proxies[*k].weight)), within)
        };
        let keys = Some(plan.clients.keys).filter(|keys| *keys > 0);
        Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0xc11e),
            zones: Weighted::new(plan.zones.iter().map(|z| z.1)),
            classes: Weighted::new(plan.classes.iter().map(|c| c.share)),
            proxies: (0..plan.zones.len()).map(of_zone).collect(),
            keys: keys.and_then(|keys| Zipf::new(keys as f64, plan.clients.key_zipf).ok()),
            plan,
        }
    }

    /// Requests per second, `at_s` seconds after the first request was due.
    pub fn rate(&self, faults: &TrafficFaults, at_s: f64) -> f64 {
        let shape = &self.plan.shape;
        let factor = shape.iter().rev().find(|(from, _)| *from <= at_s).map_or(1.0, |(_, factor)| *factor);
        self.plan.rate * factor * faults.bursts.iter().product::<f64>()
    }

    /// Seconds until the next request, at most 10, so that a change of the rate takes effect soon.
    pub fn gap(&mut self, faults: &TrafficFaults, at_s: f64) -> f64 {
        let rate = self.rate(faults, at_s).max(1e-3);
        Exp::new(rate).map_or(1.0, |gap| gap.sample(&mut self.rng)).min(10.0)
    }

    /// Draws the next request; `None` if all classes, zones or proxies of the zone have weight 0.
    pub fn draw(&mut self, faults: &TrafficFaults) -> Option<DrawnRequest> {
        let rng = &mut self.rng;
        let class = self.classes.draw(rng)?;
        let mixed = faults.mixes.iter().find(|(_, part)| rng.random_bool(part.clamp(0.0, 1.0)));
        let class = mixed.map_or(class, |(mixed, _)| *mixed);
        let shifted = faults.shifts.iter().find(|(_, part)| rng.random_bool(part.clamp(0.0, 1.0)));
        let zone = match shifted {
            Some((zone, _)) => *zone,
            None => self.zones.draw(rng)?,
        };
        let (weights, indices) = self.proxies.get(zone)?;
        let proxy = *indices.get(weights.draw(rng)?)?;
        let mut work = self.plan.classes[class].distribution().sample(rng);
        for (tail, part, times) in &faults.tails {
            if *tail == class && rng.random_bool(part.clamp(0.0, 1.0)) {
                work *= times;
            }
        }
        let key = self.keys.map(|d| d.sample(rng) as u64);
        Some(DrawnRequest { proxy, class, key, work, seed: rng.random() })
    }
}
