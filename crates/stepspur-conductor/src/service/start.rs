//! The start of a conductor that serves the project's own protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::NodeHandle;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::acceptor::{Acceptor, BoundListener};
use super::audit::AuditLog;
use super::clock::Clock;
use super::conductor::{Conductor, ListenAddresses};
use super::distribution::{ConsensusMember, Distribution};
use super::engine_handle::{EngineHandle, EnginesByTenant};
use super::engine_tasks::EngineTasks;
use super::error::{StartError, TaskName};
use super::identity::Identity;
use super::input_limits::MAX_LONG_MESSAGES;
use super::operator::{OperatorApi, OperatorServer};
use super::session::SessionContext;
use super::status::StatusHandles;
use super::supervisor::Supervisor;
use super::{prober, status};
use crate::config::Config;
use crate::engine::FramedProtocol;
use crate::source::{self, ServiceDiscovery};

/// The backlog of the listeners for operators and the status page, in connections.
const INTERNAL_BACKLOG: u32 = 128;
/// The longest grace period of a shutdown.
const MAX_SHUTDOWN_GRACE: Duration = Duration::from_secs(2);

impl Conductor {
    /// Listens and starts all tasks. The conductor's epoch is the time of the start.
    ///
    /// # Errors
    /// See [`StartError`]: settings are out of bounds, an address cannot be listened on, or a file cannot be
    /// used.
    pub async fn start(config: Config, source: Box<dyn ServiceDiscovery>) -> Result<Self, StartError> {
        let invalid_settings = config.invalid_settings();
        if !invalid_settings.is_empty() {
            return Err(StartError::Config(invalid_settings));
        }
        let proxy_listener = BoundListener::bind(config.listen.address, config.listen.queue)?;
        let status_listener = match config.status.address {
            Some(address) => Some(BoundListener::bind(address, INTERNAL_BACKLOG)?),
            None => None,
        };
        let mut startup = Startup::new(config);
        let member = ConsensusMember::start(&startup.config, startup.epoch).await?;
        let identity = startup.start_identity()?;
        let engine = startup.start_own_engine(source);
        let engines = startup.start_tenant_engines(identity.as_deref(), &engine);
        let distribution = Distribution::start(&startup.config, &member, &engines, startup.epoch).await?;
        let parts = Parts { engine, engines, identity, consensus_node: member.into_node(), distribution };

        let addresses = ListenAddresses {
            proxies: proxy_listener.address,
            operators: startup.start_operator_api(&parts)?,
            status: status_listener.as_ref().map(|bound| bound.address),
        };
        if let Some(bound) = status_listener {
            startup.start_status_page(bound, &parts);
        }
        startup.start_acceptor(proxy_listener, &parts);
        tracing::info!(event = "started", address = %addresses.proxies, epoch = startup.epoch);
        Ok(startup.into_conductor(addresses, parts))
    }
}

/// The parts of a conductor that its listeners use.
struct Parts {
    /// The engine of the conductor's own tenant.
    engine: EngineHandle,
    engines: Arc<EnginesByTenant>,
    identity: Option<Arc<Identity>>,
    consensus_node: Option<Arc<NodeHandle>>,
    distribution: Distribution,
}

/// The state that the steps of a start share.
struct Startup {
    config: Arc<Config>,
    clock: Clock,
    epoch: u64,
    supervisor: Supervisor,
    engine_tasks: JoinSet<()>,
}

impl Startup {
    fn new(config: Config) -> Self {
        let clock = Clock::start();
        Self {
            config: Arc::new(config),
            clock,
            epoch: clock.now(),
            supervisor: Supervisor::default(),
            engine_tasks: JoinSet::new(),
        }
    }

    /// Opens the audit log, loads the keys and starts their tasks; none if the settings have no identity.
    fn start_identity(&self) -> Result<Option<Arc<Identity>>, StartError> {
        let Some(settings) = &self.config.identity else { return Ok(None) };
        let (audit_log, write_entries) = AuditLog::open(&settings.audit)
            .map_err(|cause| StartError::Audit { path: settings.audit.clone(), cause })?;
        let identity = Identity::start(settings.clone(), audit_log)?;
        let watch_keys = Arc::clone(&identity).watch_keys(self.supervisor.shutdown.stop.clone());
        self.supervisor.spawn(TaskName::AuditLog, write_entries);
        self.supervisor.spawn(TaskName::KeyWatcher, watch_keys);
        Ok(Some(identity))
    }

