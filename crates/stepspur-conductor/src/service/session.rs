//! A proxy's stream: one task that reads and writes, and owns the socket.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use stepspur_identity::cert::CertCaller;
use stepspur_identity::grant::Denied;
use stepspur_identity::rights::Right;
use stepspur_proto::{FrameError, Frames, FromConductor, FromProxy, frame, from_conductor, from_proxy, v1};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use super::core::EngineCommand;
use super::identity::{Guard, Held, Identity, Look, wall};
use super::linger::{drain, lingering_close};
use super::outbox::{OutboundMessage, QueuedMessage, SendQueue, SendQueueReceiver, WeakSendQueue};
use crate::config::Config;
use crate::engine::{Input, StreamId};

/// What a stream's task needs.
pub(crate) struct Session {
    pub stream: StreamId,
    pub peer: SocketAddr,
    pub config: Arc<Config>,
    pub epoch: u64,
    /// Each tenant's engine; without identity there is one, of any name.
    pub tenants: Arc<BTreeMap<String, mpsc::Sender<EngineCommand>>>,
    pub identity: Option<Arc<Identity>>,
    /// Ends streams that have shown no first message; the others get a goodbye.
    pub stop: CancellationToken,
    /// Ends every stream at once.
    pub kill: CancellationToken,
}

type Reader<R> = FramedRead<R, Frames<FromProxy, FromConductor>>;

/// Bytes that are written in one go.
const GO: usize = 64 << 10;
/// A grant is looked at so often, besides on every frame: the wall's clock may jump, and keys change.
const LOOK: Duration = Duration::from_millis(500);
/// A refusal is told so long after the first message, whatever its reason.
const REFUSAL: Duration = Duration::from_millis(100);
/// A peer that was told its last frame has so long to end its side.
const LINGER: Duration = Duration::from_secs(1);

impl Session {
    pub(crate) async fn run(self, socket: TcpStream) {
        // Orders are small and must not wait for each other.
        let _ = socket.set_nodelay(true);
        let Some(identity) = self.identity.clone() else {
            let (read, write) = socket.into_split();
            return self.serve(read, write, None).await;
        };
        let Ok(place) = identity.enter(self.peer.ip()) else {
            tracing::warn!(event = "handshake_limit_reached", peer = %self.peer);
            return;
        };
        let shaken = tokio::select! {
            shaken = identity.handshake(socket) => shaken,
            () = self.stop.cancelled() => return,
        };
        if let Some((stream, cert)) = shaken {
            let (read, write) = tokio::io::split(stream);
            self.serve(read, write, Some((cert, place))).await;
        }
    }

    async fn serve<R: AsyncRead + Unpin, W: AsyncWrite + Unpin>(
        self,
        read: R,
        write: W,
        shown: Option<(Option<CertCaller>, Held)>,
    ) {
        let (config, stream, epoch) = (&self.config, self.stream, self.epoch);
        let mut reader = FramedRead::new(read, Frames::new(config.listen.largest_first_frame));
        let first = tokio::select! {
            first = timeout(config.listen.hello_timeout, reader.next()) => first,
            () = self.stop.cancelled() => return,
        };
        let hello = match first {
            Ok(Some(Ok(hello))) => hello,
            Ok(None) => return,
            Ok(Some(Err(error))) => {
                tracing::warn!(event = "stream_closed", epoch, stream = stream.0, cause = %error);
                return self.refuse(reader, write, v1::Reason::BadFrame, &error.to_string()).await;
            }
            Err(_) => {
                tracing::warn!(event = "stream_closed", epoch, stream = stream.0, cause = "no Hello in time");
                return;
            }
        };
        reader.decoder_mut().set_largest(config.listen.largest_frame);
        let at = Instant::now();
        let Some((inbox, mut guard)) = self.admit(&hello, shown) else {
            sleep_until(at + REFUSAL).await;
            return self.refuse(reader, write, v1::Reason::NotAllowed, Denied::TOLD).await;
        };
        // Frames have a largest size, so that their number bounds their bytes too.
        let waiting = QueuedMessage { messages: config.listen.frames_waiting_max, bytes: usize::MAX };
        let (to, outgoing) = SendQueue::new(waiting);
        let cut = self.kill.child_token();
        let opened = EngineCommand::Opened { stream, to: to.clone(), cut: cut.clone() };
        if inbox.send(opened).await.is_err()
            || inbox.send(Input::Frame { stream, frame: hello }.into()).await.is_err()
        {
            return;
        }
        // The reader may announce an end, but must not keep the writer waiting for it.
        let to = to.downgrade();
        let writing = write_all(write, outgoing, config, epoch);
        let reading = read_all(&mut reader, &inbox, stream, config, &mut guard, &to, epoch);
        tokio::pin!(writing);
        let end = tokio::select! {
            fault = reading => {
                let last = match fault {
                    Some((reason, detail)) => Input::StreamFailed { stream, reason, detail },
                    None => Input::StreamEnded { stream },
                };
                let _ = inbox.send(last.into()).await;
                // The engine answers with a last frame or by dropping the queue; both end the writer.
                tokio::select! {
                    end = &mut writing => end,
                    () = cut.cancelled() => Ok(()),
                }
            }
            end = &mut writing => end,
            () = cut.cancelled() => Ok(()),
        };
        let _ = inbox.send(Input::StreamEnded { stream }.into()).await;
        match end {
            // Its last frame is written: it is not to be lost by a reset over bytes that lie unread.
            Ok(()) if !cut.is_cancelled() => {
                tokio::select! {
                    _ = timeout(LINGER, drain(reader.get_mut())) => {}
                    () = cut.cancelled() => {}
                }
            }
            Ok(()) => {}
            Err(cause) => tracing::warn!(event = "stream_too_slow", epoch, stream = stream.0, cause),
        }
    }

