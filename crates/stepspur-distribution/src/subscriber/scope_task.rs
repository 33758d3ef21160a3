//! The scope task, which owns a subscriber's documents: it stores each update, applies it, and publishes the
//! progress.
//!
//! A covered version is one up to which, as the control member reports, no document of the subscriber's
//! interest has changed since the last update. It advances the subscriber's version, but no document.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::document_cache::DocumentCache;
use super::retrying_applier::RetryingApplier;
use super::snapshot_assembler::Snapshot;
use super::status_publisher::StatusPublisher;
use super::update::{ConfigUpdate, Progress, SAVE_TIMEOUT, UpdateError, UpdateRequest};
use crate::document::Document;
use crate::scope_store::{ScopeStore, ScopeUpdate};
use crate::version::Version;

/// The interval at which failed documents are retried and the status is refreshed.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between saves of covered versions. They change no document; if one is lost, the next
/// start begins at an earlier version.
const COVERED_SAVE_INTERVAL: Duration = Duration::from_secs(60);

/// Owns the documents of a subscriber, their store and the applier.
pub(super) struct ScopeTask {
    cache: DocumentCache,
    store: Box<dyn ScopeStore>,
    applier: RetryingApplier,
    /// All changes of the interest up to this version are applied.
    applied_version: Version,
    last_save: Instant,
    /// Whether a covered version was received since the last save.
    has_unsaved_covered: bool,
    progress: watch::Sender<Progress>,
    publisher: Arc<StatusPublisher>,
}

impl ScopeTask {
    pub(super) fn new(
        cache: DocumentCache,
        store: Box<dyn ScopeStore>,
        applier: RetryingApplier,
        publisher: Arc<StatusPublisher>,
    ) -> Self {
        Self {
            cache,
            store,
            applier,
            applied_version: Version::NONE,
            last_save: Instant::now(),
            has_unsaved_covered: false,
            progress: watch::Sender::default(),
            publisher,
        }
    }

    /// Returns a receiver of the stored and applied versions and the failed documents; it is notified of each
    /// change.
    pub(super) fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Applies the documents that were stored in an earlier run.
    pub(super) async fn apply_stored(&mut self) {
        self.applier.apply_all(&self.cache.documents()).await;
        self.publish_progress();
    }

    /// Handles updates until stopped.
    pub(super) async fn run(mut self, mut requests: mpsc::Receiver<UpdateRequest>, stop: CancellationToken) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => break,
                Some(UpdateRequest { update, result }) = requests.recv() => {
                    // If the connection has ended in the meantime, nothing waits for the result.
                    drop(result.send(self.handle(update).await));
                }
                _ = ticks.tick() => self.tick().await,
            }
        }
        if self.has_unsaved_covered {
            self.save_covered().await;
        }
    }

    /// Does the periodic work: retries failed documents, saves a covered version that is due, refreshes the
    /// status.
    async fn tick(&mut self) {
        if self.applier.has_failed() {
            self.applier.retry().await;
            self.publish_progress();
        }
        if self.has_unsaved_covered && self.last_save.elapsed() >= COVERED_SAVE_INTERVAL {
            self.save_covered().await;
        }
        self.publisher.refresh();
    }

    async fn handle(&mut self, update: ConfigUpdate) -> Result<(), UpdateError> {
        match update {
            ConfigUpdate::Delta { from, to, documents } => self.handle_delta(from, to, documents).await,
            ConfigUpdate::Snapshot(snapshot) => self.handle_snapshot(snapshot).await,
            ConfigUpdate::Covered(version) => {
                self.handle_covered(version);
                Ok(())
            }
        }
    }

    async fn handle_delta(
        &mut self,
        from: Version,
        to: Version,
        documents: Vec<Document>,
    ) -> Result<(), UpdateError> {
        if to <= self.cache.version() {
            return Ok(());
        }
        let changes: Arc<[Document]> = self.cache.changes_of_delta(from, to, documents)?.into();
        self.save(&ScopeUpdate::Delta { version: to, documents: Arc::clone(&changes) }).await?;
        self.apply_changes(to, &changes).await;
        Ok(())
    }

    async fn handle_snapshot(&mut self, snapshot: Snapshot) -> Result<(), UpdateError> {
        let version = snapshot.version;
        if version <= self.cache.version() {
            return Ok(());
        }
        let changes = self.cache.changes_of_snapshot(snapshot)?;
        let documents = self.cache.documents_after(&changes).into();
        self.save(&ScopeUpdate::Snapshot { version, documents }).await?;
        self.apply_changes(version, &changes).await;
        Ok(())
    }

    /// Applies the changes of an update that was stored.
    async fn apply_changes(&mut self, version: Version, changes: &[Document]) {
        self.cache.apply(version, changes);
        self.applier.apply_all(changes).await;
        self.publish_progress();
    }

    fn handle_covered(&mut self, version: Version) {
        self.has_unsaved_covered = true;
        if version > self.cache.version() {
            self.cache.apply(version, &[]);
            self.publish_progress();
        }
    }

    async fn save_covered(&mut self) {
        if let Err(cause) = self.save(&ScopeUpdate::Covered { version: self.cache.version() }).await {
            // The save is retried after the next interval. A restart before that begins at an earlier
            // version.
            self.last_save = Instant::now();
            tracing::warn!(event = "covered_version_not_stored", %cause);
        }
    }

    /// Saves an update, within [`SAVE_TIMEOUT`], and publishes a failure.
    async fn save(&mut self, update: &ScopeUpdate) -> Result<(), UpdateError> {
        let saved = match timeout(SAVE_TIMEOUT, self.store.save(update)).await {
            Ok(saved) => saved.map_err(UpdateError::Store),
            Err(_) => Err(UpdateError::StoreTimeout),
        };
        match &saved {
            Ok(()) => {
                self.last_save = Instant::now();
                self.has_unsaved_covered = false;
            }
            Err(error) => self.publisher.set_error(error.to_string()),
        }
        saved
    }

    /// Advances the applied version to the stored one unless a document has failed, and publishes the
    /// progress. The stored version may be a covered version that is not on disk yet; all documents up to it
    /// are.
    fn publish_progress(&mut self) {
        let stored_version = self.cache.version();
        if !self.applier.has_failed() {
            self.applied_version = stored_version;
        }
        let applied_version = self.applied_version;
        let progress = Progress { stored_version, applied_version, unapplied: self.applier.list_failed() };
        self.publisher.update(|status| {
            status.stored_version = stored_version;
            status.applied_version = applied_version;
            status.unapplied.clone_from(&progress.unapplied);
            status.unapplied_count = self.applier.failed_count();
            status.documents = self.cache.len();
        });
        let has_changed = self.progress.send_if_modified(|published| {
            let has_changed = *published != progress;
            *published = progress;
            has_changed
        });
        if has_changed {
            let unapplied = self.applier.failed_count();
            tracing::debug!(
                event = "config_progress",
                holds = %stored_version,
                in_force = %applied_version,
                unapplied
            );
        }
    }
}

#[cfg(test)]
mod tests;
