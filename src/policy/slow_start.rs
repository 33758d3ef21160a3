//! Slow start: raises the weight of servers that have started or returned step by step, and protects servers
//! that are still warming up from overload.

use super::Policy;
use super::load::{CONGESTED_LATENCY_RATIO, OVERLOADED_LATENCY_RATIO};
use super::server::Server;
use crate::interface::{Endpoint, Micros, ZoneId};

/// Time in which a server's weight grows from [`INITIAL_WEIGHT_RATIO`] to its full value.
pub(super) const SLOW_START_WINDOW: Micros = 10_000_000;
/// Weight at the beginning of a slow start, as a ratio of the full weight.
const INITIAL_WEIGHT_RATIO: f64 = 0.1;
/// Lower bound of the weight of a server that is warming up, as a ratio of the full weight.
const MIN_WARMING_WEIGHT_RATIO: f64 = INITIAL_WEIGHT_RATIO / 4.0;
/// Time after its start during which a server gets no traffic, as a ratio of the warm-up time.
const WARM_UP_HOLD_OFF_RATIO: f64 = 0.12;
/// While the fleet is overloaded, a server gets no traffic before this ratio of its warm-up time has passed.
const MIN_WARM_UP_RATIO_OVERLOADED: f64 = 0.65;
/// While the fleet or the zone is congested, a server gets no traffic before this ratio of its warm-up time
/// has passed. Proxies then avoid servers after consecutive failures, and a warming server would get the load
/// of those.
const MIN_WARM_UP_RATIO_CONGESTED: f64 = 0.9;
/// Upper bound of the load of a warming server, as a ratio of the load at which it collapses.
const SAFE_LOAD_RATIO: f64 = 0.65;
/// Upper bound of the expected load of the servers of a table with warming ones while the fleet may be
/// overloaded, as a multiple of their present capacity.
const MAX_UTILIZATION: f64 = 1.5;
/// Upper bound of the fleet's load, as a multiple of the capacity of the remaining servers, at which warming
/// ones may be excluded if all that remain are warm.
const MAX_WARM_UTILIZATION: f64 = 2.5;

impl Policy {
    /// When a listed server begins its slow start: after the hold-off that follows its start. 0: it is warm.
    pub(super) fn listed_slow_start_at(&self, endpoint: &Endpoint) -> Micros {
        let started_at = endpoint.started_at;
        if started_at == 0 || started_at + self.settings.warm_up <= self.now {
            return 0;
        }
        started_at + (self.settings.warm_up as f64 * WARM_UP_HOLD_OFF_RATIO) as Micros
    }

    /// The ratio of its full weight that a server has reached in its slow start: grows linearly from
    /// [`INITIAL_WEIGHT_RATIO`] to 1 over [`SLOW_START_WINDOW`]. While the server warms up it is at most its
    /// capacity ratio.
    ///
    /// Guards against a server that counts as much as a warm one, in tables, sums and lending, while its
    /// capacity is still reduced. Cost: tables with warming servers spill over for longer.
    pub(super) fn slow_start_ratio(&self, server: &Server) -> f64 {
        let capacity_ratio = self.capacity_ratio(server);
        if server.slow_start_at == 0 {
            return capacity_ratio;
        }
        let progress = self.now.saturating_sub(server.slow_start_at) as f64 / SLOW_START_WINDOW as f64;
        (INITIAL_WEIGHT_RATIO + (1.0 - INITIAL_WEIGHT_RATIO) * progress).min(capacity_ratio)
    }

