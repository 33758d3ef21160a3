//! Proxies, collectors and pending connections at the conductor's address: a task for each, none with a thread.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use stepspur_conductor::engine::{Input, RequestCounts, StreamId};
use stepspur_conductor::service::{
    EngineHandle, Listener, OutboundMessage, QueueLimits, SendQueueReceiver, Shutdown, lingering_close,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::connections::{Budget, Connections};
use crate::handshake::{HEARTBEAT, Handshake, Joined, READ, Socket};
use crate::message::{Catalog, LARGEST, Lines, Message, MessageError};

/// A connection that is closed in order is closed in any case after this.
const LINGER: Duration = Duration::from_millis(200);
/// What may wait for a proxy that does not read. The platform itself resets whoever leaves 128 KiB unread.
const WAITING: QueueLimits = QueueLimits { messages: 512, bytes: 256 << 10 };
/// Heartbeats that may wait to be answered.
const HEARTBEATS: usize = 64;
/// Bytes written in one go, and kept for one connection at most.
const GO: usize = 16 << 10;

/// Takes the platform's connections in.
#[derive(Debug)]
pub struct PlatformListener {
    catalog: Arc<Catalog>,
    budget: Budget,
    ready: watch::Receiver<bool>,
}

impl PlatformListener {
    /// For messages that use these names; heartbeats are answered once `ready` says so.
    pub fn new(catalog: Catalog, budget: Budget, ready: watch::Receiver<bool>) -> Self {
        Self { catalog: Arc::new(catalog), budget, ready }
    }

    async fn accept(self, listener: TcpListener, engine: EngineHandle, shutdown: Shutdown) {
        let connections = Arc::new(Connections::new(self.budget));
        let (mut tasks, mut next) = (JoinSet::new(), 0);
        let accept = async {
            loop {
                connections.room().await;
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
                connections.came(stream, Instant::now(), cut.clone());
                let caller = Caller {
                    stream,
                    catalog: Arc::clone(&self.catalog),
                    connections: Arc::clone(&connections),
                    engine: engine.clone(),
                    ready: self.ready.clone(),
                    cut,
                    stop: shutdown.stop.clone(),
                };
                tasks.spawn(caller.run(socket));
                // It may have said who it is already: that counts before the next one comes.
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            () = accept => {}
            () = shutdown.stop.cancelled() => {}
        }
        // Whoever dials now is refused at once, and goes elsewhere.
        drop(listener);
        let closed = async { while tasks.join_next().await.is_some() {} };
        tokio::select! {
            () = closed => {}
            () = shutdown.kill.cancelled() => {}
        }
        tasks.shutdown().await;
    }
}

impl Listener for PlatformListener {
    fn run(
        self: Box<Self>,
        listener: TcpListener,
        engine: EngineHandle,
        shutdown: Shutdown,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(self.accept(listener, engine, shutdown))
    }
}

/// A connection.
struct Caller {
    stream: StreamId,
    catalog: Arc<Catalog>,
    connections: Arc<Connections>,
    engine: EngineHandle,
    ready: watch::Receiver<bool>,
    cut: CancellationToken,
    stop: CancellationToken,
}

/// However its task ends, its place is free.
impl Drop for Caller {
    fn drop(&mut self) {
        self.connections.left(self.stream);
    }
}

impl Caller {
    async fn run(self, socket: TcpStream) {
        // Orders are small and must not wait for each other.
        let _ = socket.set_nodelay(true);
        let (read, write) = socket.into_split();
        let mut socket = Socket { read, write, lines: Lines::default() };
        let handshake = Handshake { catalog: Arc::clone(&self.catalog), ready: self.ready.clone() };
        let refusal = match handshake.run(&mut socket, &self.cut, &self.stop).await {
            Ok(Some(joined)) => return self.serve(joined, socket).await,
            Ok(None) => return,
            Err(refusal) => refusal.to_string(),
        };
        let Socket { read, write, .. } = socket;
        let rejection = serde_json::json!({"@type": "reject", "reason": refusal});
        self.close(read, write, format!("{rejection}\n").as_bytes()).await;
    }

    /// Ends a connection in order, unless its descriptor is needed at once.
    async fn close(&self, read: OwnedReadHalf, write: OwnedWriteHalf, last: &[u8]) {
        self.connections.closing(self.stream);
        if self.cut.is_cancelled() {
            return lingering_close(read, write, last, Duration::ZERO).await;
        }
        tokio::select! {
            () = lingering_close(read, write, last, LINGER) => {}
            () = self.cut.cancelled() => {}
        }
    }

    async fn serve(self, joined: Joined, socket: Socket) {
        let Socket { mut read, mut write, lines } = socket;
        let (stream, engine) = (self.stream, self.engine.clone());
        self.connections.joined(stream, Instant::now());
        let mut outgoing = None;
        if let Joined::Proxy { proxy, zone, rate, fresh } = joined {
            outgoing = engine.open(stream, WAITING, self.cut.clone()).await;
            if outgoing.is_none()
                || !engine.send(Input::ProxyConnected { stream, proxy, zone, rate, fresh }).await
            {
                return self.close(read, write, b"").await;
            }
        }
        let is_proxy = outgoing.is_some();
        let (heartbeat, heartbeats) = mpsc::channel(HEARTBEATS);
        let in_order = tokio::select! {
            () = self.read_on(joined, &mut read, lines, heartbeat) => false,
            wrote = write_on(&mut write, outgoing, heartbeats) => wrote,
            () = self.cut.cancelled() => false,
            // What is owed to a proxy at the end comes from the engine.
            () = self.stop.cancelled(), if !is_proxy => true,
        };
        if is_proxy {
            engine.send(Input::StreamEnded { stream }).await;
        }
        if in_order {
            self.close(read, write, b"").await;
        }
    }

    /// Reads until the stream ends, or goes on with what is no message.
    async fn read_on(
        &self,
        joined: Joined,
        read: &mut OwnedReadHalf,
        mut lines: Lines,
        heartbeat: mpsc::Sender<()>,
    ) {
        loop {
            loop {
                let line = match lines.next(LARGEST) {
                    Ok(Some(line)) => line,
                    Ok(None) => break,
                    Err(cause) => {
                        return tracing::debug!(event = "unreadable_message", stream = self.stream.0, %cause);
                    }
                };
                match self.catalog.read(&line) {
                    Ok(Message::Heartbeat) => _ = heartbeat.try_send(()),
                    Ok(message) => {
                        self.tell(self.input(joined, message)).await;
                    }
                    Err(MessageError::Spoilt { kind, what }) => {
                        let what = format!("spoilt `{kind:.40}`: {what}");
                        self.tell(self.spoilt(joined, what)).await;
                    }
                    Err(cause) => {
                        return tracing::debug!(event = "unreadable_message", stream = self.stream.0, %cause);
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
                Ok(_) => self.connections.heard(self.stream, Instant::now()),
            }
        }
    }

    /// Tells the engine. Once that has ended nothing more is read: what the stream is still owed is being written.
    async fn tell(&self, input: Input) {
        if !self.engine.send(input).await {
            std::future::pending().await
        }
    }

    /// What a message of a joined caller says to the engine.
    fn input(&self, joined: Joined, message: Message) -> Input {
        let stream = self.stream;
        match (message, joined) {
            (Message::Done { proxy, mark, took }, Joined::Proxy { proxy: own, .. }) if proxy == own => {
                Input::Acknowledged { stream, nonce: mark, latency: Some(took) }
            }
            (Message::Upstream { server, zone, period, tries, latency, load }, _) => {
                let attempts = RequestCounts { total: tries[0], errors: tries[1] };
                Input::UpstreamStats { server, zone, period, attempts, latency, load }
            }
            (Message::Client { proxy, class, period, requests }, _) => {
                let requests = RequestCounts { total: requests[0], errors: requests[1] };
                Input::ClientStats { proxy, class, period, requests }
            }
            (message, _) => self.spoilt(joined, format!("not on this stream: {message:?}")),
        }
    }

    fn spoilt(&self, joined: Joined, what: String) -> Input {
        let by = match joined {
            Joined::Collector => "a collector".to_owned(),
            Joined::Proxy { proxy, .. } => proxy.0.to_string(),
        };
        Input::InvalidMessage { by, what }
    }
}

/// Writes what the engine orders, and answers heartbeats, until it says that a message is the last. True: all of it
/// is written.
async fn write_on(
    write: &mut OwnedWriteHalf,
    mut outgoing: Option<SendQueueReceiver>,
    mut heartbeats: mpsc::Receiver<()>,
) -> bool {
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
                None => return true,
            },
            Some(()) = heartbeats.recv() => go.extend_from_slice(HEARTBEAT),
        }
        while go.len() < GO && !last {
            match outgoing.as_mut().and_then(SendQueueReceiver::try_recv) {
                Some(next) => last = put(&mut go, next),
                None => break,
            }
        }
        if write.write_all(&go).await.is_err() {
            return false;
        }
        if last {
            return true;
        }
        go = if go.capacity() > GO { BytesMut::new() } else { go };
        go.clear();
    }
}

/// True: it is the last.
fn put(go: &mut BytesMut, next: OutboundMessage) -> bool {
    match next {
        OutboundMessage::Frame(frame) => go.extend_from_slice(&frame),
        OutboundMessage::Last(frame) => {
            go.extend_from_slice(&frame);
            return true;
        }
    }
    false
}
