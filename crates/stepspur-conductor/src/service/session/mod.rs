//! The stream of a proxy. One task owns the socket, from the TLS handshake to the last frame.

mod budgeted_read;
mod reader;
mod writer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use stepspur_identity::cert::CertCaller;
use stepspur_identity::grant::Denied;
use stepspur_identity::rights::Right;
use stepspur_proto::{Frames, FromConductor, FromProxy, encode_frame, from_proxy, v1};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::FramedRead;
use tokio_util::sync::{CancellationToken, PollSemaphore};

use super::clock::unix_now;
use super::engine_handle::{EngineHandle, EnginesByTenant};
use super::identity::{HandshakeGuard, Identity};
use super::linger::{drain, lingering_close};
use super::send_queue::{QueueLimits, SendQueue};
use super::stream_grant::StreamGrant;
use super::supervisor::Shutdown;
use crate::config::Config;
use crate::engine::{Input, StreamId};
use budgeted_read::BudgetedRead;
use reader::{StreamFault, StreamReader};
use writer::{StreamWriter, WriteTimeout};

type FrameReader<R> = FramedRead<BudgetedRead<R>, Frames<FromProxy, FromConductor>>;

/// Minimum time from the first message to a rejection with `NotAllowed`. It is the same for every cause of
/// such a rejection, so that the timing does not reveal the cause. An invalid frame is rejected at once.
const REJECTION_DELAY: Duration = Duration::from_millis(100);
/// How long a peer may take to close its side of the connection after the last frame.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// A stream has failed if no frame arrives on it for this many keepalive intervals.
const SILENCE_TIMEOUT_KEEPALIVES: u32 = 3;

/// The state that all sessions of a conductor share.
pub(super) struct SessionContext {
    pub(super) config: Arc<Config>,
    /// The conductor's epoch: its start in microseconds since 1970. Proxies receive it in go-away messages.
    pub(super) epoch: u64,
    pub(super) engines: Arc<EnginesByTenant>,
    /// None if connections are not authenticated.
    pub(super) identity: Option<Arc<Identity>>,
    /// `stop` ends TLS handshakes and streams that have not sent their first message; the engine closes the
    /// others with a go-away message. `kill` ends every stream and every rejection in progress, without
    /// waiting for queued frames.
    pub(super) shutdown: Shutdown,
    /// Permits to read the body of a long frame.
    pub(super) long_frames: Arc<Semaphore>,
}

/// The connection of a proxy.
pub(super) struct Session {
    context: Arc<SessionContext>,
    stream: StreamId,
    peer: SocketAddr,
}

/// A TLS peer after its handshake.
struct TlsPeer {
    /// The caller of its client certificate; none if it presented none.
    certificate: Option<CertCaller>,
    /// Held until the peer's first message has been authenticated as well.
    handshake: HandshakeGuard,
}

/// A proxy that was admitted.
struct AdmittedProxy {
    /// The engine of its tenant.
    engine: EngineHandle,
    /// None if connections are not authenticated.
    grant: Option<StreamGrant>,
}

/// The result of waiting for a stream's first message.
enum FirstMessage {
    Received(FromProxy),
    /// The bytes are not a valid frame; the text describes the error.
    Invalid(String),
    /// The peer closed the stream, no message arrived within the timeout, or the conductor stops.
    NotReceived,
}

impl Session {
    /// Creates the session of an accepted connection.
    pub(super) fn new(context: Arc<SessionContext>, stream: StreamId, peer: SocketAddr) -> Self {
        Self { context, stream, peer }
    }

    /// Serves the connection until it ends.
    pub(super) async fn run(self, socket: TcpStream) {
        // Nagle's algorithm would delay small updates. If the option cannot be set, the stream is only
        // slower.
        let _ = socket.set_nodelay(true);
        let Some(identity) = &self.context.identity else {
            let (read, write) = socket.into_split();
            return self.serve(read, write, None).await;
        };
        let Ok(handshake) = identity.begin_handshake(self.peer.ip()) else {
            tracing::warn!(event = "handshake_limit_reached", peer = %self.peer);
            return;
        };
        let accepted = tokio::select! {
            accepted = identity.accept_tls(socket) => accepted,
            () = self.context.shutdown.stop.cancelled() => return,
        };
        if let Some((stream, certificate)) = accepted {
            let (read, write) = tokio::io::split(stream);
            self.serve(read, write, Some(TlsPeer { certificate, handshake })).await;
        }
    }

