//! A conductor behind a protocol other than the project's own: the same engine, source and prober, and a listener that
//! the protocol's package brings.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use stepspur::interface::{ListUpdate, Settings};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::core::EngineCommand;
use super::distribution::Distribution;
use super::outbox::{QueuedMessage, SendQueue, SendQueueReceiver};
use super::prober::LoadReportParser;
use super::{Clock, Conductor, Heart, StartError, Tied, listen};
use crate::config::Config;
use crate::engine::{DiscoveredEndpoint, Input, ProxyProtocol, Stats, StreamId};
use crate::source::ServiceDiscovery;

/// What a protocol's package brings to a conductor.
pub struct ProtocolServer {
    /// What the tasks go by: fleet names, probes, bounds. The caller answers for its bounds.
    pub config: Config,
    /// The settings as the decision module takes them.
    pub settings: Settings,
    /// For random numbers.
    pub seed: u64,
    /// How orders are worded.
    pub dialect: Box<dyn ProxyProtocol>,
    /// How load reports of probes are read.
    pub read_load: LoadReportParser,
    /// The list as last had, told at the start.
    pub known: Vec<DiscoveredEndpoint>,
    /// Where the list comes from.
    pub source: Box<dyn ServiceDiscovery>,
    /// How callers come in.
    pub listener: Box<dyn Listener>,
    /// How long tasks may take to end.
    pub grace: Duration,
}

/// How callers of a protocol come in.
pub trait Listener: Send {
    /// Takes connections in until it is to stop, and ends every task that it started before it ends.
    fn run(
        self: Box<Self>,
        listener: TcpListener,
        engine: EngineHandle,
        shutdown: Shutdown,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;
}

/// How a conductor ends: first in order, then at once.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Nobody is taken in any more; what the engine has ordered goes out, and connections are closed in order.
    pub stop: CancellationToken,
    /// The time for that is over: every connection ends as it is.
    pub kill: CancellationToken,
}

/// The engine, as the tasks of a listener see it.
#[derive(Clone, Debug)]
pub struct EngineHandle {
    inbox: mpsc::Sender<EngineCommand>,
}

impl EngineHandle {
    /// Tells what happened, waiting while the engine is busy; false once it has ended.
    pub async fn tell(&self, input: Input) -> bool {
        self.inbox.send(EngineCommand::Input(input)).await.is_ok()
    }

    /// Announces a stream, before its proxy joins: what the engine writes to it comes out here, so much of it waits
    /// at most, and `cut` is cancelled where more comes.
    pub async fn open(
        &self,
        stream: StreamId,
        waiting: QueuedMessage,
        cut: CancellationToken,
    ) -> Option<SendQueueReceiver> {
        let (to, outgoing) = SendQueue::new(waiting);
        self.inbox.send(EngineCommand::Opened { stream, to, cut }).await.ok()?;
        Some(outgoing)
    }

    /// Counts, now.
    pub async fn stats(&self) -> Option<Stats> {
        super::stats(&self.inbox).await
    }
}

impl Conductor {
    /// Listens and starts all tasks behind a front.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub async fn start_front(front: ProtocolServer) -> Result<Self, StartError> {
        let ProtocolServer {
            config,
            settings,
            seed,
            dialect,
            read_load,
            known,
            source,
            listener: callers,
            grace,
        } = front;
        let asked = config.listen.address;
        let listener = listen(asked, config.listen.queue)?;
        let address = listener.local_addr().map_err(|cause| StartError::Listen { address: asked, cause })?;
        let clock = Clock::start();
        let epoch = clock.now();
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let failed = Arc::new(OnceLock::new());
        let tied = Tied { stop: stop.clone(), failed: Arc::clone(&failed), tasks: tasks.clone() };
        let mut cores = JoinSet::new();
        let heart = Heart { config, settings, dialect, read_load, epoch, seed, clock };
        let inbox = heart.start(source, &tied, &mut cores);
        // Room is left for it: the queue is new.
        let cached = Input::EndpointList { update: ListUpdate::Cached, entries: known };
        let _ = inbox.send(EngineCommand::Input(cached)).await;
        let engine = EngineHandle { inbox: inbox.clone() };
        let kill = CancellationToken::new();
        let shutdown = Shutdown { stop: stop.clone(), kill: kill.clone() };
        tasks.spawn(tied.needed("proxies' listener").task(callers.run(listener, engine, shutdown)));
        tracing::info!(event = "started", %address, epoch);
        let (status, operators): (Option<SocketAddr>, Option<SocketAddr>) = (None, None);
        Ok(Self {
            address,
            status,
            operators,
            epoch,
            stop,
            kill,
            tasks,
            cores,
            failed,
            inbox,
            grace,
            council: None,
            distribution: Distribution::default(),
        })
    }
}
