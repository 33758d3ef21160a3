//! What clients ask, drawn from the day's seed: when, by which proxy, of which class, with which key and work.
//!
//! Neither sockets nor a clock: the clients of the rehearsal and the model of the fleet draw the same.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

use crate::plan::Plan;

/// What the day does to the traffic.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// Factors of the rate.
    pub bursts: Vec<f64>,
    /// Parts of all traffic that come to one zone.
    pub shifts: Vec<(usize, f64)>,
    /// Parts of all requests that turn into one class.
    pub mixes: Vec<(usize, f64)>,
    /// Parts of classes whose work is so many times more.
    pub tails: Vec<(usize, f64, f64)>,
}

/// A request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drawn {
    /// The proxy by which it comes.
    pub proxy: usize,
    /// Its class.
    pub class: usize,
    /// Its key.
    pub key: Option<u64>,
    /// Its work, microseconds.
    pub work: f64,
    /// Of its client's own chance.
    pub seed: u64,
}

/// Weights summed up, so that a draw is a search.
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

    fn draw(&self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let all = self.0.last().copied().filter(|all| *all > 0.0)?;
        let at = rng.random::<f64>() * all;
        Some(self.0.partition_point(|sum| *sum <= at).min(self.0.len() - 1))
    }
}

/// The requests of a day.
#[derive(Debug)]
pub struct Traffic {
    plan: Arc<Plan>,
    rng: ChaCha8Rng,
    zones: Weighted,
    classes: Weighted,
    /// By zone.
    proxies: Vec<(Weighted, Vec<usize>)>,
    keys: Option<Zipf<f64>>,
}

impl Traffic {
    /// Those of a plan, from its seed.
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

    /// Requests a second, so many seconds after the day's begin.
    pub fn rate(&self, weather: &Weather, at_s: f64) -> f64 {
        let shape = &self.plan.shape;
        let factor = shape.iter().rev().find(|(from, _)| *from <= at_s).map_or(1.0, |(_, factor)| *factor);
        self.plan.rate * factor * weather.bursts.iter().product::<f64>()
    }

    /// Seconds until the next request; 10 at most, so that a change of the rate is noticed.
    pub fn gap(&mut self, weather: &Weather, at_s: f64) -> f64 {
        let rate = self.rate(weather, at_s).max(1e-3);
        Exp::new(rate).map_or(1.0, |gap| gap.sample(&mut self.rng)).min(10.0)
    }

    /// The next request; none if nobody asks.
    pub fn draw(&mut self, weather: &Weather) -> Option<Drawn> {
        let rng = &mut self.rng;
        let class = self.classes.draw(rng)?;
        let mixed = weather.mixes.iter().find(|(_, part)| rng.random_bool(part.clamp(0.0, 1.0)));
        let class = mixed.map_or(class, |(mixed, _)| *mixed);
        let shifted = weather.shifts.iter().find(|(_, part)| rng.random_bool(part.clamp(0.0, 1.0)));
        let zone = match shifted {
            Some((zone, _)) => *zone,
            None => self.zones.draw(rng)?,
        };
        let (weights, places) = self.proxies.get(zone)?;
        let proxy = *places.get(weights.draw(rng)?)?;
        let mut work = self.plan.classes[class].distribution().sample(rng);
        for (tail, part, times) in &weather.tails {
            if *tail == class && rng.random_bool(part.clamp(0.0, 1.0)) {
                work *= times;
            }
        }
        let key = self.keys.map(|d| d.sample(rng) as u64);
        Some(Drawn { proxy, class, key, work, seed: rng.random() })
    }
}
