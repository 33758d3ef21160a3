//! The link to one peer: the messages that wait for it, and the task that writes them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::SinkExt;
use stepspur_proto::v1::FromPeer;
use stepspur_proto::{FrameError, Frames};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::transport::Transport;

/// Messages that wait for a peer at most. Beyond that the oldest goes: what they told is told again, and newer.
const MESSAGES_MAX: usize = 256;
/// Spans before a peer is dialled again: the first, doubling to the longest.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Messages that wait for a peer.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: Mutex<VecDeque<FromPeer>>,
    news: Notify,
}

impl Outbox {
    /// Adds a message. It never waits; false: the oldest had to go for it.
    pub(crate) fn push(&self, message: FromPeer) -> bool {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        let full = messages.len() >= MESSAGES_MAX;
        if full {
            messages.pop_front();
        }
        messages.push_back(message);
        drop(messages);
        self.news.notify_one();
        !full
    }

    fn pop(&self) -> Option<FromPeer> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }

    async fn next(&self) -> FromPeer {
        loop {
            match self.pop() {
                Some(message) => return message,
                None => self.news.notified().await,
            }
        }
    }
}

enum Never {}

/// Writes to one peer.
pub(crate) struct Link {
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) to: SocketAddr,
    pub(crate) outbox: Arc<Outbox>,
    /// The largest frame, in bytes.
    pub(crate) largest_frame: usize,
    /// Dialling and each write are due in this time.
    pub(crate) within: Duration,
}

impl Link {
    /// Writes until stopped: dials once there is something to write, and again whenever the connection fails.
    pub(crate) async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            _ = self.write() => {}
        }
    }

    async fn write(&self) -> Never {
        let mut backoff = BACKOFF_FIRST;
        loop {
            let first = self.outbox.next().await;
            match self.write_connected(first, &mut backoff).await {
                Ok(never) => return never,
                Err(cause) => tracing::debug!(event = "peer_link_down", to = %self.to, %cause),
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Writes over one connection until it fails; a message that was written shows that it stands.
    async fn write_connected(&self, first: FromPeer, backoff: &mut Duration) -> Result<Never, FrameError> {
        let late = |_| FrameError::Io(std::io::ErrorKind::TimedOut.into());
        let connection = timeout(self.within, self.transport.dial(self.to)).await.map_err(late)??;
        let mut frames = Framed::new(connection, Frames::<FromPeer, FromPeer>::new(self.largest_frame));
        let mut message = first;
        loop {
            // One that cannot be framed is left out: the link is sound, and the rest must not wait for it.
            match timeout(self.within, frames.send(message)).await.map_err(late)? {
                Err(FrameError::TooLarge { size, largest }) => {
                    tracing::error!(event = "peer_message_too_large", to = %self.to, size, largest);
                }
                sent => sent?,
            }
            *backoff = BACKOFF_FIRST;
            message = self.outbox.next().await;
        }
    }
}
