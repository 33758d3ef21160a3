//! Conductors: running their engines in virtual time and carrying out the engines' outputs.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use stepspur_conductor::engine::{Engine, Input, Output, StreamId};
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_proto::{FromConductor, decode_frame};

use super::World;
use super::schedule::{ConductorIncarnation, Scheduled};
use super::state::Direction;

/// Response time of the server list to a conductor's fetch, in microseconds.
const LIST_RESPONSE_DELAY: Micros = 1000;

impl World {
    /// Starts a conductor's process with a new engine and a new epoch.
    pub(super) fn start_conductor(&mut self, conductor: usize) {
        let incarnation = self.conductors[conductor].incarnation + 1;
        let epoch = self.now + conductor as u64;
        let engine = Engine::new(self.config.clone(), epoch, self.plan.seed ^ incarnation, self.now);
        let state = &mut self.conductors[conductor];
        (state.engine, state.incarnation, state.tracking) = (Some(engine), incarnation, false);
        state.wake_at = Micros::MAX;
        self.record_event(Event::Conductor { conductor, up: true });
        self.run_engine(conductor);
    }

    /// Kills a conductor's process; its streams end.
    pub(super) fn kill_conductor(&mut self, conductor: usize) {
        self.conductors[conductor].engine = None;
        self.conductors[conductor].incarnation += 1;
        self.record_event(Event::Conductor { conductor, up: false });
        let proxies: Vec<usize> = self.conductors[conductor].streams.values().copied().collect();
        for proxy in proxies {
            self.end_stream(proxy, false);
        }
        self.conductors[conductor].streams.clear();
    }

    /// Returns the present incarnation of a conductor.
    pub(super) fn incarnation_of(&self, conductor: usize) -> ConductorIncarnation {
        ConductorIncarnation { conductor, incarnation: self.conductors[conductor].incarnation }
    }

    /// Returns true if the conductor has neither stopped nor started since this incarnation.
    pub(super) fn is_current(&self, of: ConductorIncarnation) -> bool {
        self.incarnation_of(of.conductor) == of
    }

    /// Passes an input to a conductor's engine and carries out the outputs.
    pub(super) fn handle_input(&mut self, conductor: usize, input: Input) {
        let (now, started_at) = (self.now, Instant::now());
        let Some(engine) = &mut self.conductors[conductor].engine else { return };
        engine.handle(now, input);
        self.engine_time += started_at.elapsed();
        self.run_engine(conductor);
    }

    /// Runs a conductor's engine when its timer is due.
    pub(super) fn wake_engine(&mut self, of: ConductorIncarnation) {
        if self.is_current(of) && self.conductors[of.conductor].wake_at <= self.now {
            self.conductors[of.conductor].wake_at = Micros::MAX;
            self.run_engine(of.conductor);
        }
    }

    /// Carries out all outputs of an engine and schedules its next timer.
    fn run_engine(&mut self, conductor: usize) {
        while let Some(output) = self.poll_engine(conductor) {
            self.execute(conductor, output);
        }
        let state = &mut self.conductors[conductor];
        let Some(at) = state.engine.as_ref().and_then(Engine::next_at) else { return };
        if at < state.wake_at {
            state.wake_at = at.max(self.now + 1);
            let wake_at = state.wake_at;
            self.schedule.push(wake_at, Scheduled::EngineDue(self.incarnation_of(conductor)));
        }
    }

    /// Returns the next output of an engine, and measures the wall-clock time that it takes.
    fn poll_engine(&mut self, conductor: usize) -> Option<Output> {
        let started_at = Instant::now();
        let output = self.conductors[conductor].engine.as_mut()?.poll(self.now);
        self.engine_time += started_at.elapsed();
        output
    }

    fn execute(&mut self, conductor: usize, output: Output) {
        match output {
            Output::Send { stream, frame } => self.send_to_proxy(conductor, stream, frame),
            Output::Close { stream, .. } => {
                if let Some(proxy) = self.conductors[conductor].streams.remove(&stream) {
                    self.end_stream(proxy, false);
                }
            }
            Output::Probe { target } => self.send_probe(conductor, target),
            Output::WatchEndpoints => {
                self.conductors[conductor].tracking = true;
                self.fetch_list(conductor);
            }
            Output::FetchEndpoints => self.fetch_list(conductor),
            Output::Log(_) => {}
        }
    }

    /// Schedules a full server list for a conductor.
    fn fetch_list(&mut self, conductor: usize) {
        let from = self.incarnation_of(conductor);
        self.schedule.push(self.now + LIST_RESPONSE_DELAY, Scheduled::FullList(from));
    }

    /// Sends a frame on a stream from a conductor to a proxy; over a cut link the frame is lost.
    fn send_to_proxy(&mut self, conductor: usize, stream: StreamId, frame: Bytes) {
        let Some(proxy) = self.conductors[conductor].streams.get(&stream).copied() else { return };
        let Some(frame) = self.decode(frame) else { return };
        let (from, to) = (self.conductors[conductor].zone, self.proxies[proxy].zone);
        if let Some(delay) = self.delay(from, to) {
            let at = self.arrival(proxy, Direction::ToProxy, self.now + delay);
            self.schedule.push(at, Scheduled::FrameToProxy(proxy, stream, frame));
        }
    }

    /// Decodes a frame, or returns the last decoded one if the bytes are the same memory: a frame that goes
    /// to many proxies is decoded once. Holding the bytes prevents another frame from being allocated at that
    /// address.
    fn decode(&mut self, frame: Bytes) -> Option<Arc<FromConductor>> {
        let is_same = |cached: &Bytes| (cached.as_ptr(), cached.len()) == (frame.as_ptr(), frame.len());
        if let Some((_, decoded)) = self.decoded.as_ref().filter(|(cached, _)| is_same(cached)) {
            return Some(Arc::clone(decoded));
        }
        let decoded = Arc::new(decode_frame::<FromConductor>(&frame).ok()?);
        self.decoded = Some((frame, Arc::clone(&decoded)));
        Some(decoded)
    }
}
