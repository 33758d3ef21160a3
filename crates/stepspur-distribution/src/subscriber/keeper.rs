//! The task that owns what the subscriber holds: it judges each update by its version, keeps it, has it applied, and
//! tells how far it has come.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::DocumentApplier;
use super::applier::Applier;
use super::board::Board;
use super::snapshot::Snapshot;
use super::status::{REASON_MOST, Unapplied, shortened};
use crate::document::{Document, Interest, Key};
use crate::scope_store::{ScopeStore, ScopeUpdate, StoreError, StoredScope};
use crate::version::Version;

/// What failed is tried again, and the age in the status renewed, so often.
const ROUND: Duration = Duration::from_secs(1);
/// A disk that takes longer is stalled: the connection ends, and begins anew by what is held.
const SAVE_TIMEOUT: Duration = Duration::from_secs(10);
/// What is covered without a change is kept so often at most.
pub(crate) const COVERED_SPAN: Duration = Duration::from_secs(60);

/// What came from a control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Offer {
    /// All documents that changed after `from`, up to `to`.
    Delta { from: Version, to: Version, documents: Vec<Document> },
    /// All documents that stand.
    Whole(Snapshot),
    /// Nothing lies between what was sent before and this version.
    Covered(Version),
}

/// An offer, and where to tell what became of it.
pub(crate) type Offered = (Offer, oneshot::Sender<Result<(), Refused>>);

/// Why an offer is not taken. It ends the connection that it came from.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Refused {
    #[error("a delta from {from} to a subscriber that holds {holds}: something is missing between them")]
    Gap { from: Version, holds: Version },
    #[error("a document of version {found} in an update up to {upto}")]
    Beyond { found: Version, upto: Version },
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store did not answer within {SAVE_TIMEOUT:?}")]
    Stalled,
}

/// How far a subscriber has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// On disk.
    pub(crate) holds: Version,
    /// The engine acts by all up to here.
    pub(crate) in_force: Version,
    /// Some of what it does not act by.
    pub(crate) unapplied: Vec<Unapplied>,
}

/// Owns what a subscriber holds.
pub(crate) struct Keeper {
    interest: Interest,
    store: Box<dyn ScopeStore>,
    applier: Applier,
    documents: BTreeMap<Key, Document>,
    holds: Version,
    in_force: Version,
    /// When something was kept last; covered versions wait until [`COVERED_SPAN`] after it.
    saved_at: Instant,
    /// True: a control member told a covered version since.
    covered: bool,
    progress: watch::Sender<Progress>,
    board: Arc<Board>,
}

impl Keeper {
    /// Holds what was kept, of what concerns the subscriber.
    pub(crate) fn new(
        interest: Interest,
        store: Box<dyn ScopeStore>,
        apply: Arc<dyn DocumentApplier>,
        kept: Option<StoredScope>,
        board: Arc<Board>,
    ) -> Self {
        let (holds, documents) =
            kept.map_or((Version::NONE, Vec::new()), |kept| (kept.version, kept.documents));
        let standing =
            |document: &Document| document.setting.is_some() && interest.covers(&document.key.scope);
        let documents = documents.into_iter().filter(standing).map(|d| (d.key.clone(), d)).collect();
        Self {
            interest,
            store,
            applier: Applier::new(apply),
            documents,
            holds,
            in_force: Version::NONE,
            saved_at: Instant::now(),
            covered: false,
            progress: watch::Sender::default(),
            board,
        }
    }

