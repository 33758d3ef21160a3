//! A subscriber: the conductor's side of the distribution.
//!
//! It connects to one control member, subscribes to the documents that concern it, states the version that it
//! holds, and is sent the changes after that version. Each update is stored, then applied, then acknowledged.
//! Without a control member the stored documents stay in effect, and the status has their age.
//!
//! Two tasks: the scope task (`scope_task`) owns the store, the documents and the applier; the connector
//! (`connector`) owns the connection. The connector passes one update at a time, and reads nothing until it
//! is stored and applied.

mod candidates;
mod connection;
mod connector;
mod document_applier;
mod document_cache;
mod messages;
mod retrying_applier;
mod scope_task;
mod session;
mod settings;
mod snapshot_assembler;
mod status;
mod status_publisher;
mod update;

use std::sync::Arc;

use stepspur_consensus_node::Transport;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::scope_store::{ScopeStore, StoreError, StoredScope};

pub use document_applier::{DocumentApplier, DocumentNotApplied};
pub use settings::{SubscriberSettings, SubscriberStartError};
pub use status::{MAX_UNAPPLIED_LISTED, SubscriberStatus, Unapplied};

use connector::Connector;
use document_cache::DocumentCache;
use retrying_applier::RetryingApplier;
use scope_task::ScopeTask;
use status_publisher::StatusPublisher;

/// A running subscriber. Dropping it stops it without waiting; [`Subscriber::stop`] waits.
#[derive(Debug)]
pub struct Subscriber {
    status: watch::Receiver<SubscriberStatus>,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
    tasks: TaskTracker,
}

impl Subscriber {
    /// Starts the subscriber. The stored documents are applied before it connects to control members.
    ///
    /// # Errors
    /// [`SubscriberStartError`] if the settings are invalid or the store cannot be read. It is no error if no
    /// control member answers.
    pub async fn start(
        settings: SubscriberSettings,
        store: Box<dyn ScopeStore>,
        applier: Arc<dyn DocumentApplier>,
        net: Arc<dyn Transport>,
    ) -> Result<Self, SubscriberStartError> {
        let settings = settings.checked()?;
        let LoadedStore { store, stored } = load(store).await?;
        let (publisher, status) = StatusPublisher::new(stored.as_ref().map(|stored| stored.stored_at));
        let publisher = Arc::new(publisher);
        let cache = DocumentCache::new(settings.interest.clone(), stored);
        let applier = RetryingApplier::new(applier);
        let mut scope_task = ScopeTask::new(cache, store, applier, Arc::clone(&publisher));
        scope_task.apply_stored().await;

        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        // Capacity 1: the connector sends one update at a time.
        let (updates, update_requests) = mpsc::channel(1);
        let progress = scope_task.progress();
        tasks.spawn(scope_task.run(update_requests, stop.clone()));
        let connector = Connector::new(settings, net, updates, progress, publisher);
        tasks.spawn(connector.run(stop.clone()));
        let stop_on_drop = stop.clone().drop_guard();
        Ok(Self { status, stop, _stop_on_drop: stop_on_drop, tasks })
    }

    /// The status, as it changes. Its age and its byte counters are updated each second.
    pub fn status(&self) -> watch::Receiver<SubscriberStatus> {
        self.status.clone()
    }

    /// Stops all tasks and waits for them. Applied documents stay in effect.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// A store and the content that was read from it.
struct LoadedStore {
    store: Box<dyn ScopeStore>,
    stored: Option<StoredScope>,
}

/// Reads the store on a blocking thread.
async fn load(mut store: Box<dyn ScopeStore>) -> Result<LoadedStore, SubscriberStartError> {
    let loading = tokio::task::spawn_blocking(move || -> Result<LoadedStore, StoreError> {
        let stored = store.load()?;
        Ok(LoadedStore { store, stored })
    });
    let loaded = loading.await.map_err(|cause| SubscriberStartError::Load(cause.to_string()))?;
    Ok(loaded?)
}
