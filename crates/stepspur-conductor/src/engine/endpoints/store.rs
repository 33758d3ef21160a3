//! The store of all known servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stepspur::interface::{Endpoint, EndpointState, Micros, ServerId, ZoneId};

use super::super::input::ProbeTarget;
use super::super::mass_removal_guard::MassRemovalDetector;
use super::super::server_ids::ServerIds;
use super::known::KnownEndpoint;
use crate::config::MassRemovalGuard;

/// All servers that an endpoint list has contained and that are not forgotten yet.
#[derive(Debug)]
pub(crate) struct EndpointStore {
    /// Names of the zones; a zone's index is its id.
    zones: Vec<String>,
    pub(super) ids: ServerIds,
    pub(super) servers: BTreeMap<ServerId, KnownEndpoint>,
    /// Overridden states of servers that a list has contained.
    pub(super) overrides: BTreeMap<ServerId, EndpointState>,
    /// Overridden states of servers that no list has contained yet. They apply from the first list that does.
    pub(super) unlisted_overrides: BTreeMap<SocketAddr, EndpointState>,
    pub(super) mass_removal: MassRemovalDetector,
    /// The engine's time minus wall-clock time, in microseconds.
    pub(super) clock_offset: i64,
    /// When expired servers were last searched for.
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

    /// Returns the ids, names and addresses of the servers.
    pub(crate) fn ids(&self) -> &ServerIds {
        &self.ids
    }

    /// Returns true if a list has contained the server and it is not forgotten yet.
    pub(crate) fn contains(&self, server: ServerId) -> bool {
        self.servers.contains_key(&server)
    }

    /// Returns the server at an address, if a list has contained it.
    pub(crate) fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        self.ids.get(address).filter(|server| self.contains(*server))
    }

    /// Returns true if the server is listed as ready, whatever its override.
    pub(crate) fn is_ready(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|known| known.entry.state == EndpointState::Ready)
    }

    /// Returns the target of a probe of the server; `None` if the server is unknown.
    pub(crate) fn probe_target(&self, server: ServerId) -> Option<ProbeTarget> {
        let started = self.servers.get(&server)?.entry.started;
        Some(ProbeTarget { server, address: self.ids.address(server)?, started })
    }

    /// Returns the number of known servers, removed ones included.
    pub(crate) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns the number of servers that are listed in a state, whatever their overrides.
    pub(crate) fn count(&self, state: EndpointState) -> usize {
        self.servers.values().filter(|known| known.entry.state == state).count()
    }

    /// Records that the wall-clock time at `now` is `unix`, in microseconds since 1970.
    pub(crate) fn set_wall_clock(&mut self, now: Micros, unix: Micros) {
        self.clock_offset = now as i64 - unix as i64;
    }

    /// Returns when the complete list must next be fetched to confirm a mass removal; `None` if none is
    /// suspected.
    pub(crate) fn next_fetch_at(&self) -> Option<Micros> {
        self.mass_removal.next_fetch_at()
    }

    /// Returns true if the complete list must be fetched now, and then schedules the next fetch.
    pub(crate) fn take_due_fetch(&mut self, now: Micros) -> bool {
        self.mass_removal.take_due_fetch(now)
    }

    /// Returns the zone of this name; `None` if the deployment has no such zone.
    pub(super) fn zone(&self, name: &str) -> Option<ZoneId> {
        let index = self.zones.iter().position(|zone| zone == name)?;
        Some(ZoneId(index as u16))
    }

    /// Returns the server's entry for the decision module. An override applies unless the listed state is
    /// later in the lifecycle.
    pub(super) fn effective_entry(&self, server: ServerId, known: &KnownEndpoint) -> Endpoint {
        let listed = known.entry.state;
        let overridden = self.overrides.get(&server).copied();
        let state = overridden.filter(|state| is_later_in_lifecycle(*state, listed)).unwrap_or(listed);
        let zone = self.zone(&known.entry.zone).unwrap_or_default();
        Endpoint {
            server,
            started_at: known.start.at,
            zone,
            state,
            weight: known.entry.weight,
            possibly_ejected: known.possibly_ejected,
        }
    }
}

/// Returns true if `state` is later than `other` in a server's lifecycle: ready, draining, removed.
pub(super) fn is_later_in_lifecycle(state: EndpointState, other: EndpointState) -> bool {
    state as u8 > other as u8
}
