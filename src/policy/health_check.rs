//! Active health checks: when to probe a server, and when probes take it out of service and bring it back.

use super::{Policy, ROUND_PERIOD};
use crate::interface::{Action, Micros, ProbeOutcome, ServerId, ZoneId};

/// Least interval between probes of a healthy server.
const MIN_PROBE_INTERVAL: Micros = 1_000_000;
/// Longest interval, also of a probe without result.
const MAX_PROBE_INTERVAL: Micros = 8_000_000;
/// Interval while a server's probes fail.
const SUSPECT_PROBE_INTERVAL: Micros = 400_000;
/// Probes sent are at most this ratio of the goodput.
const MAX_PROBE_TO_GOODPUT_RATIO: f64 = 0.15;
/// Consecutive failures that make a server unhealthy.
const UNHEALTHY_THRESHOLD: u32 = 3;
/// Consecutive successes that make it healthy again.
const HEALTHY_THRESHOLD: u32 = 2;
/// Smoothing factor, per probe, of the ratio of rejected probes.
const REJECTED_RATIO_GAIN: f64 = 0.1;
/// Above this ratio of rejected probes servers are full, seconds before reports show congestion.
const FULL_REJECTED_RATIO: f64 = 0.5;

/// Whether a server's probes allow its use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HealthStatus {
    #[default]
    Healthy,
    /// Out of service.
    Unhealthy,
}

/// Results of a server's active health checks.
#[derive(Default)]
pub(super) struct HealthState {
    status: HealthStatus,
    consecutive_failures: u32,
    consecutive_successes: u32,
    next_probe_at: Micros,
}

impl HealthState {
    /// A healthy server that is first probed at this time.
    pub(super) fn first_probe_at(next_probe_at: Micros) -> Self {
        HealthState { next_probe_at, ..HealthState::default() }
    }

    /// True: out of service.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.status == HealthStatus::Unhealthy
    }

    /// True: a probe has failed since the last success; rejected probes do not count.
    pub(super) fn has_recent_failure(&self) -> bool {
        self.consecutive_failures > 0
    }

    fn is_suspect(&self) -> bool {
        self.has_recent_failure() || self.is_unhealthy()
    }

    /// A rejected probe is no evidence about the server's health, and changes nothing.
    fn record(&mut self, outcome: ProbeOutcome) {
        match outcome {
            ProbeOutcome::Ok => {
                self.consecutive_successes += 1;
                self.consecutive_failures = 0;
            }
            ProbeOutcome::Rejected => {}
            ProbeOutcome::Error | ProbeOutcome::Timeout | ProbeOutcome::Unreachable | ProbeOutcome::Reset => {
                self.consecutive_successes = 0;
                self.consecutive_failures += 1;
            }
        }
    }
}

/// What probes show about the fleet.
#[derive(Default)]
pub(super) struct FleetProbes {
    /// Ratio of recent probes that ready servers rejected.
    rejected_ratio: f64,
}

impl FleetProbes {
    /// True: most probes of late were rejected, so that servers are likely full.
    pub(super) fn show_full_servers(&self) -> bool {
        self.rejected_ratio > FULL_REJECTED_RATIO
    }

    fn record(&mut self, outcome: ProbeOutcome) {
        let rejected = if outcome == ProbeOutcome::Rejected { 1.0 } else { 0.0 };
        self.rejected_ratio += REJECTED_RATIO_GAIN * (rejected - self.rejected_ratio);
    }
}

