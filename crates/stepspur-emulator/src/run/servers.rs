//! Starts and stops servers, and tells the node list about it after the plan's delay.

use std::sync::Arc;

use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_model::Micros;
use tokio::time::sleep;

use super::world::World;
use crate::node::Node;

/// The node list misses a silent server only after this many times its usual delay.
const SILENT_SERVER_DELAYS: u32 = 3;

impl World {
    /// The servers at these indices; indices without a server are ignored.
    pub(super) fn nodes_at<'a>(&'a self, indices: &'a [usize]) -> impl Iterator<Item = &'a Arc<Node>> {
        indices.iter().filter_map(|index| self.nodes.get(*index))
    }

    /// A server's entry in the node list.
    pub(super) fn record(&self, node: &Node, state: EndpointRecordState, started: Micros) -> EndpointRecord {
        EndpointRecord {
            address: node.address,
            zone: self.plan.zones[node.zone].0.clone(),
            state,
            weight: node.weight,
            started_unix_ms: started / 1000,
        }
    }

    /// Tells the node list a server's state, as late as `delays` times the plan's delay.
    fn update_list_later(
        self: &Arc<Self>,
        server: usize,
        state: EndpointRecordState,
        started: Micros,
        delays: u32,
    ) {
        let world = Arc::clone(self);
        let delay = self.plan.list_delay * delays;
        self.tasks.spawn(async move {
            sleep(delay).await;
            let record = world.record(&world.nodes[server], state, started);
            world.registry.set([record]);
        });
    }

    /// Starts a server, cold.
    pub(super) fn start_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].start();
        self.update_list_later(server, EndpointRecordState::Ready, self.trace.now(), 1);
    }

    /// Stops a server at once.
    pub(super) fn stop_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].stop();
        self.update_list_later(server, EndpointRecordState::Gone, 0, 1);
    }

    /// Drains a server.
    pub(super) fn drain_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].drain();
        self.update_list_later(server, EndpointRecordState::Draining, 0, 1);
    }

    /// Stops servers at once, or starts them again.
    pub(super) fn set_stopped(self: &Arc<Self>, servers: &[usize], stopped: bool) {
        for server in servers {
            if stopped { self.stop_server(*server) } else { self.start_server(*server) }
        }
    }

    /// Makes servers silent, or restarts them.
    pub(super) fn set_silent(self: &Arc<Self>, servers: &[usize], silent: bool) {
        for server in servers {
            self.nodes[*server].silent(silent);
            if silent {
                self.update_list_later(*server, EndpointRecordState::Gone, 0, SILENT_SERVER_DELAYS);
            } else {
                self.nodes[*server].stop();
                self.start_server(*server);
            }
        }
    }
}
