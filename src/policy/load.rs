//! Load and latency of the fleet, computed once a round from the proxies' reports.
//!
//! A latency ratio is the mean latency of attempts at a server, as a multiple of the shortest latency
//! objective of all classes. A failed attempt counts as [`FAILED_ATTEMPT_LATENCY_RATIO`]. The ratio of the
//! fleet or of a zone is the median of its servers' ratios, weighted by attempts.

use std::collections::BTreeMap;

use super::goodput::Goodput;
use super::median::{Weighted, weighted_median};
use super::server::{AttemptCounts, QueueReport, Server, ZoneStats};
use super::{Policy, ROUND_PERIOD};
use crate::interface::{ClassId, Micros, ProxyId, ServerId, ZoneId};

/// Latency ratio below which the fleet counts as recovered from overload.
pub(super) const RECOVERED_LATENCY_RATIO: f64 = 0.45;
/// Latency ratio above which the fleet counts as overloaded.
pub(super) const OVERLOADED_LATENCY_RATIO: f64 = 0.6;
/// Latency ratio above which the fleet or a zone counts as congested. At 1 the mean latency at the server of
/// the median attempt equals the shortest latency objective.
pub(super) const CONGESTED_LATENCY_RATIO: f64 = 1.0;

/// The latency ratio that a failed attempt counts as, instead of its own latency.
const FAILED_ATTEMPT_LATENCY_RATIO: f64 = 2.0;
/// Time in which the sums of attempts decay to half, in microseconds.
const ATTEMPT_HALF_LIFE_MICROS: f64 = 800_000.0;
/// A report shows that a server responds if at least this ratio of its attempts succeeded.
const ALIVE_SUCCESS_RATIO: f64 = 0.3;

/// Time constant of the smoothing of a proxy's request rates, in microseconds. A report over a longer period
/// has more weight.
const REQUEST_RATE_TIME_CONSTANT_MICROS: f64 = 1_500_000.0;
/// Time constant of the smoothing of usual and mean request rates, in microseconds.
const MEAN_RATE_TIME_CONSTANT_MICROS: f64 = 10_000_000.0;
/// A request rate above this multiple of its mean counts as a surge.
const SURGE_RATIO: f64 = 1.25;

/// Weight of one report in the moving average of the time that reports cover.
const REPORT_PERIOD_GAIN: f64 = 0.05;
/// Lower bound of the time that a report is assumed to cover, in microseconds.
pub(super) const MIN_REPORT_PERIOD: Micros = 1_000_000;
/// How long reports are assumed to be late after a gap in them.
const LATE_REPORTS_DURATION: Micros = 10_000_000;

/// Time in which the recent weight of the ready servers decays to the present one, in microseconds.
const READY_WEIGHT_TIME_CONSTANT_MICROS: f64 = 60_000_000.0;

/// Lower bound of the attempts for each successful one, while the fleet is recovered; else
/// [`MAX_RETRY_AMPLIFICATION`] is the lower bound too. It is above 1 because reports show congestion late.
pub(super) const MIN_RETRY_AMPLIFICATION: f64 = 2.5;
/// Upper bound of the attempts for each successful one.
const MAX_RETRY_AMPLIFICATION: f64 = 6.0;

/// Name of the column of load reports that contains the queue length, in requests.
const QUEUE_COLUMN: &str = "q";

