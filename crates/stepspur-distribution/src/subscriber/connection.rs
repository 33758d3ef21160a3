//! One connection to a control member: frames both ways, counted, and each wait timed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_consensus_node::Stream;
use stepspur_proto::{FrameError, Frames, FromControl, FromSubscriber, from_control, from_subscriber, v1};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::SubscriberSettings;
use super::board::Board;
use super::keeper::Progress;
use super::status::Unapplied;
use crate::document::Document;
use crate::version::Version;

/// Bytes of a frame either way at most: the first one may name 10,000 tenants.
pub(crate) const FRAME_BYTES_MOST: usize = 2 << 20;

/// Why a connection, or an attempt at one, ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Ended {
    #[error("{0} took longer than {1:?}")]
    Late(&'static str, Duration),
    #[error(transparent)]
    Dial(io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the control member ended the connection")]
    Closed,
    #[error("a frame without a kind, or one that is not due")]
    Unexpected,
    #[error("silent for {0:?}")]
    Silent(Duration),
    #[error("sent on: {0}")]
    Redirected(String),
    #[error("{0}")]
    Refused(String),
    #[error("another control member comes first in the order")]
    Moves,
    #[error("stopped")]
    Stopped,
}

/// A connection.
pub(crate) struct Connection {
    frames: Framed<Counted, Frames<FromControl, FromSubscriber>>,
    write_timeout: Duration,
}

impl Connection {
    pub(crate) fn new(stream: Box<dyn Stream>, write_timeout: Duration, board: Arc<Board>) -> Self {
        let frames = Framed::new(Counted { stream, board }, Frames::new(FRAME_BYTES_MOST));
        Self { frames, write_timeout }
    }

    /// Writes a frame.
    pub(crate) async fn send(&mut self, message: FromSubscriber) -> Result<(), Ended> {
        let sent = timeout(self.write_timeout, self.frames.send(message)).await;
        Ok(sent.map_err(|_| Ended::Late("a write", self.write_timeout))??)
    }

    /// The next frame. Waiting may be given up, and begun anew, without a loss.
    pub(crate) async fn receive(&mut self) -> Result<from_control::Kind, Ended> {
        let frame = self.frames.next().await.ok_or(Ended::Closed)??;
        frame.kind.ok_or(Ended::Unexpected)
    }
}

/// The first frame of a connection.
pub(crate) fn subscribe(
    settings: &SubscriberSettings,
    holds: Version,
    in_force: Version,
    insists: bool,
) -> FromSubscriber {
    let subscribe = v1::ConfigSubscribe {
        protocol: stepspur_proto::VERSION,
        name: settings.name.clone(),
        region: settings.interest.region.clone(),
        services: settings.interest.clone().into(),
        holds: Some(holds.into()),
        in_force: Some(in_force.into()),
        insists,
    };
    FromSubscriber { kind: Some(from_subscriber::Kind::Subscribe(subscribe)) }
}

/// How far the subscriber has come.
pub(crate) fn acknowledgement(progress: &Progress) -> FromSubscriber {
    let unapplied = |unapplied: &Unapplied| {
        let document = Document { key: unapplied.key.clone(), setting: None, version: unapplied.version };
        v1::UnappliedDocument { document: Some(document.into()), reason: unapplied.reason.clone() }
    };
    let acknowledgement = v1::ConfigAcknowledgement {
        holds: Some(progress.holds.into()),
        in_force: Some(progress.in_force.into()),
        unapplied: progress.unapplied.iter().map(unapplied).collect(),
    };
    FromSubscriber { kind: Some(from_subscriber::Kind::Acknowledgement(acknowledgement)) }
}

/// Nothing else was to be told for a while.
pub(crate) fn keep_alive() -> FromSubscriber {
    let keep_alive = v1::ConfigKeepAlive { covered: None };
    FromSubscriber { kind: Some(from_subscriber::Kind::KeepAlive(keep_alive)) }
}

/// A stream whose bytes are counted.
struct Counted {
    stream: Box<dyn Stream>,
    board: Arc<Board>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, into);
        let read = into.filled().len().saturating_sub(before);
        self.board.traffic.read.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.board.traffic.written.fetch_add(written as u64, Ordering::Relaxed);
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
