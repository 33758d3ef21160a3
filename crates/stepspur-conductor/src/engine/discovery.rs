//! Handles updates of the endpoint list.

use stepspur::interface::{ListUpdate, Micros};

use super::input::DiscoveredEndpoint;
use super::output::LogEvent;
use super::state::Engine;

impl Engine {
    /// Merges an update of the endpoint list, logs its invalid entries and passes the changes to the decision
    /// module.
    pub(super) fn handle_endpoint_list(
        &mut self,
        now: Micros,
        update: ListUpdate,
        entries: Vec<DiscoveredEndpoint>,
    ) {
        if update != ListUpdate::Failed {
            self.meter.record_list_change(now);
        }
        let change = self.endpoints.merge(now, update, entries);
        for server in change.possibly_ejected {
            self.tables.mark_possibly_ejected(server);
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
