//! Merges updates of the endpoint list into the known servers.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use stepspur::interface::{EndpointState, Event, ListUpdate, Micros, ServerId};

use super::super::input::DiscoveredEndpoint;
use super::super::mass_removal_guard::Verdict;
use super::super::output::LogEvent;
use super::super::server_ids::named_id;
use super::draft::{InvalidEntry, ListChange, UpdateDraft};
use super::known::{KnownEndpoint, StartTime};
use super::store::{EndpointStore, is_later_in_lifecycle};

/// Valid configured weights, besides 0 for none. More extreme ones would starve the server or all others.
const WEIGHT_RANGE: RangeInclusive<f64> = 1e-3..=1e6;

impl EndpointStore {
    /// Merges an update of the list and returns the changes. Invalid parts of entries are logged and not
    /// applied; a complete list that omits too many servers removes none.
    pub(crate) fn merge(
        &mut self,
        now: Micros,
        update: ListUpdate,
        entries: Vec<DiscoveredEndpoint>,
    ) -> ListChange {
        if update == ListUpdate::Failed {
            let event = Event::EndpointList { update, entries: [].into() };
            return ListChange { event, possibly_ejected: Vec::new(), log: vec![LogEvent::DiscoveryFailed] };
        }
        let ready_before = self.ready_servers();
        let mut draft = UpdateDraft::default();
        for entry in entries {
            self.merge_entry(now, update, entry, &mut draft);
        }
        let update = match self.mass_removal.check(update, &ready_before, &draft.listed, now) {
            Verdict::Accepted => update,
            Verdict::RemovalsWithheld { missing_ready } => {
                let listed = draft.listed.len();
                draft.log.push(LogEvent::MassRemovalSuspected { missing: missing_ready, listed });
                ListUpdate::Delta
            }
        };
        if update != ListUpdate::Delta {
            self.remove_unlisted(now, &mut draft);
        }
        let event = Event::EndpointList { update, entries: draft.entries.into() };
        ListChange { event, possibly_ejected: draft.possibly_ejected, log: draft.log }
    }

    /// Returns the servers that are listed as ready.
    fn ready_servers(&self) -> BTreeSet<ServerId> {
        self.servers.keys().copied().filter(|server| self.is_ready(*server)).collect()
    }

    /// Merges one entry of an update into the known servers and adds the changes to `draft`.
    fn merge_entry(
        &mut self,
        now: Micros,
        update: ListUpdate,
        entry: DiscoveredEndpoint,
        draft: &mut UpdateDraft,
    ) {
        let Some((server, entry)) = self.validate(entry, draft) else { return };
        if let Some(state) = self.unlisted_overrides.remove(&entry.address) {
            self.overrides.insert(server, state);
        }
        let known = self.servers.get(&server);
        if let Some(known) = known
            && known.is_newer_than(entry.started)
        {
            // The entry is stale: the server counts as listed, but its known entry remains in use.
            draft.entries.push(self.effective_entry(server, known));
            draft.listed.insert(server);
            draft.log_invalid(&entry, &InvalidEntry::EarlierStart);
            return;
        }
        let is_repeated = !draft.listed.insert(server);
        if update != ListUpdate::Delta && is_repeated {
            draft.log_invalid(&entry, &InvalidEntry::Repeated);
            if !known.is_some_and(|known| is_later_in_lifecycle(entry.state, known.entry.state)) {
                return;
            }
        }
        let merged = self.merged_endpoint(now, server, entry);
        draft.entries.push(self.effective_entry(server, &merged));
        if merged.possibly_ejected {
            draft.possibly_ejected.push(server);
        }
        self.servers.insert(server, merged);
    }

    /// Returns the server's state with this entry merged. If the entry has the known start, or none, the
    /// known start remains; otherwise the server has restarted.
    fn merged_endpoint(&self, now: Micros, server: ServerId, entry: DiscoveredEndpoint) -> KnownEndpoint {
        let removed_at = (entry.state == EndpointState::Removed).then_some(now);
        let known = self.servers.get(&server);
        let was_possibly_ejected = known.is_some_and(|known| known.possibly_ejected);
        let (entry, start) = match known.filter(|known| known.has_same_start(entry.started)) {
            Some(known) => (DiscoveredEndpoint { started: known.entry.started, ..entry }, known.start),
            None => {
                let start = StartTime::from_listed(entry.started, self.clock_offset, now);
                (entry, start)
            }
        };
        let possibly_ejected =
            was_possibly_ejected || entry.started > 0 || entry.state != EndpointState::Ready;
        KnownEndpoint { entry, start, possibly_ejected, removed_at }
    }

    /// Marks the servers that a complete list omits as removed.
    fn remove_unlisted(&mut self, now: Micros, draft: &mut UpdateDraft) {
        for (server, known) in &mut self.servers {
            if draft.listed.contains(server) {
                continue;
            }
            draft.possibly_ejected.push(*server);
            known.possibly_ejected = true;
            known.entry.state = EndpointState::Removed;
            known.removed_at.get_or_insert(now);
        }
    }

    /// Validates an entry and returns it with its server's id. An invalid zone or weight is logged and
    /// replaced by the known value. Returns `None` if the zone is invalid and the server unknown, or if the
    /// entry does not identify a server.
    fn validate(
        &mut self,
        mut entry: DiscoveredEndpoint,
        draft: &mut UpdateDraft,
    ) -> Option<(ServerId, DiscoveredEndpoint)> {
        let known = self.known_endpoint(&entry).map(|known| known.entry.clone());
        if self.zone(&entry.zone).is_none() {
            draft.log_invalid(&entry, &InvalidEntry::UnknownZone { zone: entry.zone.clone() });
            // An invalid zone must not remove the server or hide that it is draining.
            entry.zone = known.as_ref()?.zone.clone();
        }
        let weight = entry.weight;
        if weight != 0.0 && !WEIGHT_RANGE.contains(&weight) {
            let min = *WEIGHT_RANGE.start();
            let max = *WEIGHT_RANGE.end();
            draft.log_invalid(&entry, &InvalidEntry::WeightOutOfRange { weight, min, max });
            entry.weight = known.map_or(0.0, |known| known.weight);
        }
        let id = match &entry.name {
            Some(name) => self.ids.intern_named(name, entry.address),
            None => self.ids.intern(entry.address),
        };
        let Some(server) = id else {
            draft.log_invalid(&entry, &InvalidEntry::InvalidIdentity);
            return None;
        };
        Some((server, entry))
    }

    /// Returns the known state of the server that an entry describes.
    fn known_endpoint(&self, entry: &DiscoveredEndpoint) -> Option<&KnownEndpoint> {
        let server = match &entry.name {
            Some(name) => named_id(name),
            None => self.ids.get(entry.address)?,
        };
        self.servers.get(&server)
    }
}
