//! Passive outlier detection: ejection of servers that fail, and lower weights for slow ones.

use std::collections::BTreeMap;

use super::Policy;
use super::load::CONGESTED_LATENCY_RATIO;
use super::server::{Server, ZoneStats};
use super::slow_start::SLOW_START_SPAN;
use crate::interface::{Action, Micros, ZoneId};

/// Consecutive failed attempts that eject a server.
const EJECTION_THRESHOLD_ATTEMPTS: f64 = 5.0;
/// Duration of the first ejection; it doubles with each further one.
const BASE_EJECTION_TIME: Micros = 4_000_000;
/// Longest ejection.
const MAX_EJECTION_TIME: Micros = 30_000_000;
/// Bound of the doublings, against overflow.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// After an ejection for failures a server resumes its slow start here, in microseconds into
/// [`SLOW_START_SPAN`]: at 0.4 of its weight, in all zones, as its process has not restarted. A slow start
/// that began later than that goes on unchanged.
const SLOW_START_HEAD_START: Micros = SLOW_START_SPAN / 3;

/// A server below this latency ratio is not slow.
const SLOW_LATENCY_RATIO: f64 = 0.3;
/// A server below this multiple of the median latency ratio is not slow.
const SLOW_TO_MEDIAN_RATIO: f64 = 1.2;
/// Attempts at the median latency ratio that are added to a server's own, so that a few slow ones move
/// little.
const PRIOR_ATTEMPTS: f64 = 6.0;
/// Smoothing factor of the outlier weight, per update.
const OUTLIER_WEIGHT_GAIN: f64 = 0.5;
/// Least outlier weight that an update aims at.
const MIN_OUTLIER_WEIGHT: f64 = 0.2;
/// Least interval between updates of the outlier weights.
const OUTLIER_WEIGHT_INTERVAL: Micros = 1_000_000;

/// State of outlier detection beside each server's.
#[derive(Default)]
pub(super) struct OutlierDetection {
    /// When the outlier weights were last updated.
    weights_updated_at: Micros,
}

/// Servers that the subsets of a zone hold.
#[derive(Default)]
struct ZoneServers {
    ready: usize,
    /// Those of the ready ones that get traffic.
    usable: usize,
}

impl ZoneStats {
    /// Ejects the server from the zone's tables.
    fn eject(&mut self, now: Micros) {
        let doublings = self.ejection_count.min(MAX_EJECTION_DOUBLINGS);
        let duration = (BASE_EJECTION_TIME << doublings).min(MAX_EJECTION_TIME);
        self.ejected_until = Some(now + duration);
        self.ejection_count += 1;
    }

    /// Ends an ejection; measurements start anew.
    fn uneject(&mut self, now: Micros) {
        let ejection_count = self.ejection_count;
        *self = ZoneStats { ejection_count, updated_at: now, ..ZoneStats::default() };
    }
}

impl Policy {
    /// Ejects servers from the tables of a zone whose proxies only meet failures there, and ends ejections
    /// that are over unless a probe has failed since the last success.
    ///
    /// Guards against servers that hang or fail for the proxies of a zone, whatever their probes say. A
    /// server is ejected only while more than half of the ready servers of the zone's subsets are usable: so
    /// ejections stop once half of them, rounded up, are unusable for whatever reason, and a zone's only
    /// server may be ejected. None is ejected while the fleet is congested: that would overload the rest.
    /// Cost: a server with few attempts may be out for some seconds without need.
    pub(super) fn eject_outliers(&mut self) {
        let mut zone_servers = self.count_zone_servers();
        let congested = self.load.current_latency_ratio >= CONGESTED_LATENCY_RATIO;
        for (id, server) in &mut self.servers {
            for (zone, stats) in &mut server.zone_stats {
                let ejection_over = stats.ejected_until.is_some_and(|until| self.now >= until);
                if ejection_over && !server.health.has_recent_failure() {
                    stats.uneject(self.now);
                    let slow_start_at = self.now.saturating_sub(SLOW_START_HEAD_START);
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

    /// Lowers the weight of slow servers by as much as they are too slow, and restores it as they recover.
    ///
    /// Guards against servers that are slow, paused or listed with too high a weight, also those that report
    /// to be idle, as only attempts count. A slow server counts for less in its zone, too, so that the zone
    /// borrows. Cost: it moves weight; with few servers the median itself is the slow one.
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

/// The part of its weight at which a server would be no longer slow, were latency proportional to weight.
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
