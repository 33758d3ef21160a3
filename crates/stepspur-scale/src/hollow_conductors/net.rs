//! Transport of hollow conductors: TCP with links that can be cut and counters of bytes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use stepspur_consensus_node::{BoxFuture, Listener, Stream, Tcp, Transport};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::message::Bytes;
use crate::gate::{Gate, Gated};

/// Gates of a process, one for each region, created on first use.
#[derive(Debug, Default)]
pub(super) struct Gates(Mutex<BTreeMap<String, Arc<Gate>>>);

impl Gates {
    /// Gate of a region.
    pub(super) fn for_region(&self, region: &str) -> Arc<Gate> {
        let mut gates = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(gates.entry(region.to_owned()).or_default())
    }
}

/// Traffic counters of one conductor, over all its connections.
#[derive(Debug, Default)]
pub(super) struct Counters {
    read: AtomicU64,
    written: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Counters {
    /// Current values of the counters.
    pub(super) fn bytes(&self) -> Bytes {
        Bytes {
            read: self.read.load(Ordering::Relaxed),
            written: self.written.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }
}

/// Transport of one conductor. It can only connect, not listen.
#[derive(Debug)]
pub(super) struct GatedTransport {
    /// Gate of its region.
    pub gate: Arc<Gate>,
    /// Its traffic counters.
    pub counters: Arc<Counters>,
}

impl Transport for GatedTransport {
    fn listen(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async { Err(io::Error::from(io::ErrorKind::Unsupported)) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            self.gate.opened().await;
            let stream = Gated::new(Tcp.dial(to).await?, Arc::clone(&self.gate));
            Ok(Box::new(CountedStream { stream, counters: Arc::clone(&self.counters) }) as Box<dyn Stream>)
        })
    }
}

/// A connection that counts its bytes.
struct CountedStream {
    stream: Gated<Box<dyn Stream>>,
    counters: Arc<Counters>,
}

fn count_call(bytes: &AtomicU64, calls: &AtomicU64, length: usize) {
    if length > 0 {
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        calls.fetch_add(1, Ordering::Relaxed);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        count_call(&self.counters.read, &self.counters.reads, buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(length)) = &written {
            count_call(&self.counters.written, &self.counters.writes, *length);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
