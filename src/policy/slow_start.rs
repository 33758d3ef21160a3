//! Slow start: weight of servers that have just started or returned, and protection of those still warming
//! up.

use super::Policy;
use super::load::{CONGESTED_LATENCY_RATIO, OVERLOADED_LATENCY_RATIO};
use super::server::Server;
use crate::interface::{Endpoint, Micros, ZoneId};

/// Time from the first traffic to full weight.
pub(super) const SLOW_START_SPAN: Micros = 10_000_000;
/// Weight at the start of a slow start, as a ratio of the full one.
const INITIAL_WEIGHT_RATIO: f64 = 0.1;
/// Least weight of a server that is warming up, as a ratio of the full one.
const MIN_WARMING_WEIGHT_RATIO: f64 = INITIAL_WEIGHT_RATIO / 4.0;
/// A new server gets no traffic for this part of the warm-up time.
const HOLD_OFF_RATIO: f64 = 0.12;
/// Below this part of its warm-up time a server gets no traffic from an overloaded fleet.
const OVERLOAD_WARM_UP_RATIO: f64 = 0.65;
/// Below this part a server gets no traffic from a congested fleet or zone: proxies avoid servers after a run
/// of failures, so that a warming one would take their share.
const CONGESTION_WARM_UP_RATIO: f64 = 0.9;
/// The part of a warming server's collapse load that it may get.
const SAFE_LOAD_RATIO: f64 = 0.65;

impl Policy {
    /// When a listed server may begin its slow start; 0: it is not warming up.
    pub(super) fn listed_slow_start_at(&self, endpoint: &Endpoint) -> Micros {
        let started_at = endpoint.started_at;
        if started_at == 0 || started_at + self.settings.warm_up <= self.now {
            return 0;
        }
        started_at + (self.settings.warm_up as f64 * HOLD_OFF_RATIO) as Micros
    }

    /// The ratio of its weight that a server has reached since its start or return: grows from
    /// [`INITIAL_WEIGHT_RATIO`] to 1 over [`SLOW_START_SPAN`].
    pub(super) fn slow_start_ratio(&self, server: &Server) -> f64 {
        if server.slow_start_at == 0 {
            return 1.0;
        }
        let progress = self.now.saturating_sub(server.slow_start_at) as f64 / SLOW_START_SPAN as f64;
        (INITIAL_WEIGHT_RATIO + (1.0 - INITIAL_WEIGHT_RATIO) * progress).min(1.0)
    }

    /// The part of its warm-up time that has passed; above 1 once it is warm.
    fn warm_up_progress(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.endpoint.started_at);
        age as f64 / self.settings.warm_up.max(1) as f64
    }

    fn is_below_warm_up(&self, server: &Server, ratio: f64) -> bool {
        server.endpoint.started_at > 0 && self.warm_up_progress(server) < ratio
    }

    /// True: the server has started less than the warm-up time ago.
    pub(super) fn is_warming_up(&self, server: &Server) -> bool {
        self.is_below_warm_up(server, 1.0)
    }

    /// True: a warming server gets no traffic from a zone's proxies for now.
    ///
    /// Guards against overloading warming servers while the fleet is overloaded, or may be: probes show full
    /// servers, or reports came late. Cost: a release under overload regains its capacity later; ends where
    /// warming servers can serve what is admitted ([`Policy::warming_servers_suffice`]).
    pub(super) fn is_held_back(&self, server: &Server, zone: ZoneId) -> bool {
        if self.admission.warming_servers_suffice {
            return false;
        }
        let overload_likely = self.load.latency_ratio > OVERLOADED_LATENCY_RATIO
            || self.fleet_probes.show_full_servers()
            || self.now < self.load.late_reports_until;
        if overload_likely && self.is_below_warm_up(server, OVERLOAD_WARM_UP_RATIO) {
            return true;
        }
        self.is_below_warm_up(server, CONGESTION_WARM_UP_RATIO) && self.is_congested(zone)
    }

    /// True: the fleet or the zone is congested.
    fn is_congested(&self, zone: ZoneId) -> bool {
        let zone_ratio = self.load.zone_latency_ratio.get(&zone).copied().unwrap_or(0.0);
        zone_ratio.max(self.load.latency_ratio) > CONGESTED_LATENCY_RATIO
    }

    /// [`Policy::slow_start_ratio`], lowered while the server warms up so that its load stays safe. A table's
    /// line is listed weight × outlier weight × this.
    ///
    /// `load_per_weight` is the load that a server of full weight would get, as a multiple of its capacity,
    /// were the fleet fully loaded. Guards against overload of servers that have just started, at releases
    /// and when whole zones restart. Cost: they reach their full weight later.
    pub(super) fn load_limited_slow_start_ratio(&self, server: &Server, load_per_weight: f64) -> f64 {
        let ratio = self.slow_start_ratio(server);
        if !self.is_warming_up(server) {
            return ratio;
        }
        let initial = self.settings.initial_capacity_ratio;
        let capacity = initial + (1.0 - initial) * self.warm_up_progress(server);
        let safe_load = SAFE_LOAD_RATIO * self.settings.collapse_ratio * capacity;
        ratio.min(safe_load / load_per_weight.max(1e-9)).max(MIN_WARMING_WEIGHT_RATIO)
    }

    /// True: warming servers can serve their part of the admitted ratio of requests, at their initial
    /// capacity and measured by the peak goodput.
    ///
    /// Guards against a deadlock: servers that all conductors hold back because the rest are overloaded keep
    /// the rest overloaded. Cost: a wrong goodput exposes warming servers; their weight stays bounded.
    pub(super) fn warming_servers_suffice(&self, admitted_ratio: f64) -> bool {
        let mut weight = 0.0;
        let mut capacity = 0.0;
        for server in self.servers.values().filter(|server| server.is_ready()) {
            let warm = !self.is_warming_up(server);
            let capacity_ratio = if warm { 1.0 } else { self.settings.initial_capacity_ratio };
            weight += server.endpoint.weight;
            capacity += server.endpoint.weight * capacity_ratio;
        }
        let request_rate = self.load.usual_request_rate();
        let peak_goodput = self.load.goodput.peak_per_second;
        request_rate > 0.0 && admitted_ratio * request_rate * weight < peak_goodput * capacity
    }
}
