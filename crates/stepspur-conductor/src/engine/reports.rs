//! Validates load reports of proxies and collectors and passes them on.

use stepspur::interface::{ClassId, Event, Micros, ProxyId, ServerId, ZoneId};
use stepspur_proto::{server_address, v1};

use super::input::RequestCounts;
use super::output::LogEvent;
use super::report_aggregator::{ReportKey, ReportSums};
use super::state::Engine;

/// Maximum age of the start of a report's time span, in microseconds; also the maximum latency in a report.
const MAX_REPORT_AGE: Micros = 600_000_000;
/// Maximum number of entries in one report.
const MAX_REPORT_ENTRIES: usize = 20_000;

/// Why a report, a part of it or an acknowledgement is skipped. The message is logged.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(super) enum InvalidReport {
    #[error("the report refers to update {sequence}, which does not exist: the newest is {newest}")]
    FutureUpdate { sequence: u64, newest: u64 },
    #[error("no acknowledgement of nonce {nonce} is pending")]
    UnexpectedNonce { nonce: u32 },
    #[error("invalid extent: the report starts {age_us} us ago and has {entries} entries")]
    InvalidExtent { age_us: Micros, entries: usize },
    #[error("missing or unknown server address")]
    UnknownServer,
    #[error("implausible upstream counts: {errors} errors of {total}, latency {latency_us} us")]
    ImplausibleUpstream { total: u32, errors: u32, latency_us: u64 },
    #[error("an upstream load value is negative or not finite")]
    InvalidLoad,
    #[error("unknown request class {class}")]
    UnknownClass { class: u32 },
    #[error("implausible client counts: {errors} errors of {total}")]
    ImplausibleClient { total: u32, errors: u32 },
}

/// The time span that a report covers.
#[derive(Clone, Copy)]
struct TimeSpan {
    /// Start, in microseconds of the engine's clock.
    from: Micros,
    /// End, in microseconds of the engine's clock.
    to: Micros,
}

/// Attempts of a zone's proxies at one server, summed by a collector.
pub(super) struct UpstreamReport {
    pub(super) server: ServerId,
    pub(super) zone: ZoneId,
    /// Time over which the attempts were counted, in microseconds.
    pub(super) period: Micros,
    pub(super) attempts: RequestCounts,
    /// Mean latency of the successful attempts, in microseconds.
    pub(super) latency: Micros,
    /// Values of the configured load columns, empty if none.
    pub(super) load: Vec<f32>,
}

impl Engine {
    /// Handles a connected proxy's load report. An implausible time span or size rejects the whole report;
    /// each invalid entry is skipped alone.
    pub(super) fn handle_report(&mut self, now: Micros, proxy: ProxyId, report: v1::Report) {
        let to = now.saturating_sub(report.age_us);
        let span = TimeSpan { from: to.saturating_sub(report.period_us), to };
        let age_us = now - span.from;
        let entries = report.met.len() + report.came.len();
        if report.period_us == 0 || age_us > MAX_REPORT_AGE || entries > MAX_REPORT_ENTRIES {
            return self.reject_report(proxy, &InvalidReport::InvalidExtent { age_us, entries });
        }
        let zone = self.streams.zone(proxy).unwrap_or_default();
        for upstream in report.met {
            match self.upstream_sums(upstream, span) {
                Ok((server, sums)) => self.reports.add(ReportKey::Upstream { server, zone }, sums),
                Err(error) => self.reject_report(proxy, &error),
            }
        }
        for client in report.came {
            match self.client_sums(&client, span) {
                Ok((class, sums)) => self.reports.add(ReportKey::Client { proxy, class }, sums),
                Err(error) => self.reject_report(proxy, &error),
            }
        }
    }

    /// Validates a proxy's measurements of one server.
    fn upstream_sums(
        &self,
        upstream: v1::Met,
        span: TimeSpan,
    ) -> Result<(ServerId, ReportSums), InvalidReport> {
        let v1::Met { total, errors, latency_us, .. } = upstream;
        let address = server_address(&upstream.server).ok();
        let server = address.and_then(|address| self.endpoints.server_at(address));
        let server = server.ok_or(InvalidReport::UnknownServer)?;
        if !upstream.load.iter().all(|value| value.is_finite() && *value >= 0.0) {
            return Err(InvalidReport::InvalidLoad);
        }
        if latency_us > MAX_REPORT_AGE || errors > total || total == 0 {
            return Err(InvalidReport::ImplausibleUpstream { total, errors, latency_us });
        }
        let successes = u64::from(total - errors);
        let sums = ReportSums {
            from: span.from,
            to: span.to,
            total: u64::from(total),
            errors: u64::from(errors),
            latency_sum: successes as f64 * latency_us as f64,
            load: upstream.load,
        };
        Ok((server, sums))
    }

    /// Validates a proxy's counts of the requests of one class.
    fn client_sums(&self, client: &v1::Came, span: TimeSpan) -> Result<(ClassId, ReportSums), InvalidReport> {
        let v1::Came { class, total, errors, .. } = *client;
        let id = u8::try_from(class).map_err(|_| InvalidReport::UnknownClass { class })?;
        if usize::from(id) >= self.config.fleet.classes.len() {
            return Err(InvalidReport::UnknownClass { class });
        }
        if errors > total {
            return Err(InvalidReport::ImplausibleClient { total, errors });
        }
        let sums = ReportSums {
            from: span.from,
            to: span.to,
            total: u64::from(total),
            errors: u64::from(errors),
            ..ReportSums::default()
        };
        Ok((ClassId(id), sums))
    }

    /// Passes a collector's sums on to the decision module; those of an unknown server are counted as
    /// invalid.
    pub(super) fn handle_upstream_stats(&mut self, report: UpstreamReport) {
        let UpstreamReport { server, zone, period, attempts, latency, load } = report;
        if !self.endpoints.contains(server) {
            self.stats.invalid_inputs += 1;
            return;
        }
        let RequestCounts { total, errors } = attempts;
        self.batch.push(Event::UpstreamStats {
            server,
            zone,
            period,
            attempts: total,
            failed_attempts: errors,
            latency,
            load,
        });
    }

    /// Passes a collector's counts of client requests on to the decision module; those of a proxy that is not
    /// connected are ignored.
    pub(super) fn handle_client_stats(
        &mut self,
        proxy: ProxyId,
        class: ClassId,
        period: Micros,
        requests: RequestCounts,
    ) {
        let RequestCounts { total, errors } = requests;
        if self.streams.stream(proxy).is_some() {
            self.batch.push(Event::ClientStats { proxy, class, period, requests: total, unanswered: errors });
        }
    }

    /// Counts and logs an invalid report, or part of one, of a connected proxy.
    pub(super) fn reject_report(&mut self, proxy: ProxyId, error: &InvalidReport) {
        let proxy = self.proxy_name(proxy);
        self.record_invalid_report(proxy, error.to_string());
    }

    /// Counts and logs invalid input; `proxy` is the sender's name.
    pub(super) fn record_invalid_report(&mut self, proxy: String, reason: String) {
        self.stats.invalid_inputs += 1;
        self.log(LogEvent::InvalidReport { proxy, reason });
    }
}
