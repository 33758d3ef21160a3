//! One connection: frames with time limits, and the bytes that were written.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use stepspur_consensus_node::Stream;
use stepspur_proto::v1::{FromControl, FromSubscriber};
use stepspur_proto::{FrameError, Frames, frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::{Instant, timeout};
use tokio_util::codec::FramedRead;

use super::messages::{FIRST_FRAME_MOST, LATER_FRAME_MOST, WRITTEN_FRAME_MOST};

/// A frame must be taken within this.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
/// The other side must have closed within this after its last frame.
const CLOSE_WITHIN: Duration = Duration::from_secs(1);

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionFault {
    /// The bytes are no frames, or the transport failed.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The other side closed it.
    #[error("closed by the other side")]
    Closed,
    /// Nothing came in time.
    #[error("no frame within {0:?}")]
    Silent(Duration),
    /// A frame was not taken in time.
    #[error("a frame was not taken within {0:?}")]
    Slow(Duration),
    /// The other side does not keep to the protocol.
    #[error("{0}")]
    Protocol(String),
    /// It is ended from here.
    #[error("{0}")]
    Ended(&'static str),
}

/// The half that reads frames of a subscriber or control member.
pub(crate) struct Reader(FramedRead<ReadHalf<Box<dyn Stream>>, Frames<FromSubscriber, FromControl>>);

/// The half that writes frames.
pub(crate) struct Writer {
    half: WriteHalf<Box<dyn Stream>>,
    /// Bytes written by all connections.
    bytes: Arc<AtomicU64>,
    /// When the last frame was written.
    wrote_at: Instant,
}

/// Takes a connection apart. The bytes that are written are added up in `bytes`.
pub(crate) fn split(socket: Box<dyn Stream>, bytes: Arc<AtomicU64>) -> (Reader, Writer) {
    let (reader, half) = tokio::io::split(socket);
    let reader = Reader(FramedRead::new(reader, Frames::new(FIRST_FRAME_MOST)));
    (reader, Writer { half, bytes, wrote_at: Instant::now() })
}

impl Reader {
    /// The next frame.
    pub(crate) async fn next(&mut self, within: Duration) -> Result<FromSubscriber, ConnectionFault> {
        let next = timeout(within, self.0.next()).await.map_err(|_| ConnectionFault::Silent(within))?;
        let frame = next.ok_or(ConnectionFault::Closed)??;
        self.0.decoder_mut().set_largest(LATER_FRAME_MOST);
        Ok(frame)
    }

    /// Waits until the other side has closed, so that it reads what was written last. What it still writes is dropped.
    async fn closed(self) {
        let mut half = self.0.into_inner();
        let mut bytes = [0; 1_024];
        let closed = async { while matches!(half.read(&mut bytes).await, Ok(1..)) {} };
        let _ = timeout(CLOSE_WITHIN, closed).await;
    }
}

impl Writer {
    /// Writes a frame: its bytes.
    pub(crate) async fn write(&mut self, message: &FromControl) -> Result<usize, ConnectionFault> {
        let bytes = frame(message, WRITTEN_FRAME_MOST)?;
        let written = timeout(WRITE_WITHIN, self.half.write_all(&bytes)).await;
        written.map_err(|_| ConnectionFault::Slow(WRITE_WITHIN))?.map_err(FrameError::from)?;
        self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.wrote_at = Instant::now();
        Ok(bytes.len())
    }

    /// When the last frame was written.
    pub(crate) fn wrote_at(&self) -> Instant {
        self.wrote_at
    }
}

/// Writes a last frame, and closes the connection.
pub(crate) async fn close_with(
    last: &FromControl,
    reader: Reader,
    mut writer: Writer,
) -> Result<(), ConnectionFault> {
    writer.write(last).await?;
    let _ = timeout(CLOSE_WITHIN, writer.half.shutdown()).await;
    reader.closed().await;
    Ok(())
}