/// Load and latency of the fleet. Other modules only read it, except `responses_carry_load`.
pub(super) struct FleetLoad {
    /// Latency ratio at the server of the median attempt. Servers that are not ready, or are ejected in the
    /// proxy's zone, are left out; 0 if no other server has recent reports.
    pub(super) current_latency_ratio: f64,
    /// The newest value of `current_latency_ratio` above 0; 0 before the first.
    pub(super) latency_ratio: f64,
    /// Like `current_latency_ratio`, but of successful attempts only.
    pub(super) success_latency_ratio: f64,
    /// Like `current_latency_ratio`, for the proxies of each zone, but servers that are ejected there count.
    /// A zone has no entry if no ready server has recent reports from it.
    pub(super) zone_latency_ratio: BTreeMap<ZoneId, f64>,
    /// Number of attempts in recent reports of all servers, decayed up to the last report of each server and
    /// zone.
    pub(super) attempts: f64,
    /// Number of failed ones of these attempts, decayed alike.
    pub(super) errors: f64,
    /// Attempts for each successful one, within bounds, times the surge factor: the request rate as a
    /// multiple of [`SURGE_RATIO`] times its mean, at least 1. The surge factor has no upper bound.
    pub(super) retry_amplification: f64,
    /// Requests per second that reach the proxies, clients' retries included, as a multiple of the usual
    /// rate: from 1 to [`MAX_RETRY_AMPLIFICATION`].
    pub(super) arrival_ratio: f64,
    /// Listed weight of all ready servers: its recent maximum, which decays to the present value.
    pub(super) recent_ready_weight: f64,
    /// Until this time the latency ratio may be outdated, as there was a gap in reports.
    pub(super) late_reports_until: Micros,
    /// Usual requests per second of each class at connected proxies: the mean of reports from times without
    /// shedding or overload, so that clients' retries of rejected requests are left out.
    pub(super) class_rates: Vec<f64>,
    /// True once a proxy's report has contained a server's load, which responses to attempts carry; until
    /// then only health checks may provide it. It is never reset.
    pub(super) responses_carry_load: bool,
    /// Rate of the fleet's successful attempts.
    pub(super) goodput: Goodput,
    /// Requests per second at connected proxies, smoothed over [`MEAN_RATE_TIME_CONSTANT_MICROS`].
    mean_request_rate: f64,
    /// Moving average of the time that a report covers, from 0 at the start, in microseconds. It exceeds the
    /// report interval when reports are delayed.
    mean_report_period_micros: f64,
}

/// The attempts of one zone's proxies at one server in one report.
pub(super) struct UpstreamReport {
    pub(super) server: ServerId,
    pub(super) zone: ZoneId,
    /// Time that the report covers.
    pub(super) period: Micros,
    /// Number of attempts.
    pub(super) attempts: u32,
    /// Number of failed attempts.
    pub(super) errors: u32,
    /// Mean latency of the successful attempts; 0 if there are none.
    pub(super) latency: Micros,
}

/// Sums of recent attempts, and the latency ratios of the median attempt in the fleet and in each zone.
struct AttemptSummary {
    attempts: f64,
    errors: f64,
    fleet_latency_ratio: f64,
    zone_latency_ratio: BTreeMap<ZoneId, f64>,
}

impl FleetLoad {
    /// Creates the load of a fleet without reports.
    pub(super) fn new() -> Self {
        FleetLoad {
            current_latency_ratio: 0.0,
            latency_ratio: 0.0,
            success_latency_ratio: 0.0,
            zone_latency_ratio: BTreeMap::new(),
            attempts: 0.0,
            errors: 0.0,
            retry_amplification: MIN_RETRY_AMPLIFICATION,
            arrival_ratio: 1.0,
            recent_ready_weight: 0.0,
            late_reports_until: 0,
            class_rates: Vec::new(),
            responses_carry_load: false,
            goodput: Goodput::default(),
            mean_request_rate: 0.0,
            mean_report_period_micros: 0.0,
        }
    }

    /// Usual requests per second of all classes.
    pub(super) fn usual_request_rate(&self) -> f64 {
        self.class_rates.iter().sum::<f64>()
    }

    /// Twice the mean time that a report covers.
    pub(super) fn two_report_periods(&self) -> Micros {
        2 * self.mean_report_period_micros as Micros
    }

    /// The earliest time of receipt of a report that counts as recent.
    pub(super) fn recent_since(&self, now: Micros) -> Micros {
        now.saturating_sub(self.two_report_periods() + MIN_REPORT_PERIOD)
    }

    /// Updates the mean request rate, which starts at the first rate above 0.
    fn update_mean_request_rate(&mut self, request_rate: f64) {
        let gain = if self.mean_request_rate > 0.0 {
            ROUND_PERIOD as f64 / MEAN_RATE_TIME_CONSTANT_MICROS
        } else {
            1.0
        };
        self.mean_request_rate += gain * (request_rate - self.mean_request_rate);
    }