    /// Reads the first message, admits or rejects the proxy, and exchanges frames with it.
    async fn serve<R, W>(&self, read: R, write: W, tls_peer: Option<TlsPeer>)
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let listen = &self.context.config.listen;
        let frames = Frames::new(listen.largest_first_frame);
        let permits = PollSemaphore::new(Arc::clone(&self.context.long_frames));
        let read = BudgetedRead::new(read, frames.incomplete_frame(), permits);
        let mut reader = FramedRead::new(read, frames);
        let hello = match self.first_message(&mut reader).await {
            FirstMessage::Received(hello) => hello,
            FirstMessage::Invalid(detail) => {
                return self.reject(reader, write, v1::Reason::BadFrame, &detail).await;
            }
            FirstMessage::NotReceived => return,
        };
        reader.decoder_mut().set_max_frame_bytes(listen.largest_frame);
        let received_at = Instant::now();
        let Some(admitted) = self.admit(&hello, tls_peer) else {
            sleep_until(received_at + REJECTION_DELAY).await;
            return self.reject(reader, write, v1::Reason::NotAllowed, Denied::PUBLIC_MESSAGE).await;
        };
        self.exchange(reader, write, hello, admitted).await;
    }

    /// Waits for the first frame, within the hello timeout. Errors are logged.
    async fn first_message<R: AsyncRead + Unpin>(&self, reader: &mut FrameReader<R>) -> FirstMessage {
        let (epoch, stream) = (self.context.epoch, self.stream.0);
        let received = tokio::select! {
            received = timeout(self.context.config.listen.hello_timeout, reader.next()) => received,
            () = self.context.shutdown.stop.cancelled() => return FirstMessage::NotReceived,
        };
        match received {
            Ok(Some(Ok(hello))) => FirstMessage::Received(hello),
            Ok(None) => FirstMessage::NotReceived,
            Ok(Some(Err(error))) => {
                tracing::warn!(event = "stream_closed", epoch, stream, cause = %error);
                FirstMessage::Invalid(error.to_string())
            }
            Err(_) => {
                tracing::warn!(event = "stream_closed", epoch, stream, cause = "no Hello within the timeout");
                FirstMessage::NotReceived
            }
        }
    }

    /// Admits a proxy to the engine of its tenant, or returns `None` to reject it. The reason is written only
    /// to the logs. A first message other than `Hello` is rejected without a log line.
    ///
    /// Without authentication there is a single engine, which serves every proxy and validates the first
    /// message itself.
    fn admit(&self, first_message: &FromProxy, tls_peer: Option<TlsPeer>) -> Option<AdmittedProxy> {
        let (Some(identity), Some(TlsPeer { certificate, handshake })) = (&self.context.identity, tls_peer)
        else {
            let engine = self.context.engines.values().next()?.clone();
            return Some(AdmittedProxy { engine, grant: None });
        };
        let Some(from_proxy::Kind::Hello(hello)) = &first_message.kind else { return None };
        let grant = match identity.grant(certificate.clone(), &hello.credentials) {
            Ok(grant) => grant,
            Err(denied) => {
                let stream = self.stream.0;
                tracing::warn!(event = "call_rejected", stream, what = "join", cause = %denied);
                return None;
            }
        };
        let now = unix_now();
        let may_join = grant
            .check_join(&hello.name, &hello.zone, now)
            .and_then(|()| grant.check(Right::ReadTables, now));
        if let Err(denied) = may_join {
            identity.record_rejection(&grant, self.peer, "join", denied);
            return None;
        }
        let Some(engine) = self.context.engines.get(&grant.caller().tenant).cloned() else {
            identity.record_rejection(&grant, self.peer, "join", Denied::NameOrZone);
            return None;
        };
        handshake.authenticated();
        let grant = StreamGrant::new(Arc::clone(identity), certificate, grant, self.peer);
        Some(AdmittedProxy { engine, grant: Some(grant) })
    }

    /// Opens the stream at the engine and exchanges frames until one side ends it.
    async fn exchange<R, W>(
        &self,
        mut reader: FrameReader<R>,
        write: W,
        hello: FromProxy,
        AdmittedProxy { engine, grant }: AdmittedProxy,
    ) where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let (stream, epoch) = (self.stream, self.context.epoch);
        let listen = &self.context.config.listen;
        // The size of a frame is bounded, so the limit of messages also bounds the bytes.
        let limits = QueueLimits { messages: listen.frames_waiting_max, bytes: usize::MAX };
        // This handle keeps the queue open. The writer ends by the engine's last frame, by a failed
        // connection or by a cut.
        let (queue, outbound) = SendQueue::new(limits);
        let cut = self.context.shutdown.kill.child_token();
        if !engine.open_with(stream, queue.clone(), cut.clone()).await
            || !engine.send(Input::Frame { stream, frame: hello }).await
        {
            return;
        }
        let writing = StreamWriter::new(write, outbound, listen, epoch).run();
        let reading = StreamReader {
            frames: &mut reader,
            engine: &engine,
            stream,
            epoch,
            silence_timeout: listen.keepalive * SILENCE_TIMEOUT_KEEPALIVES,
            grant,
            queue: queue.downgrade(),
        };
        let written = self.run_reader_and_writer(reading.run(), writing, &engine, &cut).await;
        engine.send(Input::StreamEnded { stream }).await;
        match written {
            // Closing with unread bytes would reset the connection, and the peer would lose the last frame.
            Ok(()) if !cut.is_cancelled() => linger(&mut reader, &cut).await,
            Ok(()) => {}
            Err(error) => {
                tracing::warn!(event = "stream_too_slow", epoch, stream = stream.0, cause = %error);
            }
        }
    }

    /// Reads and writes until the writer has ended or the stream is cut. If the reader ends first, the reason
    /// is sent to the engine, and the engine's last frame, if it sends one, ends the writer.
    async fn run_reader_and_writer(
        &self,
        reading: impl Future<Output = Result<(), StreamFault>>,
        writing: impl Future<Output = Result<(), WriteTimeout>>,
        engine: &EngineHandle,
        cut: &CancellationToken,
    ) -> Result<(), WriteTimeout> {
        let mut writing = std::pin::pin!(writing);
        let read = tokio::select! {
            read = reading => read,
            written = &mut writing => return written,
            () = cut.cancelled() => return Ok(()),
        };
        let stream = self.stream;
        let end = match read {
            Ok(()) => Input::StreamEnded { stream },
            Err(StreamFault { reason, detail }) => Input::StreamFailed { stream, reason, detail },
        };
        engine.send(end).await;
        tokio::select! {
            written = writing => written,
            () = cut.cancelled() => Ok(()),
        }
    }

    /// Sends a go-away message as the only frame, and closes the connection.
    async fn reject<R, W>(&self, reader: FrameReader<R>, write: W, reason: v1::Reason, detail: &str)
    where
        R: AsyncRead + Unpin,
        W: AsyncWrite + Unpin,
    {
        let go_away = FromConductor::go_away(self.context.epoch, 0, reason, detail);
        let last_frame: Bytes = encode_frame(&go_away, usize::MAX).unwrap_or_default();
        let linger_timeout = self.context.config.listen.write_timeout.min(LINGER_TIMEOUT);
        tokio::select! {
            () = lingering_close(reader.into_inner(), write, &last_frame, linger_timeout) => {}
            () = self.context.shutdown.kill.cancelled() => {}
        }
    }
}

/// Reads and discards bytes until the peer closes its side, within [`LINGER_TIMEOUT`].
async fn linger<R: AsyncRead + Unpin>(reader: &mut FrameReader<R>, cut: &CancellationToken) {
    tokio::select! {
        // The stream ends whether or not this succeeds.
        _ = timeout(LINGER_TIMEOUT, drain(reader.get_mut())) => {}
        () = cut.cancelled() => {}
    }
}
