//! The outgoing link to one peer: a task that sends the queued messages and reconnects with backoff.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use stepspur_proto::v1::FromPeer;
use stepspur_proto::{FrameError, Frames};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::send_queue::SendQueue;
use crate::transport::Transport;

/// The backoff after the first failed connection. It doubles with each failure up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The outgoing link to one peer. Messages from the peer arrive over the peer's own link.
pub(crate) struct PeerLink {
    pub(crate) transport: Arc<dyn Transport>,
    /// The peer's address.
    pub(crate) address: SocketAddr,
    pub(crate) queue: Arc<SendQueue>,
    /// The largest frame, in bytes.
    pub(crate) max_frame_bytes: usize,
    /// The timeout for connecting, and for each write.
    pub(crate) io_timeout: Duration,
}

impl PeerLink {
    /// Sends until stopped. Connects when there is a message to send, and reconnects when a connection fails.
    pub(crate) async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            _ = self.send_with_reconnects() => {}
        }
    }

    /// Sends over one connection after another. The message at which a connection fails is lost, which Raft
    /// tolerates as it does a dropped message.
    async fn send_with_reconnects(&self) -> Infallible {
        let mut backoff = FIRST_BACKOFF;
        loop {
            let first = self.queue.next().await;
            match self.send_connected(first, &mut backoff).await {
                Ok(never) => return never,
                Err(cause) => tracing::debug!(event = "peer_link_down", to = %self.address, %cause),
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Sends over one connection until it fails, starting with `first`. A sent message resets the backoff.
    async fn send_connected(
        &self,
        first: FromPeer,
        backoff: &mut Duration,
    ) -> Result<Infallible, FrameError> {
        let timed_out = |_| FrameError::Io(io::ErrorKind::TimedOut.into());
        let connecting = timeout(self.io_timeout, self.transport.dial(self.address));
        let connection = connecting.await.map_err(timed_out)??;
        let codec = Frames::<FromPeer, FromPeer>::new(self.max_frame_bytes);
        let mut frames = Framed::new(connection, codec);
        let mut message = first;
        loop {
            match timeout(self.io_timeout, frames.send(message)).await.map_err(timed_out)? {
                // The message is dropped: the codec has written nothing, so the connection stays usable.
                Err(FrameError::TooLarge { size, max }) => {
                    tracing::error!(
                        event = "peer_message_too_large",
                        to = %self.address,
                        size,
                        largest = max
                    );
                }
                sent => sent?,
            }
            *backoff = FIRST_BACKOFF;
            message = self.queue.next().await;
        }
    }
}
