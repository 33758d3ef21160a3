//! Starts the tasks of one engine: the task that owns it, its endpoint source and its prober.

use stepspur::interface::Settings;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::clock::Clock;
use super::engine_handle::EngineHandle;
use super::engine_task::{EngineOutputs, EngineTask};
use super::error::TaskName;
use super::prober::{LoadReportParser, Prober};
use super::supervisor::Supervisor;
use crate::config::Config;
use crate::engine::{Engine, Input, ProxyProtocol};
use crate::source::{EndpointFeed, ServiceDiscovery};

/// Capacity of an engine's command queue. Senders wait while it is full.
const COMMAND_QUEUE_CAPACITY: usize = 16_384;
/// Capacity of the queue of health checks to send. Health checks are dropped while it is full.
const PROBE_QUEUE_CAPACITY: usize = 16_384;

/// The settings and functions from which an engine and its tasks are created.
pub(super) struct EngineTasks {
    pub(super) config: Config,
    pub(super) settings: Settings,
    pub(super) protocol: Box<dyn ProxyProtocol>,
    /// Parses the load report in the response to a health check.
    pub(super) parse_load_report: LoadReportParser,
    /// The conductor's epoch: its start in microseconds since 1970.
    pub(super) epoch: u64,
    /// Seed of the engine's random numbers.
    pub(super) seed: u64,
    pub(super) clock: Clock,
}

impl EngineTasks {
    /// Starts the tasks and returns a handle to the engine. The task that owns the engine is added to
    /// `engine_tasks`.
    pub(super) fn start(
        self,
        source: Box<dyn ServiceDiscovery>,
        supervisor: &Supervisor,
        engine_tasks: &mut JoinSet<()>,
    ) -> EngineHandle {
        let stop = &supervisor.shutdown.stop;
        let (command_sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (probe_sender, probes) = mpsc::channel(PROBE_QUEUE_CAPACITY);
        let (feed, driver) = EndpointFeed::new(stop.clone());
        let handle = EngineHandle::new(command_sender);

        let now = self.clock.now();
        let engine = Engine::with_protocol(
            self.config.clone(),
            self.settings,
            self.protocol,
            self.epoch,
            self.seed,
            now,
        );
        let outputs = EngineOutputs { discovery: driver.requests, probes: probe_sender };
        let engine_task = EngineTask::new(engine, self.clock, commands, outputs, stop.clone());
        supervisor.spawn_engine(engine_tasks, engine_task.run());

        supervisor.spawn(TaskName::EndpointSource, source.run(feed));
        supervisor.tasks.spawn(forward_updates(driver.updates, handle.clone()));

        let prober = Prober::new(self.config, self.parse_load_report, handle.clone());
        supervisor.spawn(TaskName::Prober, prober.run(probes, stop.clone()));
        handle
    }
}

/// Forwards updates of the endpoint source to the engine until one of them has ended.
async fn forward_updates(mut updates: mpsc::Receiver<Input>, engine: EngineHandle) {
    while let Some(input) = updates.recv().await {
        if !engine.send(input).await {
            break;
        }
    }
}
