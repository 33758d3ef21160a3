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
mod tests {
    use super::*;

    #[test]
    fn messages_leave_in_order_at_the_pace() {
        let mut channel = Channel::new(1000.0);
        let message = |stream, lines| Message {
            stream: StreamId(stream),
            proxy: ProxyId(0),
            frame: Bytes::new(),
            mark: None,
            lines,
            ordered: 1_000_000,
        };
        [(1, 10.0), (2, 20.0), (1, 5.0), (3, 10.0)]
            .into_iter()
            .for_each(|(s, l)| channel.push(message(s, l)));
        assert_eq!(channel.depth(), (45.0, 45.0));
        assert!(channel.pop(1_009_999).is_none());
        assert_eq!(channel.pop(1_010_000).map(|m| m.stream), Some(StreamId(1)));
        channel.forget(StreamId(2));
        assert_eq!(channel.next_at(), Some(1_015_000), "what was lost takes no time");
        // A late look lets out all that was due.
        assert_eq!(channel.pop(1_030_000).map(|m| m.stream), Some(StreamId(1)));
        assert_eq!(channel.pop(1_030_000).map(|m| m.stream), Some(StreamId(3)));
        assert_eq!((channel.depth(), channel.next_at()), ((0.0, 45.0), None));
    }
}
