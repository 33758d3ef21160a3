//! The tokio half: sockets, clocks and tasks round the engine. It decides nothing.
//!
//! One task owns the engine; a task for each stream, the prober, the source and the status page talk to it over
//! bounded queues. Stopping cancels a token, says goodbye on every stream and waits for every task.

mod audit;
mod core;
mod distribution;
mod front;
mod identity;
mod linger;
mod operator;
mod outbox;
mod prober;
mod session;
mod status;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};

use stepspur::interface::{Micros, Settings};
use stepspur_consensus_node::NodeHandle;
use stepspur_distribution::control::ControlStartError;
use stepspur_distribution::document::DocumentError;
use stepspur_distribution::scope_store::StoreError;
use stepspur_distribution::subscriber::SubscriberStartError;
use stepspur_identity::keys::KeyError;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config::{Config, InvalidSetting, micros};
use crate::engine::{Engine, FramedProtocol, Input, ProxyProtocol, Stats, StreamId};
use crate::source::{self, EndpointFeed, ServiceDiscovery};
use audit::Audit;
use core::{EngineCommand, EngineTask};
use distribution::{Distribution, Member};
use identity::Identity;
use prober::LoadReportParser;
use session::Session;
use status::StatusSnapshot;

pub use front::{EngineHandle, Listener, ProtocolServer, Shutdown};
pub use linger::lingering_close;
pub use outbox::{OutboundMessage, QueuedMessage, SendQueueReceiver};

