//! Errors at the start of a conductor, and the failure of one of its tasks.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use stepspur_distribution::control::ControlStartError;
use stepspur_distribution::document::DocumentError;
use stepspur_distribution::scope_store::StoreError;
use stepspur_distribution::subscriber::SubscriberStartError;
use stepspur_identity::keys::KeyError;

use crate::config::InvalidSetting;

/// Why a conductor could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Settings are out of bounds; the list contains every such setting.
    #[error("{} settings are out of bounds, the first: {}: {}", .0.len(), .0[0].key, .0[0].what)]
    Config(Vec<InvalidSetting>),
    /// The keys for TLS and tokens cannot be loaded.
    #[error("keys: {0}")]
    Keys(#[from] KeyError),
    /// The audit log cannot be opened for writing.
    #[error("audit log {path}: {cause}")]
    Audit {
        /// The log's path.
        path: PathBuf,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The consensus member cannot start. The message begins with the name of its settings.
    #[error("council: {0}")]
    Consensus(#[from] stepspur_consensus_node::StartError),
    /// The control member of the configuration distribution cannot start.
    #[error("distribution.control: {0}")]
    Control(#[from] ControlStartError),
    /// The subscriber of the configuration distribution cannot start.
    #[error("distribution.subscriber: {0}")]
    Subscriber(#[from] SubscriberStartError),
    /// The subscriber's services or tenants are invalid.
    #[error("distribution.subscriber.services: {0}")]
    Interest(#[from] DocumentError),
    /// The subscriber's state file is in use by another process.
    #[error("distribution.subscriber.state: {0}")]
    ConfigurationStore(StoreError),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
}

/// A task without which a conductor cannot run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskName {
    /// The task that owns an engine.
    Engine,
    /// The source of the endpoint list.
    EndpointSource,
    /// The sender of health checks.
    Prober,
    /// The writer of the audit log.
    AuditLog,
    /// The watcher of the key folder.
    KeyWatcher,
    /// The listener for proxies.
    ProxyListener,
    /// The listener for operators.
    OperatorListener,
    /// The server of the status page.
    StatusPage,
}

impl TaskName {
    /// The name in log events and error messages.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskName::Engine => "engine",
            TaskName::EndpointSource => "source",
            TaskName::Prober => "prober",
            TaskName::AuditLog => "audit log",
            TaskName::KeyWatcher => "watch of keys",
            TaskName::ProxyListener => "proxies' listener",
            TaskName::OperatorListener => "operators' listener",
            TaskName::StatusPage => "status page",
        }
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A task of a conductor panicked or returned while the conductor was running. All other tasks were stopped
/// as well, because a conductor without its source, listener or prober would send stale tables to proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the conductor's {task} failed")]
pub struct TaskFailed {
    /// The task that failed first.
    pub task: TaskName,
}
