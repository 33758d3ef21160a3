//! Remembers the newest probe of each server.

use std::collections::BTreeMap;

use stepspur::interface::ServerId;

use super::input::ProbeTarget;

/// Target of the newest probe of each server, whether or not its result has arrived.
#[derive(Debug, Default)]
pub(crate) struct PendingProbes {
    newest: BTreeMap<ServerId, ProbeTarget>,
}

impl PendingProbes {
    /// Records that a probe is requested.
    pub(crate) fn record_sent(&mut self, target: ProbeTarget) {
        self.newest.insert(target.server, target);
    }

    /// Returns true if the server's newest probe has this address and start.
    pub(crate) fn is_newest(&self, target: &ProbeTarget) -> bool {
        self.newest.get(&target.server) == Some(target)
    }

    /// Forgets a server that is no longer known.
    pub(crate) fn remove(&mut self, server: ServerId) {
        self.newest.remove(&server);
    }
}
