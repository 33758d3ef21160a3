//! Figures that were told before the slopes, confirmed or corrected by them.

use super::cell::Cell;
use super::figures::Figures;
use crate::slopes::result::{Metric, Name};

/// Two figures agree within this part, beside their interval.
const AGREE: f64 = 0.1;

/// A figure told before.
#[derive(Clone, Debug)]
pub(super) struct Told {
    /// What it is.
    pub what: &'static str,
    /// As it was told: least and most.
    pub told: (f64, f64),
    /// As the slopes have it.
    pub found: Cell,
    /// True: the wall's clock tells it, so that machines and builds beside it differ.
    pub by_wall_clock: bool,
}

impl Told {
    /// In a word.
    pub(super) fn verdict(&self) -> &'static str {
        let Some(found) = self.found.value else { return "not measured" };
        let half = found.half_width.unwrap_or(0.0);
        let (least, most) = (self.told.0 * (1.0 - AGREE), self.told.1 * (1.0 + AGREE));
        match found.mean + half >= least && found.mean - half <= most {
            true => "confirmed",
            false if self.by_wall_clock => "corrected (wall clock)",
            false => "corrected",
        }
    }
}

/// All of them.
pub(super) fn told(figures: Figures) -> Vec<Told> {
    let servers = |metric, at: f64| figures.at(Name::Servers, metric, at);
    let members = |metric| figures.at(Name::Members, metric, 13.0);
    let probes = |metric, at: f64| figures.at(Name::Probes, metric, at);
    let each = figures.more(Name::Probes, Metric::ProbesPerS).mean().unwrap_or(f64::NAN);
    let probe_bytes = figures.more(Name::Probes, Metric::WireBytesPerS).times(1.0 / each);
    let one = |value: f64| (value, value);
    let by_process = |what, told, found| Told { what, told, found, by_wall_clock: false };
    let by_clock = |what, told, found| Told { what, told, found, by_wall_clock: true };
    vec![
        by_process("memory, 379 servers, MiB", one(15.0), servers(Metric::ResidentMib, 379.0)),
        by_process("memory, 3,800 servers, MiB", one(24.0), servers(Metric::ResidentMib, 3_800.0)),
        by_process("memory, 19,000 servers, MiB", one(31.0), servers(Metric::ResidentMib, 19_000.0)),
        by_process("a drain, 19,000 servers, ms of CPU", one(24.0), servers(Metric::DrainCpuMs, 19_000.0)),
        by_clock("a drain to the last proxy, 379 servers, ms", one(2.8), servers(Metric::DrainLastMs, 379.0)),
        by_clock("the same, 3,800 servers", one(5.0), servers(Metric::DrainLastMs, 3_800.0)),
        by_clock("the same, 19,000 servers", one(16.0), servers(Metric::DrainLastMs, 19_000.0)),
        by_process("idle voter, % of a core", one(0.4), members(Metric::VoterCpuPercent)),
        by_process("member that only follows, % of a core", (1.4, 2.2), members(Metric::FollowerCpuPercent)),
        by_process("the same, wakes/s", one(780.0), members(Metric::FollowerWakesPerS)),
        by_process(
            "the same, bytes/s with headers",
            (1_900.0, 2_200.0),
            members(Metric::FollowerWireBytesPerS),
        ),
        by_process("a probe, bytes with headers", one(658.0), probe_bytes),
        by_process("probing 20 servers, bytes/s", one(13_200.0), probes(Metric::WireBytesPerS, 20.0)),
        by_process("probing 20 servers, % of a core", one(0.8), probes(Metric::CpuPercent, 20.0)),
        by_process("probing 240 servers, bytes/s", one(158_000.0), probes(Metric::WireBytesPerS, 240.0)),
        by_process("probing 240 servers, % of a core", one(3.2), probes(Metric::CpuPercent, 240.0)),
    ]
}
