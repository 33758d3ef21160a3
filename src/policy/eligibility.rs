//! Which servers may get traffic from which zone, and how much each counts for.

use super::Policy;
use super::server::Server;
use crate::interface::ZoneId;

impl Policy {
    /// True: the zone's proxies may use the server. It is listed ready, healthy, past its hold-off, not held
    /// back while it warms up, and not ejected for the zone.
    pub(super) fn is_usable(&self, server: &Server, zone: ZoneId) -> bool {
        let in_service = server.is_ready() && !server.health.is_unhealthy();
        if !in_service || self.now < server.slow_start_at || self.is_held_back(server, zone) {
            return false;
        }
        server.zone_stats.get(&zone).is_none_or(|stats| stats.ejected_until.is_none())
    }

    /// Listed weight × slow-start ratio × outlier weight: what a server counts for in sums and lending, not
    /// the weight in a table.
    pub(super) fn effective_weight(&self, server: &Server) -> f64 {
        self.slow_start_ratio(server) * server.endpoint.weight * server.outlier_weight
    }

    /// The same where its own subset may use it, else 0.
    pub(super) fn usable_weight(&self, server: &Server) -> f64 {
        if self.is_usable(server, self.zone_of(server.subset)) { self.effective_weight(server) } else { 0.0 }
    }
}
