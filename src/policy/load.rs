//! Load and latency of the fleet, computed once a round from the proxies' reports.
//!
//! The latency ratio is the mean latency of attempts over the shortest latency objective of all classes. A
//! failed attempt counts as [`FAILED_ATTEMPT_LATENCY_RATIO`].

use std::collections::BTreeMap;

use super::median::{Weighted, weighted_median};
use super::server::{AttemptCounts, QueueReport, Server, ZoneStats};
use super::{Policy, ROUND_PERIOD};
use crate::interface::{ClassId, Micros, ProxyId, ServerId, ZoneId};

/// Latency ratio below which the fleet has recovered from overload.
pub(super) const RECOVERED_LATENCY_RATIO: f64 = 0.45;
/// Latency ratio above which the fleet is overloaded.
pub(super) const OVERLOADED_LATENCY_RATIO: f64 = 0.6;
/// Latency ratio above which the fleet, or a zone, is congested: few attempts meet the objective.
pub(super) const CONGESTED_LATENCY_RATIO: f64 = 1.0;

/// Latency ratio that a failed attempt counts as.
const FAILED_ATTEMPT_LATENCY_RATIO: f64 = 2.0;
/// The sums of attempts lose half of their value in this time.
const EVIDENCE_HALF_LIFE_MICROS: f64 = 800_000.0;
/// A server that answers at least this ratio of a report's attempts is alive.
const ALIVE_SUCCESS_RATIO: f64 = 0.3;

/// Time constant of a proxy's request rates. A report over a longer period counts for more.
const REQUEST_RATE_SPAN_MICROS: f64 = 1_500_000.0;
/// Time constant of usual and mean request rates.
const MEAN_RATE_SPAN_MICROS: f64 = 10_000_000.0;
/// A request rate above this multiple of its mean is a surge.
const SURGE_RATIO: f64 = 1.25;

/// Smoothing factor, per report, of the time that reports cover.
const REPORT_SPAN_GAIN: f64 = 0.05;
/// Least time that a report is taken to cover.
const MIN_REPORT_SPAN: Micros = 1_000_000;
/// After a gap in reports the next ones may be late for this long.
const LATE_REPORTS_SPAN: Micros = 10_000_000;

/// Part of the peak goodput that is lost in the time of two reports.
const PEAK_GOODPUT_DECAY_RATIO: f64 = 0.05;

/// Bounds of the retry amplification. While the fleet has recovered at least the lower one is assumed, as
/// congestion is seen late; above, the upper one.
pub(super) const MIN_RETRY_AMPLIFICATION: f64 = 2.5;
const MAX_RETRY_AMPLIFICATION: f64 = 6.0;

/// The name of the load report's column that contains the queue's length.
const QUEUE_COLUMN: &str = "q";

/// Load and latency of the fleet. Only this module writes it.
pub(super) struct FleetLoad {
    /// Latency ratio that the median attempt meets; 0 without recent reports.
    pub(super) current_latency_ratio: f64,
    /// The same as last known.
    pub(super) latency_ratio: f64,
    /// The same of successful attempts alone; 0 without recent reports.
    pub(super) success_latency_ratio: f64,
    /// Latency ratio of the median attempt of each zone's proxies, without zones that did not report.
    pub(super) zone_latency_ratio: BTreeMap<ZoneId, f64>,
    /// Recent attempts, older ones in part.
    pub(super) attempts: f64,
    /// Recent failed attempts, older ones in part.
    pub(super) errors: f64,
    /// Attempts for each successful one, times the surge of requests over their mean.
    pub(super) retry_amplification: f64,
    /// There was a gap in reports: until then the latency ratio may be out of date.
    pub(super) late_reports_until: Micros,
    /// Usual requests per second by class at connected proxies, clients' repeats left out.
    pub(super) class_rates: Vec<f64>,
    /// True: load reports also come with responses, not with health checks alone.
    pub(super) responses_carry_load: bool,
    /// Successful attempts of the fleet.
    pub(super) goodput: Goodput,
    /// Requests per second at connected proxies, smoothed.
    mean_request_rate: f64,
    /// Time that a report covers, smoothed; longer than the report period where reports fall behind.
    report_span_micros: f64,
}

