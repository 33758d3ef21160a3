//! Probes of conductors at servers.

use std::net::SocketAddr;

use stepspur::interface::ProbeOutcome;
use stepspur_conductor::engine::{Input, ProbeTarget};
use stepspur_emulator::plan::Lie;
use stepspur_model::server::Load;

use super::schedule::{Probe, Scheduled};
use super::{World, micros, place};

/// What a server reports that says it is busy when it is not.
const BUSY: Load = Load { rif: 50.0, q: 40.0, busy: 1.0, lat_ms: 0.0 };

impl World {
    /// The place of the server at an address.
    pub(super) fn server_at(&self, address: SocketAddr) -> Option<usize> {
        place(address).filter(|place| *place < self.servers.len())
    }

    /// A conductor sends a probe.
    pub(super) fn send_probe(&mut self, conductor: usize, target: ProbeTarget) {
        let probe = Probe { from: self.life_of(conductor), target, sent: self.now };
        if let Some(server) = self.server_at(target.address) {
            match self.way(self.conductors[conductor].zone, self.plan.servers[server].zone) {
                Some(way) => self.schedule.put(self.now + 3 * way, Scheduled::ProbeArrives(probe)),
                None => self.lose_probe(probe),
            }
        } else if place(target.address).is_some() {
            // A ghost: nobody listens there.
            let back = self.now + 2 * self.options.near;
            self.schedule.put(back, Scheduled::ProbeEnds(probe, ProbeOutcome::Unreachable, None));
        }
    }

    fn lose_probe(&mut self, probe: Probe) {
        let at = probe.sent + micros(self.config.probes.timeout);
        self.schedule.put(at, Scheduled::ProbeEnds(probe, ProbeOutcome::Timeout, None));
    }

    /// A probe reaches a server.
    pub(super) fn probe_arrives(&mut self, probe: Probe) {
        let now = self.now;
        let Some(server) = self.server_at(probe.target.address) else { return };
        let state = &mut self.servers[server];
        if !state.up {
            let back = now + self.options.near;
            self.schedule.put(back, Scheduled::ProbeEnds(probe, ProbeOutcome::Unreachable, None));
            return;
        }
        let load = if state.silent { None } else { state.model.probe(now) };
        let (from, to) = (self.plan.servers[server].zone, self.conductors[probe.from.conductor].zone);
        match (load, self.way(from, to)) {
            (Some(load), Some(way)) => {
                let shown = self.shown_load(server, load);
                self.schedule.put(now + way, Scheduled::ProbeEnds(probe, ProbeOutcome::Ok, Some(shown)));
            }
            _ => self.lose_probe(probe),
        }
        self.schedule_server(server);
    }

    /// The load that a server shows, which may be false.
    fn shown_load(&self, server: usize, load: Load) -> Load {
        let state = &self.servers[server];
        match state.lie {
            None => load,
            Some(Lie::Stuck) => state.stuck,
            Some(Lie::Busy) => Load { lat_ms: load.lat_ms, ..BUSY },
            Some(Lie::Times(times)) => Load {
                rif: load.rif * times,
                q: load.q * times,
                busy: load.busy * times,
                lat_ms: load.lat_ms * times,
            },
        }
    }

    /// A probe's outcome reaches its conductor.
    pub(super) fn probe_ends(&mut self, probe: Probe, outcome: ProbeOutcome, load: Option<Load>) {
        if !self.is_current(probe.from) {
            return;
        }
        let load = load.map(|load| self.load_columns(load)).unwrap_or_default();
        let Probe { from, target, sent } = probe;
        let latency = self.now - sent;
        self.handle_input(from.conductor, Input::ProbeResult { target, outcome, latency, load });
    }

    /// A load report in the order of the settings' columns; none where one is unknown.
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
