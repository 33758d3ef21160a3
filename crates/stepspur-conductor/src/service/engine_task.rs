//! The task that owns an engine: it feeds the engine with commands and timers and executes its outputs.

use std::collections::BTreeMap;
use std::future::pending;

use stepspur::interface::Micros;
use stepspur_proto::v1::Reason;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::clock::{Clock, unix_now};
use super::engine_handle::EngineCommand;
use super::engine_log;
use super::log_rate_limiter::LogRateLimiter;
use super::send_queue::{OutboundMessage, SendQueue};
use crate::engine::{Engine, Input, LogEvent, Output, ProbeTarget, StreamId};
use crate::source::DiscoveryRequest;

/// Commands that are handled before the engine's outputs are executed, at most.
const COMMAND_BATCH: usize = 1024;

/// What the engine's task needs of a stream.
struct StreamHandle {
    queue: SendQueue,
    /// Ends the stream at once.
    cut: CancellationToken,
}

/// Where the engine's outputs go, besides the streams.
pub(super) struct EngineOutputs {
    /// Requests to the endpoint source.
    pub(super) discovery: mpsc::Sender<DiscoveryRequest>,
    /// Health checks to send.
    pub(super) probes: mpsc::Sender<ProbeTarget>,
}

/// Owns an engine and the send queues of its streams.
pub(super) struct EngineTask {
    engine: Engine,
    clock: Clock,
    commands: mpsc::Receiver<EngineCommand>,
    outputs: EngineOutputs,
    stop: CancellationToken,
    streams: BTreeMap<StreamId, StreamHandle>,
    rate_limiter: LogRateLimiter,
}

impl EngineTask {
    /// A task for an engine that has no streams yet.
    pub(super) fn new(
        engine: Engine,
        clock: Clock,
        commands: mpsc::Receiver<EngineCommand>,
        outputs: EngineOutputs,
        stop: CancellationToken,
    ) -> Self {
        let streams = BTreeMap::new();
        let rate_limiter = LogRateLimiter::default();
        Self { engine, clock, commands, outputs, stop, streams, rate_limiter }
    }

    /// Runs until `stop` is cancelled; then queues a go-away message on every stream.
    pub(super) async fn run(mut self) {
        let mut batch = Vec::with_capacity(COMMAND_BATCH);
        while self.wait(&mut batch).await {
            let now = self.clock.now();
            for command in batch.drain(..) {
                self.handle(now, command);
            }
            while let Some(output) = self.engine.poll(self.clock.now()) {
                self.execute(output);
            }
        }
        self.queue_go_away();
    }

    /// Waits for commands or for the engine's next timer. Returns false once the task is to end.
    async fn wait(&mut self, batch: &mut Vec<EngineCommand>) -> bool {
        let wake_at = self.engine.next_at().map(|at| self.clock.instant(at));
        let timer = async {
            match wake_at {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.stop.cancelled() => false,
            received = self.commands.recv_many(batch, COMMAND_BATCH) => received > 0,
            () = timer => true,
        }
    }

    fn handle(&mut self, now: Micros, command: EngineCommand) {
        match command {
            EngineCommand::Input(input) => self.handle_input(now, input),
            EngineCommand::Open { stream, queue, cut } => {
                self.streams.insert(stream, StreamHandle { queue, cut });
            }
            EngineCommand::Operate { operation, reply } => {
                let result = self.engine.operate(now, operation);
                // The caller may no longer wait for the reply: the operation takes effect all the same.
                let _ = reply.send(result);
            }
            EngineCommand::Stats { reply } => {
                let _ = reply.send(self.engine.stats());
            }
        }
    }

    fn handle_input(&mut self, now: Micros, input: Input) {
        if let Input::StreamEnded { stream } = &input {
            self.streams.remove(stream);
        }
        if matches!(input, Input::EndpointList { .. }) {
            // Start times in the list are compared with the system clock, which may have been set.
            self.engine.handle(now, Input::WallClock { unix: unix_now() });
        }
        self.engine.handle(now, input);
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { stream, frame } => {
                let Some(handle) = self.streams.get(&stream) else { return };
                if handle.queue.try_send(OutboundMessage::Frame(frame)).is_err() {
                    self.cut_slow_stream(stream);
                }
            }
            Output::Close { stream, frame, .. } => {
                let Some(handle) = self.streams.remove(&stream) else { return };
                if handle.queue.try_send(OutboundMessage::Last(frame)).is_err() {
                    handle.cut.cancel();
                }
            }
            Output::Probe { target } => {
                let server = target.address;
                if self.outputs.probes.try_send(target).is_err() {
                    tracing::warn!(event = "probe_dropped", %server, cause = "too many wait");
                }
            }
            Output::WatchEndpoints => self.request_endpoints(DiscoveryRequest::Watch),
            Output::FetchEndpoints => self.request_endpoints(DiscoveryRequest::Fetch),
            Output::Log(event) => self.log(event),
        }
    }

    /// Cuts a stream whose peer reads nothing: it must cost neither memory nor other streams' time.
    fn cut_slow_stream(&mut self, stream: StreamId) {
        tracing::warn!(event = "stream_too_slow", stream = stream.0, cause = "queue is full");
        if let Some(handle) = self.streams.remove(&stream) {
            handle.cut.cancel();
        }
        self.engine.handle(self.clock.now(), Input::StreamEnded { stream });
    }

    fn request_endpoints(&self, request: DiscoveryRequest) {
        if self.outputs.discovery.try_send(request).is_err() {
            tracing::warn!(event = "discovery_request_dropped", ask = ?request, cause = "the source is busy");
        }
    }

    fn log(&mut self, event: LogEvent) {
        let now = self.clock.now();
        if !event.is_rate_limited() || self.rate_limiter.allow(now) {
            engine_log::write(event, self.engine.epoch());
        }
    }

    fn queue_go_away(&self) {
        let go_away = self.engine.go_away_frame(Reason::Stopping, "the conductor stops");
        for handle in self.streams.values() {
            // If the queue is full, the peer gets what waits in it, but no go-away message; its stream ends
            // with the grace period at the latest.
            let _ = handle.queue.try_send(OutboundMessage::Last(go_away.clone()));
        }
    }
}
