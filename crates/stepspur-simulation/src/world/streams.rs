//! Streams between proxies and their conductors: connecting, frames in both directions, and reports.

use std::sync::Arc;

use rand::RngExt;
use stepspur_conductor::engine::{Input, StreamId};
use stepspur_emulator::trace::Event;
use stepspur_model::Micros;
use stepspur_proto::{FromConductor, FromProxy, VERSION, from_conductor, from_proxy, v1};

use super::schedule::Scheduled;
use super::state::Direction;
use super::{World, micros};

/// Shortest backoff before a proxy reconnects, in microseconds.
const MIN_REDIAL_WAIT: Micros = 1000;
/// Limit of a proxy's exponential backoff, in multiples of the first backoff.
const MAX_REDIAL_FACTOR: Micros = 8;
/// Shortest period of proxy reports, in microseconds.
const MIN_REPORT_PERIOD: Micros = 10_000;
/// Longest time to read one frame over a slow channel, in seconds.
const MAX_READ_TIME_S: f64 = 5.0;

impl World {
    /// Returns true if neither a fault of the proxy nor a cut link separates it from its conductor.
    fn can_reach_conductor(&self, proxy: usize) -> bool {
        let state = &self.proxies[proxy];
        let conductor_zone = self.conductors[state.conductor].zone;
        state.impairment.cut_off == 0 && !self.links.between(state.zone, conductor_zone).cut
    }

    /// Returns the present one-way delay between a proxy and its conductor; `None` if the link is cut.
    fn delay_to_conductor(&mut self, proxy: usize) -> Option<Micros> {
        let state = &self.proxies[proxy];
        let (from, to) = (state.zone, self.conductors[state.conductor].zone);
        self.delay(from, to)
    }

    /// Opens a proxy's stream to its conductor, or schedules another try if the conductor is unreachable.
    pub(super) fn dial(&mut self, proxy: usize) {
        if self.proxies[proxy].stream.is_some() {
            return;
        }
        let conductor = self.proxies[proxy].conductor;
        if !self.can_reach_conductor(proxy) || self.conductors[conductor].engine.is_none() {
            return self.redial(proxy, true);
        }
        let Some(delay) = self.delay_to_conductor(proxy) else { return self.redial(proxy, true) };
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
        // One round trip opens the connection before the frame is sent.
        self.send_in_order(proxy, stream, 3 * delay, from_proxy::Kind::Hello(hello));
    }

    /// Schedules a reconnect after a backoff with jitter. `longer` doubles the backoff, for a proxy that got
    /// no `Welcome`; otherwise it starts again at the first backoff.
    fn redial(&mut self, proxy: usize, longer: bool) {
        if self.options.baseline.is_some() {
            return;
        }
        let first = micros(self.plan.redial).max(MIN_REDIAL_WAIT);
        let state = &mut self.proxies[proxy];
        state.redial_wait =
            if longer { (state.redial_wait * 2).min(first * MAX_REDIAL_FACTOR) } else { first };
        let jitter = self.rng.random_range(0.5..1.5);
        let at = self.now + (state.redial_wait as f64 * jitter) as Micros;
        self.schedule.push(at, Scheduled::Dial(proxy));
    }

    /// Ends a proxy's stream and schedules a reconnect. `notify_conductor` is false if the conductor itself
    /// ended it.
    pub(super) fn end_stream(&mut self, proxy: usize, notify_conductor: bool) {
        let state = &mut self.proxies[proxy];
        let Some(stream) = state.stream.take() else { return };
        let conductor = state.conductor;
        state.unread.clear();
        let was_welcomed = std::mem::take(&mut state.welcomed);
        self.conductors[conductor].streams.remove(&stream);
        if was_welcomed {
            self.record_event(Event::Down { proxy });
        }
        if notify_conductor {
            self.handle_input(conductor, Input::StreamEnded { stream });
        }
        self.redial(proxy, !was_welcomed);
    }

    /// Returns the arrival time of a frame that is due at `at`: not before the frames sent earlier, since a
    /// stream keeps their order.
    pub(super) fn arrival(&mut self, proxy: usize, direction: Direction, at: Micros) -> Micros {
        let newest = &mut self.proxies[proxy].newest_arrival[direction as usize];
        *newest = at.max(*newest);
        *newest
    }

    /// Sends a frame from a proxy, which arrives after `delay` and after all frames sent in order before it.
    fn send_in_order(&mut self, proxy: usize, stream: StreamId, delay: Micros, kind: from_proxy::Kind) {
        let at = self.arrival(proxy, Direction::ToConductor, self.now + delay);
        self.send_frame(proxy, stream, at, kind);
    }

    /// Sends a frame from a proxy, which arrives at `at`.
    fn send_frame(&mut self, proxy: usize, stream: StreamId, at: Micros, kind: from_proxy::Kind) {
        let state = &self.proxies[proxy];
        let (epoch, sequence) = state.model.newest();
        let frame = Box::new(FromProxy::new(epoch, sequence, kind));
        self.schedule.push(at, Scheduled::FrameToConductor(state.conductor, stream, frame));
    }

