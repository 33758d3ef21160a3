//! The task that owns the engine.

use std::collections::BTreeMap;

use stepspur::interface::Micros;
use stepspur_proto::v1::Reason;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::Clock;
use super::identity::wall;
use super::outbox::{Outbox, Outgoing};
use crate::engine::{Engine, Input, Note, Operation, OperationError, Output, ProbeTarget, Stats, StreamId};
use crate::source::Ask;

/// What the engine's task is sent.
#[derive(Debug)]
pub(crate) enum Inbox {
    /// Something happened.
    Input(Input),
    /// A stream has shown its first message; frames for it go here.
    Opened { stream: StreamId, to: Outbox, cut: CancellationToken },
    /// An operator orders.
    Operate(Operation, oneshot::Sender<Result<(), OperationError>>),
    /// Counts are asked for.
    Stats(oneshot::Sender<Stats>),
}

/// A stream's task, as the engine's knows it.
struct Peer {
    to: Outbox,
    cut: CancellationToken,
}

pub(crate) struct Core {
    engine: Engine,
    clock: Clock,
    inputs: mpsc::Receiver<Inbox>,
    ask: mpsc::Sender<Ask>,
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
                tracing::warn!(event = "nonsense", left_out = self.left_out);
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

impl Core {
    pub(crate) fn new(
        engine: Engine,
        clock: Clock,
        inputs: mpsc::Receiver<Inbox>,
        ask: mpsc::Sender<Ask>,
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
                    Inbox::Input(input) => {
                        if let Input::Ended { stream } = &input {
                            self.peers.remove(stream);
                        }
                        if matches!(input, Input::List { .. }) {
                            self.engine.handle(now, Input::Wall { unix: wall() });
                        }
                        self.engine.handle(now, input);
                    }
                    Inbox::Opened { stream, to, cut } => _ = self.peers.insert(stream, Peer { to, cut }),
                    Inbox::Operate(operation, reply) => {
                        let _ = reply.send(self.engine.operate(now, operation));
                    }
                    Inbox::Stats(reply) => _ = reply.send(self.engine.stats()),
                }
            }
            while let Some(output) = self.engine.poll(self.clock.now()) {
                self.act(output);
            }
        }
        let last = self.engine.goodbye(Reason::Stopping, "the conductor stops");
        for peer in self.peers.values() {
            // Where there is no room for it the queue's end says as much, behind what waits there.
            let _ = peer.to.try_send(Outgoing::Last(last.clone()));
        }
    }

    fn act(&mut self, output: Output) {
        match output {
            Output::Send { stream, frame } => {
                let Some(peer) = self.peers.get(&stream) else { return };
                if peer.to.try_send(Outgoing::Frame(frame)).is_err() {
                    // It reads nothing: it may cost neither memory nor anybody's time.
                    tracing::warn!(event = "stream_slow", stream = stream.0, cause = "queue is full");
                    self.drop_peer(stream);
                    self.engine.handle(self.clock.now(), Input::Ended { stream });
                }
            }
            Output::Close { stream, frame, .. } => {
                let Some(peer) = self.peers.remove(&stream) else { return };
                if peer.to.try_send(Outgoing::Last(frame)).is_err() {
                    peer.cut.cancel();
                }
            }
            Output::Probe { target } => {
                if self.probe.try_send(target).is_err() {
                    tracing::warn!(event = "probe_dropped", server = %target.address, cause = "too many wait");
                }
            }
            Output::Track => self.ask(Ask::Track),
            Output::Lookup => self.ask(Ask::Lookup),
            Output::Note(note) => {
                let now = self.clock.now();
                if !note.is_about_nonsense() || self.nonsense.may(now) {
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

    fn ask(&mut self, ask: Ask) {
        if self.ask.try_send(ask).is_err() {
            tracing::warn!(event = "ask_dropped", ?ask, cause = "the source is busy");
        }
    }
}

fn log(note: Note, engine: &Engine) {
    let epoch = engine.epoch();
    match note {
        Note::Decision(text) => tracing::info!(event = "decision", epoch, text),
        Note::Joined { proxy, stream } => tracing::info!(event = "joined", epoch, proxy, stream = stream.0),
        Note::Left { proxy, stream } => tracing::info!(event = "left", epoch, proxy, stream = stream.0),
        Note::Refused { stream, reason, detail } => {
            tracing::warn!(
                event = "stream_closed",
                epoch,
                stream = stream.0,
                reason = reason.as_str_name(),
                detail
            );
        }
        Note::BadReport { proxy, what } => tracing::warn!(event = "bad_report", epoch, proxy, cause = what),
        Note::BadEntry { server, what } => tracing::warn!(event = "bad_entry", epoch, %server, cause = what),
        Note::DoubtedList { lacking, named } => {
            tracing::warn!(event = "list_doubted", epoch, lacking, named);
        }
        Note::ListFailed => tracing::warn!(event = "list_failed", epoch),
    }
}
