//! Conductors: their engines in virtual time.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use stepspur_conductor::engine::{Engine, Input, Output, StreamId};
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_proto::{FromConductor, split_frame};

use super::World;
use super::schedule::{ConductorLife, Scheduled};
use super::state::Direction;

/// The list answers a conductor after so long, in microseconds.
const LIST_ANSWER_TIME: Micros = 1000;

impl World {
    /// A conductor's process starts.
    pub(super) fn start_conductor(&mut self, conductor: usize) {
        let life = self.conductors[conductor].life + 1;
        let epoch = self.now + conductor as u64;
        let engine = Engine::new(self.config.clone(), epoch, self.plan.seed ^ life, self.now);
        let state = &mut self.conductors[conductor];
        (state.engine, state.life, state.tracking) = (Some(engine), life, false);
        state.wake = Micros::MAX;
        self.note(Event::Conductor { conductor, up: true });
        self.run_engine(conductor);
    }

    /// A conductor's process ends.
    pub(super) fn kill_conductor(&mut self, conductor: usize) {
        self.conductors[conductor].engine = None;
        self.conductors[conductor].life += 1;
        self.note(Event::Conductor { conductor, up: false });
        let proxies: Vec<usize> = self.conductors[conductor].streams.values().copied().collect();
        for proxy in proxies {
            self.end_stream(proxy, false);
        }
        self.conductors[conductor].streams.clear();
    }

    /// Which start of a conductor this is.
    pub(super) fn life_of(&self, conductor: usize) -> ConductorLife {
        ConductorLife { conductor, life: self.conductors[conductor].life }
    }

    /// True: it has neither ended nor started since.
    pub(super) fn is_current(&self, of: ConductorLife) -> bool {
        self.life_of(of.conductor) == of
    }

    /// Something happened to a conductor.
    pub(super) fn handle_input(&mut self, conductor: usize, input: Input) {
        let (now, begun) = (self.now, Instant::now());
        let Some(engine) = &mut self.conductors[conductor].engine else { return };
        engine.handle(now, input);
        self.engine_time += begun.elapsed();
        self.run_engine(conductor);
    }

    /// A conductor has something to do.
    pub(super) fn wake_engine(&mut self, of: ConductorLife) {
        if self.is_current(of) && self.conductors[of.conductor].wake <= self.now {
            self.conductors[of.conductor].wake = Micros::MAX;
            self.run_engine(of.conductor);
        }
    }

    /// Does what an engine orders, and schedules it for when it is next due.
    fn run_engine(&mut self, conductor: usize) {
        while let Some(output) = self.poll_engine(conductor) {
            self.carry_out(conductor, output);
        }
        let state = &mut self.conductors[conductor];
        let Some(at) = state.engine.as_ref().and_then(Engine::next_at) else { return };
        if at < state.wake {
            state.wake = at.max(self.now + 1);
            let wake = state.wake;
            self.schedule.put(wake, Scheduled::Engine(self.life_of(conductor)));
        }
    }

    fn poll_engine(&mut self, conductor: usize) -> Option<Output> {
        let begun = Instant::now();
        let output = self.conductors[conductor].engine.as_mut()?.poll(self.now);
        self.engine_time += begun.elapsed();
        output
    }

    fn carry_out(&mut self, conductor: usize, output: Output) {
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
                self.ask_list(conductor);
            }
            Output::FetchEndpoints => self.ask_list(conductor),
            Output::Log(_) => {}
        }
    }

    fn ask_list(&mut self, conductor: usize) {
        let from = self.life_of(conductor);
        self.schedule.put(self.now + LIST_ANSWER_TIME, Scheduled::WholeList(from));
    }

    fn send_to_proxy(&mut self, conductor: usize, stream: StreamId, frame: Bytes) {
        let Some(proxy) = self.conductors[conductor].streams.get(&stream).copied() else { return };
        let Some(frame) = self.decode(frame) else { return };
        let (from, to) = (self.conductors[conductor].zone, self.proxies[proxy].zone);
        if let Some(way) = self.way(from, to) {
            let at = self.arrival(proxy, Direction::ToProxy, self.now + way);
            self.schedule.put(at, Scheduled::FrameToProxy(proxy, stream, frame));
        }
    }

    /// Frames for many proxies are the same bytes: each is decoded once. The bytes are kept with what they say, so
    /// that no other frame can come to lie at the same address.
    fn decode(&mut self, frame: Bytes) -> Option<Arc<FromConductor>> {
        let same = |kept: &Bytes| (kept.as_ptr(), kept.len()) == (frame.as_ptr(), frame.len());
        if let Some((_, decoded)) = self.decoded.as_ref().filter(|(kept, _)| same(kept)) {
            return Some(Arc::clone(decoded));
        }
        let decoded = Arc::new(split_frame::<FromConductor>(&frame).ok()?);
        self.decoded = Some((frame, Arc::clone(&decoded)));
        Some(decoded)
    }
}