    /// The engine of the caller's tenant, if the caller may join; every reason to refuse looks alike from outside.
    fn admit(
        &self,
        hello: &FromProxy,
        shown: Option<(Option<CertCaller>, Held)>,
    ) -> Option<(mpsc::Sender<EngineCommand>, Option<Guard>)> {
        let (Some(identity), Some((cert, place))) = (&self.identity, shown) else {
            return Some((self.tenants.values().next()?.clone(), None));
        };
        let Some(from_proxy::Kind::Hello(hello)) = &hello.kind else { return None };
        let grant = match identity.grant(cert.clone(), &hello.credentials) {
            Ok(grant) => grant,
            Err(why) => {
                tracing::warn!(event = "call_rejected", stream = self.stream.0, what = "join", cause = %why);
                return None;
            }
        };
        let now = wall();
        let may =
            grant.may_join(&hello.name, &hello.zone, now).and_then(|()| grant.may(Right::ReadTables, now));
        if let Err(why) = may {
            identity.refused(&grant, self.peer, "join", why);
            return None;
        }
        let inbox = self.tenants.get(&grant.caller().tenant).cloned();
        if inbox.is_none() {
            identity.refused(&grant, self.peer, "join", Denied::Name);
        }
        let guard = Guard { identity: Arc::clone(identity), cert, grant, peer: self.peer, noticed: false };
        let inbox = inbox?;
        place.proved();
        Some((inbox, Some(guard)))
    }

    /// Turns a stranger away.
    async fn refuse<R: AsyncRead + Unpin, W: AsyncWrite + Unpin>(
        &self,
        reader: Reader<R>,
        write: W,
        reason: v1::Reason,
        detail: &str,
    ) {
        let last = FromConductor::goodbye(self.epoch, 0, reason, detail);
        let last: Bytes = frame(&last, usize::MAX).unwrap_or_default();
        let within = self.config.listen.write_timeout.min(LINGER);
        tokio::select! {
            () = lingering_close(reader.into_inner(), write, &last, within) => {}
            () = self.kill.cancelled() => {}
        }
    }
}

