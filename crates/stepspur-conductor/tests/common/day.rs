//! An engine in given time, with proxies that hold what their frames say.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use stepspur::interface::ListUpdate;
use stepspur_conductor::config::Config;
use stepspur_conductor::engine::{DiscoveredEndpoint, Engine, Input, LogEvent, Output, StreamId};
use stepspur_proto::{FromConductor, FromProxy, from_conductor, from_proxy, split_frame, v1};

use super::hello;
use super::rules::Rules;

pub(crate) const EPOCH: u64 = 7;
pub(crate) const SECOND: u64 = 1_000_000;
pub(crate) const START: u64 = 1_000 * SECOND;

/// An engine, its time, and what each stream holds by the frames that it was sent.
pub(crate) struct Day {
    pub engine: Engine,
    pub now: u64,
    pub rules: Rules,
    pub marks: Vec<(StreamId, u32)>,
    pub closed: Vec<(StreamId, v1::Reason)>,
    pub notes: Vec<LogEvent>,
    pub outputs: Vec<Output>,
    /// False: proxies answer no marks.
    pub answers: bool,
}

impl Day {
    pub(crate) fn new(config: Config) -> Self {
        let rules = Rules::new(&config);
        let engine = Engine::new(config, EPOCH, 1, START);
        let (marks, closed, notes, outputs) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        Self { engine, now: START, rules, marks, closed, notes, outputs, answers: true }
    }

    /// A list that tells the truth.
    pub(crate) fn list(&mut self, how: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        self.rules.truth(self.now, &entries);
        self.say(how, entries);
    }

    /// A list that is late, wrong or not wholly there.
    pub(crate) fn say(&mut self, how: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        self.engine.handle(self.now, Input::EndpointList { update: how, entries });
    }

    pub(crate) fn frame(&mut self, stream: u64, frame: FromProxy) {
        self.engine.handle(self.now, Input::Frame { stream: StreamId(stream), frame });
    }

    pub(crate) fn join(&mut self, stream: u64, name: &str, zone: &str) {
        self.rules.joined(stream, self.now);
        self.frame(stream, hello(name, zone));
    }

    pub(crate) fn end(&mut self, stream: u64) {
        self.rules.left(stream);
        self.engine.handle(self.now, Input::StreamEnded { stream: StreamId(stream) });
    }

    /// Lets time pass, acting on all that comes out.
    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            while let Some(output) = self.engine.poll(self.now) {
                self.outputs.push(output.clone());
                match output {
                    Output::Send { stream, frame } => self.read(stream, &frame),
                    Output::Close { stream, reason, .. } => {
                        self.rules.left(stream.0);
                        self.closed.push((stream, reason));
                    }
                    Output::Log(note) => self.notes.push(note),
                    _ => {}
                }
            }
            self.rules.check(self.now);
            if self.answers {
                for (stream, mark) in std::mem::take(&mut self.marks) {
                    self.answer(stream, mark, EPOCH);
                }
            }
            let next = self.engine.next_at().unwrap_or(end).max(self.now + 1);
            if next > end {
                break;
            }
            self.now = next;
        }
        self.now = end;
    }

    pub(crate) fn answer(&mut self, stream: StreamId, mark: u32, epoch: u64) {
        let applied = from_proxy::Kind::Applied(v1::Applied { mark, took_us: 1 });
        self.frame(stream.0, FromProxy::new(epoch, 0, applied));
    }

    fn read(&mut self, stream: StreamId, frame: &[u8]) {
        let frame: FromConductor = split_frame(frame).unwrap();
        assert_eq!(frame.epoch, EPOCH);
        let Some(from_conductor::Kind::Order(order)) = frame.kind else { return };
        self.rules.order(stream.0, self.now, &order);
        self.marks.extend(order.mark.map(|mark| (stream, mark)));
    }

    pub(crate) fn names(&self, stream: u64) -> BTreeSet<SocketAddr> {
        self.rules.held(stream).into_keys().collect()
    }

    /// The end of a test with faults: all is settled, and the five rules were kept.
    pub(crate) fn close(mut self) {
        self.run(SECOND);
        self.rules.end(self.now, &self.engine.stats());
    }
}
