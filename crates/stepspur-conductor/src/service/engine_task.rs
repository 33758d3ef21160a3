//! The task that owns an engine. It passes commands and timer expiries to the engine and executes the
//! engine's outputs.

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

/// The largest number of commands that are handled before the engine's outputs are executed.
const MAX_COMMAND_BATCH: usize = 1024;

/// A stream as the engine's task sees it.
struct StreamHandle {
    queue: SendQueue,
    /// Cancelled to close the stream at once, without its queued messages.
    cut: CancellationToken,
}

/// The channels for the engine's outputs other than messages to streams.
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
    /// Creates a task for an engine that has no streams yet.
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

    /// Runs until `stop` is cancelled, then queues a go-away message on every stream.
    pub(super) async fn run(mut self) {
        let mut batch = Vec::with_capacity(MAX_COMMAND_BATCH);
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

    /// Waits for commands or for the engine's next timer. Returns false when the task must end.
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
            received = self.commands.recv_many(batch, MAX_COMMAND_BATCH) => received > 0,
            () = timer => true,
        }
    }

    /// Handles a command at time `now`.
    fn handle(&mut self, now: Micros, command: EngineCommand) {
        match command {
            EngineCommand::Input(input) => self.handle_input(now, input),
            EngineCommand::Open { stream, queue, cut } => {
                self.streams.insert(stream, StreamHandle { queue, cut });
            }
            EngineCommand::Operate { operation, reply } => {
                let result = self.engine.operate(now, operation);
                // The operation takes effect even if the caller no longer waits for the reply.
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
            // The engine compares start times in the list with the system clock, which may have been set
            // since.
            self.engine.handle(now, Input::WallClock { unix: unix_now() });
        }
        self.engine.handle(now, input);
    }

    /// Executes an output of the engine. It never waits for a full queue.
    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { stream, frame } => {
                let Some(handle) = self.streams.get(&stream) else { return };
                if handle.queue.try_send(OutboundMessage::Frame(frame)).is_err() {
                    self.close_slow_stream(stream);
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
                    tracing::warn!(event = "probe_dropped", %server, cause = "probe queue is full");
                }
            }
            Output::WatchEndpoints => self.request_endpoints(DiscoveryRequest::Watch),
            Output::FetchEndpoints => self.request_endpoints(DiscoveryRequest::Fetch),
            Output::Log(event) => self.log(event),
        }
    }

    /// Closes a stream whose send queue is full, because its peer does not read. Its queue must not grow, and
    /// other streams must not wait for it.
    fn close_slow_stream(&mut self, stream: StreamId) {
        tracing::warn!(event = "stream_too_slow", stream = stream.0, cause = "send queue is full");
        if let Some(handle) = self.streams.remove(&stream) {
            handle.cut.cancel();
        }
        self.engine.handle(self.clock.now(), Input::StreamEnded { stream });
    }

    /// Requests the endpoint list from the source, or drops the request if the source's queue is full.
    fn request_endpoints(&self, request: DiscoveryRequest) {
        if self.outputs.discovery.try_send(request).is_err() {
            tracing::warn!(event = "discovery_request_dropped", ask = ?request, cause = "queue is full");
        }
    }

    /// Writes a log event, unless it is subject to the rate limit and the limit is reached.
    fn log(&mut self, event: LogEvent) {
        let now = self.clock.now();
        if !event.is_rate_limited() || self.rate_limiter.allow(now) {
            engine_log::write(event, self.engine.epoch());
        }
    }

    /// Queues a go-away message as the last message of every stream.
    fn queue_go_away(&self) {
        let go_away = self.engine.go_away_frame(Reason::Stopping, "the conductor stops");
        for handle in self.streams.values() {
            // If the queue is full, the peer gets the queued messages but no go-away message, and its stream
            // ends with the grace period at the latest.
            let _ = handle.queue.try_send(OutboundMessage::Last(go_away.clone()));
        }
    }
}
