//! The channel: orders leave one after the other, at a pace.

use std::collections::VecDeque;

use bytes::Bytes;
use stepspur::interface::{Micros, ProxyId};

use super::StreamId;

/// A message that waits.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub stream: StreamId,
    pub proxy: ProxyId,
    pub frame: Bytes,
    /// The mark that it carries.
    pub mark: Option<u32>,
    /// What it costs, its head among them.
    pub lines: f64,
    pub ordered: Micros,
}

/// Messages in their order. The one at the front takes its lines' time to leave.
#[derive(Debug)]
pub(crate) struct Channel {
    lines_per_s: f64,
    queue: VecDeque<Message>,
    waiting: f64,
    deepest: f64,
    /// When the last one had left.
    free_at: Micros,
}

impl Channel {
    pub(crate) fn new(lines_per_s: f64) -> Self {
        Self { lines_per_s, queue: VecDeque::new(), waiting: 0.0, deepest: 0.0, free_at: 0 }
    }

    pub(crate) fn push(&mut self, message: Message) {
        self.waiting += message.lines;
        self.deepest = self.deepest.max(self.waiting);
        self.queue.push_back(message);
    }

    /// The next message that has left by now.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<Message> {
        let at = self.next_at().filter(|at| *at <= now)?;
        self.free_at = at;
        let message = self.queue.pop_front()?;
        self.waiting = if self.queue.is_empty() { 0.0 } else { self.waiting - message.lines };
        Some(message)
    }

    /// When the front one will have left.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        let front = self.queue.front()?;
        let takes = front.lines / self.lines_per_s * 1e6;
        Some(self.free_at.max(front.ordered).saturating_add(takes as Micros))
    }

    /// What waits for a stream that has ended is lost.
    pub(crate) fn forget(&mut self, stream: StreamId) {
        self.queue.retain(|m| m.stream != stream);
        self.waiting = self.queue.iter().map(|m| m.lines).fold(0.0, |sum, lines| sum + lines);
    }

    /// Lines that wait now, and the most that ever did.
    pub(crate) fn depth(&self) -> (f64, f64) {
        (self.waiting, self.deepest)
    }
}

#[cfg(test)]
mod tests;