    /// Passes a frame to a conductor, unless its stream has ended.
    pub(super) fn frame_arrives(&mut self, conductor: usize, stream: StreamId, frame: FromProxy) {
        if self.conductors[conductor].streams.contains_key(&stream) {
            self.handle_input(conductor, Input::Frame { stream, frame });
        }
    }

    /// Handles the arrival of a frame at a proxy, which reads it at once, after a delay (slow channel), or
    /// not until it is no longer stalled.
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
        // Over a slow channel, frames are read one after the other, in proportion to their lines.
        let channel = &self.config.channel;
        let lines = match &frame.kind {
            Some(from_conductor::Kind::Order(order)) => order.line_count() as f64 + channel.message_head,
            _ => 0.0,
        };
        let read_time_s = lines / channel.lines_per_s * (state.impairment.slow - 1.0).max(0.0);
        let read_time = (read_time_s.min(MAX_READ_TIME_S) * 1e6) as Micros;
        state.busy_until = state.busy_until.max(self.now) + read_time;
        self.schedule.push(state.busy_until, Scheduled::FrameRead(proxy, stream, frame));
    }

    /// Handles a frame that a proxy has read, unless its stream has ended.
    pub(super) fn read_frame(&mut self, proxy: usize, stream: StreamId, frame: &FromConductor) {
        if self.proxies[proxy].stream != Some(stream) {
            return;
        }
        match &frame.kind {
            Some(from_conductor::Kind::Welcome(welcome)) => {
                self.handle_welcome(proxy, stream, frame.epoch, welcome);
            }
            Some(from_conductor::Kind::Order(order)) => self.apply_order(proxy, stream, frame, order),
            Some(from_conductor::Kind::Goodbye(_)) => self.end_stream(proxy, false),
            _ => {}
        }
    }

    /// Handles `Welcome`: the first report follows after a random part of the report period.
    fn handle_welcome(&mut self, proxy: usize, stream: StreamId, epoch: u64, welcome: &v1::Welcome) {
        let state = &mut self.proxies[proxy];
        state.model.welcome(epoch);
        state.welcomed = true;
        state.report_every = welcome.report_every_us.max(MIN_REPORT_PERIOD);
        let conductor = state.conductor;
        let first = (state.report_every as f64 * self.rng.random_range(0.0..1.0)) as Micros;
        self.schedule.push(self.now + first, Scheduled::Report(proxy, stream));
        self.record_event(Event::Up { proxy, conductor });
    }

    /// Applies an order and acknowledges its mark, if it carries one.
    fn apply_order(&mut self, proxy: usize, stream: StreamId, frame: &FromConductor, order: &v1::Order) {
        let lines = order.line_count() as f64 + self.config.channel.message_head;
        self.orders += 1;
        let mark = self.proxies[proxy].model.apply(frame.epoch, frame.sequence, order);
        if self.options.judged {
            let order = Arc::new(order.clone());
            self.record_event(Event::Order { proxy, epoch: frame.epoch, order, lines });
        }
        let Some(mark) = mark else { return };
        if let Some(delay) = self.delay_to_conductor(proxy) {
            let applied = from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 });
            self.send_in_order(proxy, stream, delay, applied);
        }
    }

    /// Sends a proxy's report and schedules the next one. A stalled proxy sends none.
    pub(super) fn send_report(&mut self, proxy: usize, stream: StreamId) {
        let state = &mut self.proxies[proxy];
        if state.stream != Some(stream) {
            return;
        }
        self.schedule.push(self.now + state.report_every, Scheduled::Report(proxy, stream));
        if state.impairment.stalled {
            return;
        }
        let late = state.impairment.late;
        let report = v1::Report { age_us: late, ..state.model.report(self.now) };
        let Some(delay) = self.delay_to_conductor(proxy) else { return };
        let kind = from_proxy::Kind::Report(report);
        if late > 0 {
            self.send_frame(proxy, stream, self.now + late + delay, kind);
        } else {
            self.send_in_order(proxy, stream, delay, kind);
        }
    }

    /// Begins or ends a fault that disconnects a proxy from its conductor.
    pub(super) fn cut_off(&mut self, proxy: usize, on: bool) {
        let impairment = &mut self.proxies[proxy].impairment;
        impairment.cut_off = if on { impairment.cut_off + 1 } else { impairment.cut_off.saturating_sub(1) };
        if on {
            self.end_stream(proxy, true);
        }
    }

    /// Begins or ends a stall: a stalled proxy reads no frames, and reads all of them when the stall ends.
    pub(super) fn stall(&mut self, proxy: usize, on: bool) {
        self.proxies[proxy].impairment.stalled = on;
        self.record_event(Event::Reads { proxy, on: !on });
        for (stream, frame) in std::mem::take(&mut self.proxies[proxy].unread) {
            self.schedule.push(self.now, Scheduled::FrameToProxy(proxy, stream, frame));
        }
    }

    /// Ends the streams over links that are cut now.
    pub(super) fn break_cut_streams(&mut self) {
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].stream.is_some() && !self.can_reach_conductor(proxy) {
                self.end_stream(proxy, true);
            }
        }
    }
}
