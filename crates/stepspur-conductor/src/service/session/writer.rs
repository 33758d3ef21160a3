//! The writing half of a stream.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stepspur_proto::{FromConductor, encode_frame, from_conductor, v1};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::super::send_queue::{OutboundMessage, SendQueueReceiver};
use crate::config::Listen;

/// Frames are batched into one write until the batch has this many bytes. A larger buffer is freed after its
/// write.
const WRITE_BATCH_BYTES: usize = 64 << 10;

/// The peer did not receive a write within the write timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a write did not complete within the write timeout")]
pub(super) struct WriteTimeout;

/// Whether a stream continues after a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchKind {
    /// Further frames may follow.
    Open,
    /// The batch ends with the last frame of the stream.
    Last,
}

/// Writes the messages of a stream's send queue to its socket, and sends pings while the queue is empty.
pub(super) struct StreamWriter<W> {
    socket: W,
    queue: SendQueueReceiver,
    /// The time without messages after which a ping is sent.
    keepalive: Duration,
    write_timeout: Duration,
    /// An encoded ping frame.
    ping: Bytes,
    batch: BytesMut,
}

impl<W: AsyncWrite + Unpin> StreamWriter<W> {
    /// Creates a writer with an empty batch.
    pub(super) fn new(socket: W, queue: SendQueueReceiver, listen: &Listen, epoch: u64) -> Self {
        let ping = FromConductor::new(epoch, 0, from_conductor::Kind::Ping(v1::Ping::default()));
        Self {
            socket,
            queue,
            keepalive: listen.keepalive,
            write_timeout: listen.write_timeout,
            ping: encode_frame(&ping, usize::MAX).unwrap_or_default(),
            batch: BytesMut::new(),
        }
    }

    /// Runs until the last frame is written, the queue is closed, or the connection fails.
    ///
    /// # Errors
    /// A write does not complete within the write timeout, because the peer does not read.
    pub(super) async fn run(mut self) -> Result<(), WriteTimeout> {
        while let Some(kind) = self.next_batch().await {
            match timeout(self.write_timeout, self.write_batch()).await {
                Ok(Ok(())) => {}
                // The reader detects the failed connection as well, and reports it.
                Ok(Err(_)) => return Ok(()),
                Err(_) => return Err(WriteTimeout),
            }
            if kind == BatchKind::Last {
                // The connection is reset if the shutdown does not complete within the timeout.
                let _ = timeout(self.write_timeout, self.socket.shutdown()).await;
                return Ok(());
            }
            self.clear_batch();
        }
        Ok(())
    }

    /// Fills the batch with the queued messages, or with a ping if none is queued within the keepalive
    /// interval. Returns none once the queue is closed.
    async fn next_batch(&mut self) -> Option<BatchKind> {
        match timeout(self.keepalive, self.queue.recv()).await {
            Ok(message) => {
                if self.append(message?) == BatchKind::Last {
                    return Some(BatchKind::Last);
                }
            }
            Err(_) => self.batch.extend_from_slice(&self.ping),
        }
        while self.batch.len() < WRITE_BATCH_BYTES {
            let Some(message) = self.queue.try_recv() else { break };
            if self.append(message) == BatchKind::Last {
                return Some(BatchKind::Last);
            }
        }
        Some(BatchKind::Open)
    }

    /// Appends a message to the batch. Returns whether it is the last one of the stream.
    fn append(&mut self, message: OutboundMessage) -> BatchKind {
        match message {
            OutboundMessage::Frame(frame) => {
                self.batch.extend_from_slice(&frame);
                BatchKind::Open
            }
            OutboundMessage::Last(frame) => {
                self.batch.extend_from_slice(&frame);
                BatchKind::Last
            }
        }
    }

    async fn write_batch(&mut self) -> io::Result<()> {
        self.socket.write_all(&self.batch).await?;
        self.socket.flush().await
    }

    /// Empties the batch. A buffer that has grown for a large table is freed, since a conductor has thousands
    /// of streams.
    fn clear_batch(&mut self) {
        if self.batch.capacity() > WRITE_BATCH_BYTES {
            self.batch = BytesMut::new();
        }
        self.batch.clear();
    }
}
