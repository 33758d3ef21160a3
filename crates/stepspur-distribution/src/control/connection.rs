//! One accepted connection of a control member: reads and writes frames with time limits, and counts written
//! bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use stepspur_consensus_node::Stream;
use stepspur_proto::v1::{FromControl, FromSubscriber};
use stepspur_proto::{FrameError, Frames, encode_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::{Instant, timeout};
use tokio_util::codec::FramedRead;

use super::attached::AcknowledgedBeyondSent;
use super::messages::{MAX_FIRST_FRAME_BYTES, MAX_LATER_FRAME_BYTES, MAX_WRITTEN_FRAME_BYTES};
use super::summary_collector::SummaryError;

/// Time limit for writing a frame. A subscriber that reads more slowly is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for closing a connection after the last frame.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A violation of the protocol by the other side. It ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ProtocolError {
    #[error("the first frame names neither a subscriber nor a summary")]
    UnexpectedFirstFrame,
    #[error("not a frame of an attached subscriber")]
    NotOfSubscriber,
    #[error("not a summary")]
    NotASummary,
    #[error(transparent)]
    Acknowledgement(#[from] AcknowledgedBeyondSent),
    #[error(transparent)]
    Summary(#[from] SummaryError),
}

/// Why a connection ended. The text is the reason that the leader is sent for a detached subscriber.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// A frame is invalid, or the transport failed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("closed by the other side")]
    Closed,
    #[error("no frame within {0:?}")]
    ReadTimeout(Duration),
    #[error("a frame was not taken within {0:?}")]
    WriteTimeout(Duration),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error("replaced by a newer connection, or this member stops")]
    Stopped,
}

/// Reads the frames of a subscriber or of another control member.
pub(super) struct FrameReader(FramedRead<ReadHalf<Box<dyn Stream>>, Frames<FromSubscriber, FromControl>>);

/// Writes frames to a subscriber.
pub(super) struct FrameWriter {
    half: WriteHalf<Box<dyn Stream>>,
    /// Counter of the bytes written by all connections of the member.
    bytes_written: Arc<AtomicU64>,
    last_written: Instant,
}

/// The two halves of a connection.
pub(super) struct FrameStream {
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
}

impl FrameStream {
    /// Splits a stream. Written bytes are added to `bytes_written`.
    pub(super) fn new(stream: Box<dyn Stream>, bytes_written: Arc<AtomicU64>) -> Self {
        let (reader, half) = tokio::io::split(stream);
        let reader = FrameReader(FramedRead::new(reader, Frames::new(MAX_FIRST_FRAME_BYTES)));
        Self { reader, writer: FrameWriter { half, bytes_written, last_written: Instant::now() } }
    }

    /// Writes a last frame, and closes the connection.
    pub(super) async fn close_with(mut self, last: &FromControl) -> Result<(), ConnectionError> {
        self.writer.write(last).await?;
        // The connection ends in any case: an error or a timeout of the shutdown changes nothing.
        drop(timeout(CLOSE_TIMEOUT, self.writer.half.shutdown()).await);
        self.reader.wait_until_closed().await;
        Ok(())
    }
}

impl FrameReader {
    /// Reads the next frame; fails after `limit`. Frames after the first have a lower maximum length.
    pub(super) async fn next(&mut self, limit: Duration) -> Result<FromSubscriber, ConnectionError> {
        let next = timeout(limit, self.0.next()).await.map_err(|_| ConnectionError::ReadTimeout(limit))?;
        let frame = next.ok_or(ConnectionError::Closed)??;
        self.0.decoder_mut().set_max_frame_bytes(MAX_LATER_FRAME_BYTES);
        Ok(frame)
    }

    /// Reads and discards until the other side has closed, so that it receives the last frame: closing a
    /// socket with unread data may reset the connection.
    async fn wait_until_closed(self) {
        let mut half = self.0.into_inner();
        let mut buffer = [0; 1_024];
        let discard_all = async { while matches!(half.read(&mut buffer).await, Ok(1..)) {} };
        // After the timeout the connection is dropped anyway.
        drop(timeout(CLOSE_TIMEOUT, discard_all).await);
    }
}

impl FrameWriter {
    /// Writes a frame, within [`WRITE_TIMEOUT`].
    pub(super) async fn write(&mut self, message: &FromControl) -> Result<(), ConnectionError> {
        let bytes = encode_frame(message, MAX_WRITTEN_FRAME_BYTES)?;
        let written = timeout(WRITE_TIMEOUT, self.half.write_all(&bytes)).await;
        written.map_err(|_| ConnectionError::WriteTimeout(WRITE_TIMEOUT))?.map_err(FrameError::from)?;
        self.bytes_written.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.last_written = Instant::now();
        Ok(())
    }

    /// When the last frame was written; the time of the connection before the first one.
    pub(super) fn last_written(&self) -> Instant {
        self.last_written
    }
}
