//! Runs an engine in virtual time, with proxies that apply the updates they receive.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use stepspur::interface::ListUpdate;
use stepspur_conductor::config::Config;
use stepspur_conductor::engine::{DiscoveredEndpoint, Engine, Input, LogEvent, Output, StreamId};
use stepspur_proto::{FromConductor, FromProxy, decode_frame, from_conductor, from_proxy, v1};

use super::hello;
use super::rules::Rules;

/// The engine's epoch.
pub(crate) const EPOCH: u64 = 7;
/// One second, in microseconds.
pub(crate) const SECOND: u64 = 1_000_000;
/// The engine's time at the start, in microseconds.
pub(crate) const START: u64 = 1_000 * SECOND;

/// An engine, its virtual time and its outputs.
pub(crate) struct EngineHarness {
    pub engine: Engine,
    /// The current time, in microseconds.
    pub now: u64,
    /// Tables of the proxies, and the checks of the five rules.
    pub rules: Rules,
    /// Nonces that proxies have not acknowledged yet.
    pub unacknowledged: Vec<(StreamId, u32)>,
    /// Streams that the engine has closed.
    pub closed: Vec<(StreamId, v1::Reason)>,
    /// All logged events.
    pub log: Vec<LogEvent>,
    /// All outputs, logged events included.
    pub outputs: Vec<Output>,
    /// If false, proxies acknowledge nothing.
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

    /// Changes the actual states of servers and sends a list with these states.
    pub(crate) fn change_list(&mut self, update: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        self.rules.set_actual_states(self.now, &entries);
        self.send_list(update, entries);
    }

    /// Sends a list that may be late, wrong or incomplete, without changing the actual states of servers.
    pub(crate) fn send_list(&mut self, update: ListUpdate, entries: Vec<DiscoveredEndpoint>) {
        self.engine.handle(self.now, Input::EndpointList { update, entries });
    }

    /// Sends a frame of a proxy.
    pub(crate) fn send_frame(&mut self, stream: u64, frame: FromProxy) {
        self.engine.handle(self.now, Input::Frame { stream: StreamId(stream), frame });
    }

    /// Connects a proxy on a new stream.
    pub(crate) fn connect(&mut self, stream: u64, name: &str, zone: &str) {
        self.rules.proxy_connected(stream, self.now);
        self.send_frame(stream, hello(name, zone));
    }

    /// Ends a proxy's stream.
    pub(crate) fn disconnect(&mut self, stream: u64) {
        self.rules.proxy_disconnected(stream);
        self.engine.handle(self.now, Input::StreamEnded { stream: StreamId(stream) });
    }

    /// Advances the time by `duration` microseconds, handles all outputs and checks the rules after each.
    pub(crate) fn run_for(&mut self, duration: u64) {
        let end = self.now + duration;
        loop {
            while let Some(output) = self.engine.poll(self.now) {
                self.outputs.push(output.clone());
                self.handle_output(output);
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

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send { stream, frame } => self.receive(stream, &frame),
            Output::Close { stream, reason, .. } => {
                self.rules.proxy_disconnected(stream.0);
                self.closed.push((stream, reason));
            }
            Output::Log(event) => self.log.push(event),
            Output::Probe { .. } | Output::WatchEndpoints | Output::FetchEndpoints => {}
        }
    }

    /// Sends a proxy's acknowledgement.
    pub(crate) fn acknowledge(&mut self, stream: StreamId, nonce: u32, epoch: u64) {
        let applied = from_proxy::Kind::Applied(v1::Applied { mark: nonce, took_us: 1 });
        self.send_frame(stream.0, FromProxy::new(epoch, 0, applied));
    }

    /// Applies a frame at a proxy.
    fn receive(&mut self, stream: StreamId, frame: &[u8]) {
        let frame: FromConductor = decode_frame(frame).unwrap();
        assert_eq!(frame.epoch, EPOCH);
        let Some(from_conductor::Kind::Order(order)) = frame.kind else { return };
        self.rules.apply_update(stream.0, self.now, &order);
        if let Some(nonce) = order.mark {
            self.unacknowledged.push((stream, nonce));
        }
    }

    /// Returns the servers that a proxy may send requests to.
    pub(crate) fn usable_servers(&self, stream: u64) -> BTreeSet<SocketAddr> {
        self.rules.usable_servers(stream).into_keys().collect()
    }

    /// Ends a test: runs the engine for another second and checks the five rules.
    pub(crate) fn finish(mut self) {
        self.run_for(SECOND);
        self.rules.assert_satisfied(self.now, &self.engine.stats());
    }
}
