//! What users would pick instead of a conductor: tables made from the list alone. For comparison in the model
//! only; nothing of the product uses it.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use stepspur_conductor::config::EffectConfig;
use stepspur_emulator::plan::Plan;
use stepspur_model::proxy::Pick;
use stepspur_proto::v1;

/// A way to choose servers without a conductor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Baseline {
    /// Every proxy sends to every server, by listed weight.
    All,
    /// Every proxy has its own random subset of so many servers (highest random weight).
    RandomSubsets(usize),
    /// Proxies and servers on a ring; each proxy takes so many servers from its place on, so that all servers
    /// have as many proxies.
    Aperture(usize),
    /// Every proxy sends to the servers of its zone; to all if there is none.
    Zone,
    /// All servers; of two drawn by weight, the one with fewer of the proxy's own requests in hand.
    PowerOfTwo,
}

/// A server that is listed as ready: its place, its zone, its weight.
pub(crate) type Ready = (usize, usize, f64);

fn rank(proxy: usize, server: usize) -> u64 {
    // A fixed function: the standard library's default keys do not change from run to run.
    let mut hasher = std::hash::DefaultHasher::new();
    (proxy, server).hash(&mut hasher);
    hasher.finish()
}

impl Baseline {
    /// How proxies pick under it, if not as the plan says.
    pub fn pick(self) -> Option<Pick> {
        (self == Baseline::PowerOfTwo).then_some(Pick::Two)
    }

    /// The servers of a proxy's table.
    pub(crate) fn choose(self, proxy: usize, plan: &Plan, ready: &[Ready]) -> Vec<Ready> {
        let many = ready.len();
        match self {
            Baseline::All | Baseline::PowerOfTwo => ready.to_vec(),
            Baseline::RandomSubsets(size) => {
                let mut ranked: Vec<Ready> = ready.to_vec();
                ranked.sort_by_key(|(server, ..)| rank(proxy, *server));
                ranked.truncate(size.max(1));
                ranked
            }
            Baseline::Aperture(size) => {
                let from = proxy * many / plan.proxies.len().max(1);
                (0..size.clamp(1, many.max(1)).min(many)).map(|k| ready[(from + k) % many]).collect()
            }
            Baseline::Zone => {
                let own = plan.proxies[proxy].zone;
                let near: Vec<Ready> = ready.iter().copied().filter(|(_, zone, _)| *zone == own).collect();
                if near.is_empty() { ready.to_vec() } else { near }
            }
        }
    }

    /// Tries again as a careful operator would set them: reads once, the rest only if they never ran.
    pub(crate) fn levels(plan: &Plan) -> Vec<v1::Level> {
        let level = |(class, c): (usize, &stepspur_emulator::plan::ClassPlan)| {
            let resend = match c.effect {
                EffectConfig::ReadLike => v1::Resend::Once,
                _ if plan.rules.full_may_have_run => v1::Resend::Never,
                _ => v1::Resend::Unsent,
            };
            v1::Level { class: class as u32, resend: resend.into(), admit: None }
        };
        plan.classes.iter().enumerate().map(level).collect()
    }
}