/// Reads until the stream ends; what is wrong with it, if it did not end by itself.
async fn read_all<R: AsyncRead + Unpin>(
    reader: &mut Reader<R>,
    inbox: &mpsc::Sender<EngineCommand>,
    stream: StreamId,
    config: &Config,
    guard: &mut Option<Guard>,
    to: &WeakSendQueue,
    epoch: u64,
) -> Option<(v1::Reason, String)> {
    let silence = config.listen.keepalive * 3;
    let mut heard = Instant::now();
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut keys = guard.as_ref().map(|g| g.identity.keys());
    loop {
        let changed = async {
            match &mut keys {
                Some(keys) => keys.changed().await.is_ok(),
                None => std::future::pending().await,
            }
        };
        let read = tokio::select! {
            read = reader.next() => Some(read),
            _ = changed => None,
            _ = look.tick(), if guard.is_some() => None,
            () = sleep_until(heard + silence) => {
                return Some((v1::Reason::Silent, "nothing was heard in time".to_owned()));
            }
        };
        if let Some(guard) = guard {
            match guard.look() {
                Look::Well => {}
                Look::Announce(left) => announce(to, epoch, left),
                Look::Expired => {
                    return Some((v1::Reason::Expired, "the stream's rights have ended".to_owned()));
                }
                Look::Revoked => return Some((v1::Reason::NotAllowed, Denied::TOLD.to_owned())),
            }
        }
        let Some(read) = read else { continue };
        heard = Instant::now();
        let frame: FromProxy = match read {
            None | Some(Err(FrameError::Io(_))) => return None,
            Some(Err(error)) => return Some((v1::Reason::BadFrame, error.to_string())),
            Some(Ok(frame)) => frame,
        };
        let allowed = match (&frame.kind, guard.as_mut()) {
            // Being heard is all that a pong is for.
            (Some(from_proxy::Kind::Pong(_)) | None, _) => continue,
            (Some(from_proxy::Kind::Renew(renew)), Some(guard)) => {
                if guard.renew(&renew.credentials) {
                    continue;
                }
                false
            }
            (Some(from_proxy::Kind::Renew(_)), None) => continue,
            (Some(from_proxy::Kind::Report(_)), Some(guard)) => guard.may(Right::Report, "report"),
            (Some(from_proxy::Kind::Applied(_)), Some(guard)) => guard.may(Right::Join, "applied"),
            _ => true,
        };
        if !allowed {
            return Some((v1::Reason::NotAllowed, Denied::TOLD.to_owned()));
        }
        inbox.send(Input::Frame { stream, frame }.into()).await.ok()?;
    }
}

/// Tells the proxy that its rights end; if its queue is full it has other troubles.
fn announce(to: &WeakSendQueue, epoch: u64, in_us: u64) {
    let expiring = from_conductor::Kind::Expiring(v1::Expiring { in_us });
    if let (Some(to), Ok(frame)) = (to.upgrade(), frame(&FromConductor::new(epoch, 0, expiring), usize::MAX))
    {
        let _ = to.try_send(OutboundMessage::Frame(frame));
    }
}

/// Writes what it is sent, and pings when there is nothing to send for long.
async fn write_all<W: AsyncWrite + Unpin>(
    mut write: W,
    mut outgoing: SendQueueReceiver,
    config: &Config,
    epoch: u64,
) -> Result<(), &'static str> {
    let ping = FromConductor::new(epoch, 0, from_conductor::Kind::Ping(v1::Ping::default()));
    let ping = frame(&ping, usize::MAX).unwrap_or_default();
    let mut go = BytesMut::new();
    loop {
        let mut last = false;
        match timeout(config.listen.keepalive, outgoing.recv()).await {
            Ok(Some(OutboundMessage::Frame(frame))) => go.extend_from_slice(&frame),
            Ok(Some(OutboundMessage::Last(frame))) => {
                go.extend_from_slice(&frame);
                last = true;
            }
            Ok(None) => return Ok(()),
            Err(_) => go.extend_from_slice(&ping),
        }
        while go.len() < GO && !last {
            match outgoing.try_recv() {
                Some(OutboundMessage::Frame(frame)) => go.extend_from_slice(&frame),
                Some(OutboundMessage::Last(frame)) => {
                    go.extend_from_slice(&frame);
                    last = true;
                }
                None => break,
            }
        }
        let written = async {
            write.write_all(&go).await?;
            write.flush().await
        };
        match timeout(config.listen.write_timeout, written).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Ok(()),
            Err(_) => return Err("a write was not taken in time"),
        }
        if last {
            let _ = timeout(config.listen.write_timeout, write.shutdown()).await;
            return Ok(());
        }
        // A large table's room is not kept for each of thousands of streams.
        go = if go.capacity() > GO { BytesMut::new() } else { go };
        go.clear();
    }
}
