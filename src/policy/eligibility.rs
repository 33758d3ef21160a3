//! Eligibility: which servers the proxies of a zone may use, and the weight that each server contributes.

use super::Policy;
use super::server::Server;
use crate::interface::{ClassId, ZoneId};

impl Policy {
    /// True: the zone's proxies may use the server. It is listed as ready, healthy by its probes, its slow
    /// start has begun, it is not excluded while it warms up, and it is not ejected from the zone's tables.
    pub(super) fn is_usable(&self, server: &Server, zone: ZoneId) -> bool {
        let in_service = server.is_ready() && !server.health.is_unhealthy();
        if !in_service || self.now < server.slow_start_at || self.is_excluded_while_warming(server, zone) {
            return false;
        }
        server.zone_stats.get(&zone).is_none_or(|stats| stats.ejected_until.is_none())
    }

    /// True: the settings permit that the zone's proxies send requests of the class to the server.
    pub(super) fn may_serve(&self, server: &Server, zone: ZoneId, class: ClassId) -> bool {
        let class = self.settings.classes.get(usize::from(class.0));
        server.zone() == zone || class.is_none_or(|class| !class.zone_local)
    }

    /// Listed weight × slow-start ratio × outlier weight: the capacity that a server contributes to sums and
    /// to lending. Its weight in a table may be lower while it warms up.
    pub(super) fn effective_weight(&self, server: &Server) -> f64 {
        self.slow_start_ratio(server) * server.endpoint.weight * server.outlier_weight
    }

    /// Sum of the listed weights of all ready servers.
    pub(super) fn ready_weight(&self) -> f64 {
        self.servers.values().filter(|server| server.is_ready()).map(|server| server.endpoint.weight).sum()
    }

    /// The effective weight if the zone of the server's subset may use it, else 0.
    pub(super) fn usable_weight(&self, server: &Server) -> f64 {
        if self.is_usable(server, self.zone_of(server.subset)) { self.effective_weight(server) } else { 0.0 }
    }
}
