//! Reads a stream within the budget for long frames that all streams share.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use stepspur_proto::IncompleteFrame;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::PollSemaphore;

use super::super::input_limits::MAX_SHORT_MESSAGE_BYTES;

/// A reader that waits for one of the shared permits before it reads the body of a frame longer than
/// [`MAX_SHORT_MESSAGE_BYTES`], and returns it when the frame is complete. Permits are given in the order in
/// which streams ask for them.
pub(super) struct BudgetedRead<R> {
    read: R,
    frame: IncompleteFrame,
    permits: PollSemaphore,
    permit: Option<OwnedSemaphorePermit>,
}

impl<R> BudgetedRead<R> {
    /// Reads from `read` what the decoder of `frame` decodes.
    pub(super) fn new(read: R, frame: IncompleteFrame, permits: PollSemaphore) -> Self {
        Self { read, frame, permits, permit: None }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for BudgetedRead<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.frame.body_bytes() <= MAX_SHORT_MESSAGE_BYTES {
            self.permit = None;
        } else if self.permit.is_none() {
            self.permit = ready!(self.permits.poll_acquire(context));
        }
        Pin::new(&mut self.read).poll_read(context, buffer)
    }
}
