//! The list of servers: what it learns, and whom it tells.

use std::sync::Arc;

use stepspur::interface::ListUpdate;
use stepspur_conductor::engine::{DiscoveredEndpoint, Input};
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_proto::v1;

use super::schedule::{ConductorLife, Scheduled};
use super::{World, address};
use crate::baseline::{Baseline, Ready};

/// A conductor that tracks the list is told of changes after so long, in microseconds.
const CHANGE_TIME: Micros = 500;
/// The places of servers that are listed and do not exist begin here.
const GHOST_PLACES: usize = 0xff_0000;

impl World {
    /// The list learns a server's state and start.
    pub(super) fn list_learns(&mut self, server: usize, state: EndpointRecordState, started: Micros) {
        self.servers[server].listed = Some((state, started));
        self.list_changed(vec![server]);
    }

    /// Conductors that track the list are told of changes; without one every proxy follows the list by itself.
    pub(super) fn list_changed(&mut self, servers: Vec<usize>) {
        self.apply_baseline();
        for conductor in 0..self.conductors.len() {
            let state = &self.conductors[conductor];
            if state.tracking && state.engine.is_some() {
                let to = self.life_of(conductor);
                self.schedule.put(self.now + CHANGE_TIME, Scheduled::ListChanges(to, servers.clone()));
            }
        }
    }

    /// The list answers a conductor with all servers.
    pub(super) fn tell_whole_list(&mut self, to: ConductorLife) {
        let mut records: Vec<EndpointRecord> =
            (0..self.servers.len()).filter_map(|server| self.record(server)).collect();
        records.retain(|record| record.state != EndpointRecordState::Gone);
        self.tell_list(to, true, records);
    }

    /// The list tells a conductor of changes.
    pub(super) fn tell_list_changes(&mut self, to: ConductorLife, servers: &[usize]) {
        let records = servers.iter().filter_map(|server| self.record(*server)).collect();
        self.tell_list(to, false, records);
    }

    fn tell_list(&mut self, to: ConductorLife, whole: bool, mut records: Vec<EndpointRecord>) {
        if !self.is_current(to) {
            return;
        }
        let conductor = to.conductor;
        if self.list_down {
            self.conductors[conductor].tracking = false;
            return self.handle_input(
                conductor,
                Input::EndpointList { update: ListUpdate::Failed, entries: Vec::new() },
            );
        }
        records.extend((0..self.ghosts).map(|ghost| self.ghost_record(ghost)));
        let entries: Vec<DiscoveredEndpoint> =
            records.iter().cloned().map(DiscoveredEndpoint::from).collect();
        self.note(Event::Told { conductor, whole, nodes: Arc::new(records) });
        let how = if whole { ListUpdate::Full } else { ListUpdate::Delta };
        self.handle_input(conductor, Input::EndpointList { update: how, entries });
    }

    /// What the list says of a server, if it names it.
    fn record(&self, server: usize) -> Option<EndpointRecord> {
        let state = &self.servers[server];
        let (listed, started) = state.listed?;
        let plan = &self.plan.servers[server];
        Some(EndpointRecord {
            address: address(server),
            zone: self.plan.zones[plan.zone].0.clone(),
            state: if state.hidden { EndpointRecordState::Gone } else { listed },
            weight: plan.weight,
            started_unix_ms: started / 1000,
        })
    }

    /// What the list says of a server that does not exist.
    fn ghost_record(&self, ghost: usize) -> EndpointRecord {
        EndpointRecord {
            address: address(GHOST_PLACES + ghost),
            zone: self.plan.zones[ghost % self.plan.zones.len()].0.clone(),
            state: EndpointRecordState::Ready,
            weight: 1.0,
            started_unix_ms: 0,
        }
    }

    /// Without a conductor every proxy follows the list by itself.
    pub(super) fn apply_baseline(&mut self) {
        let Some(baseline) = self.options.baseline else { return };
        let ready = self.listed_ready();
        // A list that cannot be had, or is empty, changes nothing.
        if self.list_down || ready.is_empty() {
            return;
        }
        let levels = Baseline::levels(&self.plan);
        for proxy in 0..self.proxies.len() {
            let chosen = baseline.choose(proxy, &self.plan, &ready);
            let line = |(server, _, weight): Ready| v1::Line {
                server: Some(address(server).into()),
                weight: weight as f32,
            };
            let lines = chosen.into_iter().map(line).collect();
            let table = v1::Table { lines, levels: levels.clone(), ..v1::Table::default() };
            let order = v1::Order { table: Some(table), ..v1::Order::default() };
            let model = &mut self.proxies[proxy].model;
            let (_, sequence) = model.newest();
            model.apply(0, sequence + 1, &order);
            self.orders += 1;
        }
    }

    fn listed_ready(&self) -> Vec<Ready> {
        let entry = |server: usize| {
            let plan = &self.plan.servers[server];
            (server, plan.zone, plan.weight)
        };
        (0..self.servers.len()).filter(|server| self.servers[*server].is_listed_ready()).map(entry).collect()
    }
}
