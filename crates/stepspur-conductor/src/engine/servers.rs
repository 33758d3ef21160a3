//! The list of servers: what is known of each server, and what of the list's news is believed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use stepspur::interface::{Endpoint, EndpointState, Event, ListUpdate, Micros, ServerId, ZoneId};

use super::doubt::{MassRemovalDetector, Taken};
use super::ids::{ServerIds, named_id};
use super::{DiscoveredEndpoint, LogEvent, OperationError, ProbeTarget};
use crate::config::MassRemovalGuard;

/// Weights that lists may tell, besides 0 for none.
const WEIGHTS: RangeInclusive<f64> = 1e-3..=1e6;
/// Starts that differ by less, in microseconds, are one: lists reckon them from clocks that differ.
const SAME_START: Micros = 1_000_000;
/// A server that has been gone for so long, in microseconds, is forgotten.
const GONE_KEPT: Micros = 600_000_000;
/// Servers that no list has named and that are held, at most.
const HELD_UNLISTED_MOST: usize = 65_536;
/// Servers to be forgotten are looked for so often, in microseconds.
const EXPIRY_PERIOD: Micros = 10_000_000;

/// A server of the list.
#[derive(Clone, Debug)]
struct Listed {
    entry: DiscoveredEndpoint,
    /// Its last start by the engine's time, or when that was first told if it lay ahead.
    born: Micros,
    /// True: its start lay ahead when it was first told.
    ahead: bool,
    gone_at: Option<Micros>,
}

impl Listed {
    /// True: the same start, or none is told.
    fn is_same_start(&self, started: Micros) -> bool {
        started == 0 || started.abs_diff(self.entry.started) < SAME_START
    }

    /// True: a start before the one that is known. One that lay ahead was wrong, and may be corrected.
    fn is_older(&self, started: Micros) -> bool {
        started < self.entry.started && !self.ahead && !self.is_same_start(started)
    }

    /// True: it has been gone for so long that it may be forgotten.
    fn is_expired(&self, now: Micros) -> bool {
        self.gone_at.is_some_and(|at| now > at + GONE_KEPT)
    }
}

/// What news of the list changed.
#[derive(Debug)]
pub(crate) struct ListChange {
    /// What the decisions are told.
    pub event: Event,
    /// Servers that have been out or have restarted.
    pub suspects: Vec<ServerId>,
    /// What the operators may want to know.
    pub notes: Vec<LogEvent>,
}

/// An update that is being made.
#[derive(Debug, Default)]
struct Draft {
    entries: Vec<Endpoint>,
    /// Servers that the news names.
    named: BTreeSet<ServerId>,
    suspects: Vec<ServerId>,
    notes: Vec<LogEvent>,
}

impl Draft {
    fn bad_entry(&mut self, entry: &DiscoveredEndpoint, what: String) {
        let server = entry.name.clone().unwrap_or_else(|| entry.address.to_string());
        self.notes.push(LogEvent::InvalidEntry { server, what });
    }
}

/// The servers that lists have named.
#[derive(Debug)]
pub(crate) struct ServerList {
    zones: Vec<String>,
    ids: ServerIds,
    servers: BTreeMap<ServerId, Listed>,
    /// States that operators hold servers to be in.
    overrides: BTreeMap<ServerId, EndpointState>,
    /// States of servers that no list has named yet: they count from the first list that does.
    held_unlisted: BTreeMap<SocketAddr, EndpointState>,
    doubter: MassRemovalDetector,
    /// How far the engine's time is ahead of the machine's clock, in microseconds.
    clock_offset: i64,
    expired_at: Micros,
}

impl ServerList {
    pub(crate) fn new(zones: Vec<String>, doubt: MassRemovalGuard, now: Micros) -> Self {
        Self {
            zones,
            ids: ServerIds::default(),
            servers: BTreeMap::new(),
            overrides: BTreeMap::new(),
            held_unlisted: BTreeMap::new(),
            doubter: MassRemovalDetector::new(doubt),
            clock_offset: 0,
            expired_at: now,
        }
    }

    /// Ids, names and addresses.
    pub(crate) fn ids(&self) -> &ServerIds {
        &self.ids
    }

    /// True: a list has named it, and it is not forgotten.
    pub(crate) fn contains(&self, server: ServerId) -> bool {
        self.servers.contains_key(&server)
    }