    /// Time since the server's start as a ratio of the warm-up time; 1 or more once it is warm.
    fn warm_up_progress(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.endpoint.started_at);
        age as f64 / self.settings.warm_up.max(1) as f64
    }

    /// True: less than this ratio of the server's warm-up time has passed. A server with start time 0 is
    /// warm.
    fn is_below_warm_up(&self, server: &Server, ratio: f64) -> bool {
        server.endpoint.started_at > 0 && self.warm_up_progress(server) < ratio
    }

    /// True: the server started less than the warm-up time ago, so that its capacity may still be reduced.
    pub(super) fn is_warming_up(&self, server: &Server) -> bool {
        self.is_below_warm_up(server, 1.0)
    }

    /// True: a warming server gets no traffic from the proxies of a zone for now.
    ///
    /// Guards against the collapse of warming servers while the fleet is overloaded or probably is, that is,
    /// while probes indicate saturation or soon after a gap in reports. Cost: a release under overload
    /// regains its capacity later. The rule does not apply while warming servers can serve their part of what
    /// is admitted ([`Policy::warming_servers_suffice`]), nor while the others could not carry the load
    /// ([`Policy::update_warming_exclusion`]).
    pub(super) fn is_excluded_while_warming(&self, server: &Server, zone: ZoneId) -> bool {
        if self.admission.warming_servers_suffice || !self.others_carry_the_load {
            return false;
        }
        let overload_likely = self.load.latency_ratio > OVERLOADED_LATENCY_RATIO
            || self.fleet_probes.indicate_saturation()
            || self.now < self.load.late_reports_until;
        if overload_likely && self.is_below_warm_up(server, MIN_WARM_UP_RATIO_OVERLOADED) {
            return true;
        }
        self.is_below_warm_up(server, MIN_WARM_UP_RATIO_CONGESTED) && self.is_congested(zone)
    }

    /// Decides whether warming servers may be excluded: only while all servers that would never be excluded
    /// can carry the fleet's load.
    ///
    /// Guards against the collapse of nearly warm servers that get the load of the excluded ones.
    pub(super) fn update_warming_exclusion(&mut self) {
        let remaining: Vec<&Server> = self
            .servers
            .values()
            .filter(|server| {
                let in_service = server.is_ready() && !server.health.is_unhealthy();
                in_service && !self.is_below_warm_up(server, MIN_WARM_UP_RATIO_OVERLOADED)
            })
            .collect();
        let any_warming = remaining.iter().any(|server| self.is_warming_up(server));
        let max_utilization = if any_warming { MAX_UTILIZATION } else { MAX_WARM_UTILIZATION };
        let capacity: f64 =
            remaining.iter().map(|server| self.capacity_ratio(server) * server.endpoint.weight).sum();
        self.others_carry_the_load = max_utilization * capacity >= self.fleet_load();
    }

    /// True: the latency ratio of the fleet or of the zone is above [`CONGESTED_LATENCY_RATIO`].
    fn is_congested(&self, zone: ZoneId) -> bool {
        let zone_ratio = self.load.zone_latency_ratio.get(&zone).copied().unwrap_or(0.0);
        zone_ratio.max(self.load.latency_ratio) > CONGESTED_LATENCY_RATIO
    }

    /// [`Policy::slow_start_ratio`], reduced while the server warms up so that its load stays below
    /// [`SAFE_LOAD_RATIO`] of the load at which it collapses. Its weight in a table is listed weight ×
    /// outlier weight × this ratio.
    ///
    /// `load_per_weight` is the load of a server at full weight in a fully loaded fleet, as a multiple of the
    /// server's capacity. Guards against overload of started servers at releases and when whole zones
    /// restart. Cost: they reach their full weight later.
    pub(super) fn load_limited_slow_start_ratio(&self, server: &Server, load_per_weight: f64) -> f64 {
        let ratio = self.slow_start_ratio(server);
        if !self.is_warming_up(server) {
            return ratio;
        }
        let safe_load = SAFE_LOAD_RATIO * self.settings.collapse_ratio * self.capacity_ratio(server);
        ratio.min(safe_load / load_per_weight.max(1e-9)).max(MIN_WARMING_WEIGHT_RATIO)
    }

    /// Lower bound of a server's present capacity, as a ratio of its full one: 1 once it is warm.
    pub(super) fn capacity_ratio(&self, server: &Server) -> f64 {
        if !self.is_warming_up(server) {
            return 1.0;
        }
        let initial = self.settings.initial_capacity_ratio;
        initial + (1.0 - initial) * self.warm_up_progress(server)
    }

    /// The load that a server of a table with warming servers can get, in listed weight. For a warming one it
    /// is at most [`Policy::collapse_safe_load`]. While the fleet may be overloaded it is for all servers at
    /// most [`MAX_UTILIZATION`] times their present capacity, as proxies avoid servers that fail, and the
    /// warming ones would get their load.
    pub(super) fn safe_load(&self, server: &Server) -> f64 {
        let collapse_safe_load =
            if self.is_warming_up(server) { self.collapse_safe_load(server) } else { f64::INFINITY };
        if !self.admission.overload_possible {
            return collapse_safe_load;
        }
        let sustainable_load = MAX_UTILIZATION * self.capacity_ratio(server) * server.endpoint.weight;
        sustainable_load.min(collapse_safe_load)
    }

    /// The load at which a warming server is safe from a collapse, in listed weight: [`SAFE_LOAD_RATIO`] of
    /// the load at which it collapses; without bound in a deployment whose servers do not collapse.
    pub(super) fn collapse_safe_load(&self, server: &Server) -> f64 {
        if self.settings.collapse_ratio <= 0.0 {
            return f64::INFINITY;
        }
        SAFE_LOAD_RATIO * self.settings.collapse_ratio * self.capacity_ratio(server) * server.endpoint.weight
    }

    /// True: the peak goodput, with warming servers counted at their initial capacity, covers the admitted
    /// ratio of the usual requests.
    ///
    /// Guards against a deadlock: conductors exclude warming servers because the other servers are
    /// overloaded, and those stay overloaded because the warming servers are excluded. Cost: if the peak
    /// goodput is overestimated, warming servers get traffic too early, though their weight stays bounded.
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
