//! Starts and stops servers, and updates the node list after the delay of the plan.

use std::sync::Arc;

use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_model::Micros;
use tokio::time::sleep;

use super::world::World;
use crate::node::Node;

/// The node list drops an unresponsive server only after this many times its usual delay.
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

    /// Updates the state of a server in the node list after `delays` times the delay of the plan.
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

    /// Starts a server cold; the node list shows it as ready after its delay.
    pub(super) fn start_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].start();
        self.update_list_later(server, EndpointRecordState::Ready, self.trace.now(), 1);
    }

    /// Stops a server at once; the node list drops it after its delay.
    pub(super) fn stop_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].stop();
        self.update_list_later(server, EndpointRecordState::Gone, 0, 1);
    }

    /// Starts draining a server; the node list shows it as draining after its delay.
    pub(super) fn drain_server(self: &Arc<Self>, server: usize) {
        self.nodes[server].drain();
        self.update_list_later(server, EndpointRecordState::Draining, 0, 1);
    }

    /// Stops servers at once, or starts them cold.
    pub(super) fn set_stopped(self: &Arc<Self>, servers: &[usize], stopped: bool) {
        for server in servers {
            if stopped { self.stop_server(*server) } else { self.start_server(*server) }
        }
    }

    /// Makes servers unresponsive (they answer nothing and reset nothing), or restarts them cold.
    pub(super) fn set_silent(self: &Arc<Self>, servers: &[usize], silent: bool) {
        for server in servers {
            self.nodes[*server].set_silent(silent);
            if silent {
                self.update_list_later(*server, EndpointRecordState::Gone, 0, SILENT_SERVER_DELAYS);
            } else {
                self.nodes[*server].stop();
                self.start_server(*server);
            }
        }
    }
}
