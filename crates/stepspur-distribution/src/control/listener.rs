//! Accepts subscribers, and control members that report summaries.

use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::{Listener, Stream};
use stepspur_proto::from_subscriber;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::connection::{ConnectionError, FrameStream, ProtocolError};
use super::member::Member;
use super::{subscriber_session, summary_receiver};

/// Maximum number of connections before their first frame is handled. Further ones wait in the operating
/// system's backlog.
const MAX_HANDSHAKES: usize = 64;
/// Time limit for the first frame.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept, so that a lasting error causes no busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until stopped.
pub(super) async fn run(
    member: Arc<Member>,
    mut listener: Box<dyn Listener>,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let permitted = async {
            let permit = Arc::clone(&handshakes).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            () = stop.cancelled() => return,
            permitted = permitted => permitted,
        };
        let (Ok(permit), Ok(stream)) = (permit, accepted) else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        tasks.spawn(run_connection(Arc::clone(&member), stream, permit, stop.clone()));
    }
}

async fn run_connection(
    member: Arc<Member>,
    stream: Box<dyn Stream>,
    handshake: OwnedSemaphorePermit,
    stop: CancellationToken,
) {
    let ended = tokio::select! {
        ended = serve(&member, stream, handshake, &stop) => ended,
        // This also cancels the token of an attached subscriber's session, which is a child of this one.
        () = stop.cancelled() => return,
    };
    if let Err(cause) = ended {
        tracing::debug!(event = "config_connection_ended", %cause);
    }
}

async fn serve(
    member: &Member,
    stream: Box<dyn Stream>,
    handshake: OwnedSemaphorePermit,
    stop: &CancellationToken,
) -> Result<(), ConnectionError> {
    let mut stream = FrameStream::new(stream, Arc::clone(&member.bytes_written));
    match stream.reader.next(FIRST_FRAME_TIMEOUT).await?.kind {
        Some(from_subscriber::Kind::Subscribe(first)) => {
            subscriber_session::serve(member, first, stream, handshake, stop).await
        }
        Some(from_subscriber::Kind::Summary(first)) => {
            summary_receiver::receive(member, first, stream, handshake).await
        }
        _ => Err(ProtocolError::UnexpectedFirstFrame.into()),
    }
}