    /// Stores the round's sums and latency ratios. Without recent reports `latency_ratio` keeps its value,
    /// and reports count as late for [`LATE_REPORTS_DURATION`].
    fn update_latency_ratio(&mut self, summary: AttemptSummary, now: Micros) {
        self.attempts = summary.attempts;
        self.errors = summary.errors;
        self.zone_latency_ratio = summary.zone_latency_ratio;
        self.current_latency_ratio = summary.fleet_latency_ratio;
        if self.current_latency_ratio == 0.0 && self.latency_ratio > 0.0 {
            self.late_reports_until = now + LATE_REPORTS_DURATION;
        }
        if self.current_latency_ratio > 0.0 {
            self.latency_ratio = self.current_latency_ratio;
        }
    }

    /// Updates the retry amplification: the attempts for each success, times the factor by which the request
    /// rate exceeds [`SURGE_RATIO`] times its mean.
    fn update_retry_amplification(&mut self, request_rate: f64) {
        let min_amplification = if self.latency_ratio > RECOVERED_LATENCY_RATIO {
            MAX_RETRY_AMPLIFICATION
        } else {
            MIN_RETRY_AMPLIFICATION
        };
        let surge = (request_rate / (SURGE_RATIO * self.mean_request_rate).max(1e-9)).max(1.0);
        let attempts_per_success = self.attempts / (self.attempts - self.errors).max(1.0);
        self.retry_amplification =
            surge * attempts_per_success.clamp(min_amplification, MAX_RETRY_AMPLIFICATION);
    }

    /// Updates the arrival ratio; 1 until the usual rate is known.
    fn update_arrival_ratio(&mut self, request_rate: f64) {
        let usual = self.usual_request_rate();
        let ratio = if usual > 0.0 { request_rate / usual } else { 1.0 };
        self.arrival_ratio = ratio.clamp(1.0, MAX_RETRY_AMPLIFICATION);
    }

    /// Updates the recent weight of the ready servers once a round.
    fn update_ready_weight(&mut self, ready_weight: f64) {
        let retained = (-(ROUND_PERIOD as f64) / READY_WEIGHT_TIME_CONSTANT_MICROS).exp();
        let decayed = ready_weight + (self.recent_ready_weight - ready_weight) * retained;
        self.recent_ready_weight = decayed.max(ready_weight);
    }
}

impl ZoneStats {
    /// Mean latency of all attempts, as a multiple of the shortest latency objective. Each failed attempt
    /// counts as [`FAILED_ATTEMPT_LATENCY_RATIO`].
    pub(super) fn latency_ratio(&self) -> f64 {
        let total = self.success_latency + FAILED_ATTEMPT_LATENCY_RATIO * self.errors;
        total / self.attempts.max(1e-9)
    }

    /// Mean latency of the successful attempts, as a multiple of the shortest latency objective.
    fn success_latency_ratio(&self) -> f64 {
        self.success_latency / (self.attempts - self.errors).max(1e-9)
    }

    /// Number of attempts, decayed to `now`; 0 if the server is not ready, as its last attempts fail and say
    /// nothing about the remaining fleet.
    fn decayed_attempts(&self, server: &Server, now: Micros) -> f64 {
        if !server.is_ready() {
            return 0.0;
        }
        self.attempts * decay(now - self.updated_at)
    }
}

impl Policy {
    /// Updates a proxy's request rates. Its usual rate is not updated while requests are shed or the fleet is
    /// not recovered, as clients then retry requests and the total is inflated.
    pub(super) fn record_client_stats(&mut self, proxy: ProxyId, class: ClassId, period: Micros, total: u32) {
        let observed = self.plausible_rate(proxy, class, period, total);
        let Some(proxy) = self.proxies.get_mut(&proxy) else { return };
        let rate = proxy.request_rates.entry(class).or_insert(observed);
        *rate += smoothing_gain(period, REQUEST_RATE_TIME_CONSTANT_MICROS) * (observed - *rate);
        let usual = proxy.usual_rates.entry(class).or_insert(*rate);
        let sheds = self.admission.shed_fraction > 0.0 || self.admission.attempts_bounded;
        if !sheds && self.load.latency_ratio < RECOVERED_LATENCY_RATIO {
            *usual += smoothing_gain(period, MEAN_RATE_TIME_CONSTANT_MICROS) * (observed - *usual);
        }
    }

