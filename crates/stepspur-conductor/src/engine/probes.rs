//! Requests health checks and handles their results; a result counts only for what its probe was sent to.
//!
//! An address is not a server: where a list names servers, another one may have the address before the probe
//! is answered, and a server that restarts is another process at the same address. A result counts only while
//! the list has the server at the address and with the start that the probe was sent to. The decision module
//! still waits for the result of a server that moved or restarted meanwhile: it is probed again, once for
//! each address and start.

use stepspur::interface::{Event, Micros, ProbeOutcome, ServerId};

use super::input::ProbeTarget;
use super::output::Output;
use super::state::Engine;

impl Engine {
    /// Requests a probe of a server at its current address; a server that is not listed is ignored.
    pub(super) fn probe(&mut self, server: ServerId) {
        let Some(target) = self.endpoints.probe_target(server) else { return };
        self.probes.record_sent(target);
        self.outputs.push_back(Output::Probe { target });
    }

    /// Handles the result of a probe. If the server has moved or restarted since, the result is dropped, and
    /// the server is probed again unless a later probe has already been sent there.
    pub(super) fn handle_probe_result(
        &mut self,
        target: ProbeTarget,
        outcome: ProbeOutcome,
        latency: Micros,
        load: Vec<f32>,
    ) {
        let server = target.server;
        let Some(current) = self.endpoints.probe_target(server) else { return };
        if current == target {
            let load = if load.iter().all(|value| value.is_finite()) { load } else { Vec::new() };
            self.batch.push(Event::ProbeResult { server, outcome, latency, load });
        } else if self.endpoints.is_ready(server) && !self.probes.is_newest(&current) {
            self.probe(server);
        }
    }
}
