//! Streams with a simulated network partition: while a gate is cut, nothing passes through its streams, not
//! even the end of a connection.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Switch for the links of one region, open or cut.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    cut: AtomicBool,
    /// Tasks waiting for the links to open: at most two for each link, its reader and its writer.
    waiting: Mutex<Vec<Waker>>,
}

impl Gate {
    /// Cuts the links, or opens them and wakes the waiting tasks.
    pub(crate) fn set(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        if !cut {
            let waiting = std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
            waiting.into_iter().for_each(Waker::wake);
        }
    }

    /// Whether the links are cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Waits until the links are open.
    pub(crate) async fn opened(&self) {
        poll_fn(|context| self.poll_open(context)).await;
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
        // Checks again: if `set` opened the links before this waker was added, it would never be woken.
        if self.is_cut() { Poll::Pending } else { Poll::Ready(()) }
    }
}

/// A stream that blocks while its gate is cut.
#[derive(Debug)]
pub(crate) struct Gated<S> {
    stream: S,
    gate: Arc<Gate>,
}

impl<S> Gated<S> {
    /// Wraps a stream so that `gate` controls it.
    pub(crate) fn new(stream: S, gate: Arc<Gate>) -> Self {
        Self { stream, gate }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Gated<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(context));
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Gated<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.gate.poll_open(context));
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(context));
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_open(context));
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
