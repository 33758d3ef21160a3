//! What waits to be written to a stream: bounded in messages and in bytes, since a peer that reads nothing must cost
//! neither memory nor anybody's time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::mpsc;

/// What a stream's task is sent.
#[derive(Debug)]
pub enum Outgoing {
    /// Write this frame.
    Frame(Bytes),
    /// Write this frame and end.
    Last(Bytes),
}

impl Outgoing {
    fn len(&self) -> usize {
        match self {
            Outgoing::Frame(frame) | Outgoing::Last(frame) => frame.len(),
        }
    }
}

/// How much may wait for a stream.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
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
pub(crate) struct Outbox {
    to: mpsc::Sender<Outgoing>,
    bytes: Arc<AtomicUsize>,
    most: usize,
}

impl Outbox {
    /// A queue and its end at the stream's task.
    pub(crate) fn new(waiting: Waiting) -> (Self, Outgoings) {
        let (to, queue) = mpsc::channel(waiting.messages);
        let bytes = Arc::new(AtomicUsize::new(0));
        (Self { to, bytes: Arc::clone(&bytes), most: waiting.bytes }, Outgoings { queue, bytes })
    }

    pub(crate) fn try_send(&self, outgoing: Outgoing) -> Result<(), Full> {
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
    pub(crate) fn downgrade(&self) -> WeakOutbox {
        WeakOutbox { to: self.to.downgrade(), bytes: Arc::clone(&self.bytes), most: self.most }
    }
}

/// A queue that is closed once all other handles are gone.
#[derive(Debug)]
pub(crate) struct WeakOutbox {
    to: mpsc::WeakSender<Outgoing>,
    bytes: Arc<AtomicUsize>,
    most: usize,
}

impl WeakOutbox {
    pub(crate) fn upgrade(&self) -> Option<Outbox> {
        let to = self.to.upgrade()?;
        Some(Outbox { to, bytes: Arc::clone(&self.bytes), most: self.most })
    }
}

/// A stream's queue, as the task that writes sees it.
#[derive(Debug)]
pub struct Outgoings {
    queue: mpsc::Receiver<Outgoing>,
    bytes: Arc<AtomicUsize>,
}

impl Outgoings {
    /// The next message; none once the engine has let go of the stream.
    pub async fn recv(&mut self) -> Option<Outgoing> {
        let next = self.queue.recv().await;
        self.taken(next)
    }

    /// The next message, if one waits.
    pub fn try_recv(&mut self) -> Option<Outgoing> {
        let next = self.queue.try_recv().ok();
        self.taken(next)
    }

    fn taken(&self, next: Option<Outgoing>) -> Option<Outgoing> {
        let next = next?;
        self.bytes.fetch_sub(next.len(), Ordering::Relaxed);
        Some(next)
    }
}