    /// How far it has come, as it goes on.
    pub(crate) fn progress(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Applies what was kept.
    pub(crate) async fn apply_kept(&mut self) {
        let documents: Vec<Document> = self.documents.values().cloned().collect();
        self.applier.apply_all(&documents).await;
        self.settle();
    }

    /// Serves the link until stopped.
    pub(crate) async fn run(mut self, mut offered: mpsc::Receiver<Offered>, stop: CancellationToken) {
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => break,
                Some((offer, told)) = offered.recv() => {
                    // Nobody waits any more if the connection has ended meanwhile.
                    let _ = told.send(self.take(offer).await);
                }
                _ = rounds.tick() => self.round().await,
            }
        }
        if self.covered {
            self.keep_covered().await;
        }
    }

    async fn round(&mut self) {
        if !self.applier.is_level() {
            self.applier.retry().await;
            self.settle();
        }
        if self.covered && self.saved_at.elapsed() >= COVERED_SPAN {
            self.keep_covered().await;
        }
        self.board.refresh();
    }

    async fn take(&mut self, offer: Offer) -> Result<(), Refused> {
        match offer {
            Offer::Delta { from, to, documents } => self.take_delta(from, to, documents).await,
            Offer::Whole(snapshot) => self.take_snapshot(snapshot).await,
            Offer::Covered(version) => {
                self.cover(version);
                Ok(())
            }
        }
    }

    async fn take_delta(
        &mut self,
        from: Version,
        to: Version,
        documents: Vec<Document>,
    ) -> Result<(), Refused> {
        if to <= self.holds {
            return Ok(());
        }
        if from > self.holds {
            return Err(Refused::Gap { from, holds: self.holds });
        }
        check_versions(&documents, to)?;
        let documents = newest_of_each(documents).into_iter();
        let news: Arc<[Document]> = documents.filter(|d| self.is_news(d)).collect();
        self.save(&ScopeUpdate::Delta { version: to, documents: Arc::clone(&news) }).await?;
        for document in news.iter() {
            self.hold(document);
        }
        self.advance(to, &news).await;
        Ok(())
    }

    async fn take_snapshot(&mut self, snapshot: Snapshot) -> Result<(), Refused> {
        let Snapshot { version, documents } = snapshot;
        if version <= self.holds {
            return Ok(());
        }
        check_versions(&documents, version)?;
        let documents = newest_of_each(documents);
        let mut changes = self.not_named(version, &documents);
        changes.extend(documents.into_iter().filter(|d| d.setting.is_some() && self.is_news(d)));
        let mut after = self.documents.clone();
        changes.iter().for_each(|document| hold(&mut after, document));
        let all: Arc<[Document]> = after.values().cloned().collect();
        self.save(&ScopeUpdate::Snapshot { version, documents: all }).await?;
        self.documents = after;
        self.advance(version, &changes).await;
        Ok(())
    }

    /// What is held and not named by a snapshot of this version: each as lifted. What is newer than the snapshot stays;
    /// that happens where more came to be of interest, and all was asked for anew from a member that lags behind.
    fn not_named(&self, version: Version, documents: &[Document]) -> Vec<Document> {
        let named: BTreeSet<&Key> = documents.iter().map(|document| &document.key).collect();
        let gone = self.documents.values().filter(|d| d.version <= version && !named.contains(&d.key));
        gone.map(|document| Document { key: document.key.clone(), setting: None, version }).collect()
    }

    /// True: it concerns the subscriber, and is newer than what is held.
    fn is_news(&self, document: &Document) -> bool {
        self.interest.covers(&document.key.scope)
            && document.version > self.holds
            && self.documents.get(&document.key).is_none_or(|held| held.version < document.version)
    }

    fn hold(&mut self, document: &Document) {
        hold(&mut self.documents, document);
    }

    /// All up to this version is on disk: applies the changes.
    async fn advance(&mut self, to: Version, changes: &[Document]) {
        self.holds = to;
        self.applier.apply_all(changes).await;
        self.settle();
    }

    fn cover(&mut self, version: Version) {
        self.covered = true;
        if version > self.holds {
            self.holds = version;
            self.settle();
        }
    }

    async fn keep_covered(&mut self) {
        match self.save(&ScopeUpdate::Covered { version: self.holds }).await {
            Ok(()) => {}
            // Tried again after the next span: nothing is lost but the time.
            Err(cause) => {
                self.saved_at = Instant::now();
                tracing::warn!(event = "covered_version_not_stored", %cause);
            }
        }
    }

    async fn save(&mut self, update: &ScopeUpdate) -> Result<(), Refused> {
        let saved = timeout(SAVE_TIMEOUT, self.store.save(update)).await;
        let saved = saved.map_err(|_| Refused::Stalled).and_then(|saved| saved.map_err(Refused::Store));
        match &saved {
            Ok(()) => (self.saved_at, self.covered) = (Instant::now(), false),
            Err(cause) => {
                let why = shortened(cause.to_string(), REASON_MOST);
                self.board.change(|status| status.fault = Some(why));
            }
        }
        saved
    }

    /// All that is held is in force once the engine acts by every document. Then tells how far it has come.
    fn settle(&mut self) {
        if self.applier.is_level() {
            self.in_force = self.holds;
        }
        let unapplied = self.applier.told();
        let progress = Progress { holds: self.holds, in_force: self.in_force, unapplied };
        self.board.change(|status| {
            status.holds = progress.holds;
            status.in_force = progress.in_force;
            status.unapplied.clone_from(&progress.unapplied);
            status.unapplied_count = self.applier.failed();
            status.documents = self.documents.len();
        });
        let (holds, in_force, unapplied) = (self.holds, self.in_force, self.applier.failed());
        let has_moved = self.progress.send_if_modified(|now| {
            let news = *now != progress;
            *now = progress;
            news
        });
        if has_moved {
            tracing::debug!(event = "config_progress", %holds, %in_force, unapplied);
        }
    }
}

fn hold(documents: &mut BTreeMap<Key, Document>, document: &Document) {
    match document.setting {
        Some(_) => documents.insert(document.key.clone(), document.clone()),
        None => documents.remove(&document.key),
    };
}

/// The newest document of each key, oldest first.
fn newest_of_each(documents: Vec<Document>) -> Vec<Document> {
    let mut newest: BTreeMap<Key, Document> = BTreeMap::new();
    for document in documents {
        let later = newest.get(&document.key).is_none_or(|known| known.version < document.version);
        if later {
            newest.insert(document.key.clone(), document);
        }
    }
    let mut sorted: Vec<Document> = newest.into_values().collect();
    sorted.sort_by_key(|document| document.version);
    sorted
}

fn check_versions(documents: &[Document], upto: Version) -> Result<(), Refused> {
    match documents.iter().find(|document| document.version > upto) {
        Some(document) => Err(Refused::Beyond { found: document.version, upto }),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