/// Successful attempts per second.
#[derive(Default)]
pub(super) struct Goodput {
    /// Smoothed rate. It starts from 0.
    pub(super) per_second: f64,
    /// Recent peak of the rate; it decays.
    pub(super) peak_per_second: f64,
    /// Successful attempts since the last round.
    successes: f64,
    /// Part of the smoothing window that has been seen, from 0 at the start to 1.
    seen_ratio: f64,
}

/// What the proxies of a zone measured at a server during one report.
pub(super) struct UpstreamReport {
    pub(super) server: ServerId,
    pub(super) zone: ZoneId,
    /// Time that it covers.
    pub(super) period: Micros,
    /// Attempts.
    pub(super) attempts: u32,
    /// Failed attempts.
    pub(super) errors: u32,
    /// Mean latency of the successful ones.
    pub(super) latency: Micros,
}

/// Sums of recent attempts, and the latency ratios of the median attempt.
struct AttemptSummary {
    attempts: f64,
    errors: f64,
    fleet_latency_ratio: f64,
    zone_latency_ratio: BTreeMap<ZoneId, f64>,
}

impl FleetLoad {
    /// A fleet without reports.
    pub(super) fn new() -> Self {
        FleetLoad {
            current_latency_ratio: 0.0,
            latency_ratio: 0.0,
            success_latency_ratio: 0.0,
            zone_latency_ratio: BTreeMap::new(),
            attempts: 0.0,
            errors: 0.0,
            retry_amplification: MIN_RETRY_AMPLIFICATION,
            late_reports_until: 0,
            class_rates: Vec::new(),
            responses_carry_load: false,
            goodput: Goodput::default(),
            mean_request_rate: 0.0,
            report_span_micros: 0.0,
        }
    }

    /// Usual requests per second of all classes.
    pub(super) fn usual_request_rate(&self) -> f64 {
        self.class_rates.iter().sum::<f64>()
    }

    /// Twice the time that a report covers.
    pub(super) fn two_report_spans(&self) -> Micros {
        2 * self.report_span_micros as Micros
    }

    /// Reports that came since then are recent.
    pub(super) fn recent_since(&self, now: Micros) -> Micros {
        now.saturating_sub(self.two_report_spans() + MIN_REPORT_SPAN)
    }

    fn update_mean_request_rate(&mut self, request_rate: f64) {
        let gain =
            if self.mean_request_rate > 0.0 { ROUND_PERIOD as f64 / MEAN_RATE_SPAN_MICROS } else { 1.0 };
        self.mean_request_rate += gain * (request_rate - self.mean_request_rate);
    }

    /// Stores the round's latency ratios. Without recent reports the last known one remains, and a gap in
    /// reports is noted.
    fn update_latency_ratio(&mut self, summary: AttemptSummary, now: Micros) {
        self.attempts = summary.attempts;
        self.errors = summary.errors;
        self.zone_latency_ratio = summary.zone_latency_ratio;
        self.current_latency_ratio = summary.fleet_latency_ratio;
        if self.current_latency_ratio == 0.0 && self.latency_ratio > 0.0 {
            self.late_reports_until = now + LATE_REPORTS_SPAN;
        }
        if self.current_latency_ratio > 0.0 {
            self.latency_ratio = self.current_latency_ratio;
        }
    }

    fn update_retry_amplification(&mut self, request_rate: f64) {
        let least = if self.latency_ratio > RECOVERED_LATENCY_RATIO {
            MAX_RETRY_AMPLIFICATION
        } else {
            MIN_RETRY_AMPLIFICATION
        };
        let surge = (request_rate / (SURGE_RATIO * self.mean_request_rate).max(1e-9)).max(1.0);
        let attempts_per_success = self.attempts / (self.attempts - self.errors).max(1.0);
        self.retry_amplification = surge * attempts_per_success.clamp(least, MAX_RETRY_AMPLIFICATION);
    }
}

