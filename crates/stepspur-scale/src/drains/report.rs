//! Results of both arms and their ratios.

#[cfg(test)]
mod tests;

use std::fmt;

use serde::Serialize;

use super::arm::Arm;
use super::round::Measured;
use crate::fleet::latency::Spread;
use crate::fleet::report::Machine;

/// Largest accepted ratio, on over off, of the median time of a drain to the last proxy.
pub(super) const MAX_RATIO: f64 = 1.05;

/// Parameters of the run.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Setting {
    /// Servers in the list.
    pub servers: usize,
    /// Proxies of the conductor.
    pub proxies: usize,
    /// Rounds of each arm.
    pub rounds: u32,
    /// Measured drains in each round.
    pub drains: u32,
    /// Control members.
    pub controls: u32,
    /// Configuration changes per second.
    pub changes_per_s: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Results of one arm over all its rounds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct ArmReport {
    /// Time from the change of the list until the last proxy read the order, over all drains.
    pub last: Spread,
    /// Mean of the same time, in milliseconds.
    pub last_mean_ms: f64,
    /// Time until each proxy read the order, over all drains and proxies.
    pub each: Spread,
    /// Median of the time to the last proxy, for each round, in milliseconds.
    pub round_medians_ms: Vec<f64>,
    /// Mean CPU time of the conductor for one drain, until the last proxy read the order, in milliseconds.
    pub cpu_ms: f64,
    /// Configuration changes committed during the drains.
    pub changes_agreed: u64,
    /// Orders with admission levels that a proxy read during the drains: mean over the proxies, sum over the
    /// rounds.
    pub levels_ordered: f64,
}

/// Ratios of the arms' results, on over off.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Ratios {
    /// Ratio of the medians of the time to the last proxy.
    pub last_p50: f64,
    /// Ratio of the 99th percentiles of the same time.
    pub last_p99: f64,
    /// Ratio of the means of the same time.
    pub last_mean: f64,
    /// Ratio of the CPU times.
    pub cpu: f64,
    /// Ratio of the medians, for each pair of rounds.
    pub pairs: Vec<f64>,
}

/// The complete result.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    machine: Machine,
    setting: Setting,
    on: ArmReport,
    off: ArmReport,
    ratios: Ratios,
}

impl ArmReport {
    fn new(arm: Arm, rounds: &[Measured]) -> Self {
        let rounds: Vec<&Measured> = rounds.iter().filter(|round| round.arm == arm).collect();
        let last: Vec<_> = rounds.iter().flat_map(|round| round.last.iter().copied()).collect();
        let each: Vec<_> = rounds.iter().flat_map(|round| round.each.iter().copied()).collect();
        let cpu: f64 = rounds.iter().map(|round| round.cpu.as_secs_f64()).sum();
        let drains = last.len().max(1) as f64;
        Self {
            last_mean_ms: last.iter().sum::<u64>() as f64 / 1e3 / drains,
            last: Spread::of(last),
            each: Spread::of(each),
            round_medians_ms: rounds.iter().map(|round| Spread::of(round.last.clone()).p50_ms).collect(),
            cpu_ms: cpu * 1e3 / drains,
            changes_agreed: rounds.iter().map(|round| round.changes_agreed).sum(),
            levels_ordered: rounds.iter().map(|round| round.levels_ordered).sum(),
        }
    }
}

impl Ratios {
    fn new(on: &ArmReport, off: &ArmReport) -> Self {
        let pairs = on.round_medians_ms.iter().zip(&off.round_medians_ms);
        Self {
            last_p50: on.last.p50_ms / off.last.p50_ms,
            last_p99: on.last.p99_ms / off.last.p99_ms,
            last_mean: on.last_mean_ms / off.last_mean_ms,
            cpu: on.cpu_ms / off.cpu_ms,
            pairs: pairs.map(|(on, off)| on / off).collect(),
        }
    }
}

impl Report {
    /// Builds the report. The rounds of each arm must be in the order of their pairs.
    pub(super) fn new(machine: Machine, setting: Setting, rounds: &[Measured]) -> Self {
        let (on, off) = (ArmReport::new(Arm::On, rounds), ArmReport::new(Arm::Off, rounds));
        let ratios = Ratios::new(&on, &off);
        Self { machine, setting, on, off, ratios }
    }
}

impl fmt::Display for ArmReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Spread { p50_ms, p99_ms, most_ms, .. } = self.last;
        let least = self.round_medians_ms.iter().copied().fold(f64::INFINITY, f64::min);
        let most = self.round_medians_ms.iter().copied().fold(0.0, f64::max);
        write!(f, "{p50_ms:7.2} {p99_ms:7.2} {most_ms:7.2} {:7.2}", self.last_mean_ms)?;
        write!(f, "   {least:6.2} to {most:6.2}   {:7.2} {:7.2}", self.each.p50_ms, self.each.p99_ms)?;
        write!(f, "   {:7.2}   {:5} {:6.1}", self.cpu_ms, self.changes_agreed, self.levels_ordered)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { machine, setting, on, off, ratios } = self;
        let Setting { servers, proxies, rounds, drains, controls, changes_per_s, seed } = setting;
        writeln!(
            f,
            "{servers} servers, {proxies} proxies, {controls} control members, {changes_per_s} changes a second; \
             {rounds} rounds of {drains} drains an arm, seed {seed}; {} cores, load {:.1} before",
            machine.cores, machine.load_before
        )?;
        writeln!(
            f,
            "     to the last proxy, ms: p50, p99, most, mean; medians of rounds; to each, ms: p50, p99; \
             CPU a drain, ms; changes agreed, levels ordered"
        )?;
        writeln!(f, "on  {on}")?;
        writeln!(f, "off {off}")?;
        writeln!(
            f,
            "ratios, on over off: p99 {:.3}, mean {:.3}, CPU {:.3}; medians of pairs {:.3?}",
            ratios.last_p99, ratios.last_mean, ratios.cpu, ratios.pairs
        )?;
        let verdict = if ratios.last_p50 <= MAX_RATIO { "kept" } else { "missed" };
        write!(f, "ratio of the medians to the last {:.3}, aim {MAX_RATIO}: {verdict}", ratios.last_p50)
    }
}
