//! The server list, as the service discovery of the fleet: its updates and its notifications to conductors.

use std::sync::Arc;

use stepspur::interface::ListUpdate;
use stepspur_conductor::engine::{DiscoveredEndpoint, Input};
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_proto::v1;

use super::schedule::{ConductorIncarnation, Scheduled};
use super::{World, address};
use crate::baseline::{Baseline, ReadyServer};

/// Delay of change notifications to conductors that watch the server list, in microseconds.
const LIST_CHANGE_DELAY: Micros = 500;
/// First index of ghosts: servers that are listed although they do not exist.
const FIRST_GHOST_INDEX: usize = 0xff_0000;

impl World {
    /// Records a server's state and start time in the list.
    pub(super) fn update_list(&mut self, server: usize, state: EndpointRecordState, started: Micros) {
        self.servers[server].listed = Some((state, started));
        self.notify_list_change(vec![server]);
    }

    /// Notifies watching conductors of changes, or recomputes the tables of the baseline.
    pub(super) fn notify_list_change(&mut self, servers: Vec<usize>) {
        self.apply_baseline();
        for conductor in 0..self.conductors.len() {
            let state = &self.conductors[conductor];
            if state.tracking && state.engine.is_some() {
                let to = self.incarnation_of(conductor);
                self.schedule.push(self.now + LIST_CHANGE_DELAY, Scheduled::ListChanges(to, servers.clone()));
            }
        }
    }

    /// Sends all listed servers to a conductor.
    pub(super) fn send_full_list(&mut self, to: ConductorIncarnation) {
        let mut records: Vec<EndpointRecord> =
            (0..self.servers.len()).filter_map(|server| self.record(server)).collect();
        records.retain(|record| record.state != EndpointRecordState::Gone);
        self.deliver_list(to, true, records);
    }

    /// Sends the present state of some servers to a conductor.
    pub(super) fn send_list_changes(&mut self, to: ConductorIncarnation, servers: &[usize]) {
        let records = servers.iter().filter_map(|server| self.record(*server)).collect();
        self.deliver_list(to, false, records);
    }

    /// Passes list entries to a conductor's engine, or a failure while the list is unavailable, which also
    /// ends the watch.
    fn deliver_list(&mut self, to: ConductorIncarnation, whole: bool, mut records: Vec<EndpointRecord>) {
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
        self.record_event(Event::Told { conductor, whole, nodes: Arc::new(records) });
        let kind = if whole { ListUpdate::Full } else { ListUpdate::Delta };
        self.handle_input(conductor, Input::EndpointList { update: kind, entries });
    }

    /// Returns the list entry of a server; `None` if it was never listed.
    fn record(&self, server: usize) -> Option<EndpointRecord> {
        let state = &self.servers[server];
        let (listed, started) = state.listed?;
        let plan = &self.plan.servers[server];
        Some(EndpointRecord {
            address: address(server),
            zone: self.plan.zones[plan.zone].0.clone(),
            state: if state.unlisted { EndpointRecordState::Gone } else { listed },
            weight: plan.weight,
            started_unix_ms: started / 1000,
        })
    }

    /// Returns the list entry of a server that does not exist.
    fn ghost_record(&self, ghost: usize) -> EndpointRecord {
        EndpointRecord {
            address: address(FIRST_GHOST_INDEX + ghost),
            zone: self.plan.zones[ghost % self.plan.zones.len()].0.clone(),
            state: EndpointRecordState::Ready,
            weight: 1.0,
            started_unix_ms: 0,
        }
    }

    /// Gives every proxy the table that the baseline computes from the list. Does nothing without a baseline.
    pub(super) fn apply_baseline(&mut self) {
        let Some(baseline) = self.options.baseline else { return };
        let ready = self.listed_ready();
        // While the list is unavailable or empty, proxies use their last tables.
        if self.list_down || ready.is_empty() {
            return;
        }
        let levels = Baseline::levels(&self.plan);
        for proxy in 0..self.proxies.len() {
            let chosen = baseline.choose(proxy, &self.plan, &ready);
            let line = |(server, _, weight): ReadyServer| v1::Line {
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

    /// Returns the servers that the list names as ready.
    fn listed_ready(&self) -> Vec<ReadyServer> {
        let entry = |server: usize| {
            let plan = &self.plan.servers[server];
            (server, plan.zone, plan.weight)
        };
        (0..self.servers.len()).filter(|server| self.servers[*server].is_listed_ready()).map(entry).collect()
    }
}
