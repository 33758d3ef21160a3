//! Requests health checks and handles their results.
//!
//! An address does not identify a server: if the list names servers, another server may have the address
//! before the probe's response arrives, and a restarted server is another process at the same address. A
//! result is therefore used only while the list has the server with the address and start that were probed.
//! Otherwise the decision module still expects a result, so the server is probed again, once for each address
//! and start.

use stepspur::interface::{Event, Micros, ProbeOutcome, ServerId};

use super::input::ProbeTarget;
use super::output::Output;
use super::state::Engine;

impl Engine {
    /// Requests a probe of a server at its current address; ignored if no list has contained the server.
    pub(super) fn probe(&mut self, server: ServerId) {
        let Some(target) = self.endpoints.probe_target(server) else { return };
        self.probes.record_sent(target);
        self.outputs.push_back(Output::Probe { target });
    }

    /// Handles the result of a probe; `latency` is in microseconds. If the server has moved or restarted
    /// since the probe, the result is dropped, and the server is probed again unless its current address and
    /// start have already been probed.
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
