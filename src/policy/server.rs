//! Records of a server of the endpoint list. They hold no decisions and no constants.

use std::collections::BTreeMap;

use super::health_check::HealthState;
use crate::interface::{Endpoint, EndpointState, Micros, ServerId, TableId, ZoneId};

/// What is known of one server of the endpoint list.
pub(super) struct Server {
    /// Its newest entry in the endpoint list.
    pub(super) endpoint: Endpoint,
    /// The subset that holds it while tables are zone-aware.
    pub(super) subset: TableId,
    /// What the proxies of each zone measured at it.
    pub(super) zone_stats: BTreeMap<ZoneId, ZoneStats>,
    /// True: it is ejected at the proxies, whatever their tables say.
    pub(super) ejected_at_proxies: bool,
    /// Start of its slow start, which may lie ahead; 0: it has full weight.
    pub(super) slow_start_at: Micros,
    /// Results of its active health checks.
    pub(super) health: HealthState,
    /// Weight factor of a slow endpoint, in (0, 1]; 1: not slow.
    pub(super) outlier_weight: f64,
    /// The queue's length by its newest load report that contains it.
    pub(super) queue: Option<QueueReport>,
    /// When a report last showed that it answers.
    pub(super) last_success_at: Micros,
    /// Since when the endpoint list lacks it, whether or not absence is advisory.
    pub(super) removed_at: Option<Micros>,
}

impl Server {
    /// A server without any measurements, at full outlier weight.
    pub(super) fn new(endpoint: Endpoint, subset: TableId, slow_start_at: Micros, probe_at: Micros) -> Self {
        Server {
            endpoint,
            subset,
            zone_stats: BTreeMap::new(),
            ejected_at_proxies: false,
            slow_start_at,
            health: HealthState::first_probe_at(probe_at),
            outlier_weight: 1.0,
            queue: None,
            last_success_at: 0,
            removed_at: None,
        }
    }

    /// Its identifier.
    pub(super) fn id(&self) -> ServerId {
        self.endpoint.server
    }

    /// Its own zone.
    pub(super) fn zone(&self) -> ZoneId {
        self.endpoint.zone
    }

    /// True: the endpoint list says that its process runs.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }
}

/// Requests that waited at a server.
pub(super) struct QueueReport {
    /// Number of requests.
    pub(super) length: f64,
    /// When the report came.
    pub(super) received_at: Micros,
}

/// What the proxies of one zone measured at one server. Sums decay, so that older attempts count less.
#[derive(Default)]
pub(super) struct ZoneStats {
    /// Attempts.
    pub(super) attempts: f64,
    /// Failed attempts.
    pub(super) errors: f64,
    /// Total latency of the successful attempts, in latency objectives.
    pub(super) success_latency: f64,
    /// Attempts of the newest reports in a row that show no success; 0 after a report with any.
    pub(super) consecutive_failures: f64,
    /// When the newest report came.
    pub(super) updated_at: Micros,
    /// End of its ejection from the zone's tables, if it is ejected.
    pub(super) ejected_until: Option<Micros>,
    /// Ejections from the zone's tables since the server was first listed; it never falls, so each further
    /// one lasts longer, up to the maximum.
    pub(super) ejection_count: u32,
}

/// Attempts that one report counts.
pub(super) struct AttemptCounts {
    /// Attempts.
    pub(super) attempts: f64,
    /// Failed attempts, at most `attempts`.
    pub(super) errors: f64,
    /// Total latency of the successful attempts, in latency objectives.
    pub(super) success_latency: f64,
}

impl ZoneStats {
    /// Adds a report; of the sums so far the ratio `retained` remains.
    pub(super) fn add(&mut self, retained: f64, report: &AttemptCounts) {
        self.attempts = self.attempts * retained + report.attempts;
        self.errors = self.errors * retained + report.errors;
        self.success_latency = self.success_latency * retained + report.success_latency;
        if report.errors >= report.attempts {
            self.consecutive_failures += report.attempts;
        } else {
            self.consecutive_failures = 0.0;
        }
    }
}
