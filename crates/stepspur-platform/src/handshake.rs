//! The handshake of a connection: its first messages until it joins as a proxy or a collector, the time
//! limit, and the reasons for rejecting it.

use std::sync::Arc;
use std::time::Duration;

use stepspur::interface::{ProxyId, ZoneId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::message::{Catalog, LineBuffer, LineTooLong, Message, MessageError};

/// Time within which a connection must join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1300);
/// Longest line accepted before a connection has joined, in bytes.
const MAX_HANDSHAKE_LINE_BYTES: usize = 4096;
/// Spare capacity of the line buffer that is reserved before each read, in bytes.
pub(crate) const READ_RESERVE_BYTES: usize = 2 << 10;
/// The line that answers a heartbeat.
pub(crate) const HEARTBEAT_REPLY: &[u8] = b"{\"@type\":\"hb_ok\"}\n";

/// Role in which a peer has joined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerRole {
    /// A collector; each of its reports names the zone, proxy or server that it concerns.
    Collector,
    /// A proxy, as it described itself.
    Proxy {
        /// Its number, below the number of proxies in the settings.
        proxy: ProxyId,
        /// Zone it runs in.
        zone: ZoneId,
        /// Requests per second that it usually receives.
        rate: f64,
        /// True if it holds no table from a conductor.
        fresh: bool,
    },
}

/// Why a connection is rejected. The text is sent to the peer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Refusal {
    /// It did not join within [`JOIN_TIMEOUT`].
    #[error("no joining came in time")]
    Timeout,
    /// It was evicted because too many connections are open.
    #[error("others wait")]
    Evicted,
    /// The conductor is shutting down.
    #[error("the conductor stops")]
    Stopping,
    /// Its first message other than a heartbeat was not one that joins.
    #[error("a joining comes first")]
    JoinExpected,
    /// It sent a line longer than [`MAX_HANDSHAKE_LINE_BYTES`].
    #[error(transparent)]
    TooLong(#[from] LineTooLong),
    /// It sent an invalid message.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// The two halves of a connection, and the bytes read from it that are not yet parsed.
#[derive(Debug)]
pub(crate) struct Socket {
    /// Receives from the peer.
    pub read: OwnedReadHalf,
    /// Sends to the peer.
    pub write: OwnedWriteHalf,
    /// Bytes received and not yet parsed.
    pub lines: LineBuffer,
}

/// State that the handshake of a connection needs.
#[derive(Debug)]
pub(crate) struct Handshake {
    /// Zones and proxies that a join message may name.
    pub catalog: Arc<Catalog>,
    /// Heartbeats are answered once this is true: a call to discovery has completed, or a known list is held.
    pub ready: watch::Receiver<bool>,
}

impl Handshake {
    /// Waits until the peer has joined; `None` if it closed the connection first.
    ///
    /// # Errors
    /// The [`Refusal`]: an invalid message, no join within 1.3 s, or `evict` or `stop` cancelled.
    pub(crate) async fn run(
        self,
        socket: &mut Socket,
        evict: &CancellationToken,
        stop: &CancellationToken,
    ) -> Result<Option<PeerRole>, Refusal> {
        tokio::select! {
            // Bytes that have already arrived are read first, so that they count even if the peer is evicted
            // now.
            biased;
            joined = timeout(JOIN_TIMEOUT, self.read_join(socket)) => joined.unwrap_or(Err(Refusal::Timeout)),
            () = evict.cancelled() => Err(Refusal::Evicted),
            () = stop.cancelled() => Err(Refusal::Stopping),
        }
    }

    async fn read_join(mut self, socket: &mut Socket) -> Result<Option<PeerRole>, Refusal> {
        loop {
            while let Some(line) = socket.lines.next_line(MAX_HANDSHAKE_LINE_BYTES)? {
                match self.catalog.parse(&line)? {
                    Message::Heartbeat => {
                        let ready = self.ready.wait_for(|ready| *ready).await.is_ok();
                        if !ready || socket.write.write_all(HEARTBEAT_REPLY).await.is_err() {
                            return Ok(None);
                        }
                    }
                    Message::Collector => return Ok(Some(PeerRole::Collector)),
                    Message::Attach { proxy, zone, rate, fresh } => {
                        return Ok(Some(PeerRole::Proxy { proxy, zone, rate, fresh }));
                    }
                    _ => return Err(Refusal::JoinExpected),
                }
            }
            socket.lines.buffer().reserve(READ_RESERVE_BYTES);
            match socket.read.read_buf(socket.lines.buffer()).await {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
