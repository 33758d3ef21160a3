//! Runs an engine in virtual time, with proxies that keep what their frames say.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use stepspur::interface::ListUpdate;
use stepspur_conductor::config::Config;
use stepspur_conductor::engine::{DiscoveredEndpoint, Engine, Input, LogEvent, Output, StreamId};
use stepspur_proto::{FromConductor, FromProxy, from_conductor, from_proxy, split_frame, v1};

use super::hello;
use super::rules::Rules;

pub(crate) const EPOCH: u64 = 7;
/// In microseconds.
pub(crate) const SECOND: u64 = 1_000_000;
/// The engine's time at the start, in microseconds.
pub(crate) const START: u64 = 1_000 * SECOND;

/// An engine, its time, and what it has put out.
pub(crate) struct EngineHarness {
    pub engine: Engine,
    /// Microseconds.
    pub now: u64,
    /// What each proxy holds by its frames, and the rules that it is checked by.
    pub rules: Rules,
    /// Nonces that proxies have not acknowledged.
    pub unacknowledged: Vec<(StreamId, u32)>,
    /// Streams that the engine has closed.
    pub closed: Vec<(StreamId, v1::Reason)>,
    pub log: Vec<LogEvent>,
    pub outputs: Vec<Output>,
    /// False: proxies acknowledge nothing.
    pub acknowledges: bool,
}

impl EngineHarness {
    pub(crate) fn new(config: Config) -> Self {
        Self {
            rules: Rules::new(&config),
            engine: Engine::new(config, EPOCH, 1, START),
            now: START,
            unacknowledged: Vec::new(),
            closed: Vec::new(),
            log: Vec::new(),
            outputs: Vec::new(),
            acknowledges: true,
        }
    }

    /// Changes the servers and sends a list that says so.
    pub(crate) fn change_list(&mut self, update: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        self.rules.truth(self.now, &entries);
        self.send_list(update, entries);
    }

    /// Sends a list that may be late, wrong or incomplete: the servers are as before.
    pub(crate) fn send_list(&mut self, update: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        self.engine.handle(self.now, Input::EndpointList { update, entries });
    }

    pub(crate) fn send_frame(&mut self, stream: u64, frame: FromProxy) {
        self.engine.handle(self.now, Input::Frame { stream: StreamId(stream), frame });
    }

    /// Connects a proxy.
    pub(crate) fn connect(&mut self, stream: u64, name: &str, zone: &str) {
        self.rules.joined(stream, self.now);
        self.send_frame(stream, hello(name, zone));
    }

    /// Ends a proxy's stream.
    pub(crate) fn disconnect(&mut self, stream: u64) {
        self.rules.left(stream);
        self.engine.handle(self.now, Input::StreamEnded { stream: StreamId(stream) });
    }

    /// Advances the time by `duration` microseconds and acts on all outputs.
    pub(crate) fn run_for(&mut self, duration: u64) {
        let end = self.now + duration;
        loop {
            while let Some(output) = self.engine.poll(self.now) {
                self.outputs.push(output.clone());
                self.act_on(output);
            }
            self.rules.check(self.now);
            if self.acknowledges {
                for (stream, nonce) in std::mem::take(&mut self.unacknowledged) {
                    self.acknowledge(stream, nonce, EPOCH);
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

    fn act_on(&mut self, output: Output) {
        match output {
            Output::Send { stream, frame } => self.read(stream, &frame),
            Output::Close { stream, reason, .. } => {
                self.rules.left(stream.0);
                self.closed.push((stream, reason));
            }
            Output::Log(event) => self.log.push(event),
            Output::Probe { .. } | Output::WatchEndpoints | Output::FetchEndpoints => {}
        }
    }

    pub(crate) fn acknowledge(&mut self, stream: StreamId, nonce: u32, epoch: u64) {
        let applied = from_proxy::Kind::Applied(v1::Applied { mark: nonce, took_us: 1 });
        self.send_frame(stream.0, FromProxy::new(epoch, 0, applied));
    }

    fn read(&mut self, stream: StreamId, frame: &[u8]) {
        let frame: FromConductor = split_frame(frame).unwrap();
        assert_eq!(frame.epoch, EPOCH);
        let Some(from_conductor::Kind::Order(order)) = frame.kind else { return };
        self.rules.order(stream.0, self.now, &order);
        if let Some(nonce) = order.mark {
            self.unacknowledged.push((stream, nonce));
        }
    }

    /// The servers that a proxy may send requests to.
    pub(crate) fn usable_servers(&self, stream: u64) -> BTreeSet<SocketAddr> {
        self.rules.held(stream).into_keys().collect()
    }

    /// Ends a test: lets the engine settle and checks the five rules.
    pub(crate) fn finish(mut self) {
        self.run_for(SECOND);
        self.rules.end(self.now, &self.engine.stats());
    }
}
