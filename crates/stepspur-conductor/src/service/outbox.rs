//! What waits to be written to a stream: bounded in messages and in bytes, since a peer that reads nothing must cost
//! neither memory nor anybody's time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::mpsc;

/// What a stream's task is sent.
#[derive(Debug)]
pub enum OutboundMessage {
    /// Write this frame.
    Frame(Bytes),
    /// Write this frame and end.
    Last(Bytes),
}

impl OutboundMessage {
    fn len(&self) -> usize {
        match self {
            OutboundMessage::Frame(frame) | OutboundMessage::Last(frame) => frame.len(),
        }
    }
}

/// How much may wait for a stream.
#[derive(Clone, Copy, Debug)]
pub struct QueuedMessage {
    /// Messages.
    pub messages: usize,
    /// Their bytes; one message may be larger, if nothing else waits.
    pub bytes: usize,
}

/// It holds as much as may wait, or its stream's task has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Full;

/// A stream's queue, as whoever writes to the stream sees it.
#[derive(Clone, Debug)]
pub(crate) struct SendQueue {
    to: mpsc::Sender<OutboundMessage>,
    bytes: Arc<AtomicUsize>,
    most: usize,
}

impl SendQueue {
    /// A queue and its end at the stream's task.
    pub(crate) fn new(waiting: QueuedMessage) -> (Self, SendQueueReceiver) {
        let (to, queue) = mpsc::channel(waiting.messages);
        let bytes = Arc::new(AtomicUsize::new(0));
        (Self { to, bytes: Arc::clone(&bytes), most: waiting.bytes }, SendQueueReceiver { queue, bytes })
    }

    pub(crate) fn try_send(&self, outgoing: OutboundMessage) -> Result<(), Full> {
        let len = outgoing.len();
        // Others only take from it meanwhile, so that what is seen here is never too little.
        let waiting = self.bytes.fetch_add(len, Ordering::Relaxed);
        let fits = waiting == 0 || waiting + len <= self.most;
        if fits && self.to.try_send(outgoing).is_ok() {
            return Ok(());
        }
        self.bytes.fetch_sub(len, Ordering::Relaxed);
        Err(Full)
    }

    /// A handle that does not keep the queue open.
    pub(crate) fn downgrade(&self) -> WeakSendQueue {
        WeakSendQueue { to: self.to.downgrade(), bytes: Arc::clone(&self.bytes), most: self.most }
    }
}

/// A queue that is closed once all other handles are gone.
#[derive(Debug)]
pub(crate) struct WeakSendQueue {
    to: mpsc::WeakSender<OutboundMessage>,
    bytes: Arc<AtomicUsize>,
    most: usize,
}

impl WeakSendQueue {
    pub(crate) fn upgrade(&self) -> Option<SendQueue> {
        let to = self.to.upgrade()?;
        Some(SendQueue { to, bytes: Arc::clone(&self.bytes), most: self.most })
    }
}

/// A stream's queue, as the task that writes sees it.
#[derive(Debug)]
pub struct SendQueueReceiver {
    queue: mpsc::Receiver<OutboundMessage>,
    bytes: Arc<AtomicUsize>,
}

impl SendQueueReceiver {
    /// The next message; none once the engine has let go of the stream.
    pub async fn recv(&mut self) -> Option<OutboundMessage> {
        let next = self.queue.recv().await;
        self.taken(next)
    }

    /// The next message, if one waits.
    pub fn try_recv(&mut self) -> Option<OutboundMessage> {
        let next = self.queue.try_recv().ok();
        self.taken(next)
    }

    fn taken(&self, next: Option<OutboundMessage>) -> Option<OutboundMessage> {
        let next = next?;
        self.bytes.fetch_sub(next.len(), Ordering::Relaxed);
        Some(next)
    }
}
