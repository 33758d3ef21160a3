//! Handles updates of the endpoint list.

use stepspur::interface::{ListUpdate, Micros};

use super::input::DiscoveredEndpoint;
use super::output::LogEvent;
use super::state::Engine;

impl Engine {
    /// Merges an update of the endpoint list and passes what changed to the decision module.
    pub(super) fn handle_endpoint_list(
        &mut self,
        now: Micros,
        update: ListUpdate,
        entries: Vec<DiscoveredEndpoint>,
    ) {
        let change = self.endpoints.merge(now, update, entries);
        for server in change.interrupted {
            self.tables.mark_interrupted(server);
        }
        for event in change.log {
            if matches!(event, LogEvent::InvalidEntry { .. }) {
                self.stats.invalid_inputs += 1;
            }
            self.log(event);
        }
        self.batch.push(change.event);
    }
}
