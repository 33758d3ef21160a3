//! A subscriber: the conductor's side of the distribution.
//!
//! It names what concerns it and the version that it holds to one control member, and is pushed what lies after it. Each
//! delta or snapshot is first kept on disk, then applied, then acknowledged. Without any control member it goes on by
//! what it holds, and says how old that is.
//!
//! Two tasks: the keeper owns the store, the documents and the engine's side (`keeper`); the link owns the connection
//! (`link`). One update at a time goes from the link to the keeper, and nothing is read meanwhile.

mod applier;
mod board;
mod candidates;
mod connection;
mod keeper;
mod link;
mod snapshot;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::{BoxFuture, Net};
use stepspur_proto::{FrameError, FromSubscriber};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::document::{Document, DocumentError, Interest, MAX_NAME_BYTES};
use crate::scope_store::{ScopeStore, StoreError};
use crate::version::Version;

pub use status::{MAX_UNAPPLIED_LISTED, SubscriberStatus, Unapplied};

use board::Board;
use keeper::Keeper;
use link::Link;

/// The engine's side: what makes documents take effect.
pub trait DocumentApplier: Send + Sync + 'static {
    /// Makes one document take effect; one without a setting lifts what stood there. The same document may come again.
    /// An answer that does not come within two seconds counts as a failure.
    ///
    /// # Errors
    /// Why not; then what was in force before stays. It is tried again each second.
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), String>>;
}

/// A subscriber's settings.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// Its name in the register: never two at a time.
    pub name: String,
    /// Which documents concern it.
    pub interest: Interest,
    /// Control members to begin with; the rest are learned from them.
    pub control: Vec<SocketAddr>,
    /// A connection, and then its first frame, must come within this time.
    pub dial_timeout: Duration,
    /// Each frame must be written within this time.
    pub write_timeout: Duration,
    /// For the jitter.
    pub seed: u64,
}

/// Why a subscriber did not start.
#[derive(Debug, thiserror::Error)]
pub enum SubscriberStartError {
    /// No name, or none that is sound.
    #[error("name: must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    Name,
    /// No control member is named.
    #[error("control: must name at least one address")]
    NoControl,
    /// The interest is not sound.
    #[error("interest: {0}")]
    Interest(#[from] DocumentError),
    /// The interest does not fit in a frame.
    #[error("interest: {0}")]
    InterestTooLarge(#[from] FrameError),
    /// What is kept cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The task that reads what is kept ended without an answer.
    #[error("reading what is kept: {0}")]
    Load(String),
}

/// A running subscriber. Dropping it stops it without waiting; [`Subscriber::stop`] waits.
#[derive(Debug)]
pub struct Subscriber {
    status: watch::Receiver<SubscriberStatus>,
    stop: CancellationToken,
    _end: DropGuard,
    tasks: TaskTracker,
}

impl Subscriber {
    /// Starts it: what is kept is applied first, then control members are dialled.
    ///
    /// # Errors
    /// See [`SubscriberStartError`]. That no control member answers is none.
    pub async fn start(
        settings: SubscriberSettings,
        store: Box<dyn ScopeStore>,
        apply: Arc<dyn DocumentApplier>,
        net: Arc<dyn Net>,
    ) -> Result<Self, SubscriberStartError> {
        let settings = checked(settings)?;
        let loaded = tokio::task::spawn_blocking(move || {
            let mut store = store;
            store.load().map(|kept| (store, kept))
        });
        let (store, kept) = loaded.await.map_err(|cause| SubscriberStartError::Load(cause.to_string()))??;
        let (board, status) = Board::new(kept.as_ref().map(|kept| kept.stored_at));
        let board = Arc::new(board);
        let mut keeper = Keeper::new(settings.interest.clone(), store, apply, kept, Arc::clone(&board));
        keeper.apply_kept().await;

        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        // One update at a time.
        let (updates, offered) = mpsc::channel(1);
        let progress = keeper.progress();
        tasks.spawn(keeper.run(offered, stop.clone()));
        let link = Link::new(settings, net, updates, progress, board);
        tasks.spawn(link.run(stop.clone()));
        let end = stop.clone().drop_guard();
        Ok(Self { status, stop, _end: end, tasks })
    }

    /// How it stands; the age and the bytes are renewed each second.
    pub fn status(&self) -> watch::Receiver<SubscriberStatus> {
        self.status.clone()
    }

    /// Ends every task and waits for them. What is applied stays applied.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

fn checked(mut settings: SubscriberSettings) -> Result<SubscriberSettings, SubscriberStartError> {
    let name = &settings.name;
    if !(1..=MAX_NAME_BYTES).contains(&name.len()) || name.chars().any(char::is_control) {
        return Err(SubscriberStartError::Name);
    }
    if settings.control.is_empty() {
        return Err(SubscriberStartError::NoControl);
    }
    settings.interest = settings.interest.sorted()?;
    let first: FromSubscriber = connection::subscribe(&settings, Version::NONE, Version::NONE, true);
    stepspur_proto::frame(&first, connection::FRAME_BYTES_MOST)?;
    Ok(settings)
}