impl Policy {
    /// Records a probe's result, and probes a suspect server sooner.
    pub(super) fn learn_probe(&mut self, server: ServerId, outcome: ProbeOutcome) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        if server.is_ready() {
            self.fleet_probes.record(outcome);
        }
        server.health.record(outcome);
        if server.health.is_suspect() {
            server.health.next_probe_at = self.now + SUSPECT_PROBE_INTERVAL;
        }
    }

    /// What probes said of a zone's servers while its proxies were away may only have shown that the zone was
    /// cut off from here. Its servers are healthy again at once, without slow start and without a line in the
    /// log.
    pub(super) fn reset_zone_health(&mut self, zone: ZoneId) {
        for server in self.servers.values_mut().filter(|server| server.zone() == zone) {
            server.health.consecutive_failures = 0;
            server.health.status = HealthStatus::Healthy;
        }
    }

    /// When to probe a new server first: servers of one list are spread over the interval.
    pub(super) fn first_probe_at(&self) -> Micros {
        self.now + (self.servers.len() as u64 * ROUND_PERIOD) % MIN_PROBE_INTERVAL
    }

    /// Takes servers out of service whose probes fail, and brings back those whose probes succeed again.
    ///
    /// Guards against servers that are gone, silent or unreachable from here. Reports that show responses
    /// outweigh probes, as probes wait in the queue of a busy server. Where half of the fleet and half of the
    /// local zone fail, the fault is likely on this side: nobody is taken out, and all that were out return
    /// (logged as `probes succeed`, too). Cost: a zone that is cut off together with its proxies looks dead;
    /// [`Policy::reset_zone_health`] ends that.
    pub(super) fn update_health(&mut self) {
        let trusted = self.probes_are_trusted();
        let period = self.settings.report_period;
        let reported_since = self.now.saturating_sub(period + period / 2);
        for server in self.servers.values_mut() {
            let id = server.endpoint.server;
            let health = &mut server.health;
            match health.status {
                HealthStatus::Unhealthy if health.consecutive_successes >= HEALTHY_THRESHOLD || !trusted => {
                    health.status = HealthStatus::Healthy;
                    server.slow_start_at = server.slow_start_at.max(self.now);
                    self.actions.push(Action::Log(format!("uneject {id:?}: probes succeed")));
                }
                HealthStatus::Healthy
                    if trusted
                        && health.consecutive_failures >= UNHEALTHY_THRESHOLD
                        && server.last_success_at < reported_since =>
                {
                    health.status = HealthStatus::Unhealthy;
                    self.actions.push(Action::Log(format!("eject {id:?}: probes fail")));
                }
                _ => {}
            }
        }
    }

    /// True: fewer than half of all ready servers, or of the local zone's, are at [`UNHEALTHY_THRESHOLD`].
    fn probes_are_trusted(&self) -> bool {
        self.minority_at_unhealthy_threshold(None)
            || self.minority_at_unhealthy_threshold(Some(self.settings.local_zone))
    }

    fn minority_at_unhealthy_threshold(&self, zone: Option<ZoneId>) -> bool {
        let mut ready = 0;
        let mut failing = 0;
        for server in self.servers.values().filter(|server| server.is_ready()) {
            if zone.is_some_and(|zone| server.zone() != zone) {
                continue;
            }
            ready += 1;
            if server.health.consecutive_failures >= UNHEALTHY_THRESHOLD {
                failing += 1;
            }
        }
        failing * 2 < ready
    }

    /// Sends the probes that are due. Cost: a silent server that gets no attempts is found up to
    /// [`MAX_PROBE_INTERVAL`] late.
    pub(super) fn send_probes(&mut self) {
        if !self.settings.health_checks {
            return;
        }
        let interval = self.probe_interval();
        for server in self.servers.values_mut().filter(|server| server.is_ready()) {
            if self.now < server.health.next_probe_at {
                continue;
            }
            // The result of a suspect's probe sets the next one; this interval serves if none comes.
            let interval = if server.health.is_suspect() { MAX_PROBE_INTERVAL } else { interval };
            server.health.next_probe_at = self.now + interval;
            self.actions.push(Action::Probe { server: server.endpoint.server });
        }
    }

    /// The interval at which probes of all servers stay within their ratio of the goodput.
    fn probe_interval(&self) -> Micros {
        let goodput = self.load.goodput.per_second;
        if goodput <= 0.0 {
            return MIN_PROBE_INTERVAL;
        }
        let probes_per_second = (MAX_PROBE_TO_GOODPUT_RATIO * goodput).max(1e-9);
        let interval = self.servers.len() as f64 / probes_per_second * 1e6;
        (interval as Micros).clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL)
    }
}