    /// The server at an address, if a list has named it.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<ServerId> {
        self.ids.get(address).filter(|server| self.contains(*server))
    }

    /// True: the list has it as ready.
    pub(crate) fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|listed| listed.entry.state == EndpointState::Ready)
    }

    /// What a probe of a server is sent to now; none if it is not listed.
    pub(crate) fn probe_target(&self, server: ServerId) -> Option<ProbeTarget> {
        let started = self.servers.get(&server)?.entry.started;
        Some(ProbeTarget { server, address: self.ids.address(server)?, started })
    }

    /// Servers in all.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Servers that the list has in a state.
    pub(crate) fn count(&self, state: EndpointState) -> usize {
        self.servers.values().filter(|listed| listed.entry.state == state).count()
    }

    /// The machine's clock shows `unix`, microseconds since 1970.
    pub(crate) fn set_clock(&mut self, now: Micros, unix: Micros) {
        self.clock_offset = now as i64 - unix as i64;
    }

    /// When the whole list is to be asked for.
    pub(crate) fn lookup_at(&self) -> Option<Micros> {
        self.doubter.next_at()
    }

    /// True: the whole list is to be asked for now.
    pub(crate) fn is_lookup_due(&mut self, now: Micros) -> bool {
        self.doubter.ask(now)
    }

    /// Takes news of the list.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        how: ListUpdate,
        entries: Vec<DiscoveredEndpoint>,
    ) -> ListChange {
        if how == ListUpdate::Failed {
            let event = Event::EndpointList { update: how, entries: [].into() };
            return ListChange { event, suspects: Vec::new(), notes: vec![LogEvent::DiscoveryFailed] };
        }
        let ready_before = self.ready();
        let mut draft = Draft::default();
        for entry in entries {
            self.take_entry(now, how, entry, &mut draft);
        }
        let how = match self.doubter.judge(how, &ready_before, &draft.named, now) {
            Taken::Whole => how,
            Taken::Named { lacking } => {
                draft.notes.push(LogEvent::MassRemovalSuspected { lacking, named: draft.named.len() });
                ListUpdate::Delta
            }
        };
        if how != ListUpdate::Delta {
            self.remove_unnamed(now, &mut draft);
        }
        let event = Event::EndpointList { update: how, entries: draft.entries.into() };
        ListChange { event, suspects: draft.suspects, notes: draft.notes }
    }

    fn ready(&self) -> BTreeSet<ServerId> {
        self.servers.keys().copied().filter(|server| self.is_ready(*server)).collect()
    }

    /// Takes one entry of the list's news.
    fn take_entry(&mut self, now: Micros, how: ListUpdate, entry: DiscoveredEndpoint, draft: &mut Draft) {
        let Some((server, entry)) = self.usable(entry, draft) else { return };
        if let Some(state) = self.held_unlisted.remove(&entry.address) {
            self.overrides.insert(server, state);
        }
        let known = self.servers.get(&server);
        if let Some(known) = known.filter(|known| known.is_older(entry.started)) {
            // It is named, though: what is known of it stands.
            draft.entries.push(self.list_entry(server, known));
            draft.named.insert(server);
            draft.bad_entry(&entry, "it tells of an earlier start than is known".to_owned());
            return;
        }
        let is_repeated = !draft.named.insert(server);
        if how != ListUpdate::Delta && is_repeated {
            let further = known.is_some_and(|known| entry.state as u8 > known.entry.state as u8);
            draft.bad_entry(&entry, "it is named twice: the state further on counts".to_owned());
            if !further {
                return;
            }
        }
        let listed = self.listed(now, server, entry);
        draft.entries.push(self.list_entry(server, &listed));
        if listed.entry.started > 0 || listed.entry.state != EndpointState::Ready {
            draft.suspects.push(server);
        }
        self.servers.insert(server, listed);
    }

    /// What is known of a server once this entry is taken.
    fn listed(&self, now: Micros, server: ServerId, entry: DiscoveredEndpoint) -> Listed {
        let known = self.servers.get(&server).filter(|known| known.is_same_start(entry.started));
        let (born, ahead) = known.map_or_else(|| self.birth(now, entry.started), |k| (k.born, k.ahead));
        let started = known.map_or(entry.started, |known| known.entry.started);
        let gone_at = (entry.state == EndpointState::Removed).then_some(now);
        Listed { entry: DiscoveredEndpoint { started, ..entry }, born, ahead, gone_at }
    }

    /// A start by the engine's time, and whether it lies ahead. One that does is a clock that goes wrong: the server
    /// started when that was first told at the latest.
    fn birth(&self, now: Micros, started: Micros) -> (Micros, bool) {
        let by_own_clock = if started > 0 { started.saturating_add_signed(self.clock_offset) } else { 0 };
        (by_own_clock.min(now), by_own_clock > now)
    }

    /// Servers that a whole list lacks are gone.
    fn remove_unnamed(&mut self, now: Micros, draft: &mut Draft) {
        let unnamed = self.servers.iter_mut().filter(|(server, _)| !draft.named.contains(server));
        for (server, listed) in unnamed {
            draft.suspects.push(*server);
            listed.entry.state = EndpointState::Removed;
            listed.gone_at.get_or_insert(now);
        }
    }

    /// An entry as it can be used, with the server that it names: what makes no sense is noted, and what was known
    /// before stands in its place. None if there is nothing to stand in.
    fn usable(
        &mut self,
        mut entry: DiscoveredEndpoint,
        draft: &mut Draft,
    ) -> Option<(ServerId, DiscoveredEndpoint)> {
        let known = self.known_as(&entry).map(|known| known.entry.clone());
        if self.zone(&entry.zone).is_none() {
            draft.bad_entry(&entry, format!("`{}` is no zone of this fleet", entry.zone));
            // A server is not gone for a zone that is misspelt, and its drain counts.
            entry.zone = known.as_ref()?.zone.clone();
        }
        if entry.weight != 0.0 && !WEIGHTS.contains(&entry.weight) {
            let [least, most] = [WEIGHTS.start(), WEIGHTS.end()];
            draft
                .bad_entry(&entry, format!("a weight of {} is not between {least} and {most}", entry.weight));
            entry.weight = known.map_or(0.0, |known| known.weight);
        }
        let server = match &entry.name {
            Some(name) => self.ids.intern_named(name, entry.address),
            None => self.ids.intern(entry.address),
        };
        if server.is_none() {
            draft.bad_entry(&entry, "no server can have this name or address".to_owned());
        }
        Some((server?, entry))
    }

    /// What is known of the server that an entry names.
    fn known_as(&self, entry: &DiscoveredEndpoint) -> Option<&Listed> {
        let server = match &entry.name {
            Some(name) => named_id(name),
            None => self.ids.get(entry.address)?,
        };
        self.servers.get(&server)
    }

    fn zone(&self, name: &str) -> Option<ZoneId> {
        let place = self.zones.iter().position(|zone| zone == name)?;
        Some(ZoneId(place as u16))
    }

    /// A server as the decisions are told of it: an operator's state counts where the list's is not further on.
    fn list_entry(&self, server: ServerId, listed: &Listed) -> Endpoint {
        let state = listed.entry.state;
        let forced = self.overrides.get(&server).copied().filter(|forced| *forced as u8 > state as u8);
        let zone = self.zone(&listed.entry.zone).unwrap_or_default();
        let weight = listed.entry.weight;
        Endpoint { server, started_at: listed.born, zone, state: forced.unwrap_or(state), weight }
    }

    /// Holds a server to be in a state, or believes the list again: its entry as the decisions are told; none if no
    /// list has named it.
    pub(crate) fn override_state(
        &mut self,
        address: SocketAddr,
        state: EndpointState,
        on: bool,
    ) -> Option<Endpoint> {
        let server = self.at(address)?;
        if on {
            self.overrides.insert(server, state);
        } else if self.overrides.get(&server) == Some(&state) {
            self.overrides.remove(&server);
        }
        Some(self.list_entry(server, self.servers.get(&server)?))
    }

    /// Holds a server that no list has named yet to be in a state from the first list that names it on.
    ///
    /// # Errors
    /// [`OperationError::TooManyHeld`].
    pub(crate) fn hold_unlisted(
        &mut self,
        address: SocketAddr,
        state: EndpointState,
    ) -> Result<(), OperationError> {
        if self.held_unlisted.len() >= HELD_UNLISTED_MOST && !self.held_unlisted.contains_key(&address) {
            return Err(OperationError::TooManyHeld);
        }
        self.held_unlisted.insert(address, state);
        Ok(())
    }

    /// Lifts a hold of a server that no list has named yet; another state's stands.
    ///
    /// # Errors
    /// [`OperationError::UnknownServer`]: it is not held.
    pub(crate) fn lift_unlisted(
        &mut self,
        address: SocketAddr,
        state: EndpointState,
    ) -> Result<(), OperationError> {
        let held = self.held_unlisted.get(&address).ok_or(OperationError::UnknownServer)?;
        if *held == state {
            self.held_unlisted.remove(&address);
        }
        Ok(())
    }

    /// Forgets servers long gone that are not in use, so that a fleet that is replaced costs no memory, and tells
    /// which; looked for once a period.
    pub(crate) fn expire(&mut self, now: Micros, in_use: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        if now < self.expired_at + EXPIRY_PERIOD {
            return Vec::new();
        }
        self.expired_at = now;
        let expired = self.servers.iter().filter(|(_, listed)| listed.is_expired(now));
        let expired: Vec<ServerId> = expired.map(|(server, _)| *server).filter(|id| !in_use(*id)).collect();
        for server in &expired {
            self.servers.remove(server);
            self.overrides.remove(server);
            self.ids.forget(*server);
        }
        expired
    }
}
