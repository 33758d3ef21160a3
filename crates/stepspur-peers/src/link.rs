//! The link to one peer: what waits for it, and the task that writes it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use futures_util::SinkExt;
use stepspur_proto::v1::FromPeer;
use stepspur_proto::{FrameError, Frames};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::ground::Net;

/// Messages that wait for a peer at most. Beyond that the oldest goes: what they told is told again, and newer.
const WAITING: usize = 256;
/// Spans before a peer is dialled again: the first, doubling to the longest.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_secs(1);

/// What waits for a peer.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    messages: Mutex<VecDeque<FromPeer>>,
    news: Notify,
}

impl Waiting {
    /// Adds a message. It never waits; false: the oldest had to go for it.
    pub(crate) fn push(&self, message: FromPeer) -> bool {
        let mut messages = self.messages.lock().unwrap_or_else(PoisonError::into_inner);
        let full = messages.len() >= WAITING;
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

/// Writes to one peer until stopped: dials it once there is something to write, and again whenever the link fails.
pub(crate) async fn write(
    net: &dyn Net,
    to: SocketAddr,
    waiting: &Waiting,
    largest: usize,
    within: Duration,
    stop: CancellationToken,
) {
    let run = async {
        let mut again = AGAIN;
        loop {
            let first = waiting.next().await;
            match link(net, to, first, waiting, largest, within, &mut again).await {
                Ok(never) => match never {},
                Err(cause) => tracing::debug!(event = "peer_link_down", %to, %cause),
            }
            sleep(again).await;
            again = (again * 2).min(AGAIN_MOST);
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = run => {}
    }
}

enum Never {}

async fn link(
    net: &dyn Net,
    to: SocketAddr,
    first: FromPeer,
    waiting: &Waiting,
    largest: usize,
    within: Duration,
    again: &mut Duration,
) -> Result<Never, FrameError> {
    let late = |_| FrameError::Io(std::io::ErrorKind::TimedOut.into());
    let socket = timeout(within, net.dial(to)).await.map_err(late)??;
    let mut frames = Framed::new(socket, Frames::<FromPeer, FromPeer>::new(largest));
    let mut message = first;
    loop {
        // One that cannot be framed is left out: the link is sound, and the rest must not wait for it.
        match timeout(within, frames.send(message)).await.map_err(late)? {
            Err(FrameError::TooLarge { size, largest }) => {
                tracing::error!(event = "peer_message_too_large", %to, size, largest);
            }
            sent => sent?,
        }
        *again = AGAIN;
        message = waiting.next().await;
    }
}
