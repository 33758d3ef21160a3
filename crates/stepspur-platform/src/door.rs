//! Proxies, collectors and strangers at the conductor's address: a task for each connection, none with a thread.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use stepspur::interface::{ProxyId, ZoneId};
use stepspur_conductor::engine::{Input, StreamId};
use stepspur_conductor::service::{Door, EngineLink, Outgoing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::message::{Catalog, LARGEST, Lines, Message, MessageError};
use crate::strangers::{Budget, Callers};

/// A caller joins within this time.
const JOIN: Duration = Duration::from_millis(1300);
/// A caller that has not joined may write lines of so many bytes.
const LARGEST_FIRST: usize = 4096;
/// A last word that is not taken in this time is not said.
const LAST_WORD: Duration = Duration::from_millis(200);
/// Messages that may wait for a proxy that does not read.
const WAITING: usize = 512;
/// Signs of life that may wait to be given.
const BEATS: usize = 64;
/// Bytes read or written in one go, and kept for one connection at most.
const GO: usize = 16 << 10;
const READ: usize = 2 << 10;

const BEAT: &[u8] = b"{\"@type\":\"hb_ok\"}\n";

/// Takes the platform's connections in.
#[derive(Debug)]
pub struct PlatformDoor {
    catalog: Arc<Catalog>,
    budget: Budget,
    ready: watch::Receiver<bool>,
}

impl PlatformDoor {
    /// For messages that use these names; signs of life are given once `ready` says so.
    pub fn new(catalog: Catalog, budget: Budget, ready: watch::Receiver<bool>) -> Self {
        Self { catalog: Arc::new(catalog), budget, ready }
    }

    async fn accept(self, listener: TcpListener, engine: EngineLink, stop: CancellationToken) {
        let callers = Arc::new(Callers::new(self.budget));
        let (mut tasks, mut next) = (JoinSet::new(), 0);
        let accept = async {
            loop {
                while let Some(again) = callers.room(Instant::now()) {
                    sleep_until(again).await;
                }
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    Some(_) = tasks.join_next() => continue,
                };
                let socket = match accepted {
                    Ok((socket, _)) => socket,
                    Err(cause) => {
                        // Out of descriptors, or the peer is gone already: give others time to end.
                        tracing::warn!(event = "accept_failed", %cause);
                        tokio::time::sleep(Duration::from_millis(10)).await;
                        continue;
                    }
                };
                next += 1;
                let (stream, cut) = (StreamId(next), CancellationToken::new());
                callers.came(stream, Instant::now(), cut.clone());
                let caller = Caller {
                    stream,
                    catalog: Arc::clone(&self.catalog),
                    callers: Arc::clone(&callers),
                    engine: engine.clone(),
                    ready: self.ready.clone(),
                    cut,
                };
                tasks.spawn(caller.run(socket));
                // It may have said who it is already: that counts before the next one comes.
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            () = accept => {}
            () = stop.cancelled() => {}
        }
        tasks.shutdown().await;
    }
}

impl Door for PlatformDoor {
    fn run(
        self: Box<Self>,
        listener: TcpListener,
        engine: EngineLink,
        stop: CancellationToken,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(self.accept(listener, engine, stop))
    }
}

/// A connection.
struct Caller {
    stream: StreamId,
    catalog: Arc<Catalog>,
    callers: Arc<Callers>,
    engine: EngineLink,
    ready: watch::Receiver<bool>,
    cut: CancellationToken,
}

/// However its task ends, its place is free.
impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.left(self.stream);
    }
}

/// As what a caller has joined.
#[derive(Clone, Copy, Debug)]
enum Joined {
    Collector,
    Proxy { proxy: ProxyId, zone: ZoneId, rate: f64, fresh: bool },
}

impl Caller {
    async fn run(mut self, socket: TcpStream) {
        // Orders are small and must not wait for each other.
        let _ = socket.set_nodelay(true);
        let (mut read, mut write) = socket.into_split();
        let mut lines = Lines::default();
        let cut = self.cut.clone();
        let joined = tokio::select! {
            joined = timeout(JOIN, self.first(&mut read, &mut write, &mut lines)) => joined,
            () = cut.cancelled() => Ok(Err("others wait".to_owned())),
        };
        let refusal = match joined {
            Ok(Ok(Some(joined))) => return self.serve(joined, read, write, lines).await,
            Ok(Ok(None)) => return,
            Ok(Err(what)) => what,
            Err(_) => "no joining came in time".to_owned(),
        };
        let reject = serde_json::json!({"@type": "reject", "reason": refusal});
        let last = async {
            write.write_all(format!("{reject}\n").as_bytes()).await?;
            write.shutdown().await
        };
        let _ = timeout(LAST_WORD, last).await;
    }

