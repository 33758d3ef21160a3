//! Accepts peers' connections and reads their messages. Of each known peer the newest connection counts, so that
//! half-open ones hold no place.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use stepspur_consensus::{MemberId, PeerMessage};
use stepspur_proto::Frames;
use stepspur_proto::v1::FromPeer;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::schema::from_peer;
use crate::settings::Settings;
use crate::transport::{Listener, Stream};

/// Connections whose first frame has not come yet, at most.
const UNKNOWN_MAX: usize = 16;
/// The pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// The newest connection of each peer.
type Newest = Mutex<BTreeMap<MemberId, CancellationToken>>;

/// What the connections of a member share.
struct Shared {
    settings: Settings,
    messages: mpsc::Sender<(MemberId, PeerMessage)>,
    newest: Newest,
}

/// The task that accepts connections; each is read by a task of its own.
pub(crate) struct PeerListener {
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl PeerListener {
    pub(crate) fn new(
        settings: Settings,
        messages: mpsc::Sender<(MemberId, PeerMessage)>,
        stop: CancellationToken,
        tasks: TaskTracker,
    ) -> Self {
        let shared = Arc::new(Shared { settings, messages, newest: Newest::default() });
        Self { shared, stop, tasks }
    }

    /// Accepts until stopped.
    pub(crate) async fn run(self, listener: Box<dyn Listener>) {
        let stop = self.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.accept_all(listener) => {}
        }
    }

    async fn accept_all(self, mut listener: Box<dyn Listener>) {
        let unknown = Arc::new(Semaphore::new(UNKNOWN_MAX));
        loop {
            // A permit first: who dials while there is none waits in the system's queue.
            let Ok(permit) = Arc::clone(&unknown).acquire_owned().await else { return };
            match listener.accept().await {
                Ok(connection) => self.spawn_reader(connection, permit),
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    fn spawn_reader(&self, connection: Box<dyn Stream>, permit: OwnedSemaphorePermit) {
        let (shared, stop) = (Arc::clone(&self.shared), self.stop.child_token());
        self.tasks.spawn(async move {
            let read = read(connection, &shared, &stop, permit);
            let end = tokio::select! {
                () = stop.cancelled() => return,
                end = read => end,
            };
            if let Err(refused) = end {
                tracing::warn!(event = "peer_rejected", why = %refused);
            }
        });
    }
}

/// Why a connection is refused.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("no frame in time")]
    Late,
    #[error("{0}")]
    Frame(#[from] stepspur_proto::FrameError),
    #[error("{0}")]
    Message(#[from] crate::schema::InvalidPeerMessage),
    #[error("{from} means {to}, and this is {me}")]
    Elsewhere { from: MemberId, to: MemberId, me: MemberId },
    #[error("{0} is none of this council's conductors")]
    Stranger(MemberId),
}

/// Reads one connection until it ends.
async fn read(
    connection: Box<dyn Stream>,
    shared: &Shared,
    stop: &CancellationToken,
    permit: OwnedSemaphorePermit,
) -> Result<(), Refusal> {
    let settings = &shared.settings;
    let mut frames = Framed::new(connection, Frames::<FromPeer, FromPeer>::new(settings.largest_frame));
    let (mut permit, mut known) = (Some(permit), None);
    loop {
        let next = match known {
            None => timeout(settings.within, frames.next()).await.map_err(|_| Refusal::Late)?,
            Some(_) => frames.next().await,
        };
        let Some(frame) = next else { return Ok(()) };
        let (from, to, message) = from_peer(frame?)?;
        if to != settings.id {
            return Err(Refusal::Elsewhere { from, to, me: settings.id });
        }
        if !settings.peers.contains_key(&from) || known.is_some_and(|known| known != from) {
            return Err(Refusal::Stranger(from));
        }
        if known.is_none() {
            known = Some(from);
            drop(permit.take());
            replace_older(&shared.newest, from, stop);
        }
        if shared.messages.send((from, message)).await.is_err() {
            return Ok(());
        }
    }
}

/// Ends the peer's older connection.
fn replace_older(newest: &Newest, peer: MemberId, stop: &CancellationToken) {
    let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(older) = newest.insert(peer, stop.clone()) {
        older.cancel();
    }
}
