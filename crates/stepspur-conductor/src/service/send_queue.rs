//! The send queue of a stream. It is bounded in messages and in bytes, so that a peer that does not read
//! neither consumes unbounded memory nor delays other streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::mpsc;

/// A message to the task that writes to a stream.
#[derive(Debug)]
pub enum OutboundMessage {
    /// Write this frame.
    Frame(Bytes),
    /// Write this frame and close the stream.
    Last(Bytes),
}

impl OutboundMessage {
    fn len(&self) -> usize {
        match self {
            OutboundMessage::Frame(frame) | OutboundMessage::Last(frame) => frame.len(),
        }
    }
}

/// The capacity of a stream's send queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// The largest number of messages.
    pub messages: usize,
    /// The largest sum of their sizes, in bytes. A single larger message is accepted while the queue is
    /// empty.
    pub bytes: usize,
}

/// The queue has reached one of its limits, or the task that writes to the stream has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueFull;

/// The sending end of a stream's queue.
#[derive(Clone, Debug)]
pub(crate) struct SendQueue {
    messages: mpsc::Sender<OutboundMessage>,
    queued_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl SendQueue {
    /// Creates a queue and returns both of its ends.
    pub(crate) fn new(limits: QueueLimits) -> (Self, SendQueueReceiver) {
        let (sender, receiver) = mpsc::channel(limits.messages);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let receiver = SendQueueReceiver { messages: receiver, queued_bytes: Arc::clone(&queued_bytes) };
        (Self { messages: sender, queued_bytes, max_bytes: limits.bytes }, receiver)
    }

    /// Adds a message without waiting.
    ///
    /// # Errors
    /// [`QueueFull`]; the message is dropped.
    pub(crate) fn try_send(&self, message: OutboundMessage) -> Result<(), QueueFull> {
        let len = message.len();
        // The receiver only subtracts concurrently, so the sum read here is never too small.
        let queued = self.queued_bytes.fetch_add(len, Ordering::Relaxed);
        let fits = queued == 0 || queued + len <= self.max_bytes;
        if fits && self.messages.try_send(message).is_ok() {
            return Ok(());
        }
        self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
        Err(QueueFull)
    }

    /// Creates a handle that does not keep the queue open.
    pub(crate) fn downgrade(&self) -> WeakSendQueue {
        WeakSendQueue {
            messages: self.messages.downgrade(),
            queued_bytes: Arc::clone(&self.queued_bytes),
            max_bytes: self.max_bytes,
        }
    }
}

/// The sending end of a queue that closes once all [`SendQueue`]s of it are dropped.
#[derive(Debug)]
pub(crate) struct WeakSendQueue {
    messages: mpsc::WeakSender<OutboundMessage>,
    queued_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl WeakSendQueue {
    /// The queue, if it is still open.
    pub(crate) fn upgrade(&self) -> Option<SendQueue> {
        let messages = self.messages.upgrade()?;
        Some(SendQueue { messages, queued_bytes: Arc::clone(&self.queued_bytes), max_bytes: self.max_bytes })
    }
}

/// The receiving end of a stream's queue.
#[derive(Debug)]
pub struct SendQueueReceiver {
    messages: mpsc::Receiver<OutboundMessage>,
    queued_bytes: Arc<AtomicUsize>,
}

impl SendQueueReceiver {
    /// Waits for the next message. Returns none once the engine has closed the stream and the queue is empty.
    pub async fn recv(&mut self) -> Option<OutboundMessage> {
        let message = self.messages.recv().await?;
        self.release(&message);
        Some(message)
    }

    /// Returns the next message, or none if the queue is empty or closed.
    pub fn try_recv(&mut self) -> Option<OutboundMessage> {
        let message = self.messages.try_recv().ok()?;
        self.release(&message);
        Some(message)
    }

    /// Subtracts a received message from the bytes in the queue.
    fn release(&self, message: &OutboundMessage) {
        self.queued_bytes.fetch_sub(message.len(), Ordering::Relaxed);
    }
}
