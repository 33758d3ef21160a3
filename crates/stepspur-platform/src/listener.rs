//! Accepts the connections of proxies and collectors. Each connection is served by an asynchronous task of
//! its own.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use stepspur_conductor::engine::{Input, RequestCounts, StreamId};
use stepspur_conductor::service::input_limits::MAX_SHORT_MESSAGE_BYTES;
use stepspur_conductor::service::{
    EngineHandle, Listener, OutboundMessage, QueueLimits, SendQueueReceiver, Shutdown, lingering_close,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::connections::{ConnectionLimits, Connections};
use crate::handshake::{HEARTBEAT_REPLY, Handshake, PeerRole, READ_RESERVE_BYTES, Socket};
use crate::input_budget::{InputBudget, LONG_MESSAGE_TIMEOUT, LongMessagePermit, MESSAGE_TIMEOUT};
use crate::message::{Catalog, LineBuffer, MAX_MESSAGE_BYTES, Message, MessageError};

/// Longest time that a graceful close waits for the peer.
const CLOSE_LINGER: Duration = Duration::from_millis(200);
/// Limits on what is queued for a proxy that does not read. The platform resets a peer that leaves 128 KiB
/// unread.
const SEND_QUEUE_LIMITS: QueueLimits = QueueLimits { messages: 512, bytes: 256 << 10 };
/// Largest number of heartbeats of a connection that wait for their reply; further ones are dropped.
const MAX_PENDING_HEARTBEATS: usize = 64;
/// Bytes collected for one write, and largest capacity that a buffer of a connection keeps between uses.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Accepts connections in the platform's protocol.
#[derive(Debug)]
pub struct PlatformListener {
    catalog: Arc<Catalog>,
    limits: ConnectionLimits,
    ready: watch::Receiver<bool>,
}

impl PlatformListener {
    /// Accepts messages that refer to the names in `catalog`. Heartbeats are answered once `ready` is true.
    pub fn new(catalog: Catalog, limits: ConnectionLimits, ready: watch::Receiver<bool>) -> Self {
        Self { catalog: Arc::new(catalog), limits, ready }
    }

    async fn accept(self, listener: TcpListener, engine: EngineHandle, shutdown: Shutdown) {
        let connections = Arc::new(Connections::new(self.limits));
        let input_budget = Arc::new(InputBudget::new());
        let (mut tasks, mut next) = (JoinSet::new(), 0);
        let accept = async {
            loop {
                connections.wait_for_descriptor().await;
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    Some(_) = tasks.join_next() => continue,
                };
                let socket = match accepted {
                    Ok((socket, _)) => socket,
                    Err(cause) => {
                        // Out of descriptors, or the peer has already closed: the pause lets other
                        // connections end.
                        tracing::warn!(event = "accept_failed", %cause);
                        tokio::time::sleep(Duration::from_millis(10)).await;
                        continue;
                    }
                };
                next += 1;
                let (stream, abort) = (StreamId(next), CancellationToken::new());
                connections.add(stream, Instant::now(), abort.clone());
                let connection = Connection {
                    stream,
                    catalog: Arc::clone(&self.catalog),
                    connections: Arc::clone(&connections),
                    input_budget: Arc::clone(&input_budget),
                    engine: engine.clone(),
                    ready: self.ready.clone(),
                    abort,
                    stop: shutdown.stop.clone(),
                };
                tasks.spawn(connection.run(socket));
                // Lets the new task read a join message that has already arrived before the next connection
                // is accepted.
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            () = accept => {}
            () = shutdown.stop.cancelled() => {}
        }
        // The kernel refuses new connections from here on, so that peers connect to another conductor at
        // once.
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

/// An accepted connection.
struct Connection {
    stream: StreamId,
    catalog: Arc<Catalog>,
    connections: Arc<Connections>,
    input_budget: Arc<InputBudget>,
    engine: EngineHandle,
    ready: watch::Receiver<bool>,
    /// Cancelled to close the connection at once: it is evicted, or its send queue exceeds its limits.
    abort: CancellationToken,
    /// Cancelled when the conductor shuts down.
    stop: CancellationToken,
}

/// Releases the descriptor in the limits however the task ends, also when it is aborted.
impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.remove(self.stream);
    }
}

impl Connection {
    async fn run(self, socket: TcpStream) {
        // Updates are small and must not be delayed by Nagle's algorithm.
        let _ = socket.set_nodelay(true);
        let (read, write) = socket.into_split();
        let mut socket = Socket { read, write, lines: LineBuffer::default() };
        let handshake = Handshake { catalog: Arc::clone(&self.catalog), ready: self.ready.clone() };
        let refusal = match handshake.run(&mut socket, &self.abort, &self.stop).await {
            Ok(Some(role)) => return self.serve(role, socket).await,
            Ok(None) => return,
            Err(refusal) => refusal.to_string(),
        };
        let Socket { read, write, .. } = socket;
        let rejection = serde_json::json!({"@type": "reject", "reason": refusal});
        self.close(read, write, format!("{rejection}\n").as_bytes()).await;
    }

    /// Sends `last` and closes the connection gracefully, or at once if `abort` is cancelled.
    async fn close(&self, read: OwnedReadHalf, write: OwnedWriteHalf, last: &[u8]) {
        self.connections.mark_closing(self.stream);
        if self.abort.is_cancelled() {
            return lingering_close(read, write, last, Duration::ZERO).await;
        }
        tokio::select! {
            () = lingering_close(read, write, last, CLOSE_LINGER) => {}
            () = self.abort.cancelled() => {}
        }
    }

    /// Serves a joined connection until either side ends it.
    async fn serve(self, role: PeerRole, socket: Socket) {
        let Socket { mut read, mut write, lines } = socket;
        let (stream, engine) = (self.stream, self.engine.clone());
        self.connections.mark_joined(stream, Instant::now());
        let mut outgoing = None;
        if let PeerRole::Proxy { proxy, zone, rate, fresh } = role {
            outgoing = engine.open(stream, SEND_QUEUE_LIMITS, self.abort.clone()).await;
            if outgoing.is_none()
                || !engine.send(Input::ProxyConnected { stream, proxy, zone, rate, fresh }).await
            {
                return self.close(read, write, b"").await;
            }
        }
        let is_proxy = outgoing.is_some();
        let (heartbeat, heartbeats) = mpsc::channel(MAX_PENDING_HEARTBEATS);
        let graceful = tokio::select! {
            () = self.read_messages(role, &mut read, lines, heartbeat) => false,
            written = write_messages(&mut write, outgoing, heartbeats) => written,
            () = self.abort.cancelled() => false,
            // For a proxy the engine sends the last message and then ends the queue.
            () = self.stop.cancelled(), if !is_proxy => true,
        };
        if is_proxy {
            engine.send(Input::StreamEnded { stream }).await;
        }
        if graceful {
            self.close(read, write, b"").await;
        }
    }

    /// Passes messages on to the engine until the stream ends or becomes unreadable, or a message is not
    /// complete in time.
    async fn read_messages(
        &self,
        role: PeerRole,
        read: &mut OwnedReadHalf,
        mut lines: LineBuffer,
        heartbeat: mpsc::Sender<()>,
    ) {
        let mut unfinished = UnfinishedMessage::default();
        loop {
            loop {
                let line = match lines.next_line(MAX_MESSAGE_BYTES) {
                    Ok(Some(line)) => line,
                    Ok(None) => break,
                    Err(cause) => {
                        return tracing::debug!(event = "unreadable_message", stream = self.stream.0, %cause);
                    }
                };
                unfinished.ends_by = None;
                if !self.handle_message(role, line, &heartbeat).await {
                    return;
                }
            }
            // Frees the capacity that a long line needed: hundreds of streams are open at once.
            if lines.buffer().is_empty() && lines.buffer().capacity() > MAX_BUFFER_BYTES {
                *lines.buffer() = BytesMut::new();
            }
            unfinished.update(lines.buffer().len(), &self.input_budget).await;
            lines.buffer().reserve(READ_RESERVE_BYTES);
            tokio::select! {
                received = read.read_buf(lines.buffer()) => match received {
                    Ok(0) | Err(_) => return,
                    Ok(_) => self.connections.record_activity(self.stream, Instant::now()),
                },
                () = unfinished.timeout() => {
                    return tracing::debug!(event = "unfinished_message", stream = self.stream.0);
                }
            }
        }
    }

    /// Parses a message and passes it on. False if the stream is to end.
    async fn handle_message(&self, role: PeerRole, line: BytesMut, heartbeat: &mpsc::Sender<()>) -> bool {
        let catalog = Arc::clone(&self.catalog);
        let parsed = self.input_budget.parse(line.len(), move || catalog.parse(&line)).await;
        match parsed {
            Some(Ok(Message::Heartbeat)) => _ = heartbeat.try_send(()),
            Some(Ok(message)) => self.send_input(self.to_input(role, message)).await,
            Some(Err(MessageError::Malformed { kind, what })) => {
                let what = format!("malformed `{kind:.40}` message: {what}");
                self.send_input(self.invalid_message(role, what)).await;
            }
            Some(Err(cause)) => {
                tracing::debug!(event = "unreadable_message", stream = self.stream.0, %cause);
                return false;
            }
            None => return false,
        }
        true
    }

    /// Sends an input to the engine. Never returns once the engine has ended, so that nothing more is read
    /// while the last messages of the stream are written.
    async fn send_input(&self, input: Input) {
        if !self.engine.send(input).await {
            std::future::pending().await
        }
    }

    /// Converts a message of a joined peer to an input of the engine.
    fn to_input(&self, role: PeerRole, message: Message) -> Input {
        let stream = self.stream;
        match (message, role) {
            (Message::Done { proxy, nonce, latency }, PeerRole::Proxy { proxy: own, .. }) if proxy == own => {
                Input::Acknowledged { stream, nonce, latency: Some(latency) }
            }
            (Message::Upstream { server, zone, period, attempts, latency, load }, _) => {
                let attempts = RequestCounts { total: attempts[0], errors: attempts[1] };
                Input::UpstreamStats { server, zone, period, attempts, latency, load }
            }
            (Message::Client { proxy, class, period, requests }, _) => {
                let requests = RequestCounts { total: requests[0], errors: requests[1] };
                Input::ClientStats { proxy, class, period, requests }
            }
            (message, _) => self.invalid_message(role, format!("not allowed on this stream: {message:?}")),
        }
    }

    fn invalid_message(&self, role: PeerRole, reason: String) -> Input {
        let sender = match role {
            PeerRole::Collector => "a collector".to_owned(),
            PeerRole::Proxy { proxy, .. } => proxy.0.to_string(),
        };
        Input::InvalidMessage { sender, reason }
    }
}

/// The message of which a connection has read a part.
#[derive(Debug, Default)]
struct UnfinishedMessage {
    /// When it must be complete; `None` if nothing is unfinished.
    ends_by: Option<Instant>,
    /// Held while it is long.
    permit: Option<LongMessagePermit>,
}

impl UnfinishedMessage {
    /// Takes note of the bytes that are left in the buffer. Waits for a permit if the message becomes long.
    async fn update(&mut self, bytes: usize, budget: &InputBudget) {
        if bytes == 0 {
            *self = Self::default();
            return;
        }
        self.ends_by.get_or_insert_with(|| Instant::now() + MESSAGE_TIMEOUT);
        if bytes <= MAX_SHORT_MESSAGE_BYTES {
            self.permit = None;
        } else if self.permit.is_none() {
            self.permit = Some(budget.permit_long_message().await);
            self.ends_by = Some(Instant::now() + LONG_MESSAGE_TIMEOUT);
        }
    }

    /// Ends when the message should have been complete; never if nothing is unfinished.
    async fn timeout(&self) {
        match self.ends_by {
            Some(ends_by) => sleep_until(ends_by).await,
            None => std::future::pending().await,
        }
    }
}

/// Writes the engine's messages and replies to heartbeats until the engine has sent its last message. True if
/// all of it was written, false if a write failed.
async fn write_messages(
    write: &mut OwnedWriteHalf,
    mut outgoing: Option<SendQueueReceiver>,
    mut heartbeats: mpsc::Receiver<()>,
) -> bool {
    let mut buffer = BytesMut::new();
    loop {
        let mut last = false;
        let next = async {
            match &mut outgoing {
                Some(outgoing) => outgoing.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            message = next => match message {
                Some(message) => last = append(&mut buffer, message),
                None => return true,
            },
            Some(()) = heartbeats.recv() => buffer.extend_from_slice(HEARTBEAT_REPLY),
        }
        while buffer.len() < MAX_BUFFER_BYTES && !last {
            match outgoing.as_mut().and_then(SendQueueReceiver::try_recv) {
                Some(message) => last = append(&mut buffer, message),
                None => break,
            }
        }
        if write.write_all(&buffer).await.is_err() {
            return false;
        }
        if last {
            return true;
        }
        buffer = if buffer.capacity() > MAX_BUFFER_BYTES { BytesMut::new() } else { buffer };
        buffer.clear();
    }
}

/// Appends the bytes of a message. True if it is the last one of the stream.
fn append(buffer: &mut BytesMut, message: OutboundMessage) -> bool {
    match message {
        OutboundMessage::Frame(frame) => buffer.extend_from_slice(&frame),
        OutboundMessage::Last(frame) => {
            buffer.extend_from_slice(&frame);
            return true;
        }
    }
    false
}
