//! All servers of the endpoint list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stepspur::interface::{Endpoint, EndpointState, Micros, ServerId, ZoneId};

use super::super::input::ProbeTarget;
use super::super::mass_removal_guard::MassRemovalDetector;
use super::super::server_ids::ServerIds;
use super::known::KnownEndpoint;
use crate::config::MassRemovalGuard;

/// The servers that the endpoint list has named.
#[derive(Debug)]
pub(crate) struct EndpointStore {
    zones: Vec<String>,
    pub(super) ids: ServerIds,
    pub(super) servers: BTreeMap<ServerId, KnownEndpoint>,
    /// States that operators override.
    pub(super) overrides: BTreeMap<ServerId, EndpointState>,
    /// Overrides of servers that no list has named yet: they apply from the first list that does.
    pub(super) unlisted_overrides: BTreeMap<SocketAddr, EndpointState>,
    pub(super) mass_removal: MassRemovalDetector,
    /// How far the engine's clock is ahead of the wall clock, in microseconds.
    pub(super) clock_offset: i64,
    /// When expired servers were last looked for.
    pub(super) last_expiry_at: Micros,
}

impl EndpointStore {
    pub(crate) fn new(zones: Vec<String>, guard: MassRemovalGuard, now: Micros) -> Self {
        Self {
            zones,
            ids: ServerIds::default(),
            servers: BTreeMap::new(),
            overrides: BTreeMap::new(),
            unlisted_overrides: BTreeMap::new(),
            mass_removal: MassRemovalDetector::new(guard),
            clock_offset: 0,
            last_expiry_at: now,
        }
    }

    /// Ids, names and addresses.
    pub(crate) fn ids(&self) -> &ServerIds {
        &self.ids
    }

    /// True if a list has named the server and it is not forgotten.
    pub(crate) fn contains(&self, server: ServerId) -> bool {
        self.servers.contains_key(&server)
    }

    /// The server at an address, if a list has named it.
    pub(crate) fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        self.ids.get(address).filter(|server| self.contains(*server))
    }

    /// True if the server is listed as ready.
    pub(crate) fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|known| known.entry.state == EndpointState::Ready)
    }

    /// What a probe of the server is sent to now; none if it is not listed.
    pub(crate) fn probe_target(&self, server: ServerId) -> Option<ProbeTarget> {
        let started = self.servers.get(&server)?.entry.started;
        Some(ProbeTarget { server, address: self.ids.address(server)?, started })
    }

    /// Number of servers.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Number of servers that are listed in a state.
    pub(crate) fn count(&self, state: EndpointState) -> usize {
        self.servers.values().filter(|known| known.entry.state == state).count()
    }

    /// Sets the wall clock's time, in microseconds since 1970.
    pub(crate) fn set_wall_clock(&mut self, now: Micros, unix: Micros) {
        self.clock_offset = now as i64 - unix as i64;
    }

    /// When the complete list is next to be fetched, to confirm a mass removal.
    pub(crate) fn next_fetch_at(&self) -> Option<Micros> {
        self.mass_removal.next_fetch_at()
    }

    /// True if the complete list is to be fetched now; schedules the next fetch then.
    pub(crate) fn take_due_fetch(&mut self, now: Micros) -> bool {
        self.mass_removal.take_due_fetch(now)
    }

    /// The zone of this name.
    pub(super) fn zone(&self, name: &str) -> Option<ZoneId> {
        let index = self.zones.iter().position(|zone| zone == name)?;
        Some(ZoneId(index as u16))
    }

    /// The server's entry for the decision module. An override applies unless the list's state is further on.
    pub(super) fn effective_entry(&self, server: ServerId, known: &KnownEndpoint) -> Endpoint {
        let listed = known.entry.state;
        let overridden = self.overrides.get(&server).copied();
        let state = overridden.filter(|state| is_further_on(*state, listed)).unwrap_or(listed);
        let zone = self.zone(&known.entry.zone).unwrap_or_default();
        Endpoint { server, started_at: known.start.at, zone, state, weight: known.entry.weight }
    }
}

/// True if `state` follows `other` in a server's life: ready, draining, removed.
pub(super) fn is_further_on(state: EndpointState, other: EndpointState) -> bool {
    state as u8 > other as u8
}
