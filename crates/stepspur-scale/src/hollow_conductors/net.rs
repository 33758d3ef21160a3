//! A network for hollow conductors: the system's, with links that can be cut and bytes that are counted.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use stepspur_peers::{Later, Listen, Net, Stream, Tcp};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::message::Bytes;

/// The links of one region: open, or cut.
#[derive(Debug, Default)]
pub struct Gate {
    cut: AtomicBool,
    /// Tasks that wait for the healing: each link has two at most.
    waiting: Mutex<Vec<Waker>>,
}

impl Gate {
    /// Cuts or heals the links.
    pub fn set(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if !cut {
            let waiting = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
            waiting.into_iter().for_each(Waker::wake);
        }
    }

    /// True: the links are cut.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Ready once the links are open.
    fn poll_open(&self, context: &mut Context<'_>) -> Poll<()> {
        if !self.is_cut() {
            return Poll::Ready(());
        }
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
            waiting.push(context.waker().clone());
        }
        drop(waiting);
        // Healed in between: nobody else would wake this task.
        if self.is_cut() { Poll::Pending } else { Poll::Ready(()) }
    }
}

/// The gates of all regions of a process.
#[derive(Debug, Default)]
pub struct Gates(Mutex<BTreeMap<String, Arc<Gate>>>);

impl Gates {
    /// The gate of a region.
    pub fn of(&self, region: &str) -> Arc<Gate> {
        let mut gates = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(gates.entry(region.to_owned()).or_default())
    }
}

/// Bytes of one conductor, over all its connections.
#[derive(Debug, Default)]
pub struct Counters {
    read: AtomicU64,
    written: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Counters {
    /// The counts now.
    pub fn bytes(&self) -> Bytes {
        Bytes {
            read: self.read.load(Ordering::Relaxed),
            written: self.written.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }
}

/// The network of one conductor.
#[derive(Debug)]
pub struct GatedNet {
    /// Its region's gate.
    pub gate: Arc<Gate>,
    /// Its bytes.
    pub counters: Arc<Counters>,
}

impl Net for GatedNet {
    fn listen(&self, _: SocketAddr) -> Later<'_, io::Result<Box<dyn Listen>>> {
        Box::pin(async { Err(io::Error::from(io::ErrorKind::Unsupported)) })
    }

    fn dial(&self, to: SocketAddr) -> Later<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            std::future::poll_fn(|context| self.gate.poll_open(context)).await;
            let stream = Tcp.dial(to).await?;
            let (gate, counters) = (Arc::clone(&self.gate), Arc::clone(&self.counters));
            Ok(Box::new(GatedStream { stream, gate, counters }) as Box<dyn Stream>)
        })
    }
}

/// A connection through which nothing passes while its gate is cut: not even the news that it was closed.
struct GatedStream {
    stream: Box<dyn Stream>,
    gate: Arc<Gate>,
    counters: Arc<Counters>,
}

fn count(bytes: &AtomicU64, calls: &AtomicU64, length: usize) {
    if length > 0 {
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        calls.fetch_add(1, Ordering::Relaxed);
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate.poll_open(context));
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        count(&self.counters.read, &self.counters.reads, buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.gate.poll_open(context));
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(length)) = &written {
            count(&self.counters.written, &self.counters.writes, *length);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate.poll_open(context));
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.gate.poll_open(context));
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
