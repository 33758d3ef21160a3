//! A proxy's stream: it answers marks and pings, keeps no table, and tells the measurer what it read.

use anyhow::Context;
use bytes::Bytes;
use stepspur_proto::{FromConductor, FromProxy, frame, from_conductor, from_proxy, split_frame, v1};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::{LARGEST_PLAIN_FRAME, PATIENCE};

/// Bytes of a frame's length, which comes before its body.
const LENGTH_BYTES: usize = 4;

/// What a stream tells its measurer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Observation {
    /// A whole table came.
    Bound,
    /// An order took servers out of the table; it was read at that time.
    Removed(Instant),
    /// An order gave servers of the table other weights than none.
    Weighted,
    /// An order came that changes no server.
    Unchanged,
}

impl Observation {
    fn of(order: &v1::Order, at: Instant) -> Self {
        if order.table.is_some() {
            Self::Bound
        } else if order.lines.iter().any(|line| line.weight == 0.0) {
            Self::Removed(at)
        } else if order.lines.is_empty() {
            Self::Unchanged
        } else {
            Self::Weighted
        }
    }
}

/// Follows a plain stream until it ends, from its first frame on.
pub(super) async fn follow(socket: TcpStream, hello: Bytes, observer: mpsc::Sender<Observation>) {
    // Without it answers wait for each other; the stream works all the same.
    let _ = socket.set_nodelay(true);
    follow_on(socket, hello, observer).await;
}

/// The same of any stream.
pub(super) async fn follow_on<S: AsyncRead + AsyncWrite + Unpin>(
    mut stream: S,
    hello: Bytes,
    observer: mpsc::Sender<Observation>,
) {
    if stream.write_all(&hello).await.is_err() {
        return;
    }
    let mut buffer = Vec::new();
    while let Some((read, at)) = read_frame(&mut stream, &mut buffer).await {
        if let Some(answer) = answer_to(&read) {
            let answer = FromProxy::new(read.epoch, read.sequence, answer);
            let Ok(answer) = frame(&answer, LARGEST_PLAIN_FRAME) else { return };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
        if let Some(from_conductor::Kind::Order(order)) = &read.kind
            && observer.send(Observation::of(order, at)).await.is_err()
        {
            return;
        }
    }
}

/// The next frame with the time at which it was read; none: the stream has ended, or what came is no frame.
async fn read_frame<S: AsyncRead + Unpin>(
    stream: &mut S,
    buffer: &mut Vec<u8>,
) -> Option<(FromConductor, Instant)> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await.ok()?;
    buffer.clear();
    buffer.extend_from_slice(&length);
    buffer.resize(LENGTH_BYTES + u32::from_be_bytes(length) as usize, 0);
    stream.read_exact(&mut buffer[LENGTH_BYTES..]).await.ok()?;
    let at = Instant::now();
    Some((split_frame::<FromConductor>(buffer).ok()?, at))
}

/// What a proxy must answer to a frame.
fn answer_to(read: &FromConductor) -> Option<from_proxy::Kind> {
    match &read.kind {
        Some(from_conductor::Kind::Order(order)) => {
            order.mark.map(|mark| from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 }))
        }
        Some(from_conductor::Kind::Ping(ping)) => {
            Some(from_proxy::Kind::Pong(v1::Pong { token: ping.token }))
        }
        _ => None,
    }
}

/// Waits until so many streams have their tables.
pub(super) async fn wait_bound(
    observations: &mut mpsc::Receiver<Observation>,
    streams: usize,
) -> anyhow::Result<()> {
    wait_for(observations, streams, Observation::Bound).await.context("not all proxies were bound")
}

/// Waits until so many orders have given servers weights: those that were removed are back in the tables.
pub(super) async fn wait_weighted(
    observations: &mut mpsc::Receiver<Observation>,
    streams: usize,
) -> anyhow::Result<()> {
    wait_for(observations, streams, Observation::Weighted)
        .await
        .context("not all proxies have their servers back")
}

async fn wait_for(
    observations: &mut mpsc::Receiver<Observation>,
    count: usize,
    wanted: Observation,
) -> anyhow::Result<()> {
    let all = async {
        let mut left = count;
        while left > 0 {
            let observed = observations.recv().await.context("the streams have ended")?;
            left -= usize::from(observed == wanted);
        }
        anyhow::Ok(())
    };
    timeout(PATIENCE, all).await.with_context(|| format!("within {PATIENCE:?}"))?
}

/// Forgets what streams have told so far.
pub(super) fn forget(observations: &mut mpsc::Receiver<Observation>) {
    while observations.try_recv().is_ok() {}
}
