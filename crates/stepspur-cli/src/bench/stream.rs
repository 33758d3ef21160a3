//! A proxy's stream: answers marks and pings, keeps no table, and reports orders to the measuring task.

use anyhow::Context;
use bytes::Bytes;
use stepspur_proto::{FromConductor, FromProxy, decode_frame, encode_frame, from_conductor, from_proxy, v1};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::{MAX_PLAIN_FRAME_BYTES, WAIT_TIMEOUT};

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// What a stream reports to the measuring task about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Observation {
    /// The order contains a whole table.
    TableReceived,
    /// The order removes servers from the table; it was read at this time.
    Removed(Instant),
    /// The order sets weights other than zero.
    Weighted,
    /// The order changes no server.
    Unchanged,
}

impl Observation {
    fn of(order: &v1::Order, at: Instant) -> Self {
        if order.table.is_some() {
            Self::TableReceived
        } else if order.lines.iter().any(|line| line.weight == 0.0) {
            Self::Removed(at)
        } else if order.lines.is_empty() {
            Self::Unchanged
        } else {
            Self::Weighted
        }
    }
}

/// Sends `Hello` over TCP and follows the stream until it ends.
pub(super) async fn follow(socket: TcpStream, hello: Bytes, observer: mpsc::Sender<Observation>) {
    // An error is ignored: without `TCP_NODELAY` answers are delayed, but the stream works.
    let _ = socket.set_nodelay(true);
    follow_stream(socket, hello, observer).await;
}

/// As [`follow`], for any kind of stream.
pub(super) async fn follow_stream<S: AsyncRead + AsyncWrite + Unpin>(
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
            let Ok(answer) = encode_frame(&answer, MAX_PLAIN_FRAME_BYTES) else { return };
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

/// The next frame and the time at which it was read. None if the stream has ended or the frame is invalid.
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
    Some((decode_frame::<FromConductor>(buffer).ok()?, at))
}

/// The answer that the protocol requires to a frame, if any.
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

/// Waits until this many tables have been received.
pub(super) async fn wait_tables(
    observations: &mut mpsc::Receiver<Observation>,
    streams: usize,
) -> anyhow::Result<()> {
    wait_for(observations, streams, Observation::TableReceived)
        .await
        .context("not all proxies received a table")
}

/// Waits until this many orders have set weights: removed servers are back in the tables.
pub(super) async fn wait_weighted(
    observations: &mut mpsc::Receiver<Observation>,
    streams: usize,
) -> anyhow::Result<()> {
    wait_for(observations, streams, Observation::Weighted)
        .await
        .context("the drained servers did not return to all proxies")
}

/// Waits for this many observations of one kind; discards the others.
async fn wait_for(
    observations: &mut mpsc::Receiver<Observation>,
    count: usize,
    wanted: Observation,
) -> anyhow::Result<()> {
    let all = async {
        let mut remaining = count;
        while remaining > 0 {
            let observed = observations.recv().await.context("all streams have ended")?;
            remaining -= usize::from(observed == wanted);
        }
        anyhow::Ok(())
    };
    timeout(WAIT_TIMEOUT, all).await.with_context(|| format!("within {WAIT_TIMEOUT:?}"))?
}

/// Discards all observations that are in the channel.
pub(super) fn discard_pending(observations: &mut mpsc::Receiver<Observation>) {
    while observations.try_recv().is_ok() {}
}
