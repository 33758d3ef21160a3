//! The configuration distribution in a conductor: its control member, its subscriber, or both. They start and
//! stop with the conductor; the subscriber stops first.

mod apply;
mod consensus_member;

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use stepspur_consensus_node::{Tcp, Transport};
use stepspur_distribution::config::{
    ControlConfig, ControlMemberAddress, Distribution as Settings, SubscriberConfig,
};
use stepspur_distribution::control::{Control, ControlMember, ControlSettings, ControlStatus};
use stepspur_distribution::document::Interest;
use stepspur_distribution::scope_store::{MemoryStore, RedbStore, ScopeStore, StoreError};
use stepspur_distribution::subscriber::{Subscriber, SubscriberSettings, SubscriberStatus};
use stepspur_replication::ReplicationClient;
use tokio::sync::watch;
use tokio::time::timeout;

use super::engine_handle::EnginesByTenant;
use super::error::StartError;
use crate::config::Config;
use apply::TenantEngines;

pub(super) use consensus_member::ConsensusMember;

/// How long the subscriber, and likewise the control member, may take to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The running parts of the distribution; none for those that the settings do not name.
#[derive(Default)]
pub(super) struct Distribution {
    control: Option<Arc<Control>>,
    subscriber: Option<RunningSubscriber>,
}

/// A running subscriber.
struct RunningSubscriber {
    subscriber: Subscriber,
    /// Why the state file is not used; none if it is used.
    store_fault: Option<String>,
}

/// The view of the distribution that the status page and the operators' API use.
#[derive(Clone, Default)]
pub(super) struct DistributionView {
    pub(super) control: Option<Arc<Control>>,
    subscriber: Option<watch::Receiver<SubscriberStatus>>,
    store_fault: Option<String>,
}

/// The status of the distribution in this conductor.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DistributionStatus {
    /// The status of the control member; none if the conductor is not one.
    #[serde(skip_serializing_if = "Option::is_none")]
    control: Option<ControlStatus>,
    /// The status of the subscriber; none if the conductor is not one.
    #[serde(skip_serializing_if = "Option::is_none")]
    subscriber: Option<SubscriberStatus>,
    /// Why the subscriber's state file is not used, so that documents are stored in memory only; none if it
    /// is used.
    #[serde(skip_serializing_if = "Option::is_none")]
    store_fault: Option<String>,
}

impl std::fmt::Debug for Distribution {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Distribution")
            .field("control", &self.control.is_some())
            .field("subscriber", &self.subscriber.is_some())
            .finish()
    }
}

impl Distribution {
    /// Starts the parts that the settings name: a control member, which uses the consensus member, and a
    /// subscriber, which applies documents to the engines.
    ///
    /// # Errors
    /// An address cannot be listened on, or a file cannot be used.
    pub(super) async fn start(
        config: &Config,
        member: &ConsensusMember,
        engines: &EnginesByTenant,
        seed: u64,
    ) -> Result<Self, StartError> {
        let Some(Settings { control, subscriber }) = &config.distribution else { return Ok(Self::default()) };
        let network: Arc<dyn Transport> = Arc::new(Tcp);
        let control = match (control, &member.replication) {
            (Some(settings), Some(replication)) => {
                let control = start_control(settings, replication, Arc::clone(&network)).await?;
                Some(Arc::new(control))
            }
            _ => None,
        };
        let subscriber = match subscriber {
            Some(settings) => {
                Some(start_subscriber(settings, TenantEngines::new(engines), network, seed).await?)
            }
            None => None,
        };
        Ok(Self { control, subscriber })
    }

    /// Creates a view for the status page and the operators' API.
    pub(super) fn view(&self) -> DistributionView {
        let running = self.subscriber.as_ref();
        DistributionView {
            control: self.control.clone(),
            subscriber: running.map(|running| running.subscriber.status()),
            store_fault: running.and_then(|running| running.store_fault.clone()),
        }
    }

