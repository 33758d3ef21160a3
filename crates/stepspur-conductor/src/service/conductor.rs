//! The handle to a running conductor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::NodeHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::distribution::Distribution;
use super::engine_handle::EngineHandle;
use super::error::TaskFailed;
use super::supervisor::Supervisor;
use crate::engine::Stats;

/// How long tasks may take to end in the immediate stage of a shutdown. Tasks that take longer are abandoned.
const KILL_TIMEOUT: Duration = Duration::from_secs(2);

/// The local addresses that a conductor listens on; none for listeners that the settings do not name.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListenAddresses {
    pub(super) proxies: SocketAddr,
    pub(super) status: Option<SocketAddr>,
    pub(super) operators: Option<SocketAddr>,
}

/// A running conductor. Dropping it stops it without waiting; [`Conductor::stop`] waits.
#[derive(Debug)]
pub struct Conductor {
    pub(super) addresses: ListenAddresses,
    pub(super) epoch: u64,
    pub(super) supervisor: Supervisor,
    pub(super) engine_tasks: JoinSet<()>,
    /// The engine of the conductor's own tenant.
    pub(super) engine: EngineHandle,
    /// How long the graceful stage of a shutdown may take before connections are closed at once.
    pub(super) shutdown_grace: Duration,
    /// None if the conductor is not a member of a consensus group.
    pub(super) consensus_node: Option<Arc<NodeHandle>>,
    pub(super) distribution: Distribution,
}

impl Conductor {
    /// The address that proxies connect to.
    pub fn address(&self) -> SocketAddr {
        self.addresses.proxies
    }

    /// The address of the status page, if the settings name one.
    pub fn status_address(&self) -> Option<SocketAddr> {
        self.addresses.status
    }

    /// The address of the operators' API, if the settings name one.
    pub fn operators_address(&self) -> Option<SocketAddr> {
        self.addresses.operators
    }

    /// The conductor's epoch: its start in microseconds since 1970.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Reads the engine counters of the conductor's own tenant; none if its engine has ended.
    pub async fn stats(&self) -> Option<Stats> {
        self.engine.stats().await
    }

    /// Waits until a tenant's engine ends, because the conductor was stopped or one of its tasks failed.
    ///
    /// # Errors
    /// [`TaskFailed`] names the task that failed first.
    pub async fn ended(&mut self) -> Result<(), TaskFailed> {
        // The supervisor has already recorded a panic, so the join error is ignored.
        let _ = self.engine_tasks.join_next().await;
        self.supervisor.failure().map_or(Ok(()), Err)
    }

    /// Sends a go-away message on every stream, ends every task and waits for them. Streams whose peers do
    /// not read are closed after the grace period, which is at most two seconds.
    pub async fn stop(mut self) {
        self.distribution.stop_subscriber().await;
        self.supervisor.shutdown.stop.cancel();
        while self.engine_tasks.join_next().await.is_some() {}
        self.stop_tasks().await;
        self.distribution.stop_control().await;
        if let Some(node) = self.consensus_node.take() {
            node.stop().await;
        }
        tracing::info!(event = "stopped", epoch = self.epoch);
    }

    /// Waits for all tasks to end: first gracefully, then after cancelling them.
    async fn stop_tasks(&self) {
        let tasks = &self.supervisor.tasks;
        tasks.close();
        if timeout(self.shutdown_grace, tasks.wait()).await.is_ok() {
            return;
        }
        self.supervisor.shutdown.kill.cancel();
        // Without a timeout, a disk that hangs would block the shutdown in the task of the audit log.
        if timeout(KILL_TIMEOUT, tasks.wait()).await.is_err() {
            tracing::error!(event = "shutdown_timeout", tasks = tasks.len());
        }
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        self.supervisor.shutdown.stop.cancel();
        self.supervisor.shutdown.kill.cancel();
    }
}
