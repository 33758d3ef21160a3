//! Health probes of conductors at servers.

use std::net::SocketAddr;

use stepspur::interface::ProbeOutcome;
use stepspur_conductor::engine::{Input, ProbeTarget};
use stepspur_emulator::plan::FalseReport;
use stepspur_model::server::Load;

use super::schedule::{Probe, Scheduled};
use super::{World, micros, server_index};

/// The load that a server reports under [`FalseReport::Busy`], apart from its true latency.
const FALSE_BUSY_LOAD: Load = Load { rif: 50.0, q: 40.0, busy: 1.0, lat_ms: 0.0 };

impl World {
    /// Returns the index of the server at an address; `None` for a ghost or a foreign address.
    pub(super) fn server_at(&self, address: SocketAddr) -> Option<usize> {
        server_index(address).filter(|index| *index < self.servers.len())
    }

    /// Sends a probe from a conductor to a server over a new connection.
    pub(super) fn send_probe(&mut self, conductor: usize, target: ProbeTarget) {
        let probe = Probe { from: self.incarnation_of(conductor), target, sent: self.now };
        if let Some(server) = self.server_at(target.address) {
            match self.delay(self.conductors[conductor].zone, self.plan.servers[server].zone) {
                // One round trip opens the connection before the probe is sent.
                Some(delay) => self.schedule.push(self.now + 3 * delay, Scheduled::ProbeArrives(probe)),
                None => self.time_out_probe(probe),
            }
        } else if server_index(target.address).is_some() {
            // The server list named a server that does not exist; the connection is refused.
            let at = self.now + 2 * self.options.near;
            self.schedule.push(at, Scheduled::ProbeEnds(probe, ProbeOutcome::Unreachable, None));
        }
    }

    /// Schedules the timeout of a probe that gets no response.
    fn time_out_probe(&mut self, probe: Probe) {
        let at = probe.sent + micros(self.config.probes.timeout);
        self.schedule.push(at, Scheduled::ProbeEnds(probe, ProbeOutcome::Timeout, None));
    }

    /// Handles the arrival of a probe at its server.
    pub(super) fn probe_arrives(&mut self, probe: Probe) {
        let now = self.now;
        let Some(server) = self.server_at(probe.target.address) else { return };
        let state = &mut self.servers[server];
        if !state.up {
            let at = now + self.options.near;
            self.schedule.push(at, Scheduled::ProbeEnds(probe, ProbeOutcome::Unreachable, None));
            return;
        }
        let load = if state.unresponsive { None } else { state.model.probe(now) };
        let (from, to) = (self.plan.servers[server].zone, self.conductors[probe.from.conductor].zone);
        match (load, self.delay(from, to)) {
            (Some(load), Some(delay)) => {
                let reported = self.reported_load(server, load);
                self.schedule
                    .push(now + delay, Scheduled::ProbeEnds(probe, ProbeOutcome::Ok, Some(reported)));
            }
            _ => self.time_out_probe(probe),
        }
        self.schedule_server(server);
    }

    /// Returns the load that a server reports, which a fault may falsify.
    fn reported_load(&self, server: usize, load: Load) -> Load {
        let state = &self.servers[server];
        match state.false_report {
            None => load,
            Some(FalseReport::Stuck) => state.stuck_report,
            Some(FalseReport::Busy) => Load { lat_ms: load.lat_ms, ..FALSE_BUSY_LOAD },
            Some(FalseReport::Times(times)) => Load {
                rif: load.rif * times,
                q: load.q * times,
                busy: load.busy * times,
                lat_ms: load.lat_ms * times,
            },
        }
    }

    /// Passes the outcome of a probe to its conductor.
    pub(super) fn probe_ends(&mut self, probe: Probe, outcome: ProbeOutcome, load: Option<Load>) {
        if !self.is_current(probe.from) {
            return;
        }
        let load = load.map(|load| self.load_columns(load)).unwrap_or_default();
        let Probe { from, target, sent } = probe;
        let latency = self.now - sent;
        self.handle_input(from.conductor, Input::ProbeResult { target, outcome, latency, load });
    }

    /// Returns a load report as the configured columns; empty if a column is unknown.
    fn load_columns(&self, load: Load) -> Vec<f32> {
        let value = |name: &String| match name.as_str() {
            "rif" => Some(load.rif as f32),
            "q" => Some(load.q as f32),
            "busy" => Some(load.busy as f32),
            "lat_ms" => Some(load.lat_ms as f32),
            _ => None,
        };
        self.config.reports.load_columns.iter().map(value).collect::<Option<Vec<_>>>().unwrap_or_default()
    }
}
