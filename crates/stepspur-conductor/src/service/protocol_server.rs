//! A conductor that serves a different protocol than the project's own, with the same engine, endpoint source
//! and prober. The crate of the protocol supplies the listener and the encoding.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use stepspur::interface::{ListUpdate, Settings};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::acceptor::BoundListener;
use super::clock::Clock;
use super::conductor::{Conductor, ListenAddresses};
use super::distribution::Distribution;
use super::engine_handle::EngineHandle;
use super::engine_tasks::EngineTasks;
use super::error::{StartError, TaskName};
use super::prober::LoadReportParser;
use super::supervisor::{Shutdown, Supervisor};
use crate::config::Config;
use crate::engine::{DiscoveredEndpoint, Input, ProxyProtocol};
use crate::source::ServiceDiscovery;

/// The parts of a conductor that the crate of a protocol supplies.
pub struct ProtocolServer {
    /// The settings that the tasks use, such as the zones and classes of the fleet, health checks and limits.
    /// The caller has validated them.
    pub config: Config,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The seed of the engine's random numbers.
    pub seed: u64,
    /// Encodes the updates that are sent to proxies.
    pub protocol: Box<dyn ProxyProtocol>,
    /// Parses the load reports in responses to health checks.
    pub parse_load_report: LoadReportParser,
    /// The endpoint list that an earlier run cached. It is used until the source has sent a list.
    pub cached_endpoints: Vec<DiscoveredEndpoint>,
    /// The source of the endpoint list.
    pub source: Box<dyn ServiceDiscovery>,
    /// Accepts and serves connections.
    pub listener: Box<dyn Listener>,
    /// How long the graceful stage of a shutdown may take.
    pub shutdown_grace: Duration,
}

/// Accepts and serves the connections of a protocol.
pub trait Listener: Send {
    /// Accepts connections until the shutdown begins. Every task that it has started ends before it returns.
    fn run(
        self: Box<Self>,
        listener: TcpListener,
        engine: EngineHandle,
        shutdown: Shutdown,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;
}

impl Conductor {
    /// Listens and starts all tasks of a conductor that serves a different protocol. The epoch is the time of
    /// the start.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start_protocol_server(server: ProtocolServer) -> Result<Self, StartError> {
        let bound = BoundListener::bind(server.config.listen.address, server.config.listen.queue)?;
        let clock = Clock::start();
        let epoch = clock.now();
        let supervisor = Supervisor::default();
        let mut engine_tasks = JoinSet::new();
        let tasks = EngineTasks {
            config: server.config,
            settings: server.settings,
            protocol: server.protocol,
            parse_load_report: server.parse_load_report,
            epoch,
            seed: server.seed,
            clock,
        };
        let engine = tasks.start(server.source, &supervisor, &mut engine_tasks);
        // The queue is empty, so this does not wait.
        let cached = Input::EndpointList { update: ListUpdate::Cached, entries: server.cached_endpoints };
        engine.send(cached).await;
        let accept = server.listener.run(bound.listener, engine.clone(), supervisor.shutdown.clone());
        supervisor.spawn(TaskName::ProxyListener, accept);
        tracing::info!(event = "started", address = %bound.address, epoch);
        Ok(Self {
            addresses: ListenAddresses { proxies: bound.address, status: None, operators: None },
            epoch,
            supervisor,
            engine_tasks,
            engine,
            shutdown_grace: server.shutdown_grace,
            consensus_node: None,
            distribution: Distribution::default(),
        })
    }
}