    /// Starts the engine of the conductor's own tenant, on the endpoint source that the caller gives.
    fn start_own_engine(&mut self, source: Box<dyn ServiceDiscovery>) -> EngineHandle {
        self.start_engine(without_tenants(&self.config), source)
    }

    /// Starts the engines of the additional tenants and returns all engines by tenant.
    fn start_tenant_engines(
        &mut self,
        identity: Option<&Identity>,
        own: &EngineHandle,
    ) -> Arc<EnginesByTenant> {
        let own_tenant = identity.map_or("", |identity| identity.tenant()).to_owned();
        let mut engines = EnginesByTenant::from([(own_tenant, own.clone())]);
        let config = Arc::clone(&self.config);
        for (name, tenant) in &config.tenants {
            let tenant_config = Config {
                fleet: tenant.fleet.clone(),
                source: tenant.source.clone(),
                ..without_tenants(&config)
            };
            let source = source::from_config(&tenant.source);
            engines.insert(name.clone(), self.start_engine(tenant_config, source));
        }
        Arc::new(engines)
    }

    /// Starts an engine and its tasks for one tenant.
    fn start_engine(&mut self, config: Config, source: Box<dyn ServiceDiscovery>) -> EngineHandle {
        let tasks = EngineTasks {
            settings: config.settings(),
            config,
            protocol: Box::new(FramedProtocol),
            parse_load_report: prober::parse_json_load_report,
            epoch: self.epoch,
            seed: self.epoch,
            clock: self.clock,
        };
        tasks.start(source, &self.supervisor, &mut self.engine_tasks)
    }

    /// Starts the operators' API and returns its address; none if the settings do not name one.
    fn start_operator_api(&self, parts: &Parts) -> Result<Option<SocketAddr>, StartError> {
        let address = self.config.identity.as_ref().and_then(|settings| settings.operators);
        let (Some(identity), Some(address)) = (&parts.identity, address) else { return Ok(None) };
        let bound = BoundListener::bind(address, INTERNAL_BACKLOG)?;
        let api = OperatorApi {
            identity: Arc::clone(identity),
            engines: Arc::clone(&parts.engines),
            consensus_node: parts.consensus_node.clone(),
            distribution: parts.distribution.view(),
        };
        let server =
            OperatorServer::new(api, self.supervisor.tasks.clone(), self.supervisor.shutdown.clone());
        self.supervisor.spawn(TaskName::OperatorListener, server.run(bound.listener));
        Ok(Some(bound.address))
    }

    fn start_status_page(&self, bound: BoundListener, parts: &Parts) {
        let handles = StatusHandles {
            engine: parts.engine.clone(),
            consensus_node: parts.consensus_node.clone(),
            distribution: parts.distribution.view(),
        };
        let serve = status::run(bound.listener, handles, self.supervisor.shutdown.stop.clone());
        self.supervisor.spawn(TaskName::StatusPage, serve);
    }

    fn start_acceptor(&self, bound: BoundListener, parts: &Parts) {
        let context = SessionContext {
            long_frames: Arc::new(Semaphore::new(MAX_LONG_MESSAGES)),
            config: Arc::clone(&self.config),
            epoch: self.epoch,
            engines: Arc::clone(&parts.engines),
            identity: parts.identity.clone(),
            shutdown: self.supervisor.shutdown.clone(),
        };
        let acceptor = Acceptor { context: Arc::new(context), tasks: self.supervisor.tasks.clone() };
        self.supervisor.spawn(TaskName::ProxyListener, acceptor.run(bound.listener));
    }

    fn into_conductor(self, addresses: ListenAddresses, parts: Parts) -> Conductor {
        Conductor {
            addresses,
            epoch: self.epoch,
            supervisor: self.supervisor,
            engine_tasks: self.engine_tasks,
            engine: parts.engine,
            shutdown_grace: self.config.listen.write_timeout.min(MAX_SHUTDOWN_GRACE),
            consensus_node: parts.consensus_node,
            distribution: parts.distribution,
        }
    }
}

/// Copies the settings without the additional tenants, which an engine does not need. Otherwise every engine
/// and every prober would store the settings of all tenants, and memory would grow with the square of their
/// number.
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
