//! The task that owns the engine.

use std::collections::BTreeMap;

use stepspur::interface::Micros;
use stepspur_proto::v1::Reason;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::Clock;
use super::identity::wall;
use super::outbox::{OutboundMessage, SendQueue};
use crate::engine::{
    Engine, Input, LogEvent, Operation, OperationError, Output, ProbeTarget, Stats, StreamId,
};
use crate::source::DiscoveryRequest;

/// What the engine's task is sent.
#[derive(Debug)]
pub(crate) enum EngineCommand {
    /// Something happened.
    Input(Input),
    /// A stream has shown its first message; frames for it go here.
    Opened { stream: StreamId, to: SendQueue, cut: CancellationToken },
    /// An operator orders.
    Operate(Operation, oneshot::Sender<Result<(), OperationError>>),
    /// Counts are asked for.
    Stats(oneshot::Sender<Stats>),
}

/// A stream's task, as the engine's knows it.
struct Peer {
    to: SendQueue,
    cut: CancellationToken,
}

pub(crate) struct EngineTask {
    engine: Engine,
    clock: Clock,
    inputs: mpsc::Receiver<EngineCommand>,
    ask: mpsc::Sender<DiscoveryRequest>,
    probe: mpsc::Sender<ProbeTarget>,
    stop: CancellationToken,
    peers: BTreeMap<StreamId, Peer>,
    nonsense: Pace,
}

/// Keeps lines of the log on what makes no sense to so many a span: whoever sends nonsense must not fill disks.
#[derive(Debug, Default)]
struct Pace {
    since: Micros,
    lines: u32,
    left_out: u64,
}

const LINES: u32 = 20;
const LINES_SPAN: Micros = 1_000_000;

impl Pace {
    fn may(&mut self, now: Micros) -> bool {
        if now >= self.since + LINES_SPAN {
            if self.left_out > 0 {
                tracing::warn!(event = "invalid_input", left_out = self.left_out);
            }
            *self = Self { since: now, ..Self::default() };
        }
        self.lines += 1;
        let may = self.lines <= LINES;
        self.left_out += u64::from(!may);
        may
    }
}

/// Inputs taken in one go before orders are looked at.
const GO: usize = 1024;

impl EngineTask {
    pub(crate) fn new(
        engine: Engine,
        clock: Clock,
        inputs: mpsc::Receiver<EngineCommand>,
        ask: mpsc::Sender<DiscoveryRequest>,
        probe: mpsc::Sender<ProbeTarget>,
        stop: CancellationToken,
    ) -> Self {
        Self { engine, clock, inputs, ask, probe, stop, peers: BTreeMap::new(), nonsense: Pace::default() }
    }

    pub(crate) async fn run(mut self) {
        let mut go = Vec::with_capacity(GO);
        loop {
            let wake = self.engine.next_at().map(|at| self.clock.instant(at));
            let timer = async {
                match wake {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = self.stop.cancelled() => break,
                got = self.inputs.recv_many(&mut go, GO) => if got == 0 { break },
                () = timer => {}
            }
            let now = self.clock.now();
            for item in go.drain(..) {
                match item {
                    EngineCommand::Input(input) => {
                        if let Input::StreamEnded { stream } = &input {
                            self.peers.remove(stream);
                        }
                        if matches!(input, Input::EndpointList { .. }) {
                            self.engine.handle(now, Input::WallClock { unix: wall() });
                        }
                        self.engine.handle(now, input);
                    }
                    EngineCommand::Opened { stream, to, cut } => {
                        _ = self.peers.insert(stream, Peer { to, cut })
                    }
                    EngineCommand::Operate(operation, reply) => {
                        let _ = reply.send(self.engine.operate(now, operation));
                    }
                    EngineCommand::Stats(reply) => _ = reply.send(self.engine.stats()),
                }
            }
            while let Some(output) = self.engine.poll(self.clock.now()) {
                self.act(output);
            }
        }
        let last = self.engine.go_away_frame(Reason::Stopping, "the conductor stops");
        for peer in self.peers.values() {
            // Where there is no room for it the queue's end says as much, behind what waits there.
            let _ = peer.to.try_send(OutboundMessage::Last(last.clone()));
        }
    }

    fn act(&mut self, output: Output) {
        match output {
            Output::Send { stream, frame } => {
                let Some(peer) = self.peers.get(&stream) else { return };
                if peer.to.try_send(OutboundMessage::Frame(frame)).is_err() {
                    // It reads nothing: it may cost neither memory nor anybody's time.
                    tracing::warn!(event = "stream_too_slow", stream = stream.0, cause = "queue is full");
                    self.drop_peer(stream);
                    self.engine.handle(self.clock.now(), Input::StreamEnded { stream });
                }
            }
            Output::Close { stream, frame, .. } => {
                let Some(peer) = self.peers.remove(&stream) else { return };
                if peer.to.try_send(OutboundMessage::Last(frame)).is_err() {
                    peer.cut.cancel();
                }
            }
            Output::Probe { target } => {
                if self.probe.try_send(target).is_err() {
                    tracing::warn!(event = "probe_dropped", server = %target.address, cause = "too many wait");
                }
            }
            Output::WatchEndpoints => self.ask(DiscoveryRequest::Track),
            Output::FetchEndpoints => self.ask(DiscoveryRequest::Lookup),
            Output::Log(note) => {
                let now = self.clock.now();
                if !note.is_about_invalid_input() || self.nonsense.may(now) {
                    log(note, &self.engine);
                }
            }
        }
    }

    fn drop_peer(&mut self, stream: StreamId) {
        if let Some(peer) = self.peers.remove(&stream) {
            peer.cut.cancel();
        }
    }

    fn ask(&mut self, ask: DiscoveryRequest) {
        if self.ask.try_send(ask).is_err() {
            tracing::warn!(event = "discovery_request_dropped", ?ask, cause = "the source is busy");
        }
    }
}

fn log(note: LogEvent, engine: &Engine) {
    let epoch = engine.epoch();
    match note {
        LogEvent::Decision(text) => tracing::info!(event = "decision", epoch, text),
        LogEvent::Joined { proxy, stream } => {
            tracing::info!(event = "proxy_connected", epoch, proxy, stream = stream.0)
        }
        LogEvent::Left { proxy, stream } => {
            tracing::info!(event = "proxy_disconnected", epoch, proxy, stream = stream.0)
        }
        LogEvent::Refused { stream, reason, detail } => {
            tracing::warn!(
                event = "stream_closed",
                epoch,
                stream = stream.0,
                reason = reason.as_str_name(),
                detail
            );
        }
        LogEvent::InvalidReport { proxy, what } => {
            tracing::warn!(event = "invalid_report", epoch, proxy, cause = what)
        }
        LogEvent::InvalidEntry { server, what } => {
            tracing::warn!(event = "invalid_list_entry", epoch, %server, cause = what)
        }
        LogEvent::MassRemovalSuspected { lacking, named } => {
            tracing::warn!(event = "mass_removal_suspected", epoch, lacking, named);
        }
        LogEvent::DiscoveryFailed => tracing::warn!(event = "discovery_failed", epoch),
    }
}