/// Why a conductor did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Settings are out of bounds.
    #[error("{} settings are out of bounds, the first: {}: {}", .0.len(), .0[0].key, .0[0].what)]
    Config(Vec<InvalidSetting>),
    /// The keys cannot be used.
    #[error("keys: {0}")]
    Keys(#[from] KeyError),
    /// The audit log cannot be written.
    #[error("audit log {path}: {cause}")]
    Audit {
        /// Its path.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// The council's member does not start.
    #[error("council: {0}")]
    Council(#[from] stepspur_consensus_node::StartError),
    /// The control member of the distribution does not start.
    #[error("distribution.control: {0}")]
    Control(#[from] ControlStartError),
    /// The subscriber does not start.
    #[error("distribution.subscriber: {0}")]
    Subscriber(#[from] SubscriberStartError),
    /// The subscriber's services or tenants are not sound.
    #[error("distribution.subscriber.services: {0}")]
    Interest(#[from] DocumentError),
    /// The subscriber's file is in use.
    #[error("distribution.subscriber.state: {0}")]
    ConfigurationStore(StoreError),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
}

/// One of a conductor's tasks has panicked, or ended by itself. The others were stopped with it, as a conductor
/// without its list, its listener or its probes would go on half alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the conductor's {0} failed")]
pub struct TaskFailed(&'static str);

/// A running conductor. Dropping it stops it without waiting; [`Conductor::stop`] waits.
#[derive(Debug)]
pub struct Conductor {
    address: SocketAddr,
    status: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    epoch: u64,
    stop: CancellationToken,
    kill: CancellationToken,
    tasks: TaskTracker,
    cores: JoinSet<()>,
    failed: Arc<OnceLock<TaskFailed>>,
    inbox: mpsc::Sender<EngineCommand>,
    grace: Duration,
    council: Option<Arc<NodeHandle>>,
    distribution: Distribution,
}

/// Time of the machine, which goes forward only: microseconds since 1970.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    base: Micros,
    from: Instant,
}

impl Clock {
    fn start() -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { base: micros(since), from: Instant::now() }
    }

    pub(crate) fn now(&self) -> Micros {
        self.base + micros(self.from.elapsed())
    }

    /// The machine's instant at that time.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.from + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// A task that has not ended so long after it was told to end at once is left behind.
const LEFT_BEHIND: Duration = Duration::from_secs(2);
/// Inputs that may wait for the engine; those who send more wait.
const INBOX: usize = 16_384;
/// Probes that may wait for their turn.
const PROBES: usize = 16_384;

impl Conductor {
    /// Listens and starts all tasks. The epoch is the time of the start.
    ///
    /// # Errors
    /// Settings out of bounds, or an address that is taken.
    pub async fn start(config: Config, source: Box<dyn ServiceDiscovery>) -> Result<Self, StartError> {
        let faults = config.faults();
        if !faults.is_empty() {
            return Err(StartError::Config(faults));
        }
        let listener = listen(config.listen.address, config.listen.queue)?;
        let status = match config.status.address {
            Some(address) => Some(listen(address, 128)?),
            None => None,
        };
        let bound = |l: &TcpListener, asked| {
            l.local_addr().map_err(|cause| StartError::Listen { address: asked, cause })
        };
        let address = bound(&listener, config.listen.address)?;
        let status_address = match (&status, config.status.address) {
            (Some(listener), Some(asked)) => Some(bound(listener, asked)?),
            _ => None,
        };
        let clock = Clock::start();
        let epoch = clock.now();
        let (stop, kill, tasks) = (CancellationToken::new(), CancellationToken::new(), TaskTracker::new());
        let failed = Arc::new(OnceLock::new());
        let needed = |name| Needed { name, stop: stop.clone(), failed: Arc::clone(&failed) };
        let member = Member::start(&config, epoch).await?;
        let identity = match &config.identity {
            None => None,
            Some(set) => {
                let failed = |cause| StartError::Audit { path: set.audit.clone(), cause };
                let (audit, write) = Audit::open(&set.audit).map_err(failed)?;
                let identity = Identity::start(set.clone(), audit)?;
                tasks.spawn(needed("audit log").task(write));
                tasks.spawn(needed("watch of keys").task(Arc::clone(&identity).watch(stop.clone())));
                Some(identity)
            }
        };
        let mut cores = JoinSet::new();
        let tied = Tied { stop: stop.clone(), failed: Arc::clone(&failed), tasks: tasks.clone() };
        let mut start = |config: Config, source: Box<dyn ServiceDiscovery>| {
            let heart = Heart {
                settings: config.settings(),
                config,
                dialect: Box::new(FramedProtocol),
                read_load: prober::json_load,
                epoch,
                seed: epoch,
                clock,
            };
            heart.start(source, &tied, &mut cores)
        };
        let own = identity.as_ref().map_or("", |i| i.tenant()).to_owned();
        let alone = without_tenants(&config);
        let inbox = start(alone.clone(), source);
        let mut tenants = BTreeMap::from([(own, inbox.clone())]);
        for (name, tenant) in &config.tenants {
            let (fleet, source) = (tenant.fleet.clone(), tenant.source.clone());
            let feed = source::from_config(&source);
            tenants.insert(name.clone(), start(Config { fleet, source, ..alone.clone() }, feed));
        }
        let tenants = Arc::new(tenants);
        let distribution = Distribution::start(&config, &member, &tenants, epoch).await?;
        let council = member.into_peers();
        let asked = config.identity.as_ref().and_then(|set| set.operators);
        let mut operators = None;
        if let (Some(identity), Some(address)) = (&identity, asked) {
            let listener = listen(address, 128)?;
            operators = Some(bound(&listener, address)?);
            let (identity, tenants) = (Arc::clone(identity), Arc::clone(&tenants));
            let (council, distribution) = (council.clone(), distribution.view());
            let api = operator::OperatorApi { identity, tenants, council, distribution };
            let shutdown = Shutdown { stop: stop.clone(), kill: kill.clone() };
            let run = operator::run(listener, api, tasks.clone(), shutdown);
            tasks.spawn(needed("operators' listener").task(run));
        }
        if let Some(listener) = status {
            let shown = StatusSnapshot {
                inbox: inbox.clone(),
                council: council.clone(),
                distribution: distribution.view(),
            };
            let run = status::run(listener, shown, stop.clone());
            tasks.spawn(needed("status page").task(run));
        }
        let grace = config.listen.write_timeout.min(Duration::from_secs(2));
        let accept = Accept {
            config: Arc::new(config),
            epoch,
            tenants,
            identity,
            stop: stop.clone(),
            kill: kill.clone(),
            tasks: tasks.clone(),
        };
        tasks.spawn(needed("proxies' listener").task(accept.run(listener)));
        tracing::info!(event = "started", %address, epoch);
        let status = status_address;
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
            council,
            distribution,
        })
    }

    /// Where proxies dial in.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the status page answers, if the settings name one.
    pub fn status_address(&self) -> Option<SocketAddr> {
        self.status
    }

    /// Where operators call, if the settings name it.
    pub fn operators_address(&self) -> Option<SocketAddr> {
        self.operators
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Counts of the settings' own tenant, now; none if the conductor has ended.
    pub async fn stats(&self) -> Option<Stats> {
        stats(&self.inbox).await
    }

    /// Waits until a tenant's engine ends: the conductor was stopped, or one of its tasks has failed.
    ///
    /// # Errors
    /// [`TaskFailed`] names the task.
    pub async fn ended(&mut self) -> Result<(), TaskFailed> {
        let _ = self.cores.join_next().await;
        self.failed.get().map_or(Ok(()), |failed| Err(*failed))
    }

    /// Says goodbye on every stream, ends every task and waits for them; streams whose peer takes nothing are
    /// dropped after two seconds.
    pub async fn stop(mut self) {
        self.distribution.stop_subscriber().await;
        self.stop.cancel();
        while self.cores.join_next().await.is_some() {}
        self.tasks.close();
        if tokio::time::timeout(self.grace, self.tasks.wait()).await.is_err() {
            self.kill.cancel();
            // A disk that hangs holds the audit log's task for ever.
            if tokio::time::timeout(LEFT_BEHIND, self.tasks.wait()).await.is_err() {
                tracing::error!(event = "shutdown_timeout", tasks = self.tasks.len());
            }
        }
        self.distribution.stop_control().await;
        if let Some(council) = self.council.take() {
            council.stop().await;
        }
        tracing::info!(event = "stopped", epoch = self.epoch);
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        self.stop.cancel();
        self.kill.cancel();
    }
}

/// What the tasks of one conductor share: they end together.
#[derive(Clone)]
struct Tied {
    stop: CancellationToken,
    failed: Arc<OnceLock<TaskFailed>>,
    tasks: TaskTracker,
}

impl Tied {
    fn needed(&self, name: &'static str) -> Needed {
        Needed { name, stop: self.stop.clone(), failed: Arc::clone(&self.failed) }
    }
}

/// An engine with what it talks to by itself: its source and its prober.
struct Heart {
    config: Config,
    settings: Settings,
    dialect: Box<dyn ProxyProtocol>,
    read_load: LoadReportParser,
    epoch: u64,
    seed: u64,
    clock: Clock,
}

impl Heart {
    /// Starts its tasks and gives the way in.
    fn start(
        self,
        source: Box<dyn ServiceDiscovery>,
        tied: &Tied,
        cores: &mut JoinSet<()>,
    ) -> mpsc::Sender<EngineCommand> {
        let Self { config, settings, dialect, read_load, epoch, seed, clock } = self;
        let stop = &tied.stop;
        let (inbox, inputs) = mpsc::channel(INBOX);
        let (feed, ask, mut told) = EndpointFeed::new(stop.clone());
        let (probe, probes) = mpsc::channel(PROBES);
        let engine = Engine::with(config.clone(), settings, dialect, epoch, seed, clock.now());
        let core = EngineTask::new(engine, clock, inputs, ask, probe, stop.clone());
        cores.spawn(tied.tasks.track_future(tied.needed("engine").task(core.run())));
        tied.tasks.spawn(tied.needed("source").task(source.run(feed)));
        let to_core = inbox.clone();
        tied.tasks.spawn(async move {
            while let Some(input) = told.recv().await {
                if to_core.send(EngineCommand::Input(input)).await.is_err() {
                    break;
                }
            }
        });
        let prober = prober::run(config, read_load, probes, inbox.clone(), stop.clone());
        tied.tasks.spawn(tied.needed("prober").task(prober));
        inbox
    }
}

/// The settings that each engine is given: all but the further tenants, of which an engine knows nothing. With them
/// every engine and every prober would hold the settings of all tenants, so that memory grew with their square.
fn without_tenants(config: &Config) -> Config {
    Config {
        fleet: config.fleet.clone(),
        listen: config.listen.clone(),
        channel: config.channel.clone(),
        reports: config.reports.clone(),
        probes: config.probes.clone(),
        source: config.source.clone(),
        status: config.status.clone(),
        identity: config.identity.clone(),
        council: config.council.clone(),
        distribution: config.distribution.clone(),
        tenants: BTreeMap::new(),
    }
}

/// A task that a conductor cannot do without. If it ends before the conductor is stopped, by a panic too, that is
/// logged and stops the conductor: proxies are told, and go to another.
struct Needed {
    name: &'static str,
    stop: CancellationToken,
    failed: Arc<OnceLock<TaskFailed>>,
}

impl Needed {
    async fn task(self, run: impl Future<Output = ()>) {
        run.await;
    }
}

impl Drop for Needed {
    fn drop(&mut self) {
        if !self.stop.is_cancelled() {
            tracing::error!(event = "task_failed", task = self.name);
            let _ = self.failed.set(TaskFailed(self.name));
            self.stop.cancel();
        }
    }
}

/// Listens with a long queue: after a restart all proxies dial at once, and with the usual 128 places each one
/// that finds no place waits for seconds until its kernel tries again.
fn listen(address: SocketAddr, queue: u32) -> Result<TcpListener, StartError> {
    let bound = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(queue)
    };
    bound().map_err(|cause| StartError::Listen { address, cause })
}

async fn stats(inbox: &mpsc::Sender<EngineCommand>) -> Option<Stats> {
    let (reply, answer) = oneshot::channel();
    inbox.send(EngineCommand::Stats(reply)).await.ok()?;
    answer.await.ok()
}

/// Takes connections in.
struct Accept {
    config: Arc<Config>,
    epoch: u64,
    tenants: Arc<BTreeMap<String, mpsc::Sender<EngineCommand>>>,
    identity: Option<Arc<Identity>>,
    stop: CancellationToken,
    kill: CancellationToken,
    tasks: TaskTracker,
}

impl Accept {
    async fn run(self, listener: TcpListener) {
        let room = Arc::new(Semaphore::new(self.config.listen.connections_max as usize));
        let mut next = 0;
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (socket, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(cause) => {
                    // Out of descriptors, or the peer is gone already: give others time to end.
                    tracing::warn!(event = "accept_failed", %cause);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            let Ok(place) = Arc::clone(&room).try_acquire_owned() else {
                tracing::warn!(event = "connection_limit_reached", %peer);
                continue;
            };
            next += 1;
            let session = self.session(StreamId(next), peer);
            self.tasks.spawn(async move {
                session.run(socket).await;
                drop(place);
            });
        }
    }

    fn session(&self, stream: StreamId, peer: SocketAddr) -> Session {
        Session {
            stream,
            peer,
            config: Arc::clone(&self.config),
            epoch: self.epoch,
            tenants: Arc::clone(&self.tenants),
            identity: self.identity.clone(),
            stop: self.stop.clone(),
            kill: self.kill.clone(),
        }
    }
}

impl From<Input> for EngineCommand {
    fn from(input: Input) -> Self {
        EngineCommand::Input(input)
    }
}
