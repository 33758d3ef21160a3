//! Streams of proxies to their conductors: dials, frames both ways, reports.

use std::sync::Arc;

use rand::RngExt;
use stepspur_conductor::engine::{Input, StreamId};
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_proto::{FromConductor, FromProxy, VERSION, from_conductor, from_proxy, v1};

use super::schedule::Scheduled;
use super::state::Direction;
use super::{World, micros};

/// The shortest wait before a proxy dials again, in microseconds.
const REDIAL_LEAST: Micros = 1000;
/// A proxy that is not welcomed doubles its wait up to so many times the first.
const REDIAL_TIMES_MAX: Micros = 8;
/// Reports come no more often than this, in microseconds.
const REPORT_PERIOD_LEAST: Micros = 10_000;
/// A frame over a slow channel is read within so many seconds.
const READING_MAX_S: f64 = 5.0;

impl World {
    fn can_reach_conductor(&self, proxy: usize) -> bool {
        let state = &self.proxies[proxy];
        let conductor_zone = self.conductors[state.conductor].zone;
        state.impairment.cut_off == 0 && !self.links.between(state.zone, conductor_zone).cut
    }

    /// One way between a proxy and its conductor, now; none: it is cut, or lost.
    fn way_to_conductor(&mut self, proxy: usize) -> Option<Micros> {
        let state = &self.proxies[proxy];
        let (from, to) = (state.zone, self.conductors[state.conductor].zone);
        self.way(from, to)
    }

    /// A proxy dials its conductor.
    pub(super) fn dial(&mut self, proxy: usize) {
        if self.proxies[proxy].stream.is_some() {
            return;
        }
        let conductor = self.proxies[proxy].conductor;
        if !self.can_reach_conductor(proxy) || self.conductors[conductor].engine.is_none() {
            return self.redial(proxy, true);
        }
        let Some(way) = self.way_to_conductor(proxy) else { return self.redial(proxy, true) };
        self.next_stream += 1;
        let stream = StreamId(self.next_stream);
        let state = &mut self.proxies[proxy];
        (state.stream, state.welcomed, state.newest_arrival) = (Some(stream), false, [0, 0]);
        let hello = v1::Hello {
            version: VERSION,
            name: format!("p-{proxy}"),
            zone: self.plan.zones[state.zone].0.clone(),
            usual_rate: self.plan.rate / self.plan.proxies.len().max(1) as f64,
            fresh: state.model.fresh(),
            ..v1::Hello::default()
        };
        self.conductors[conductor].streams.insert(stream, proxy);
        self.send_in_order(proxy, stream, 3 * way, from_proxy::Kind::Hello(hello));
    }

    /// Dials again after a wait; `longer`: it was not welcomed.
    fn redial(&mut self, proxy: usize, longer: bool) {
        if self.options.baseline.is_some() {
            return;
        }
        let first = micros(self.plan.redial).max(REDIAL_LEAST);
        let state = &mut self.proxies[proxy];
        state.redial_wait =
            if longer { (state.redial_wait * 2).min(first * REDIAL_TIMES_MAX) } else { first };
        let jitter = self.rng.random_range(0.5..1.5);
        let at = self.now + (state.redial_wait as f64 * jitter) as Micros;
        self.schedule.put(at, Scheduled::Dial(proxy));
    }

    /// A proxy's stream is over; the conductor hears of it unless it ended it itself.
    pub(super) fn end_stream(&mut self, proxy: usize, is_heard: bool) {
        let state = &mut self.proxies[proxy];
        let Some(stream) = state.stream.take() else { return };
        let conductor = state.conductor;
        state.unread.clear();
        let was_welcomed = std::mem::take(&mut state.welcomed);
        self.conductors[conductor].streams.remove(&stream);
        if was_welcomed {
            self.note(Event::Down { proxy });
        }
        if is_heard {
            self.handle_input(conductor, Input::StreamEnded { stream });
        }
        self.redial(proxy, !was_welcomed);
    }

    /// When a frame arrives that would at this time: a stream keeps the order of its frames, however late some are.
    pub(super) fn arrival(&mut self, proxy: usize, direction: Direction, at: Micros) -> Micros {
        let newest = &mut self.proxies[proxy].newest_arrival[direction as usize];
        *newest = at.max(*newest);
        *newest
    }

    /// A frame of a proxy leaves, and arrives after all before it.
    fn send_in_order(&mut self, proxy: usize, stream: StreamId, way: Micros, kind: from_proxy::Kind) {
        let at = self.arrival(proxy, Direction::ToConductor, self.now + way);
        self.send_frame(proxy, stream, at, kind);
    }

    /// A frame of a proxy leaves, and arrives then.
    fn send_frame(&mut self, proxy: usize, stream: StreamId, at: Micros, kind: from_proxy::Kind) {
        let state = &self.proxies[proxy];
        let (epoch, sequence) = state.model.newest();
        let frame = Box::new(FromProxy::new(epoch, sequence, kind));
        self.schedule.put(at, Scheduled::FrameToConductor(state.conductor, stream, frame));
    }

