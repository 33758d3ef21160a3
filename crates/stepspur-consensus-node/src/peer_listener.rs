//! Accepts connections of peers and reads their messages. A peer's newest connection replaces older ones, so
//! that half-open connections hold no resources.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use stepspur_consensus::MemberId;
use stepspur_proto::Frames;
use stepspur_proto::v1::FromPeer;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::request::ReceivedMessage;
use crate::schema::{InvalidPeerMessage, PeerFrame};
use crate::settings::Settings;
use crate::transport::{Listener, Stream};

/// The most connections whose first frame has not come yet.
const MAX_UNIDENTIFIED: usize = 16;
/// The pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// The newest connection of each peer.
type NewestConnections = Mutex<BTreeMap<MemberId, CancellationToken>>;

/// What the connections of a member share.
struct Shared {
    settings: Settings,
    messages: mpsc::Sender<ReceivedMessage>,
    newest: NewestConnections,
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
        messages: mpsc::Sender<ReceivedMessage>,
        stop: CancellationToken,
        tasks: TaskTracker,
    ) -> Self {
        let newest = NewestConnections::default();
        Self { shared: Arc::new(Shared { settings, messages, newest }), stop, tasks }
    }

    /// Accepts connections until stopped.
    pub(crate) async fn run(self, listener: Box<dyn Listener>) {
        let stop = self.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.accept_all(listener) => {}
        }
    }

    async fn accept_all(self, mut listener: Box<dyn Listener>) {
        let unidentified = Arc::new(Semaphore::new(MAX_UNIDENTIFIED));
        loop {
            // Without a permit further connections wait in the system's queue.
            let Ok(permit) = Arc::clone(&unidentified).acquire_owned().await else { return };
            match listener.accept().await {
                Ok(connection) => self.spawn_reader(connection, permit),
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    fn spawn_reader(&self, connection: Box<dyn Stream>, permit: OwnedSemaphorePermit) {
        let shared = Arc::clone(&self.shared);
        let stop = self.stop.child_token();
        self.tasks.spawn(async move {
            let reading = read(connection, &shared, &stop, permit);
            let result = tokio::select! {
                () = stop.cancelled() => return,
                result = reading => result,
            };
            if let Err(cause) = result {
                tracing::warn!(event = "peer_rejected", why = %cause);
            }
        });
    }
}

/// Why a connection is rejected.
#[derive(Debug, thiserror::Error)]
enum ConnectionRejected {
    #[error("no frame in time")]
    FirstFrameTimeout,
    #[error("{0}")]
    Frame(#[from] stepspur_proto::FrameError),
    #[error("{0}")]
    Message(#[from] InvalidPeerMessage),
    #[error("{from} means {to}, and this is {own_id}")]
    WrongReceiver { from: MemberId, to: MemberId, own_id: MemberId },
    #[error("{0} is none of this council's conductors")]
    UnknownPeer(MemberId),
}

/// Reads one connection until it ends. The permit is released with the first valid frame.
async fn read(
    connection: Box<dyn Stream>,
    shared: &Shared,
    stop: &CancellationToken,
    permit: OwnedSemaphorePermit,
) -> Result<(), ConnectionRejected> {
    let settings = &shared.settings;
    let codec = Frames::<FromPeer, FromPeer>::new(settings.max_frame_bytes);
    let mut frames = Framed::new(connection, codec);
    let first = timeout(settings.io_timeout, frames.next());
    let Some(first) = first.await.map_err(|_| ConnectionRejected::FirstFrameTimeout)? else {
        return Ok(());
    };
    let PeerFrame { from: peer, message, .. } = accept(settings, first?)?;
    drop(permit);
    replace_older(&shared.newest, peer, stop);
    let mut received = ReceivedMessage { from: peer, message };
    while shared.messages.send(received).await.is_ok() {
        let Some(frame) = frames.next().await else { return Ok(()) };
        let PeerFrame { from, message, .. } = accept(settings, frame?)?;
        if from != peer {
            return Err(ConnectionRejected::UnknownPeer(from));
        }
        received = ReceivedMessage { from, message };
    }
    Ok(())
}

/// Checks that a frame comes from a peer and is meant for this member.
fn accept(settings: &Settings, frame: FromPeer) -> Result<PeerFrame, ConnectionRejected> {
    let frame = PeerFrame::try_from(frame)?;
    if frame.to != settings.id {
        let PeerFrame { from, to, .. } = frame;
        return Err(ConnectionRejected::WrongReceiver { from, to, own_id: settings.id });
    }
    if !settings.peers.contains_key(&frame.from) {
        return Err(ConnectionRejected::UnknownPeer(frame.from));
    }
    Ok(frame)
}

/// Ends the peer's older connection.
fn replace_older(newest: &NewestConnections, peer: MemberId, stop: &CancellationToken) {
    let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(older) = newest.insert(peer, stop.clone()) {
        older.cancel();
    }
}
