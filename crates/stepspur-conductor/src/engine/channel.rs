//! Paces the messages to the proxies: they are sent one after the other at the channel's throughput.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::Serialize;
use stepspur::interface::{Micros, ProxyId};

use super::input::StreamId;

/// Lines in the send channel's queue. Serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
#[serde(into = "[f64; 2]")]
pub struct ChannelDepth {
    /// Lines in the queue now.
    pub pending_lines: f64,
    /// The most lines that were ever in the queue.
    pub peak_lines: f64,
}

impl From<ChannelDepth> for [f64; 2] {
    fn from(depth: ChannelDepth) -> Self {
        [depth.pending_lines, depth.peak_lines]
    }
}

/// A message in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) stream: StreamId,
    pub(crate) proxy: ProxyId,
    pub(crate) frame: Bytes,
    /// The nonce that it carries.
    pub(crate) nonce: Option<u32>,
    /// Its size, the message's overhead included.
    pub(crate) lines: f64,
    pub(crate) enqueued_at: Micros,
}

/// The queue of messages, in order. The one at the front occupies the channel for the time that its lines
/// take.
#[derive(Debug)]
pub(crate) struct Channel {
    lines_per_second: f64,
    queue: VecDeque<Message>,
    pending_lines: f64,
    peak_lines: f64,
    /// When the last message was sent.
    idle_since: Micros,
}

impl Channel {
    pub(crate) fn new(lines_per_second: f64) -> Self {
        Self { lines_per_second, queue: VecDeque::new(), pending_lines: 0.0, peak_lines: 0.0, idle_since: 0 }
    }

    /// Appends a message.
    pub(crate) fn push(&mut self, message: Message) {
        self.pending_lines += message.lines;
        self.peak_lines = self.peak_lines.max(self.pending_lines);
        self.queue.push_back(message);
    }

    /// Takes the next message that is sent by now.
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

    /// When the message at the front is sent.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        let front = self.queue.front()?;
        let duration = front.lines / self.lines_per_second * 1e6;
        Some(self.idle_since.max(front.enqueued_at).saturating_add(duration as Micros))
    }

    /// Drops the messages of a stream that has ended.
    pub(crate) fn remove_stream(&mut self, stream: StreamId) {
        self.queue.retain(|message| message.stream != stream);
        self.pending_lines = 0.0;
        for message in &self.queue {
            self.pending_lines += message.lines;
        }
    }

    /// The queue's length.
    pub(crate) fn depth(&self) -> ChannelDepth {
        ChannelDepth { pending_lines: self.pending_lines, peak_lines: self.peak_lines }
    }
}

#[cfg(test)]
mod tests;