impl Goodput {
    /// Updates rate and peak once a round.
    fn update(&mut self, report_span_micros: f64) {
        let gain = ROUND_PERIOD as f64 / (2.0 * report_span_micros.max(MIN_REPORT_SPAN as f64));
        let successes = std::mem::take(&mut self.successes);
        self.per_second += gain * (successes / (ROUND_PERIOD as f64 * 1e-6) - self.per_second);
        let seen = if self.per_second > 0.0 { 1.0 } else { 0.0 };
        self.seen_ratio += gain * (seen - self.seen_ratio);
        let unbiased = self.per_second / self.seen_ratio.max(gain);
        let decayed_peak = self.peak_per_second * (1.0 - gain * PEAK_GOODPUT_DECAY_RATIO);
        self.peak_per_second = decayed_peak.max(unbiased);
    }
}

impl ZoneStats {
    /// Mean latency of all attempts, in latency objectives.
    pub(super) fn latency_ratio(&self) -> f64 {
        let total = self.success_latency + FAILED_ATTEMPT_LATENCY_RATIO * self.errors;
        total / self.attempts.max(1e-9)
    }

    /// Mean latency of the successful attempts, in latency objectives.
    fn success_latency_ratio(&self) -> f64 {
        self.success_latency / (self.attempts - self.errors).max(1e-9)
    }

    /// Attempts, decayed to `now`; 0 if the server is not ready.
    fn decayed_attempts(&self, server: &Server, now: Micros) -> f64 {
        if !server.is_ready() {
            return 0.0;
        }
        self.attempts * decay(now - self.updated_at)
    }
}

impl Policy {
    /// Updates a proxy's request rates. Its usual rate stands still while requests are shed or the fleet has
    /// not recovered, as clients then repeat requests.
    pub(super) fn learn_client_stats(&mut self, proxy: ProxyId, class: ClassId, period: Micros, total: u32) {
        let Some(proxy) = self.proxies.get_mut(&proxy) else { return };
        let observed = f64::from(total) * 1e6 / period as f64;
        let rate = proxy.request_rates.entry(class).or_insert(observed);
        *rate += smoothing_gain(period, REQUEST_RATE_SPAN_MICROS) * (observed - *rate);
        let usual = proxy.usual_rates.entry(class).or_insert(*rate);
        if self.admission.shed_fraction == 0.0 && self.load.latency_ratio < RECOVERED_LATENCY_RATIO {
            *usual += smoothing_gain(period, MEAN_RATE_SPAN_MICROS) * (observed - *usual);
        }
    }

    /// Adds a report to the sums of its server and zone.
    pub(super) fn learn_upstream_stats(&mut self, report: &UpstreamReport) {
        let span = &mut self.load.report_span_micros;
        *span += REPORT_SPAN_GAIN * (report.period as f64 - *span);
        let attempts = f64::from(report.attempts);
        let Some(server) = self.servers.get_mut(&report.server) else { return };
        if report.attempts == 0 {
            return;
        }
        let successes = attempts - f64::from(report.errors);
        if successes >= ALIVE_SUCCESS_RATIO * attempts {
            server.last_success_at = self.now;
        }
        self.load.goodput.successes += successes.max(0.0);
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let objective = objectives.min().unwrap_or(1).max(1) as f64;
        let errors = f64::from(report.errors).min(attempts);
        let success_latency = (attempts - errors) * report.latency as f64 / objective;
        let stats = server.zone_stats.entry(report.zone).or_default();
        let retained = decay(self.now - stats.updated_at);
        stats.add(retained, &AttemptCounts { attempts, errors, success_latency });
        stats.updated_at = self.now;
    }

    /// Stores the queue's length of a server, if its load report contains it.
    pub(super) fn learn_load_report(&mut self, server: ServerId, load: &[f32]) {
        let column = self.settings.load_columns.iter().position(|name| name == QUEUE_COLUMN);
        let Some(length) = column.and_then(|column| load.get(column)) else { return };
        if !length.is_finite() {
            return;
        }
        if let Some(server) = self.servers.get_mut(&server) {
            let length = f64::from(*length).max(0.0);
            server.queue = Some(QueueReport { length, received_at: self.now });
        }
    }

    /// Computes the fleet's load for this round.
    pub(super) fn update_load(&mut self) {
        let since = self.load.recent_since(self.now);
        self.load.success_latency_ratio = self.median_success_latency_ratio(since);
        let summary = self.summarize_attempts(since);
        self.load.class_rates = self.usual_class_rates();
        let request_rate = self.connected_request_rate();
        self.load.update_mean_request_rate(request_rate);
        self.load.goodput.update(self.load.report_span_micros);
        self.load.update_latency_ratio(summary, self.now);
        self.load.update_retry_amplification(request_rate);
    }

