//! The rate of the fleet's successful attempts and its recent peak.

use super::ROUND_PERIOD;
use super::load::MIN_REPORT_PERIOD;

/// Part by which the peak goodput decays in the time that two reports cover.
const PEAK_GOODPUT_DECAY_RATIO: f64 = 0.05;

/// Rate of successful attempts, with its peak.
#[derive(Default)]
pub(super) struct Goodput {
    /// Smoothed rate, per second. It starts at 0, so that it is too low until a smoothing window has passed:
    /// twice the mean time that a report covers, at least twice [`MIN_REPORT_PERIOD`].
    pub(super) per_second: f64,
    /// Decaying peak of the rate, per second, corrected for the start at 0.
    pub(super) peak_per_second: f64,
    /// Successful attempts reported since the last round.
    successes: f64,
    /// The part of the smoothing window with observations, from 0 at the start to 1.
    observed_window_ratio: f64,
}

impl Goodput {
    /// Counts successful attempts of a report towards the next round.
    pub(super) fn add_successes(&mut self, successes: f64) {
        self.successes += successes;
    }

    /// Updates rate and peak from the successes of one round.
    pub(super) fn update(&mut self, mean_report_period_micros: f64) {
        let gain = ROUND_PERIOD as f64 / (2.0 * mean_report_period_micros.max(MIN_REPORT_PERIOD as f64));
        let successes = std::mem::take(&mut self.successes);
        self.per_second += gain * (successes / (ROUND_PERIOD as f64 * 1e-6) - self.per_second);
        let observed = if self.per_second > 0.0 { 1.0 } else { 0.0 };
        self.observed_window_ratio += gain * (observed - self.observed_window_ratio);
        let unbiased = self.per_second / self.observed_window_ratio.max(gain);
        let decayed_peak = self.peak_per_second * (1.0 - gain * PEAK_GOODPUT_DECAY_RATIO);
        self.peak_per_second = decayed_peak.max(unbiased);
    }
}
