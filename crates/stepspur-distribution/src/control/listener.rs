//! Lets subscribers and reporting control members in.

use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::{Listener, Stream};
use stepspur_proto::from_subscriber;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Member;
use super::connection::{ConnectionFault, split};
use super::{reports, session};

/// Connections that have not told who they are, at most. Further ones wait in the system's queue.
const STRANGERS: usize = 64;
/// The first frame must come within this.
const FIRST_WITHIN: Duration = Duration::from_secs(2);
/// A listener that failed is asked again after this.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

/// Lets callers in until stopped.
pub(crate) async fn run(
    member: Arc<Member>,
    mut listener: Box<dyn Listener>,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    let strangers = Arc::new(Semaphore::new(STRANGERS));
    loop {
        let next = async {
            let place = Arc::clone(&strangers).acquire_owned().await;
            (place, listener.accept().await)
        };
        let (place, accepted) = tokio::select! {
            () = stop.cancelled() => return,
            next = next => next,
        };
        let (Ok(place), Ok(socket)) = (place, accepted) else {
            sleep(ACCEPT_AGAIN).await;
            continue;
        };
        tasks.spawn(connection(Arc::clone(&member), socket, place, stop.clone()));
    }
}

async fn connection(
    member: Arc<Member>,
    socket: Box<dyn Stream>,
    place: OwnedSemaphorePermit,
    stop: CancellationToken,
) {
    let served = serve(&member, socket, place, &stop);
    let ended = tokio::select! {
        ended = served => ended,
        // Whoever is attached is told to end by its own token, and is detached first.
        () = stop.cancelled() => return,
    };
    if let Err(cause) = ended {
        tracing::debug!(event = "config_connection_ended", %cause);
    }
}

async fn serve(
    member: &Arc<Member>,
    socket: Box<dyn Stream>,
    place: OwnedSemaphorePermit,
    stop: &CancellationToken,
) -> Result<(), ConnectionFault> {
    let (mut reader, writer) = split(socket, Arc::clone(&member.bytes_written));
    match reader.next(FIRST_WITHIN).await?.kind {
        Some(from_subscriber::Kind::Subscribe(first)) => {
            session::serve(member, first, reader, writer, stop, || drop(place)).await
        }
        Some(from_subscriber::Kind::Summary(first)) => reports::take(member, first, reader, place).await,
        _ => Err(ConnectionFault::Protocol(
            "the first frame names neither a subscriber nor a summary".to_owned(),
        )),
    }
}
