//! Active health checks: when servers are probed, and when the results make a server unhealthy or healthy
//! again.

use super::{Policy, ROUND_PERIOD};
use crate::interface::{Action, Micros, ProbeOutcome, ServerId, ZoneId};

/// Shortest interval between probes of a healthy server.
const MIN_PROBE_INTERVAL: Micros = 1_000_000;
/// Longest interval between probes of a healthy server, and the wait for the result of a suspect's probe.
const MAX_PROBE_INTERVAL: Micros = 8_000_000;
/// Interval between a suspect server's probe result and its next probe.
const SUSPECT_PROBE_INTERVAL: Micros = 400_000;
/// Upper bound of the probes per second, as a ratio of the fleet's goodput; limits the load that probes add.
const MAX_PROBE_TO_GOODPUT_RATIO: f64 = 0.15;
/// Number of consecutive failed probes that make a server unhealthy.
const UNHEALTHY_THRESHOLD: u32 = 3;
/// Number of consecutive successful probes that make an unhealthy server healthy.
const HEALTHY_THRESHOLD: u32 = 2;
/// Weight of one probe in the exponential moving average of the ratio of rejected probes.
const REJECTED_RATIO_GAIN: f64 = 0.1;
/// Above this ratio of rejected probes the fleet counts as saturated. Rejections show this seconds before the
/// proxies' reports show congestion.
const SATURATED_REJECTED_RATIO: f64 = 0.5;

/// The status of a server by its active health checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HealthStatus {
    /// May get traffic; the status before the first result, too.
    #[default]
    Healthy,
    /// Gets no traffic.
    Unhealthy,
}

/// State of a server's active health checks.
#[derive(Default)]
pub(super) struct HealthState {
    status: HealthStatus,
    consecutive_failures: u32,
    consecutive_successes: u32,
    next_probe_at: Micros,
}

impl HealthState {
    /// Creates the state of a healthy server that is first probed at this time.
    pub(super) fn first_probe_at(next_probe_at: Micros) -> Self {
        HealthState { next_probe_at, ..HealthState::default() }
    }

    /// True: the server gets no traffic because its probes failed.
    pub(super) fn is_unhealthy(&self) -> bool {
        self.status == HealthStatus::Unhealthy
    }

    /// True: a probe has failed since the last successful one. Rejected probes do not count as failures.
    pub(super) fn has_recent_failure(&self) -> bool {
        self.consecutive_failures > 0
    }

    fn is_suspect(&self) -> bool {
        self.has_recent_failure() || self.is_unhealthy()
    }

    /// Counts a result. A rejected probe shows a server that drains or is busy, not a fault, and is not
    /// counted.
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

/// Probe results of the whole fleet.
#[derive(Default)]
pub(super) struct FleetProbes {
    /// Ratio of recent probes to ready servers that were rejected, as a moving average.
    rejected_ratio: f64,
}

impl FleetProbes {
    /// True: servers rejected more than [`SATURATED_REJECTED_RATIO`] of recent probes, so most are probably
    /// at their concurrency limit.
    pub(super) fn indicate_saturation(&self) -> bool {
        self.rejected_ratio > SATURATED_REJECTED_RATIO
    }

    fn record(&mut self, outcome: ProbeOutcome) {
        let rejected = if outcome == ProbeOutcome::Rejected { 1.0 } else { 0.0 };
        self.rejected_ratio += REJECTED_RATIO_GAIN * (rejected - self.rejected_ratio);
    }
}

impl Policy {
    /// Records a probe's result. A suspect server, which is unhealthy or failed its last counted probe, is
    /// probed again after [`SUSPECT_PROBE_INTERVAL`].
    pub(super) fn record_probe_result(&mut self, server: ServerId, outcome: ProbeOutcome) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        if server.is_ready() {
            self.fleet_probes.record(outcome);
        }
        server.health.record(outcome);
        if server.health.is_suspect() {
            server.health.next_probe_at = self.now + SUSPECT_PROBE_INTERVAL;
        }
    }

    /// Marks a zone's servers as healthy when its first proxy connects again. This happens without slow start
    /// and without a log line.
    ///
    /// Probes that failed while no proxy of the zone was connected may show only a network partition between
    /// this conductor and the zone, not unhealthy servers.
    pub(super) fn reset_zone_health(&mut self, zone: ZoneId) {
        for server in self.servers.values_mut().filter(|server| server.zone() == zone) {
            server.health.consecutive_failures = 0;
            server.health.status = HealthStatus::Healthy;
        }
    }

    /// When to probe a new server first. The first probes of servers that are added together are spread over
    /// [`MIN_PROBE_INTERVAL`].
    pub(super) fn first_probe_at(&self) -> Micros {
        self.now + (self.servers.len() as u64 * ROUND_PERIOD) % MIN_PROBE_INTERVAL
    }

    /// Marks servers as unhealthy whose probes fail, and as healthy whose probes succeed again; the latter
    /// get a slow start.
    ///
    /// Guards against servers that have stopped, hang or are unreachable. A server with recent successful
    /// attempts stays healthy, as probes also fail by waiting in the queue of a busy server. If at least half
    /// of the fleet's servers and at least half of the local zone's fail their probes, the fault is probably
    /// this conductor's own network: no server becomes unhealthy, and all unhealthy ones become healthy (also
    /// logged as `probes succeed`). Cost: a zone that is partitioned together with its proxies counts as
    /// unhealthy until [`Policy::reset_zone_health`].
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

    /// True: fewer than half of the fleet's ready servers, or fewer than half of the local zone's, have
    /// reached [`UNHEALTHY_THRESHOLD`]. Otherwise failed probes probably show a fault of this conductor's
    /// network.
    fn probes_are_trusted(&self) -> bool {
        self.minority_at_unhealthy_threshold(None)
            || self.minority_at_unhealthy_threshold(Some(self.settings.local_zone))
    }

    /// True: fewer than half of the zone's ready servers have reached [`UNHEALTHY_THRESHOLD`]; `None`: of the
    /// fleet's. False without ready servers.
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

    /// Sends the probes that are due. Cost: a hung server that gets no attempts may be detected
    /// [`MAX_PROBE_INTERVAL`] late.
    pub(super) fn send_probes(&mut self) {
        if !self.settings.active_health_checks {
            return;
        }
        let interval = self.probe_interval();
        for server in self.servers.values_mut().filter(|server| server.is_ready()) {
            if self.now < server.health.next_probe_at {
                continue;
            }
            // The result of a suspect's probe schedules its next one. This interval applies if no result
            // arrives.
            let interval = if server.health.is_suspect() { MAX_PROBE_INTERVAL } else { interval };
            server.health.next_probe_at = self.now + interval;
            self.actions.push(Action::Probe { server: server.endpoint.server });
        }
    }

    /// The interval at which the probes of all servers stay within [`MAX_PROBE_TO_GOODPUT_RATIO`], between
    /// [`MIN_PROBE_INTERVAL`] and [`MAX_PROBE_INTERVAL`].
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