    /// Waits for the joining; none if the caller has gone.
    async fn first(
        &mut self,
        read: &mut OwnedReadHalf,
        write: &mut OwnedWriteHalf,
        lines: &mut Lines,
    ) -> Result<Option<Joined>, String> {
        loop {
            while let Some(line) = lines.next(LARGEST_FIRST).map_err(|cause| cause.to_string())? {
                match self.catalog.read(&line).map_err(|cause| cause.to_string())? {
                    Message::Beat => {
                        let ready = self.ready.wait_for(|ready| *ready).await.is_ok();
                        if !ready || write.write_all(BEAT).await.is_err() {
                            return Ok(None);
                        }
                    }
                    Message::Collector => return Ok(Some(Joined::Collector)),
                    Message::Attach { proxy, zone, rate, fresh } => {
                        return Ok(Some(Joined::Proxy { proxy, zone, rate, fresh }));
                    }
                    _ => return Err("a joining comes first".to_owned()),
                }
            }
            lines.buffer().reserve(READ);
            match read.read_buf(lines.buffer()).await {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }

    async fn serve(self, joined: Joined, read: OwnedReadHalf, write: OwnedWriteHalf, lines: Lines) {
        let (stream, engine, cut) = (self.stream, self.engine.clone(), self.cut.clone());
        self.callers.joined(stream);
        self.callers.heard(stream, Instant::now());
        let mut outgoing = None;
        if let Joined::Proxy { proxy, zone, rate, fresh } = joined {
            outgoing = engine.open(stream, WAITING, cut.clone()).await;
            if outgoing.is_none() || !engine.tell(Input::Joined { stream, proxy, zone, rate, fresh }).await {
                return;
            }
        }
        let (beat, beats) = mpsc::channel(BEATS);
        tokio::select! {
            () = self.read_on(joined, read, lines, beat) => {}
            () = write_on(write, outgoing, beats) => {}
            () = cut.cancelled() => {}
        }
        if matches!(joined, Joined::Proxy { .. }) {
            engine.tell(Input::Ended { stream }).await;
        }
    }

    /// Reads until the stream ends, or goes on with what is no message.
    async fn read_on(
        &self,
        joined: Joined,
        mut read: OwnedReadHalf,
        mut lines: Lines,
        beat: mpsc::Sender<()>,
    ) {
        loop {
            loop {
                let line = match lines.next(LARGEST) {
                    Ok(Some(line)) => line,
                    Ok(None) => break,
                    Err(cause) => {
                        return tracing::debug!(event = "unreadable", stream = self.stream.0, %cause);
                    }
                };
                match self.catalog.read(&line) {
                    Ok(Message::Beat) => _ = beat.try_send(()),
                    Ok(message) => {
                        let input = self.input(joined, message);
                        if !self.engine.tell(input).await {
                            return;
                        }
                    }
                    Err(MessageError::Spoilt { kind, what }) => {
                        let what = format!("spoilt `{kind:.40}`: {what}");
                        if !self.engine.tell(self.spoilt(joined, what)).await {
                            return;
                        }
                    }
                    Err(cause) => {
                        return tracing::debug!(event = "unreadable", stream = self.stream.0, %cause);
                    }
                }
            }
            // A large line's room is not kept for each of hundreds of streams.
            if lines.buffer().is_empty() && lines.buffer().capacity() > GO {
                *lines.buffer() = BytesMut::new();
            }
            lines.buffer().reserve(READ);
            match read.read_buf(lines.buffer()).await {
                Ok(0) | Err(_) => return,
                Ok(_) => self.callers.heard(self.stream, Instant::now()),
            }
        }
    }

    /// What a message of a joined caller says to the engine.
    fn input(&self, joined: Joined, message: Message) -> Input {
        let stream = self.stream;
        match (message, joined) {
            (Message::Done { proxy, mark, took }, Joined::Proxy { proxy: own, .. }) if proxy == own => {
                Input::Applied { stream, mark, latency: Some(took) }
            }
            (Message::Upstream { server, zone, period, tries, latency, load }, _) => {
                Input::ZoneReport { server, zone, period, tries, latency, load }
            }
            (Message::Client { proxy, class, period, requests }, _) => {
                Input::Usage { proxy, class, period, requests }
            }
            (message, _) => self.spoilt(joined, format!("not on this stream: {message:?}")),
        }
    }

    fn spoilt(&self, joined: Joined, what: String) -> Input {
        let by = match joined {
            Joined::Collector => "a collector".to_owned(),
            Joined::Proxy { proxy, .. } => proxy.0.to_string(),
        };
        Input::Spoilt { by, what }
    }
}

/// Writes what the engine orders, and signs of life, until it says that a message is the last.
async fn write_on(
    mut write: OwnedWriteHalf,
    mut outgoing: Option<mpsc::Receiver<Outgoing>>,
    mut beats: mpsc::Receiver<()>,
) {
    let mut go = BytesMut::new();
    loop {
        let mut last = false;
        let next = async {
            match &mut outgoing {
                Some(outgoing) => outgoing.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            next = next => match next {
                Some(next) => last = put(&mut go, next),
                None => return,
            },
            Some(()) = beats.recv() => go.extend_from_slice(BEAT),
        }
        while go.len() < GO && !last {
            match outgoing.as_mut().map(|outgoing| outgoing.try_recv()) {
                Some(Ok(next)) => last = put(&mut go, next),
                _ => break,
            }
        }
        if write.write_all(&go).await.is_err() || last {
            return;
        }
        go = if go.capacity() > GO { BytesMut::new() } else { go };
        go.clear();
    }
}

/// True: it is the last.
fn put(go: &mut BytesMut, next: Outgoing) -> bool {
    match next {
        Outgoing::Frame(frame) => go.extend_from_slice(&frame),
        Outgoing::Last(frame) => {
            go.extend_from_slice(&frame);
            return true;
        }
    }
    false
}
