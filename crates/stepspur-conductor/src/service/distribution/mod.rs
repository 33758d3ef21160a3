//! The distribution of configuration in a conductor: its control member, its subscriber, or both. They start with the
//! conductor and end with it, the subscriber first.

mod apply;

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use stepspur_consensus_node::{ConsensusConfig, Net, NodeHandle, Tcp};
use stepspur_distribution::configuration::ConfigurationState;
use stepspur_distribution::config::{
    ControlConfig, ControlMemberAddress, Distribution as Settings, SubscriberConfig,
};
use stepspur_distribution::control::{Control, ControlMember, ControlSettings, ControlStatus};
use stepspur_distribution::document::Interest;
use stepspur_distribution::scope_store::{MemoryStore, RedbStore, ScopeStore, StoreError};
use stepspur_distribution::subscriber::{Subscriber, SubscriberSettings, SubscriberStatus};
use stepspur_replication::{ProposalLimits, ReplicatedStateMachine, ReplicationClient, StateMachineRegistry};
use tokio::sync::{mpsc, watch};

use super::StartError;
use super::core::EngineCommand;
use crate::config::Config;
use apply::TenantEngines;

/// The subscriber, and the control member, have this time to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The council's member of a conductor, with its books where it is a control member.
#[derive(Default)]
pub(crate) struct Member {
    peers: Option<Arc<NodeHandle>>,
    shared: Option<ReplicationClient>,
}

impl Member {
    /// Starts the council's member, if the settings name one.
    ///
    /// # Errors
    /// Those of the council.
    pub(crate) async fn start(config: &Config, seed: u64) -> Result<Self, StartError> {
        let Some(council) = &config.council else { return Ok(Self::default()) };
        if config.distribution.as_ref().is_some_and(|set| set.control.is_some()) {
            return Self::start_with_books(council, seed).await;
        }
        Ok(Self { peers: Some(Arc::new(council.start(seed).await?)), shared: None })
    }

    async fn start_with_books(council: &ConsensusConfig, seed: u64) -> Result<Self, StartError> {
        let books = StateMachineRegistry::new([
            Box::new(ConfigurationState::default()) as Box<dyn ReplicatedStateMachine>
        ]);
        let peers = Arc::new(council.start_with(seed, books.clone()).await?);
        // It must differ from that of any earlier start.
        let life = RandomState::new().hash_one(seed);
        let shared = ReplicationClient::new(Arc::clone(&peers), books, ProposalLimits::default(), life);
        Ok(Self { peers: Some(peers), shared: Some(shared) })
    }

    /// The council's member alone.
    pub(crate) fn into_peers(self) -> Option<Arc<NodeHandle>> {
        self.peers
    }
}

/// The running parts.
#[derive(Default)]
pub(crate) struct Distribution {
    control: Option<Arc<Control>>,
    subscriber: Option<RunningSubscriber>,
}

/// A subscriber, and why its file is not used, if so.
struct RunningSubscriber {
    subscriber: Subscriber,
    store_fault: Option<String>,
}

/// What status pages and the operators' endpoint see of it.
#[derive(Clone, Default)]
pub(crate) struct DistributionView {
    pub control: Option<Arc<Control>>,
    subscriber: Option<watch::Receiver<SubscriberStatus>>,
    store_fault: Option<String>,
}

/// How the distribution stands in this conductor.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DistributionStatus {
    /// The control member.
    #[serde(skip_serializing_if = "Option::is_none")]
    control: Option<ControlStatus>,
    /// The subscriber.
    #[serde(skip_serializing_if = "Option::is_none")]
    subscriber: Option<SubscriberStatus>,
    /// Why the subscriber's file is not used: it keeps in memory alone what it is pushed.
    #[serde(skip_serializing_if = "Option::is_none")]
    store_fault: Option<String>,
}

impl std::fmt::Debug for Distribution {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (control, subscriber) = (self.control.is_some(), self.subscriber.is_some());
        f.debug_struct("Distribution").field("control", &control).field("subscriber", &subscriber).finish()
    }
}

impl Distribution {
    /// Starts what the settings name: the control member on the council's member, the subscriber on the engines.
    ///
    /// # Errors
    /// An address that cannot be listened on, a file that cannot be used.
    pub(crate) async fn start(
        config: &Config,
        member: &Member,
        engines: &BTreeMap<String, mpsc::Sender<EngineCommand>>,
        seed: u64,
    ) -> Result<Self, StartError> {
        let Some(Settings { control, subscriber }) = &config.distribution else { return Ok(Self::default()) };
        let net: Arc<dyn Net> = Arc::new(Tcp);
        let control = match (control, &member.shared) {
            (Some(set), Some(shared)) => Some(Arc::new(start_control(set, shared, Arc::clone(&net)).await?)),
            _ => None,
        };
        let subscriber = match subscriber {
            Some(set) => Some(start_subscriber(set, TenantEngines::new(engines), net, seed).await?),
            None => None,
        };
        Ok(Self { control, subscriber })
    }

