//! Merges updates of the endpoint list into what is known.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use stepspur::interface::{EndpointState, Event, ListUpdate, Micros, ServerId};

use super::super::input::DiscoveredEndpoint;
use super::super::mass_removal_guard::Verdict;
use super::super::output::LogEvent;
use super::super::server_ids::named_id;
use super::draft::{InvalidEntry, ListChange, UpdateDraft};
use super::known::{KnownEndpoint, StartTime};
use super::store::{EndpointStore, is_further_on};

/// Weights that a list may give, besides 0 for none.
const WEIGHT_RANGE: RangeInclusive<f64> = 1e-3..=1e6;

impl EndpointStore {
    /// Merges an update of the list.
    pub(crate) fn merge(
        &mut self,
        now: Micros,
        update: ListUpdate,
        entries: Vec<DiscoveredEndpoint>,
    ) -> ListChange {
        if update == ListUpdate::Failed {
            let event = Event::EndpointList { update, entries: [].into() };
            return ListChange { event, interrupted: Vec::new(), log: vec![LogEvent::DiscoveryFailed] };
        }
        let ready_before = self.ready_servers();
        let mut draft = UpdateDraft::default();
        for entry in entries {
            self.merge_entry(now, update, entry, &mut draft);
        }
        let update = match self.mass_removal.check(update, &ready_before, &draft.named, now) {
            Verdict::Accepted => update,
            Verdict::RemovalsWithheld { missing_ready } => {
                let named = draft.named.len();
                draft.log.push(LogEvent::MassRemovalSuspected { lacking: missing_ready, named });
                ListUpdate::Delta
            }
        };
        if update != ListUpdate::Delta {
            self.remove_unnamed(now, &mut draft);
        }
        let event = Event::EndpointList { update, entries: draft.entries.into() };
        ListChange { event, interrupted: draft.interrupted, log: draft.log }
    }

    fn ready_servers(&self) -> BTreeSet<ServerId> {
        self.servers.keys().copied().filter(|server| self.is_ready(*server)).collect()
    }

    /// Merges one entry of an update.
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
            // The list names the server, but what is known of it remains in use.
            draft.entries.push(self.effective_entry(server, known));
            draft.named.insert(server);
            draft.log_invalid(&entry, &InvalidEntry::EarlierStart);
            return;
        }
        let is_repeated = !draft.named.insert(server);
        if update != ListUpdate::Delta && is_repeated {
            draft.log_invalid(&entry, &InvalidEntry::Repeated);
            if !known.is_some_and(|known| is_further_on(entry.state, known.entry.state)) {
                return;
            }
        }
        let merged = self.merged_endpoint(now, server, entry);
        draft.entries.push(self.effective_entry(server, &merged));
        if merged.entry.started > 0 || merged.entry.state != EndpointState::Ready {
            draft.interrupted.push(server);
        }
        self.servers.insert(server, merged);
    }

    /// What is known of a server once this entry is merged.
    fn merged_endpoint(&self, now: Micros, server: ServerId, entry: DiscoveredEndpoint) -> KnownEndpoint {
        let removed_at = (entry.state == EndpointState::Removed).then_some(now);
        match self.servers.get(&server).filter(|known| known.has_same_start(entry.started)) {
            Some(known) => {
                let entry = DiscoveredEndpoint { started: known.entry.started, ..entry };
                KnownEndpoint { entry, start: known.start, removed_at }
            }
            None => {
                let start = StartTime::from_listed(entry.started, self.clock_offset, now);
                KnownEndpoint { entry, start, removed_at }
            }
        }
    }

    /// Removes the servers that a complete list lacks.
    fn remove_unnamed(&mut self, now: Micros, draft: &mut UpdateDraft) {
        for (server, known) in &mut self.servers {
            if draft.named.contains(server) {
                continue;
            }
            draft.interrupted.push(*server);
            known.entry.state = EndpointState::Removed;
            known.removed_at.get_or_insert(now);
        }
    }

    /// Validates an entry and finds its server's id. Invalid parts are logged and replaced by what was known
    /// before; none if nothing was.
    fn validate(
        &mut self,
        mut entry: DiscoveredEndpoint,
        draft: &mut UpdateDraft,
    ) -> Option<(ServerId, DiscoveredEndpoint)> {
        let known = self.known_as(&entry).map(|known| known.entry.clone());
        if self.zone(&entry.zone).is_none() {
            draft.log_invalid(&entry, &InvalidEntry::UnknownZone { zone: entry.zone.clone() });
            // A misspelt zone must not remove a server or hide that it drains.
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

    /// What is known of the server that an entry names.
    fn known_as(&self, entry: &DiscoveredEndpoint) -> Option<&KnownEndpoint> {
        let server = match &entry.name {
            Some(name) => named_id(name),
            None => self.ids.get(entry.address)?,
        };
        self.servers.get(&server)
    }
}
