//! The endpoint list: polling discovery with backoff, merging its updates, and removing endpoints.

use std::collections::BTreeSet;

use super::Policy;
use super::server::Server;
use super::subset::SubsetWeights;
use crate::interface::{Action, Endpoint, EndpointState, ListUpdate, Micros};

/// Wait before discovery is polled again after a failure; it doubles with each further one.
const MIN_POLL_BACKOFF: Micros = 500_000;
/// Longest wait after a failure, and the wait without any response.
const MAX_POLL_BACKOFF: Micros = 4_000_000;
/// A server that the list lacks and that answers nobody is removed after this, even if absence is advisory.
const ABSENT_SERVER_RETENTION: Micros = 600_000_000;

/// Polling of discovery, where it sends updates only on request.
pub(super) struct DiscoveryPolling {
    /// When to poll next; `None`: updates arrive unasked.
    next_poll_at: Option<Micros>,
    /// Wait after the next failure.
    backoff: Micros,
}

impl DiscoveryPolling {
    /// Polling that starts at this time, if at all.
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
    /// Polls discovery if that is due.
    pub(super) fn poll_discovery(&mut self) {
        if self.discovery.next_poll_at.is_some_and(|at| self.now >= at) {
            self.actions.push(Action::WatchEndpoints);
            self.discovery.next_poll_at = Some(self.now + MAX_POLL_BACKOFF);
        }
    }

    /// Merges an update of the endpoint list. After a failed one the old list stands and discovery is polled
    /// again.
    pub(super) fn learn_list(&mut self, update: ListUpdate, entries: &[Endpoint]) {
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
            self.learn_endpoint(entry, may_join_other_zone, &mut subsets);
        }
    }

    /// Marks the servers that a complete list lacks as removed.
    ///
    /// Where absence is advisory, a list may lack live servers: then probes and reports judge them instead,
    /// and one that is really gone is found by probes only.
    fn mark_absent_servers(&mut self, entries: &[Endpoint]) {
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.server).collect();
        for server in self.servers.values_mut().filter(|server| !listed.contains(&server.id())) {
            server.removed_at.get_or_insert(self.now);
            if !self.settings.absence_is_advisory {
                server.endpoint.state = EndpointState::Removed;
            }
        }
    }

    /// Merges one entry. Servers of one list are counted into `subsets` as they are placed, so that a fleet
    /// that grows twofold is spread.
    fn learn_endpoint(&mut self, entry: &Endpoint, may_join_other_zone: bool, subsets: &mut SubsetWeights) {
        let mut entry = entry.clone();
        if !(entry.weight.is_finite() && entry.weight > 0.0) {
            entry.weight = 1.0;
        }
        let Some(known) = self.servers.get(&entry.server) else {
            self.add_server(entry, may_join_other_zone, subsets);
            return;
        };
        let changed_zone = known.zone() != entry.zone;
        let new_subset = changed_zone.then(|| self.neediest_subset(entry.zone, false, subsets));
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
        if !absence_is_advisory {
            server.endpoint = entry;
        }
    }

    fn add_server(&mut self, entry: Endpoint, may_join_other_zone: bool, subsets: &mut SubsetWeights) {
        let subset = self.neediest_subset(entry.zone, may_join_other_zone, subsets);
        subsets.add(subset, entry.weight);
        let slow_start_at = self.listed_slow_start_at(&entry);
        let server = Server::new(entry, subset, slow_start_at, self.first_probe_at());
        self.servers.insert(server.id(), server);
    }

    /// Removes servers that the list lacks, once no table names them and no ejection at proxies is left.
    pub(super) fn remove_servers(&mut self) {
        self.expire_absent_servers();
        let in_tables: BTreeSet<_> =
            self.tables.values().flat_map(|table| table.weights.keys().copied()).collect();
        self.servers.retain(|id, server| {
            let listed = server.endpoint.state != EndpointState::Removed;
            listed || in_tables.contains(id) || server.ejected_at_proxies
        });
    }

    /// Treats servers that were absent for [`ABSENT_SERVER_RETENTION`] as removed. They, and their ejections
    /// at proxies, would otherwise outlive a fleet that is replaced.
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