    /// A frame reaches a conductor.
    pub(super) fn frame_arrives(&mut self, conductor: usize, stream: StreamId, frame: FromProxy) {
        if self.conductors[conductor].streams.contains_key(&stream) {
            self.handle_input(conductor, Input::Frame { stream, frame });
        }
    }

    /// A frame reaches a proxy, which reads it at once, later, or not at all.
    pub(super) fn deliver(&mut self, proxy: usize, stream: StreamId, frame: Arc<FromConductor>) {
        let state = &mut self.proxies[proxy];
        if state.stream != Some(stream) {
            return;
        }
        if state.impairment.stalled {
            state.unread.push((stream, frame));
            return;
        }
        if state.impairment.slow <= 1.0 && state.busy_until <= self.now {
            return self.read_frame(proxy, stream, &frame);
        }
        // A slow channel is read one frame after the other.
        let channel = &self.config.channel;
        let lines = match &frame.kind {
            Some(from_conductor::Kind::Order(order)) => order.cost() as f64 + channel.message_head,
            _ => 0.0,
        };
        let takes_s = lines / channel.lines_per_s * (state.impairment.slow - 1.0).max(0.0);
        let takes = (takes_s.min(READING_MAX_S) * 1e6) as Micros;
        state.busy_until = state.busy_until.max(self.now) + takes;
        self.schedule.put(state.busy_until, Scheduled::FrameRead(proxy, stream, frame));
    }

    /// A proxy reads a frame.
    pub(super) fn read_frame(&mut self, proxy: usize, stream: StreamId, frame: &FromConductor) {
        if self.proxies[proxy].stream != Some(stream) {
            return;
        }
        match &frame.kind {
            Some(from_conductor::Kind::Welcome(welcome)) => {
                self.take_welcome(proxy, stream, frame.epoch, welcome);
            }
            Some(from_conductor::Kind::Order(order)) => self.apply_order(proxy, stream, frame, order),
            Some(from_conductor::Kind::Goodbye(_)) => self.end_stream(proxy, false),
            _ => {}
        }
    }

    fn take_welcome(&mut self, proxy: usize, stream: StreamId, epoch: u64, welcome: &v1::Welcome) {
        let state = &mut self.proxies[proxy];
        state.model.welcome(epoch);
        state.welcomed = true;
        state.report_every = welcome.report_every_us.max(REPORT_PERIOD_LEAST);
        let conductor = state.conductor;
        let first = (state.report_every as f64 * self.rng.random_range(0.0..1.0)) as Micros;
        self.schedule.put(self.now + first, Scheduled::Report(proxy, stream));
        self.note(Event::Up { proxy, conductor });
    }

    fn apply_order(&mut self, proxy: usize, stream: StreamId, frame: &FromConductor, order: &v1::Order) {
        let lines = order.cost() as f64 + self.config.channel.message_head;
        self.orders += 1;
        let mark = self.proxies[proxy].model.apply(frame.epoch, frame.sequence, order);
        if self.options.judged {
            let order = Arc::new(order.clone());
            self.note(Event::Order { proxy, epoch: frame.epoch, order, lines });
        }
        let Some(mark) = mark else { return };
        if let Some(way) = self.way_to_conductor(proxy) {
            let applied = from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 });
            self.send_in_order(proxy, stream, way, applied);
        }
    }

    /// A proxy reports, and will again after its period.
    pub(super) fn send_report(&mut self, proxy: usize, stream: StreamId) {
        let state = &mut self.proxies[proxy];
        if state.stream != Some(stream) {
            return;
        }
        self.schedule.put(self.now + state.report_every, Scheduled::Report(proxy, stream));
        if state.impairment.stalled {
            return;
        }
        let late = state.impairment.late;
        let report = v1::Report { age_us: late, ..state.model.report(self.now) };
        let Some(way) = self.way_to_conductor(proxy) else { return };
        let kind = from_proxy::Kind::Report(report);
        if late > 0 {
            self.send_frame(proxy, stream, self.now + late + way, kind);
        } else {
            self.send_in_order(proxy, stream, way, kind);
        }
    }

    /// A trouble cuts a proxy off from its conductor, or ends.
    pub(super) fn cut_off(&mut self, proxy: usize, on: bool) {
        let impairment = &mut self.proxies[proxy].impairment;
        impairment.cut_off = if on { impairment.cut_off + 1 } else { impairment.cut_off.saturating_sub(1) };
        if on {
            self.end_stream(proxy, true);
        }
    }

    /// A proxy reads nothing, or all that has come meanwhile.
    pub(super) fn stall(&mut self, proxy: usize, on: bool) {
        self.proxies[proxy].impairment.stalled = on;
        self.note(Event::Reads { proxy, on: !on });
        for (stream, frame) in std::mem::take(&mut self.proxies[proxy].unread) {
            self.schedule.put(self.now, Scheduled::FrameToProxy(proxy, stream, frame));
        }
    }

    /// Streams over links that are cut now break.
    pub(super) fn break_cut_streams(&mut self) {
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].stream.is_some() && !self.can_reach_conductor(proxy) {
                self.end_stream(proxy, true);
            }
        }
    }
}
