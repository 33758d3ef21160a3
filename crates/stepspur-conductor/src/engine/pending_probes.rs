//! The newest probe that was requested of each server.

use std::collections::BTreeMap;

use stepspur::interface::ServerId;

use super::input::ProbeTarget;

/// The newest probe of each server.
#[derive(Debug, Default)]
pub(crate) struct PendingProbes {
    newest: BTreeMap<ServerId, ProbeTarget>,
}

impl PendingProbes {
    /// Records that a probe is sent.
    pub(crate) fn record_sent(&mut self, target: ProbeTarget) {
        self.newest.insert(target.server, target);
    }

    /// True if the server's newest probe was sent to this address and start.
    pub(crate) fn is_newest(&self, target: &ProbeTarget) -> bool {
        self.newest.get(&target.server) == Some(target)
    }

    /// Forgets a server.
    pub(crate) fn remove(&mut self, server: ServerId) {
        self.newest.remove(&server);
    }
}
