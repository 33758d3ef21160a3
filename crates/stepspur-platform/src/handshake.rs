//! What a connection says before it has joined, how long it may take, and why it is refused.

use std::sync::Arc;
use std::time::Duration;

use stepspur::interface::{ProxyId, ZoneId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::message::{Catalog, Lines, Message, MessageError, TooLong};

/// A caller joins within this time.
const JOIN: Duration = Duration::from_millis(1300);
/// A caller that has not joined may write lines of so many bytes.
const LARGEST_FIRST: usize = 4096;
/// Bytes for which room is made before a read.
pub(crate) const READ: usize = 2 << 10;
/// The answer to a heartbeat.
pub(crate) const HEARTBEAT: &[u8] = b"{\"@type\":\"hb_ok\"}\n";

/// As what a caller has joined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Joined {
    /// A collector: what its reports concern stands in each of them.
    Collector,
    /// A proxy, by what it said of itself.
    Proxy {
        /// Its number.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Requests a second that it usually gets.
        rate: f64,
        /// True: it holds no table that was ordered.
        fresh: bool,
    },
}

/// Why a connection does not join, in the words that it is told.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Refusal {
    /// It took longer than it may.
    #[error("no joining came in time")]
    Late,
    /// It had its time, and there are too many others.
    #[error("others wait")]
    Crowded,
    /// Nobody is taken in any more.
    #[error("the conductor stops")]
    Stopping,
    /// It said something else first.
    #[error("a joining comes first")]
    NotJoining,
    /// It wrote a line without end.
    #[error(transparent)]
    TooLong(#[from] TooLong),
    /// It wrote what makes no sense.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// The two halves of a connection, and what has been read of it and not yet used.
#[derive(Debug)]
pub(crate) struct Socket {
    /// From the caller.
    pub read: OwnedReadHalf,
    /// To the caller.
    pub write: OwnedWriteHalf,
    /// Lines that came.
    pub lines: Lines,
}

/// What joins are checked against.
#[derive(Debug)]
pub(crate) struct Handshake {
    /// Names that a joining may use.
    pub catalog: Arc<Catalog>,
    /// Heartbeats are answered once this is true.
    pub ready: watch::Receiver<bool>,
}

impl Handshake {
    /// Waits until a caller has joined; none if it has gone.
    ///
    /// # Errors
    /// Why it is refused: what it wrote, 1.3 s without a joining, `cut` or `stop` cancelled.
    pub(crate) async fn run(
        self,
        socket: &mut Socket,
        cut: &CancellationToken,
        stop: &CancellationToken,
    ) -> Result<Option<Joined>, Refusal> {
        tokio::select! {
            // What has come by now is read first: it counts, though its time is over.
            biased;
            joined = timeout(JOIN, self.joining(socket)) => joined.unwrap_or(Err(Refusal::Late)),
            () = cut.cancelled() => Err(Refusal::Crowded),
            () = stop.cancelled() => Err(Refusal::Stopping),
        }
    }

    async fn joining(mut self, socket: &mut Socket) -> Result<Option<Joined>, Refusal> {
        loop {
            while let Some(line) = socket.lines.next(LARGEST_FIRST)? {
                match self.catalog.read(&line)? {
                    Message::Heartbeat => {
                        let ready = self.ready.wait_for(|ready| *ready).await.is_ok();
                        if !ready || socket.write.write_all(HEARTBEAT).await.is_err() {
                            return Ok(None);
                        }
                    }
                    Message::Collector => return Ok(Some(Joined::Collector)),
                    Message::Attach { proxy, zone, rate, fresh } => {
                        return Ok(Some(Joined::Proxy { proxy, zone, rate, fresh }));
                    }
                    _ => return Err(Refusal::NotJoining),
                }
            }
            socket.lines.buffer().reserve(READ);
            match socket.read.read_buf(socket.lines.buffer()).await {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
