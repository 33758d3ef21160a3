//! The record of a server of the endpoint list and of what proxies measured there. It holds no decisions and
//! no constants.

use std::collections::BTreeMap;

use super::health_check::HealthState;
use crate::interface::{Endpoint, EndpointState, Micros, ServerId, TableId, ZoneId};

/// State of one server of the endpoint list.
pub(super) struct Server {
    /// The newest entry of the endpoint list for it.
    pub(super) endpoint: Endpoint,
    /// The subset that the server belongs to while tables are zone-aware; a lent server's is of another zone.
    pub(super) subset: TableId,
    /// Measurements of the proxies of each zone; only zones that have reported attempts have an entry.
    pub(super) zone_stats: BTreeMap<ZoneId, ZoneStats>,
    /// True: proxies are instructed not to use it, whatever their tables contain.
    pub(super) ejected_at_proxies: bool,
    /// When its slow start begins, possibly in the future; 0: it has full weight.
    pub(super) slow_start_at: Micros,
    /// Results of its active health checks.
    pub(super) health: HealthState,
    /// Factor of its weight that outlier detection sets, in (0, 1]; 1: its latency is not an outlier.
    pub(super) outlier_weight: f64,
    /// Queue length from its newest load report that contains one; `None` before the first.
    pub(super) queue: Option<QueueReport>,
    /// When proxies last reported enough successful attempts to show that it responds; 0: never.
    pub(super) last_success_at: Micros,
    /// When it disappeared from the endpoint list, even where absence is advisory; `None` while it is listed.
    pub(super) removed_at: Option<Micros>,
}

impl Server {
    /// Creates a healthy server without measurements that is first probed at `probe_at`.
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

    /// Its identifier: address and port.
    pub(super) fn id(&self) -> ServerId {
        self.endpoint.server
    }

    /// The zone that the server runs in, also while it is lent to another zone's subset.
    pub(super) fn zone(&self) -> ZoneId {
        self.endpoint.zone
    }

    /// True: its newest entry in the endpoint list is `Ready`, neither draining nor removed.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }
}

/// The number of requests that waited at a server, from one load report.
pub(super) struct QueueReport {
    /// Number of waiting requests, not negative.
    pub(super) length: f64,
    /// When the report was received.
    pub(super) received_at: Micros,
}

/// Measurements of the proxies of one zone at one server. The sums decay exponentially, so that older
/// attempts count less.
#[derive(Default)]
pub(super) struct ZoneStats {
    /// Decayed number of attempts.
    pub(super) attempts: f64,
    /// Decayed number of failed attempts.
    pub(super) errors: f64,
    /// Decayed total latency of the successful attempts, as a multiple of the shortest latency objective.
    pub(super) success_latency: f64,
    /// Number of attempts in consecutive reports without a success; a report with a success resets it to 0.
    pub(super) consecutive_failures: f64,
    /// When the newest report was received.
    pub(super) updated_at: Micros,
    /// When its ejection from the zone's tables may end; `None` while it is not ejected.
    pub(super) ejected_until: Option<Micros>,
    /// Number of ejections from the zone's tables since the server was first listed. It is never reset, so
    /// that each further ejection lasts longer, up to the maximum.
    pub(super) ejection_count: u32,
}

/// The attempts at a server that one report covers.
pub(super) struct AttemptCounts {
    /// Number of attempts.
    pub(super) attempts: f64,
    /// Number of failed attempts, at most `attempts`.
    pub(super) errors: f64,
    /// Total latency of the successful attempts, as a multiple of the shortest latency objective.
    pub(super) success_latency: f64,
}

impl ZoneStats {
    /// Adds a report after the previous sums are multiplied by `retained`, in [0, 1].
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
