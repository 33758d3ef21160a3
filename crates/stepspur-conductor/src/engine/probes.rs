//! Probes: what each was sent to, so that its outcome counts for that alone.
//!
//! An address is no server: where a list names servers, another may have the address before a probe of the first is
//! answered, and a server that restarts is another process at the same address. An outcome therefore counts only while
//! the list has the server at the address and with the start that the probe was sent to. The decisions still wait for
//! an outcome of a server that moved or restarted meanwhile: it is probed again, once for each address and start.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stepspur::interface::{Event, Micros, ProbeOutcome, ServerId};

use super::{Engine, Output};

/// What a probe is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The server.
    pub server: ServerId,
    /// Its address when the probe was ordered.
    pub address: SocketAddr,
    /// Its last start as the list told it then, microseconds since 1970; 0: long ago.
    pub started: Micros,
}

/// The newest probe of each server.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    newest: BTreeMap<ServerId, ProbeTarget>,
}

impl Probes {
    /// A probe is sent.
    pub(crate) fn sent(&mut self, target: ProbeTarget) {
        self.newest.insert(target.server, target);
    }

    /// True: the newest probe of the server was sent to this address and start.
    pub(crate) fn is_newest(&self, target: &ProbeTarget) -> bool {
        self.newest.get(&target.server) == Some(target)
    }

    /// Forgets a server.
    pub(crate) fn forget(&mut self, server: ServerId) {
        self.newest.remove(&server);
    }
}

impl Engine {
    /// Sends a probe to a server where the list has it now.
    pub(super) fn probe(&mut self, server: ServerId) {
        let Some(target) = self.servers.probe_target(server) else { return };
        self.probes.sent(target);
        self.out.push_back(Output::Probe { target });
    }

    /// Takes the outcome of a probe. Where its server has moved or restarted since, the outcome tells nothing of it,
    /// and it is probed again if no later probe has been sent there.
    pub(super) fn take_outcome(
        &mut self,
        target: ProbeTarget,
        outcome: ProbeOutcome,
        latency: Micros,
        load: Vec<f32>,
    ) {
        let server = target.server;
        let Some(current) = self.servers.probe_target(server) else { return };
        if current == target {
            let load = if load.iter().all(|value| value.is_finite()) { load } else { Vec::new() };
            self.batch.push(Event::ProbeResult { server, outcome, latency, load });
        } else if self.servers.is_ready(server) && !self.probes.is_newest(&current) {
            self.probe(server);
        }
    }
}