    /// What is seen of it.
    pub(crate) fn view(&self) -> DistributionView {
        let running = self.subscriber.as_ref();
        DistributionView {
            control: self.control.clone(),
            subscriber: running.map(|running| running.subscriber.status()),
            store_fault: running.and_then(|running| running.store_fault.clone()),
        }
    }

    /// Ends the subscriber: no document reaches an engine any more.
    pub(crate) async fn stop_subscriber(&mut self) {
        let Some(RunningSubscriber { subscriber, .. }) = self.subscriber.take() else { return };
        if tokio::time::timeout(STOP_TIMEOUT, subscriber.stop()).await.is_err() {
            tracing::error!(event = "shutdown_timeout", what = "subscriber");
        }
    }

    /// Ends the control member, once nobody calls it any more; before the council's.
    pub(crate) async fn stop_control(&mut self) {
        let Some(control) = self.control.take().and_then(Arc::into_inner) else { return };
        if tokio::time::timeout(STOP_TIMEOUT, control.stop()).await.is_err() {
            tracing::error!(event = "shutdown_timeout", what = "control member");
        }
    }
}

impl DistributionView {
    /// How it stands; none where the settings name nothing.
    pub(crate) fn status(&self) -> Option<DistributionStatus> {
        if self.control.is_none() && self.subscriber.is_none() {
            return None;
        }
        let control = self.control.as_ref().map(|control| control.status());
        let subscriber = self.subscriber.as_ref().map(|status| status.borrow().clone());
        Some(DistributionStatus { control, subscriber, store_fault: self.store_fault.clone() })
    }
}

async fn start_control(
    set: &ControlConfig,
    shared: &ReplicationClient,
    net: Arc<dyn Net>,
) -> Result<Control, StartError> {
    let id = shared.node().id().0;
    let own = set.member(id);
    let settings = ControlSettings {
        id,
        // Settings without their own place are refused before.
        listen: own.map_or(([127, 0, 0, 1], 0).into(), |place| place.address),
        region: own.map(|place| place.region.clone()).unwrap_or_default(),
        members: set.members.iter().map(control_member).collect(),
        snapshot_bytes_per_s: set.snapshot_bytes_per_s,
        subscribers_max: set.subscribers_max,
        keep_alive: set.keep_alive,
    };
    Ok(Control::start(settings, shared.clone(), net).await?)
}

async fn start_subscriber(
    set: &SubscriberConfig,
    engines: Arc<TenantEngines>,
    net: Arc<dyn Net>,
    seed: u64,
) -> Result<RunningSubscriber, StartError> {
    let interest = set.interest()?;
    let (store, store_fault) = open_store(set, &interest).await?;
    let settings = SubscriberSettings {
        name: set.name.clone(),
        interest,
        control: set.control.clone(),
        dial_timeout: set.dial_timeout,
        write_timeout: set.write_timeout,
        seed,
    };
    let subscriber = Subscriber::start(settings, store, engines, net).await?;
    Ok(RunningSubscriber { subscriber, store_fault })
}

/// Opens the subscriber's file. One that cannot be used is left as it is, and the conductor goes on without: it keeps
/// in memory what it is pushed, and says so.
///
/// # Errors
/// The file is in use: another subscriber runs by these settings.
async fn open_store(
    set: &SubscriberConfig,
    interest: &Interest,
) -> Result<(Box<dyn ScopeStore>, Option<String>), StartError> {
    let (path, interest) = (set.state.clone(), interest.clone());
    let fault = match tokio::task::spawn_blocking(move || RedbStore::open(&path, &interest)).await {
        Ok(Ok(store)) => return Ok((Box::new(store), None)),
        Ok(Err(fault @ StoreError::InUse { .. })) => return Err(StartError::ConfigurationStore(fault)),
        Ok(Err(fault)) => fault.to_string(),
        Err(cause) => cause.to_string(),
    };
    tracing::error!(event = "configuration_without_store", cause = fault);
    Ok((Box::new(MemoryStore::new()), Some(fault)))
}

fn control_member(place: &ControlMemberAddress) -> ControlMember {
    ControlMember { id: place.id, address: place.address, region: place.region.clone() }
}