    /// Latency ratio of the median successful attempt of the fleet, ejected servers left out.
    fn median_success_latency_ratio(&self, since: Micros) -> f64 {
        let mut samples = Vec::new();
        for (server, _, stats) in self.recent_zone_stats(since) {
            let success_ratio = 1.0 - stats.errors / stats.attempts.max(1e-9);
            let weight = stats.decayed_attempts(server, self.now) * success_ratio;
            if weight > 0.0 && stats.ejected_until.is_none() {
                samples.push(Weighted { value: stats.success_latency_ratio(), weight });
            }
        }
        weighted_median(samples)
    }

    /// Sums recent attempts. Ejected servers count in their zone, as their load falls on the rest there, but
    /// not in the fleet.
    fn summarize_attempts(&self, since: Micros) -> AttemptSummary {
        let mut attempts = 0.0;
        let mut errors = 0.0;
        let mut fleet = Vec::new();
        let mut zones: BTreeMap<ZoneId, Vec<Weighted>> = BTreeMap::new();
        for (server, zone, stats) in self.recent_zone_stats(since) {
            attempts += stats.attempts;
            errors += stats.errors;
            let weight = stats.decayed_attempts(server, self.now);
            if weight <= 0.0 {
                continue;
            }
            let sample = Weighted { value: stats.latency_ratio(), weight };
            zones.entry(zone).or_default().push(sample);
            if stats.ejected_until.is_none() {
                fleet.push(sample);
            }
        }
        let zone_latency_ratio =
            zones.into_iter().map(|(zone, samples)| (zone, weighted_median(samples))).collect();
        AttemptSummary { attempts, errors, fleet_latency_ratio: weighted_median(fleet), zone_latency_ratio }
    }

    fn recent_zone_stats(&self, since: Micros) -> impl Iterator<Item = (&Server, ZoneId, &ZoneStats)> {
        let all = self
            .servers
            .values()
            .flat_map(|server| server.zone_stats.iter().map(move |(zone, stats)| (server, *zone, stats)));
        all.filter(move |(_, _, stats)| stats.updated_at >= since)
    }

    /// Requests waiting at the server that the median attempt meets, if recent load reports contain it for
    /// the servers of most attempts.
    pub(super) fn median_queue_length(&self, since: Micros) -> Option<f64> {
        let mut queues = Vec::new();
        let mut attempts_at = Vec::new();
        for server in self.servers.values().filter(|server| server.is_ready()) {
            let attempts: f64 = server.zone_stats.values().map(|stats| stats.attempts).sum();
            attempts_at.push(attempts);
            if let Some(queue) = server.queue.as_ref().filter(|queue| queue.received_at >= since) {
                queues.push(Weighted { value: queue.length, weight: attempts });
            }
        }
        let known: f64 = queues.iter().map(|queue| queue.weight).sum();
        let all: f64 = attempts_at.iter().sum();
        (known * 2.0 > all).then(|| weighted_median(queues))
    }

    /// Usual requests per second by class at connected proxies.
    fn usual_class_rates(&self) -> Vec<f64> {
        let class_count = self.settings.classes.len().min(256);
        let mut rates = Vec::with_capacity(class_count);
        for class in 0..class_count {
            let class = ClassId(class as u8);
            let connected = self.proxies.values().filter(|proxy| proxy.connected);
            rates.push(connected.filter_map(|proxy| proxy.usual_rates.get(&class)).sum());
        }
        rates
    }

    /// Requests per second at connected proxies now.
    fn connected_request_rate(&self) -> f64 {
        let connected = self.proxies.values().filter(|proxy| proxy.connected);
        connected.flat_map(|proxy| proxy.request_rates.values()).sum()
    }
}

/// What remains of evidence of this age, as a ratio.
fn decay(age: Micros) -> f64 {
    0.5f64.powf(age as f64 / EVIDENCE_HALF_LIFE_MICROS)
}

/// Weight of a report over `period` in an average with this time constant.
fn smoothing_gain(period: Micros, span_micros: f64) -> f64 {
    1.0 - (-(period as f64) / span_micros).exp()
}
