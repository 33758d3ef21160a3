//! One connection to a control member: reads and writes frames with time limits, and counts their bytes.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_consensus_node::Stream;
use stepspur_proto::{FrameError, Frames, FromControl, FromSubscriber, from_control};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::messages::MAX_FRAME_BYTES;
use super::snapshot_assembler::SnapshotError;
use super::status_publisher::StatusPublisher;
use super::update::UpdateError;
use crate::document::DocumentError;

/// An operation with a time limit, as named in errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimedOperation {
    Dial,
    FirstFrame,
    Write,
}

impl fmt::Display for TimedOperation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Dial => "dialling",
            Self::FirstFrame => "the first frame",
            Self::Write => "a write",
        })
    }
}

/// Why a connection, or an attempt to connect, ended. Shown in the status and in logs.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionEnd {
    #[error("{operation} took longer than {limit:?}")]
    Timeout { operation: TimedOperation, limit: Duration },
    #[error(transparent)]
    Dial(io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the control member ended the connection")]
    Closed,
    #[error("unexpected frame, or a frame of an unknown kind")]
    UnexpectedFrame,
    #[error("no frame for {0:?}")]
    Silent(Duration),
    /// The control member redirected the subscriber, for this reason.
    #[error("redirected: {0}")]
    Redirected(String),
    #[error(transparent)]
    InvalidDocument(#[from] DocumentError),
    #[error(transparent)]
    InvalidSnapshot(#[from] SnapshotError),
    #[error(transparent)]
    UpdateFailed(#[from] UpdateError),
    /// The first welcome named a control member that comes before this one in the order.
    #[error("another control member is preferred")]
    PrefersAnother,
    #[error("stopped")]
    Stopped,
}

/// A connection to a control member.
pub(super) struct Connection {
    frames: Framed<CountedStream, Frames<FromControl, FromSubscriber>>,
    write_timeout: Duration,
}

impl Connection {
    pub(super) fn new(
        stream: Box<dyn Stream>,
        write_timeout: Duration,
        publisher: Arc<StatusPublisher>,
    ) -> Self {
        let frames = Framed::new(CountedStream { stream, publisher }, Frames::new(MAX_FRAME_BYTES));
        Self { frames, write_timeout }
    }

    /// Writes a frame.
    pub(super) async fn send(&mut self, message: FromSubscriber) -> Result<(), ConnectionEnd> {
        let limit = self.write_timeout;
        let sent = timeout(limit, self.frames.send(message)).await;
        sent.map_err(|_| ConnectionEnd::Timeout { operation: TimedOperation::Write, limit })??;
        Ok(())
    }

    /// Reads the next frame. Cancel safe.
    pub(super) async fn receive(&mut self) -> Result<from_control::Kind, ConnectionEnd> {
        let frame = self.frames.next().await.ok_or(ConnectionEnd::Closed)??;
        frame.kind.ok_or(ConnectionEnd::UnexpectedFrame)
    }
}

/// A stream that adds the bytes read and written to the counters of the status.
struct CountedStream {
    stream: Box<dyn Stream>,
    publisher: Arc<StatusPublisher>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = buffer.filled().len().saturating_sub(before);
        self.publisher.bytes.read.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.publisher.bytes.written.fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
