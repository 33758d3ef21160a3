//! Accepts connections from peers and reads their messages. A peer's newest connection replaces its older
//! one, so that half-open connections do not accumulate.

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

/// The maximum number of connections whose first valid frame has not been received yet. It bounds what
/// clients that are no peers can occupy.
const MAX_UNIDENTIFIED: usize = 16;
/// The pause after a failed accept, for example while the process is out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// The cancellation token of each peer's newest connection.
type NewestConnections = Mutex<BTreeMap<MemberId, CancellationToken>>;

/// State shared by the reader tasks of all connections.
struct ReaderContext {
    settings: Settings,
    messages: mpsc::Sender<ReceivedMessage>,
    newest: NewestConnections,
}

/// Accepts connections in one task, and reads each connection in a task of its own.
pub(crate) struct PeerListener {
    shared: Arc<ReaderContext>,
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
        Self { shared: Arc::new(ReaderContext { settings, messages, newest }), stop, tasks }
    }

    /// Accepts connections until stopped.
    pub(crate) async fn run(self, listener: Box<dyn Listener>) {
        let stop = self.stop.clone();
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.accept_all(listener) => {}
        }
    }

    /// Accepts connections without end.
    async fn accept_all(self, mut listener: Box<dyn Listener>) {
        let unidentified = Arc::new(Semaphore::new(MAX_UNIDENTIFIED));
        loop {
            // Without a permit, further connections wait in the listen backlog of the operating system.
            let Ok(permit) = Arc::clone(&unidentified).acquire_owned().await else { return };
            match listener.accept().await {
                Ok(connection) => self.spawn_reader(connection, permit),
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    /// Starts a task that reads a connection until it ends, is replaced, or the member stops.
    fn spawn_reader(&self, connection: Box<dyn Stream>, permit: OwnedSemaphorePermit) {
        let shared = Arc::clone(&self.shared);
        let stop = self.stop.child_token();
        self.tasks.spawn(async move {
            let reading = read_messages(connection, &shared, &stop, permit);
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

/// Why a connection is closed by this side.
#[derive(Debug, thiserror::Error)]
enum ConnectionRejected {
    #[error("no first frame within the timeout")]
    FirstFrameTimeout,
    #[error("{0}")]
    Frame(#[from] stepspur_proto::FrameError),
    #[error("{0}")]
    Message(#[from] InvalidPeerMessage),
    #[error("member {from} sent a frame to member {to}, but this is member {own_id}")]
    WrongReceiver { from: MemberId, to: MemberId, own_id: MemberId },
    #[error("unexpected sender {0}: not a configured member, or not the peer that opened this connection")]
    UnknownPeer(MemberId),
}

/// Reads one connection until it ends, and passes its messages to the member's task. The first valid frame
/// identifies the peer and releases the permit; all further frames must come from the same peer.
async fn read_messages(
    connection: Box<dyn Stream>,
    shared: &ReaderContext,
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
    let PeerFrame { from: peer, message, .. } = validate_frame(settings, first?)?;
    drop(permit);
    close_older_connection(&shared.newest, peer, stop);
    let mut received = ReceivedMessage { from: peer, message };
    while shared.messages.send(received).await.is_ok() {
        let Some(frame) = frames.next().await else { return Ok(()) };
        let PeerFrame { from, message, .. } = validate_frame(settings, frame?)?;
        if from != peer {
            return Err(ConnectionRejected::UnknownPeer(from));
        }
        received = ReceivedMessage { from, message };
    }
    Ok(())
}

/// Decodes a frame, and checks that it comes from a configured member and is addressed to this one.
fn validate_frame(settings: &Settings, frame: FromPeer) -> Result<PeerFrame, ConnectionRejected> {
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

/// Records the peer's newest connection, and closes its older one, if any.
fn close_older_connection(newest: &NewestConnections, peer: MemberId, stop: &CancellationToken) {
    let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(older) = newest.insert(peer, stop.clone()) {
        older.cancel();
    }
}
