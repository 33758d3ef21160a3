//! Paces the messages to proxies: sends them one after the other at the channel's throughput.
//!
//! Sizes are counted in lines: one for each weight, admission level, ejection change, nonce and complete
//! table of a message, plus an overhead for each message.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::Serialize;
use stepspur::interface::{Micros, ProxyId};

use super::input::StreamId;

/// Depth of the channel's queue, in lines. Serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
#[serde(into = "[f64; 2]")]
pub struct ChannelDepth {
    /// Lines in the queue.
    pub pending_lines: f64,
    /// Maximum number of lines in the queue since the engine's start.
    pub peak_lines: f64,
}

impl From<ChannelDepth> for [f64; 2] {
    fn from(depth: ChannelDepth) -> Self {
        [depth.pending_lines, depth.peak_lines]
    }
}

/// An encoded message to one proxy.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) stream: StreamId,
    pub(crate) proxy: ProxyId,
    pub(crate) frame: Bytes,
    /// Nonce that the proxy must acknowledge, if the message requests an acknowledgement.
    pub(crate) nonce: Option<u32>,
    /// Size in lines, the message's overhead included.
    pub(crate) lines: f64,
    pub(crate) enqueued_at: Micros,
}

/// A FIFO queue of messages with a limited throughput. The message at the front occupies the channel for its
/// size divided by the throughput.
#[derive(Debug)]
pub(crate) struct Channel {
    lines_per_second: f64,
    queue: VecDeque<Message>,
    pending_lines: f64,
    peak_lines: f64,
    /// When the last message was sent; the next one occupies the channel from then on, or from its
    /// enqueueing.
    idle_since: Micros,
}

impl Channel {
    pub(crate) fn new(lines_per_second: f64) -> Self {
        Self { lines_per_second, queue: VecDeque::new(), pending_lines: 0.0, peak_lines: 0.0, idle_since: 0 }
    }

    /// Appends a message to the queue, whatever the queue's depth: the decision module limits that.
    pub(crate) fn push(&mut self, message: Message) {
        self.pending_lines += message.lines;
        self.peak_lines = self.peak_lines.max(self.pending_lines);
        self.queue.push_back(message);
    }

    /// Removes and returns the message at the front if it is due at `now`.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<Message> {
        let sent_at = self.next_at().filter(|at| *at <= now)?;
        self.idle_since = sent_at;
        let message = self.queue.pop_front()?;
        if self.queue.is_empty() {
            self.pending_lines = 0.0;
        } else {
            self.pending_lines -= message.lines;
        }
        Some(message)
    }

    /// Returns when the message at the front is due; `None` if the queue is empty.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        let front = self.queue.front()?;
        let duration = front.lines / self.lines_per_second * 1e6;
        Some(self.idle_since.max(front.enqueued_at).saturating_add(duration as Micros))
    }

    /// Drops the queued messages of a stream that has ended.
    pub(crate) fn remove_stream(&mut self, stream: StreamId) {
        self.queue.retain(|message| message.stream != stream);
        self.pending_lines = 0.0;
        for message in &self.queue {
            self.pending_lines += message.lines;
        }
    }

    /// Returns the queue's depth.
    pub(crate) fn depth(&self) -> ChannelDepth {
        ChannelDepth { pending_lines: self.pending_lines, peak_lines: self.peak_lines }
    }
}

#[cfg(test)]
mod tests;
