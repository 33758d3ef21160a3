//! The endpoint list: polls discovery with exponential backoff, merges updates and removes servers.

use std::collections::BTreeSet;

use super::Policy;
use super::server::Server;
use super::subset::SubsetWeights;
use crate::interface::{Action, Endpoint, EndpointState, ListUpdate, Micros};

/// Wait before discovery is polled again after a failed update; it doubles with each further failure.
const MIN_POLL_BACKOFF: Micros = 500_000;
/// Upper bound of that wait, and the wait after a poll that gets no response.
const MAX_POLL_BACKOFF: Micros = 4_000_000;
/// Where absence is advisory, a server that is absent from the list is removed this long after it disappeared
/// and last responded to proxies.
const ABSENT_SERVER_RETENTION: Micros = 600_000_000;

/// When to poll discovery, in deployments where it sends updates only on request.
pub(super) struct DiscoveryPolling {
    /// When to poll next; `None` while updates arrive without a poll.
    next_poll_at: Option<Micros>,
    /// Wait after the next failed update.
    backoff: Micros,
}

impl DiscoveryPolling {
    /// Creates the state for polling that starts at `next_poll_at`; `None`: without a first poll.
    pub(super) fn start(next_poll_at: Option<Micros>) -> Self {
        DiscoveryPolling { next_poll_at, backoff: MIN_POLL_BACKOFF }
    }

    fn record_success(&mut self) {
        self.next_poll_at = None;
        self.backoff = MIN_POLL_BACKOFF;
    }

    fn record_failure(&mut self, now: Micros, polled: bool) {
        self.next_poll_at = polled.then_some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_POLL_BACKOFF);
    }
}

impl Policy {
    /// Requests the endpoint list if a poll is due.
    pub(super) fn poll_discovery(&mut self) {
        if self.discovery.next_poll_at.is_some_and(|at| self.now >= at) {
            self.actions.push(Action::WatchEndpoints);
            self.discovery.next_poll_at = Some(self.now + MAX_POLL_BACKOFF);
        }
    }

    /// Merges an update of the endpoint list. After a failed update the previous list remains in use, and
    /// discovery is polled again if polling is enabled.
    pub(super) fn merge_endpoint_list(&mut self, update: ListUpdate, entries: &[Endpoint]) {
        match update {
            ListUpdate::Failed => {
                self.discovery.record_failure(self.now, self.settings.poll_discovery);
                return;
            }
            ListUpdate::Delta => self.discovery.record_success(),
            ListUpdate::Full => {
                self.discovery.record_success();
                self.mark_absent_servers(entries);
            }
            ListUpdate::Cached => self.mark_absent_servers(entries),
        }
        self.tables_outdated = true;
        let may_join_other_zone = !self.servers.is_empty() && self.may_lend();
        let mut subsets = self.subset_weights(|s| if s.is_ready() { s.endpoint.weight } else { 0.0 });
        for entry in entries {
            self.merge_endpoint(entry, may_join_other_zone, &mut subsets);
        }
    }

    /// Marks servers that are absent from a complete list as removed.
    ///
    /// Where absence is advisory, a list may omit live servers, so they stay in use for now: health checks
    /// and outlier detection then decide about them. Cost: a server that is gone and gets no attempts is
    /// detected by probes only.
    fn mark_absent_servers(&mut self, entries: &[Endpoint]) {
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.server).collect();
        for server in self.servers.values_mut().filter(|server| !listed.contains(&server.id())) {
            server.removed_at.get_or_insert(self.now);
            server.endpoint.possibly_ejected = true;
            if !self.settings.absence_is_advisory {
                server.endpoint.state = EndpointState::Removed;
            }
        }
    }

    /// Merges one entry; an invalid weight counts as 1. The weight of each new server is added to `subsets`,
    /// so that many servers added by one list are spread over the subsets.
    fn merge_endpoint(&mut self, entry: &Endpoint, may_join_other_zone: bool, subsets: &mut SubsetWeights) {
        let mut entry = entry.clone();
        if !(entry.weight.is_finite() && entry.weight > 0.0) {
            entry.weight = 1.0;
        }
        let Some(known) = self.servers.get(&entry.server) else {
            self.add_server(entry, may_join_other_zone, subsets);
            return;
        };
        let changed_zone = known.zone() != entry.zone;
        let new_subset = changed_zone.then(|| self.largest_deficit_subset(entry.zone, false, subsets));
        let slow_start_at = self.listed_slow_start_at(&entry);
        let absence_is_advisory = self.settings.absence_is_advisory;
        let Some(server) = self.servers.get_mut(&entry.server) else { return };
        if let Some(subset) = new_subset {
            server.subset = subset;
        }
        if entry.started_at != server.endpoint.started_at {
            server.slow_start_at = slow_start_at.max(server.slow_start_at);
        }
        if entry.state != EndpointState::Removed {
            server.removed_at = None;
            server.endpoint = entry;
            return;
        }
        server.removed_at.get_or_insert(self.now);
        server.endpoint.possibly_ejected |= entry.possibly_ejected;
        if !absence_is_advisory {
            server.endpoint = entry;
        }
    }

    /// Adds a new server to the subset with the largest deficit and schedules its slow start and first probe.
    fn add_server(&mut self, entry: Endpoint, may_join_other_zone: bool, subsets: &mut SubsetWeights) {
        let subset = self.largest_deficit_subset(entry.zone, may_join_other_zone, subsets);
        subsets.add(subset, entry.weight);
        let slow_start_at = self.listed_slow_start_at(&entry);
        let server = Server::new(entry, subset, slow_start_at, self.first_probe_at());
        self.servers.insert(server.id(), server);
    }

    /// Deletes the records of removed servers that no table contains and that are not ejected at proxies.
    pub(super) fn remove_servers(&mut self) {
        self.expire_absent_servers();
        let in_tables: BTreeSet<_> =
            self.tables.values().flat_map(|table| table.weights.keys().copied()).collect();
        self.servers.retain(|id, server| {
            let listed = server.endpoint.state != EndpointState::Removed;
            listed || in_tables.contains(id) || server.ejected_at_proxies
        });
    }

    /// Marks servers as removed that have been absent for [`ABSENT_SERVER_RETENTION`], and ends their
    /// ejections at proxies once every connected proxy has its table.
    ///
    /// Guards against records and ejections that accumulate without bound as the servers of a fleet are
    /// replaced.
    fn expire_absent_servers(&mut self) {
        for (id, server) in &mut self.servers {
            let Some(removed_at) = server.removed_at else { continue };
            let last_seen_at = removed_at.max(server.last_success_at);
            if self.now <= last_seen_at + ABSENT_SERVER_RETENTION {
                continue;
            }
            server.endpoint.state = EndpointState::Removed;
            if server.ejected_at_proxies && self.unassigned_proxies.is_empty() {
                server.ejected_at_proxies = false;
                self.actions.push(Action::SetEjected { server: *id, ejected: false });
            }
        }
    }
}