    /// Stops the subscriber. Afterwards no document is applied to an engine.
    pub(super) async fn stop_subscriber(&mut self) {
        let Some(RunningSubscriber { subscriber, .. }) = self.subscriber.take() else { return };
        if timeout(STOP_TIMEOUT, subscriber.stop()).await.is_err() {
            tracing::error!(event = "shutdown_timeout", what = "subscriber");
        }
    }

    /// Stops the control member. Call this after all calls that use it have ended, and before the consensus
    /// member stops. If a view still refers to it, it is released without being stopped.
    pub(super) async fn stop_control(&mut self) {
        let Some(control) = self.control.take().and_then(Arc::into_inner) else { return };
        if timeout(STOP_TIMEOUT, control.stop()).await.is_err() {
            tracing::error!(event = "shutdown_timeout", what = "control member");
        }
    }
}

impl DistributionView {
    /// The present status; none if the settings name no distribution.
    pub(super) fn status(&self) -> Option<DistributionStatus> {
        if self.control.is_none() && self.subscriber.is_none() {
            return None;
        }
        let control = self.control.as_ref().map(|control| control.status());
        let subscriber = self.subscriber.as_ref().map(|status| status.borrow().clone());
        Some(DistributionStatus { control, subscriber, store_fault: self.store_fault.clone() })
    }
}

/// Starts the control member, with the address and region that the settings list for it.
async fn start_control(
    config: &ControlConfig,
    replication: &ReplicationClient,
    network: Arc<dyn Transport>,
) -> Result<Control, StartError> {
    let id = replication.node().id().0;
    let own = config.member(id);
    let settings = ControlSettings {
        id,
        // The validation of the settings rejects a member that does not list itself.
        listen: own.map_or(([127, 0, 0, 1], 0).into(), |member| member.address),
        region: own.map(|member| member.region.clone()).unwrap_or_default(),
        members: config.members.iter().map(control_member).collect(),
        snapshot_bytes_per_s: config.snapshot_bytes_per_s,
        subscribers_max: config.subscribers_max,
        keep_alive: config.keep_alive,
    };
    Ok(Control::start(settings, replication.clone(), network).await?)
}

/// Starts the subscriber, which applies documents to the engines.
async fn start_subscriber(
    config: &SubscriberConfig,
    engines: Arc<TenantEngines>,
    network: Arc<dyn Transport>,
    seed: u64,
) -> Result<RunningSubscriber, StartError> {
    let interest = config.interest()?;
    let OpenedStore { store, fault } = open_store(config, &interest).await?;
    let settings = SubscriberSettings {
        name: config.name.clone(),
        interest,
        control: config.control.clone(),
        dial_timeout: config.dial_timeout,
        write_timeout: config.write_timeout,
        seed,
    };
    let subscriber = Subscriber::start(settings, store, engines, network).await?;
    Ok(RunningSubscriber { subscriber, store_fault: fault })
}

/// The store of a subscriber.
struct OpenedStore {
    store: Box<dyn ScopeStore>,
    /// Why the store is in memory; none if it is the state file.
    fault: Option<String>,
}

/// Opens the state file of a subscriber. A file that cannot be used is left unchanged; the subscriber then
/// stores its documents in memory, and the status contains the reason.
///
/// # Errors
/// The file is in use, because another subscriber runs with the same settings.
async fn open_store(config: &SubscriberConfig, interest: &Interest) -> Result<OpenedStore, StartError> {
    let path = config.state.clone();
    let interest = interest.clone();
    let opened = tokio::task::spawn_blocking(move || RedbStore::open(&path, &interest)).await;
    let fault = match opened {
        Ok(Ok(store)) => return Ok(OpenedStore { store: Box::new(store), fault: None }),
        Ok(Err(error @ StoreError::InUse { .. })) => return Err(StartError::ConfigurationStore(error)),
        Ok(Err(error)) => error.to_string(),
        Err(panic) => panic.to_string(),
    };
    tracing::error!(event = "configuration_without_store", cause = fault);
    Ok(OpenedStore { store: Box::new(MemoryStore::new()), fault: Some(fault) })
}

fn control_member(member: &ControlMemberAddress) -> ControlMember {
    ControlMember { id: member.id, address: member.address, region: member.region.clone() }
}
