//! Load balancing without a conductor: tables that are computed from the server list alone. Used only to
//! compare with in the simulation; the product does not use it.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use stepspur_conductor::config::IdempotencyConfig;
use stepspur_emulator::plan::Plan;
use stepspur_model::proxy::Pick;
use stepspur_proto::v1;

/// An algorithm that chooses each proxy's servers without a conductor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Baseline {
    /// Every proxy uses every server, by listed weight.
    All,
    /// Every proxy uses its own random subset of this many servers, by rendezvous hashing.
    RandomSubsets(usize),
    /// Deterministic aperture: proxies and servers are spread evenly on a ring, and each proxy uses this many
    /// servers from its own position on, so that all servers have about the same number of proxies.
    Aperture(usize),
    /// Every proxy uses the servers of its zone, or all servers if its zone has none.
    Zone,
    /// Power of two choices: of two servers drawn by weight, the one with fewer requests of this proxy in
    /// flight.
    PowerOfTwo,
}

/// A server that is listed as ready: its index, its zone and its weight.
pub(crate) type ReadyServer = (usize, usize, f64);

/// Returns the rendezvous hash of a proxy and a server.
fn rank(proxy: usize, server: usize) -> u64 {
    // `DefaultHasher::new` has fixed keys, so the subsets are the same in every run.
    let mut hasher = std::hash::DefaultHasher::new();
    (proxy, server).hash(&mut hasher);
    hasher.finish()
}

impl Baseline {
    /// Returns the algorithm by which proxies pick a server, if the baseline overrides that of the plan.
    pub fn pick(self) -> Option<Pick> {
        (self == Baseline::PowerOfTwo).then_some(Pick::Two)
    }

    /// Returns the servers of a proxy's table, out of those that are listed as ready.
    pub(crate) fn choose(self, proxy: usize, plan: &Plan, ready: &[ReadyServer]) -> Vec<ReadyServer> {
        let ready_count = ready.len();
        match self {
            Baseline::All | Baseline::PowerOfTwo => ready.to_vec(),
            Baseline::RandomSubsets(size) => {
                let mut ranked: Vec<ReadyServer> = ready.to_vec();
                ranked.sort_by_key(|(server, ..)| rank(proxy, *server));
                ranked.truncate(size.max(1));
                ranked
            }
            Baseline::Aperture(size) => {
                let from = proxy * ready_count / plan.proxies.len().max(1);
                (0..size.clamp(1, ready_count.max(1)).min(ready_count))
                    .map(|k| ready[(from + k) % ready_count])
                    .collect()
            }
            Baseline::Zone => {
                let own = plan.proxies[proxy].zone;
                let local: Vec<ReadyServer> =
                    ready.iter().copied().filter(|(_, zone, _)| *zone == own).collect();
                if local.is_empty() { ready.to_vec() } else { local }
            }
        }
    }

    /// Returns retry policies as a careful operator would configure them: reads are retried once, other
    /// requests only if they never ran, and never if a rejection does not prove that.
    pub(crate) fn levels(plan: &Plan) -> Vec<v1::Level> {
        let level = |(class, c): (usize, &stepspur_emulator::plan::ClassPlan)| {
            let resend = match c.effect {
                IdempotencyConfig::ReadLike => v1::Resend::Once,
                _ if plan.rules.full_may_have_run => v1::Resend::Never,
                _ => v1::Resend::Unsent,
            };
            v1::Level { class: class as u32, resend: resend.into(), admit: None }
        };
        plan.classes.iter().enumerate().map(level).collect()
    }
}
