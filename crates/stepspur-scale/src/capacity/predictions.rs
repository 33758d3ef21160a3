//! Figures that were stated before the slopes were measured, each compared with its measurement.

use super::cell::Cell;
use super::figures::Figures;
use crate::slopes::result::{Metric, Name};

/// Relative difference within which a stated and a measured figure agree, in addition to the measurement's
/// interval.
const AGREEMENT_TOLERANCE: f64 = 0.1;

/// A figure that was stated before the measurement.
#[derive(Clone, Debug)]
pub(super) struct Prediction {
    /// Name of the figure, with its unit.
    pub what: &'static str,
    /// Stated minimum and maximum.
    pub stated: (f64, f64),
    /// The figure according to the slopes.
    pub measured: Cell,
    /// Whether it is a wall-clock time, which depends on the machine and on other load on it.
    pub by_wall_clock: bool,
}

impl Prediction {
    /// Whether the measurement confirms or corrects the stated figure.
    pub(super) fn verdict(&self) -> &'static str {
        let Some(measured) = self.measured.value else { return "not measured" };
        let half_width = measured.half_width.unwrap_or(0.0);
        let (min, max) =
            (self.stated.0 * (1.0 - AGREEMENT_TOLERANCE), self.stated.1 * (1.0 + AGREEMENT_TOLERANCE));
        match measured.mean + half_width >= min && measured.mean - half_width <= max {
            true => "confirmed",
            false if self.by_wall_clock => "corrected (wall clock)",
            false => "corrected",
        }
    }
}

/// Every stated figure with its measurement.
pub(super) fn predictions(figures: Figures) -> Vec<Prediction> {
    let servers = |metric, at: f64| figures.at(Name::Servers, metric, at);
    let members = |metric| figures.at(Name::Members, metric, 13.0);
    let probes = |metric, at: f64| figures.at(Name::Probes, metric, at);
    let probes_per_server =
        figures.marginal_cost(Name::Probes, Metric::ProbesPerS).mean().unwrap_or(f64::NAN);
    let probe_bytes =
        figures.marginal_cost(Name::Probes, Metric::WireBytesPerS).times(1.0 / probes_per_server);
    let exactly = |value: f64| (value, value);
    let counted = |what, stated, measured| Prediction { what, stated, measured, by_wall_clock: false };
    let timed = |what, stated, measured| Prediction { what, stated, measured, by_wall_clock: true };
    vec![
        counted("memory, 379 servers, MiB", exactly(15.0), servers(Metric::ResidentMib, 379.0)),
        counted("memory, 3,800 servers, MiB", exactly(24.0), servers(Metric::ResidentMib, 3_800.0)),
        counted("memory, 19,000 servers, MiB", exactly(31.0), servers(Metric::ResidentMib, 19_000.0)),
        counted("a drain, 19,000 servers, ms of CPU", exactly(24.0), servers(Metric::DrainCpuMs, 19_000.0)),
        timed(
            "a drain to the last proxy, 379 servers, ms",
            exactly(2.8),
            servers(Metric::DrainLastMs, 379.0),
        ),
        timed("the same, 3,800 servers", exactly(5.0), servers(Metric::DrainLastMs, 3_800.0)),
        timed("the same, 19,000 servers", exactly(16.0), servers(Metric::DrainLastMs, 19_000.0)),
        counted("idle voter, % of a core", exactly(0.4), members(Metric::VoterCpuPercent)),
        counted("member that only follows, % of a core", (1.4, 2.2), members(Metric::FollowerCpuPercent)),
        counted("the same, wakes/s", exactly(780.0), members(Metric::FollowerWakesPerS)),
        counted("the same, bytes/s with headers", (1_900.0, 2_200.0), members(Metric::FollowerWireBytesPerS)),
        counted("a probe, bytes with headers", exactly(658.0), probe_bytes),
        counted("probing 20 servers, bytes/s", exactly(13_200.0), probes(Metric::WireBytesPerS, 20.0)),
        counted("probing 20 servers, % of a core", exactly(0.8), probes(Metric::CpuPercent, 20.0)),
        counted("probing 240 servers, bytes/s", exactly(158_000.0), probes(Metric::WireBytesPerS, 240.0)),
        counted("probing 240 servers, % of a core", exactly(3.2), probes(Metric::CpuPercent, 240.0)),
    ]
}
