//! The writing half of a stream.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stepspur_proto::{FromConductor, frame, from_conductor, v1};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::super::send_queue::{OutboundMessage, SendQueueReceiver};
use crate::config::Listen;

/// Frames are batched into one write up to this many bytes; the buffer keeps no more between writes.
const WRITE_BATCH_BYTES: usize = 64 << 10;

/// The peer took too long to receive what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a write was not taken in time")]
pub(super) struct WriteTimeout;

/// Whether a stream goes on after a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchKind {
    /// Further frames may follow.
    Open,
    /// The batch ends with the stream's last frame.
    Last,
}

/// Writes a stream's queue to its socket, and pings while the queue is empty.
pub(super) struct StreamWriter<W> {
    socket: W,
    queue: SendQueueReceiver,
    keepalive: Duration,
    write_timeout: Duration,
    ping: Bytes,
    batch: BytesMut,
}

impl<W: AsyncWrite + Unpin> StreamWriter<W> {
    /// A writer that has written nothing yet.
    pub(super) fn new(socket: W, queue: SendQueueReceiver, listen: &Listen, epoch: u64) -> Self {
        let ping = FromConductor::new(epoch, 0, from_conductor::Kind::Ping(v1::Ping::default()));
        Self {
            socket,
            queue,
            keepalive: listen.keepalive,
            write_timeout: listen.write_timeout,
            ping: frame(&ping, usize::MAX).unwrap_or_default(),
            batch: BytesMut::new(),
        }
    }

    /// Runs until the last frame is written, the queue is closed, or the connection breaks.
    ///
    /// # Errors
    /// The peer takes nothing within the write timeout.
    pub(super) async fn run(mut self) -> Result<(), WriteTimeout> {
        while let Some(kind) = self.next_batch().await {
            match timeout(self.write_timeout, self.write_batch()).await {
                Ok(Ok(())) => {}
                // The reader sees the broken connection, too.
                Ok(Err(_)) => return Ok(()),
                Err(_) => return Err(WriteTimeout),
            }
            if kind == BatchKind::Last {
                // A peer that does not take the end within the timeout is reset.
                let _ = timeout(self.write_timeout, self.socket.shutdown()).await;
                return Ok(());
            }
            self.clear_batch();
        }
        Ok(())
    }

    /// Fills the batch with what is queued, or with a ping if nothing comes within the keepalive interval.
    /// None once the queue is closed.
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

    /// Empties the batch; the buffer of a large table is not kept for each of thousands of streams.
    fn clear_batch(&mut self) {
        if self.batch.capacity() > WRITE_BATCH_BYTES {
            self.batch = BytesMut::new();
        }
        self.batch.clear();
    }
}