    /// Updates the mean report period and, for a known server with attempts, the sums of its server and zone,
    /// the goodput and the time of the server's last success.
    pub(super) fn record_upstream_stats(&mut self, report: &UpstreamReport) {
        let report = self.plausible_upstream(report);
        let mean_period = &mut self.load.mean_report_period_micros;
        *mean_period += REPORT_PERIOD_GAIN * (report.period as f64 - *mean_period);
        let attempts = f64::from(report.attempts);
        let Some(server) = self.servers.get_mut(&report.server) else { return };
        if report.attempts == 0 {
            return;
        }
        let successes = attempts - f64::from(report.errors);
        if successes >= ALIVE_SUCCESS_RATIO * attempts {
            server.last_success_at = self.now;
        }
        self.load.goodput.add_successes(successes.max(0.0));
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let objective = objectives.min().unwrap_or(1).max(1) as f64;
        let errors = f64::from(report.errors).min(attempts);
        let success_latency = (attempts - errors) * report.latency as f64 / objective;
        let stats = server.zone_stats.entry(report.zone).or_default();
        let retained = decay(self.now - stats.updated_at);
        stats.add(retained, &AttemptCounts { attempts, errors, success_latency });
        stats.updated_at = self.now;
    }

    /// Stores a server's queue length, if the load report contains a finite one.
    pub(super) fn record_load_report(&mut self, server: ServerId, load: &[f32]) {
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

    /// Computes the fleet's load from recent reports, once a round.
    pub(super) fn update_load(&mut self) {
        let since = self.load.recent_since(self.now);
        self.load.success_latency_ratio = self.median_success_latency_ratio(since);
        let summary = self.summarize_attempts(since);
        self.load.class_rates = self.usual_class_rates();
        let request_rate = self.connected_request_rate();
        self.load.update_mean_request_rate(request_rate);
        self.load.update_arrival_ratio(request_rate);
        self.load.update_ready_weight(self.ready_weight());
        self.load.goodput.update(self.load.mean_report_period_micros);
        self.load.update_latency_ratio(summary, self.now);
        self.load.update_retry_amplification(request_rate);
    }

    /// Latency ratio of the median successful attempt of the fleet, without ejected servers.
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

    /// Sums recent attempts. The ratio of a zone includes servers that are ejected there, as the zone's other
    /// servers get their load; the fleet's ratio excludes them.
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

    /// All measurements whose newest report was received at `since` or later, with server and zone.
    fn recent_zone_stats(&self, since: Micros) -> impl Iterator<Item = (&Server, ZoneId, &ZoneStats)> {
        let all = self
            .servers
            .values()
            .flat_map(|server| server.zone_stats.iter().map(move |(zone, stats)| (server, *zone, stats)));
        all.filter(move |(_, _, stats)| stats.updated_at >= since)
    }

    /// Queue length at the server of the median attempt, in requests. `None` unless load reports received
    /// since `since` cover the servers of more than half of the attempts.
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

    /// Requests per second of all classes at connected proxies, smoothed over recent reports.
    fn connected_request_rate(&self) -> f64 {
        let connected = self.proxies.values().filter(|proxy| proxy.connected);
        connected.flat_map(|proxy| proxy.request_rates.values()).sum()
    }
}

/// The ratio to which a sum of attempts of this age decays, in (0, 1].
fn decay(age: Micros) -> f64 {
    0.5f64.powf(age as f64 / ATTEMPT_HALF_LIFE_MICROS)
}

/// Weight of a report over `period` in an exponential moving average with this time constant.
fn smoothing_gain(period: Micros, time_constant_micros: f64) -> f64 {
    1.0 - (-(period as f64) / time_constant_micros).exp()
}
