//! Passive outlier detection: ejects servers whose attempts fail and lowers the weight of slow servers.

use std::collections::BTreeMap;

use super::Policy;
use super::load::CONGESTED_LATENCY_RATIO;
use super::server::{Server, ZoneStats};
use super::slow_start::SLOW_START_WINDOW;
use crate::interface::{Action, Micros, ZoneId};

/// Number of consecutive failed attempts that eject a server.
const EJECTION_THRESHOLD_ATTEMPTS: f64 = 5.0;
/// Duration of a server's first ejection; it doubles with each further one.
const BASE_EJECTION_TIME: Micros = 4_000_000;
/// Upper bound of the duration of an ejection.
const MAX_EJECTION_TIME: Micros = 30_000_000;
/// Upper bound of the doublings, so that the shift does not overflow.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Offset into [`SLOW_START_WINDOW`] at which a server resumes after an ejection for failures: at 0.4 of its
/// weight, in all zones, as its process has not restarted. A slow start that has progressed less continues
/// unchanged.
const EJECTION_SLOW_START_OFFSET: Micros = SLOW_START_WINDOW / 3;

/// A server with a latency ratio below this never counts as slow.
const SLOW_LATENCY_RATIO: f64 = 0.3;
/// A server below this multiple of the fleet's median latency ratio never counts as slow.
const SLOW_TO_MEDIAN_RATIO: f64 = 1.2;
/// Number of attempts at the median latency ratio that are added to a server's own, so that a few slow
/// attempts change its weight little.
const PRIOR_ATTEMPTS: f64 = 6.0;
/// Weight of one update in the moving average that is the outlier weight.
const OUTLIER_WEIGHT_GAIN: f64 = 0.5;
/// Lower bound of the outlier weight.
const MIN_OUTLIER_WEIGHT: f64 = 0.2;
/// Lower bound of the interval between updates of the outlier weights; the report interval if that is longer.
const OUTLIER_WEIGHT_INTERVAL: Micros = 1_000_000;

/// State of outlier detection for the fleet; the state of each server is in its record.
#[derive(Default)]
pub(super) struct OutlierDetection {
    /// When the outlier weights were last updated.
    weights_updated_at: Micros,
}

/// Number of servers in the subsets of a zone.
#[derive(Default)]
struct ZoneServers {
    /// Servers that are listed as ready.
    ready: usize,
    /// Ready servers that may get traffic.
    usable: usize,
}

impl ZoneStats {
    /// Ejects the server from the zone's tables, for twice as long as the last time up to the maximum.
    fn eject(&mut self, now: Micros) {
        let doublings = self.ejection_count.min(MAX_EJECTION_DOUBLINGS);
        let duration = (BASE_EJECTION_TIME << doublings).min(MAX_EJECTION_TIME);
        self.ejected_until = Some(now + duration);
        self.ejection_count += 1;
    }

    /// Ends an ejection and resets the measurements, so that old failures do not eject the server again.
    fn uneject(&mut self, now: Micros) {
        let ejection_count = self.ejection_count;
        *self = ZoneStats { ejection_count, updated_at: now, ..ZoneStats::default() };
    }
}

impl Policy {
    /// Ejects servers from the tables of a zone after [`EJECTION_THRESHOLD_ATTEMPTS`] consecutive failed
    /// attempts of its proxies. Ends ejections whose time is over, unless a probe has failed since the last
    /// successful one.
    ///
    /// Guards against servers that hang or fail for the proxies of a zone, also if their probes succeed. A
    /// server is ejected only while more than half of the ready servers of the zone's subsets are usable. So
    /// ejections stop once half of them, rounded up, are unusable for any reason, and a zone's only server
    /// may be ejected. No server is ejected while the fleet is congested, as that would overload the others.
    /// Cost: a healthy server with few attempts may be ejected for some seconds.
    pub(super) fn eject_outliers(&mut self) {
        let mut zone_servers = self.count_zone_servers();
        let congested = self.load.current_latency_ratio >= CONGESTED_LATENCY_RATIO;
        for (id, server) in &mut self.servers {
            for (zone, stats) in &mut server.zone_stats {
                let ejection_over = stats.ejected_until.is_some_and(|until| self.now >= until);
                if ejection_over && !server.health.has_recent_failure() {
                    stats.uneject(self.now);
                    let slow_start_at = self.now.saturating_sub(EJECTION_SLOW_START_OFFSET);
                    server.slow_start_at = server.slow_start_at.max(slow_start_at);
                    self.actions.push(Action::Log(format!("uneject {id:?}: ejection time over")));
                }
                let zone_servers = zone_servers.entry(*zone).or_default();
                let failing = stats.ejected_until.is_none()
                    && stats.consecutive_failures >= EJECTION_THRESHOLD_ATTEMPTS;
                if failing && !congested && zone_servers.usable * 2 > zone_servers.ready {
                    zone_servers.usable -= 1;
                    stats.eject(self.now);
                    let failures = stats.consecutive_failures;
                    self.actions.push(Action::Log(format!("eject {id:?}: {failures} attempts failed")));
                }
            }
        }
    }

    /// Counts the ready and the usable servers in the subsets of each zone.
    fn count_zone_servers(&self) -> BTreeMap<ZoneId, ZoneServers> {
        let mut zones: BTreeMap<ZoneId, ZoneServers> = BTreeMap::new();
        for server in self.servers.values().filter(|server| server.is_ready()) {
            let zone = zones.entry(self.zone_of(server.subset)).or_default();
            zone.ready += 1;
            if self.usable_weight(server) > 0.0 {
                zone.usable += 1;
            }
        }
        zones
    }

    /// Lowers the weight of slow servers in proportion to their excess latency, and restores it as they
    /// recover.
    ///
    /// Guards against servers that are slow, paused or listed with too high a weight. Only the latency of
    /// attempts counts, so that a server is detected even if it reports to be idle. The effective weight of
    /// its zone falls as well, so that the zone borrows. Cost: load shifts to other servers; in a fleet of
    /// few servers the slow server itself may be the median and stay undetected.
    pub(super) fn update_outlier_weights(&mut self) {
        let median = self.load.current_latency_ratio;
        let interval = self.settings.report_period.max(OUTLIER_WEIGHT_INTERVAL);
        if median == 0.0 || self.now < self.outlier_detection.weights_updated_at + interval {
            return;
        }
        self.outlier_detection.weights_updated_at = self.now;
        let recent_since = self.load.recent_since(self.now);
        for server in self.servers.values_mut() {
            let target = target_outlier_weight(server, median, recent_since);
            server.outlier_weight += OUTLIER_WEIGHT_GAIN * (target - server.outlier_weight);
        }
    }
}

/// The ratio of its weight at which a server would no longer be slow, assuming that latency is proportional
/// to weight; at least [`MIN_OUTLIER_WEIGHT`].
fn target_outlier_weight(server: &Server, median: f64, recent_since: Micros) -> f64 {
    let mut latency = 0.0;
    let mut attempts = 0.0;
    for stats in server.zone_stats.values().filter(|stats| stats.updated_at >= recent_since) {
        latency += stats.latency_ratio() * stats.attempts;
        attempts += stats.attempts;
    }
    let latency = latency + median * PRIOR_ATTEMPTS;
    let acceptable_ratio = SLOW_LATENCY_RATIO.max(median * SLOW_TO_MEDIAN_RATIO);
    let acceptable_latency = acceptable_ratio * (attempts + PRIOR_ATTEMPTS);
    let target = if latency > acceptable_latency { acceptable_latency / latency } else { 1.0 };
    target.max(MIN_OUTLIER_WEIGHT)
}
