//! Plausible reports: upper bounds of what one report may contain, so that a single wrong number cannot move
//! the load of the fleet further than its sender could carry.
//!
//! A report above its bound counts as the bound: a real surge is then believed over a few reports.

use std::collections::BTreeMap;

use super::Policy;
use super::load::{MIN_REPORT_PERIOD, UpstreamReport};
use crate::interface::{ClassId, Micros, ProxyId, ZoneId};

/// Upper bound of the growth of a proxy's request rate in one report, as a multiple of its rate or of the
/// mean of all proxies if that is higher.
const MAX_RATE_GROWTH: f64 = 2.0;
/// Standard deviations of a random count above its mean that are still plausible.
const MAX_COUNT_DEVIATIONS: f64 = 3.0;
/// Requests in a report that are plausible at any rate.
const MIN_COUNT_BOUND: f64 = 3.0;
/// Shortest period over which requests are assumed to have been counted, in microseconds.
const MIN_COUNT_PERIOD: Micros = 100_000;
/// A proxy that has not reported yet counts with at most this multiple of the mean rate of those that have.
const MAX_DECLARED_TO_MEAN: f64 = 4.0;
/// Attempts that the proxies of a zone may plausibly make for each request.
const MAX_ATTEMPTS_PER_REQUEST: f64 = 6.0;
/// Attempts in a report that are plausible at any rate.
const MIN_ATTEMPTS_BOUND: f64 = 100.0;
/// Upper bound of the time that a report covers, as a multiple of the usual one.
const MAX_PERIOD_RATIO: u64 = 4;
/// Upper bound of a declared request rate, in requests per second.
pub(super) const MAX_DECLARED_RATE: f64 = 1e6;

/// Request rates to compare reports with, computed once a round.
#[derive(Default)]
pub(super) struct ReferenceRates {
    /// Mean rate of a class at the proxies that have reported it, in requests per second.
    class_means: BTreeMap<ClassId, f64>,
    /// Requests per second at the connected proxies of each zone, as reported or else declared.
    zones: BTreeMap<ZoneId, f64>,
}

impl Policy {
    /// Computes the rates to compare the next reports with.
    pub(super) fn update_reference_rates(&mut self) {
        let mut sums: BTreeMap<ClassId, (f64, f64)> = BTreeMap::new();
        let mut zones: BTreeMap<ZoneId, f64> = BTreeMap::new();
        for proxy in self.proxies.values() {
            for (class, rate) in &proxy.request_rates {
                let (sum, count) = sums.entry(*class).or_default();
                *sum += rate;
                *count += 1.0;
            }
            if proxy.connected {
                let reported: f64 = proxy.request_rates.values().sum();
                let rate = if reported > 0.0 { reported } else { proxy.declared_rate };
                *zones.entry(proxy.zone).or_default() += rate;
            }
        }
        let class_means = sums.into_iter().map(|(class, (sum, count))| (class, sum / count)).collect();
        self.reference_rates = ReferenceRates { class_means, zones };
    }

    /// The rate that a proxy without reports counts with among those that have reported.
    pub(super) fn plausible_declared_rate(&self, declared_rate: f64) -> f64 {
        let mean: f64 = self.reference_rates.class_means.values().sum();
        if mean > 0.0 { declared_rate.min(MAX_DECLARED_TO_MEAN * mean) } else { declared_rate }
    }

    /// The request rate that a report of `total` requests of a class shows, per second, as far as it is
    /// plausible for the proxy. Its first report counts as one over the usual report period at least.
    pub(super) fn plausible_rate(&self, proxy: ProxyId, class: ClassId, period: Micros, total: u32) -> f64 {
        let is_known = self.proxies.get(&proxy).is_some_and(|known| known.request_rates.contains_key(&class));
        let min_period = if is_known { 0 } else { self.settings.report_period };
        let period = period.max(min_period).max(MIN_COUNT_PERIOD) as f64 * 1e-6;
        let expected = MAX_RATE_GROWTH * self.reference_rate(proxy, class) * period;
        let bound = expected + MAX_COUNT_DEVIATIONS * expected.sqrt() + MIN_COUNT_BOUND;
        f64::from(total).min(bound) / period
    }

    /// The rate to compare a proxy's report with: its own rate of the class; before its first report what it
    /// declared. At least the mean of the proxies that have reported the class.
    fn reference_rate(&self, id: ProxyId, class: ClassId) -> f64 {
        let mean = self.reference_rates.class_means.get(&class).copied().unwrap_or(0.0);
        let Some(proxy) = self.proxies.get(&id) else { return mean };
        let own = proxy.request_rates.get(&class).copied();
        own.unwrap_or(self.plausible_declared_rate(proxy.declared_rate)).max(mean)
    }

    /// The report, reduced to what the connected proxies of its zone can plausibly have met.
    pub(super) fn plausible_upstream(&self, report: &UpstreamReport) -> UpstreamReport {
        let period = self.plausible_period(report.period);
        let seconds = period.max(MIN_COUNT_PERIOD) as f64 * 1e-6;
        let zone_rate = self.reference_rates.zones.get(&report.zone).copied().unwrap_or(0.0);
        let bound = MAX_ATTEMPTS_PER_REQUEST * zone_rate * seconds;
        let attempts = f64::from(report.attempts).min(bound.max(MIN_ATTEMPTS_BOUND)) as u32;
        // The ratio of failed attempts stays as reported.
        let errors = u64::from(report.errors) * u64::from(attempts) / u64::from(report.attempts.max(1));
        let deadline = self.settings.classes.iter().map(|class| class.deadline).max();
        UpstreamReport {
            period,
            attempts,
            errors: errors as u32,
            latency: report.latency.min(deadline.unwrap_or(Micros::MAX)),
            ..*report
        }
    }

    /// The time that a report covers, at most [`MAX_PERIOD_RATIO`] times the usual one.
    fn plausible_period(&self, period: Micros) -> Micros {
        let usual = self.load.two_report_periods() / 2;
        let usual = usual.max(self.settings.report_period).max(MIN_REPORT_PERIOD);
        period.min(MAX_PERIOD_RATIO * usual)
    }
}
