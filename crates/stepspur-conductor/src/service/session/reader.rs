//! The reading half of a stream.

use std::future::pending;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use stepspur_identity::grant::Denied;
use stepspur_identity::rights::Right;
use stepspur_proto::{FrameError, FromConductor, FromProxy, encode_frame, from_conductor, from_proxy, v1};
use tokio::io::AsyncRead;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::super::engine_handle::EngineHandle;
use super::super::identity::ActiveKeys;
use super::super::send_queue::{OutboundMessage, WeakSendQueue};
use super::super::stream_grant::{GrantCheck, StreamGrant};
use super::FrameReader;
use crate::engine::{Input, StreamId};

/// The interval at which a grant is checked in addition to every frame. A timer for the grant's end would
/// be wrong after a jump of the system clock.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why the conductor must end a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamFault {
    /// The reason that is sent to the peer.
    pub(super) reason: v1::Reason,
    /// The description that is sent to the peer.
    pub(super) detail: String,
}

impl StreamFault {
    fn new(reason: v1::Reason, detail: impl ToString) -> Self {
        Self { reason, detail: detail.to_string() }
    }

    fn not_allowed() -> Self {
        Self::new(v1::Reason::NotAllowed, Denied::PUBLIC_MESSAGE)
    }
}

/// The result of reading a frame; none at the end of the stream.
type ReadFrame = Option<Result<FromProxy, FrameError>>;

/// Reads the frames of a stream, and forwards to the engine those that the proxy's grant allows.
pub(super) struct StreamReader<'a, R> {
    pub(super) frames: &'a mut FrameReader<R>,
    pub(super) engine: &'a EngineHandle,
    pub(super) stream: StreamId,
    pub(super) epoch: u64,
    /// The stream has failed if no frame arrives within this time.
    pub(super) silence_timeout: Duration,
    /// None if connections are not authenticated.
    pub(super) grant: Option<StreamGrant>,
    /// The send queue, for the notice that the grant expires. It is weak so that it does not keep the stream
    /// open.
    pub(super) queue: WeakSendQueue,
}

impl<R: AsyncRead + Unpin> StreamReader<'_, R> {
    /// Reads until the stream or the engine ends.
    ///
    /// # Errors
    /// A [`StreamFault`] for which the conductor must end the stream.
    pub(super) async fn run(mut self) -> Result<(), StreamFault> {
        let mut last_frame_at = Instant::now();
        let mut grant_check = interval(GRANT_CHECK_INTERVAL);
        grant_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut keys = self.grant.as_ref().map(StreamGrant::subscribe_to_keys);
        loop {
            let read = tokio::select! {
                read = self.frames.next() => Some(read),
                () = keys_changed(&mut keys) => None,
                _ = grant_check.tick(), if self.grant.is_some() => None,
                () = sleep_until(last_frame_at + self.silence_timeout) => {
                    return Err(StreamFault::new(v1::Reason::Silent, "nothing was heard in time"));
                }
            };
            self.check_grant()?;
            let Some(read) = read else { continue };
            last_frame_at = Instant::now();
            if self.handle(read).await?.is_break() {
                return Ok(());
            }
        }
    }

    /// Notifies the proxy if its grant expires soon.
    ///
    /// # Errors
    /// The grant has expired or was revoked.
    fn check_grant(&mut self) -> Result<(), StreamFault> {
        let Some(grant) = &mut self.grant else { return Ok(()) };
        match grant.check() {
            GrantCheck::Valid => Ok(()),
            GrantCheck::Expiring { remaining } => {
                announce_expiry(&self.queue, self.epoch, remaining);
                Ok(())
            }
            GrantCheck::Expired => {
                Err(StreamFault::new(v1::Reason::Expired, "the stream's rights have ended"))
            }
            GrantCheck::Revoked => Err(StreamFault::not_allowed()),
        }
    }

    /// Handles a frame. Returns a break at the end of the stream or of the engine.
    async fn handle(&mut self, read: ReadFrame) -> Result<ControlFlow<()>, StreamFault> {
        let frame = match read {
            None | Some(Err(FrameError::Io(_))) => return Ok(ControlFlow::Break(())),
            Some(Err(error)) => return Err(StreamFault::new(v1::Reason::BadFrame, error)),
            Some(Ok(frame)) => frame,
        };
        let Some(kind) = &frame.kind else { return Ok(ControlFlow::Continue(())) };
        match (kind, &mut self.grant) {
            // Reading the frame has already reset the silence timeout.
            (from_proxy::Kind::Pong(_), _) => return Ok(ControlFlow::Continue(())),
            (from_proxy::Kind::Renew(renew), Some(grant)) => {
                check_right(grant.renew(&renew.credentials))?;
                return Ok(ControlFlow::Continue(()));
            }
            (from_proxy::Kind::Renew(_), None) => return Ok(ControlFlow::Continue(())),
            (from_proxy::Kind::Report(_), Some(grant)) => check_right(grant.may(Right::Report, "report"))?,
            (from_proxy::Kind::Applied(_), Some(grant)) => check_right(grant.may(Right::Join, "applied"))?,
            _ => {}
        }
        if self.engine.send(Input::Frame { stream: self.stream, frame }).await {
            Ok(ControlFlow::Continue(()))
        } else {
            Ok(ControlFlow::Break(()))
        }
    }
}

fn check_right(allowed: bool) -> Result<(), StreamFault> {
    if allowed { Ok(()) } else { Err(StreamFault::not_allowed()) }
}

/// Waits for a change of the keys. Without identity there are no keys, and it never returns.
async fn keys_changed(keys: &mut Option<watch::Receiver<Arc<ActiveKeys>>>) {
    match keys {
        // The sender lives longer than the stream, because the grant holds a reference to its owner.
        Some(keys) => drop(keys.changed().await),
        None => pending().await,
    }
}

/// Queues the notice that the proxy's grant ends in `remaining_us` microseconds. If the queue is full, the
/// notice is dropped: the engine closes the stream at its next message.
fn announce_expiry(queue: &WeakSendQueue, epoch: u64, remaining_us: u64) {
    let notice = from_conductor::Kind::Expiring(v1::Expiring { in_us: remaining_us });
    let Some(queue) = queue.upgrade() else { return };
    if let Ok(frame) = encode_frame(&FromConductor::new(epoch, 0, notice), usize::MAX) {
        let _ = queue.try_send(OutboundMessage::Frame(frame));
    }
}
