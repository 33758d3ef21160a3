//! The lines in flight in the channel to the proxies, tracked by acknowledgements. It holds no decisions.
//!
//! A line is the unit of the channel's capacity: one weight, one admission level, one begin or end of an
//! ejection, one assignment or one nonce, and the overhead of a message counts as further lines.

use std::collections::{BTreeMap, VecDeque};

use super::throughput::{Delivery, Throughput};
use crate::interface::{Micros, ProxyId};

/// The lines that one [`Policy::decide`] call sends. All its messages carry the same nonce.
///
/// [`Policy::decide`]: super::Policy::decide
#[derive(Clone, Debug, Default)]
struct SentDecision {
    /// `None` if no acknowledgement is requested.
    nonce: Option<u16>,
    sent_at: Micros,
    /// Lines in flight when it was made, its own left out.
    lines_before: f64,
    /// Lines to each proxy that may still be in flight.
    lines: BTreeMap<ProxyId, f64>,
    /// Lines that nobody acknowledges: to streams that the conductor closed, or without a nonce.
    unacknowledgeable: f64,
    /// True once a proxy has acknowledged it or a later one.
    is_confirmed: bool,
}

impl SentDecision {
    fn remaining(&self) -> f64 {
        self.lines.values().sum::<f64>() + self.unacknowledgeable
    }
}

/// Lines that may still be in the channel.
///
/// The channel delivers messages in order. An acknowledgement therefore shows that the messages of all
/// earlier decisions have left the channel, and of this decision the message to the acknowledging proxy. This
/// holds at any throughput of the channel.
#[derive(Debug, Default)]
pub(super) struct ChannelQueue {
    /// Decisions with lines in flight, oldest first.
    unacknowledged: VecDeque<SentDecision>,
    /// The decision being made.
    current: SentDecision,
    last_nonce: u16,
    lines_in_flight: f64,
    throughput: Throughput,
}

impl ChannelQueue {
    /// Creates an empty queue of a channel with this nominal throughput, in lines per second, and this upper
    /// bound of a message's delay after it has left the channel.
    pub(super) fn new(lines_per_second: f64, max_message_delay: Micros) -> Self {
        ChannelQueue { throughput: Throughput::new(lines_per_second, max_message_delay), ..Self::default() }
    }

    /// Begins a decision, without lines so far.
    pub(super) fn begin_decision(&mut self, now: Micros) {
        self.current =
            SentDecision { sent_at: now, lines_before: self.lines_in_flight, ..Default::default() };
        self.release_unacknowledgeable(now);
        if let Some(oldest) = self.unacknowledged.iter().find(|sent| !sent.is_confirmed) {
            let waiting = Delivery { lines_before: oldest.lines_before, sent_at: oldest.sent_at, at: now };
            self.throughput.record_waiting(&waiting);
        }
    }

    /// The nonce that proxies acknowledge the current decision with, if it sends lines.
    pub(super) fn current_nonce(&self) -> u16 {
        (self.last_nonce + 1) % u16::MAX
    }

    /// Adds lines that the current decision sends to a proxy.
    pub(super) fn enqueue(&mut self, proxy: ProxyId, lines: f64) {
        *self.current.lines.entry(proxy).or_default() += lines;
        self.lines_in_flight += lines;
    }

    /// True: the current decision sends lines to the proxy.
    pub(super) fn is_receiver(&self, proxy: ProxyId) -> bool {
        self.current.lines.contains_key(&proxy)
    }

    /// Ends the decision. Returns the nonce that proxies must acknowledge; `None` if no lines are sent.
    pub(super) fn finish_decision(&mut self) -> Option<u16> {
        if self.current.lines.is_empty() {
            return None;
        }
        self.last_nonce = self.current_nonce();
        self.current.nonce = Some(self.last_nonce);
        self.unacknowledged.push_back(std::mem::take(&mut self.current));
        Some(self.last_nonce)
    }

    /// Replaces the lines of the decision with this nonce by those of the messages that were made of it.
    /// Without a nonce the messages are added as lines that nobody acknowledges.
    pub(super) fn record_messages(
        &mut self,
        now: Micros,
        nonce: Option<u16>,
        messages: BTreeMap<ProxyId, f64>,
    ) {
        let total: f64 = messages.values().sum();
        let newest = self.unacknowledged.back_mut();
        match newest.filter(|sent| nonce.is_some() && sent.nonce == nonce) {
            Some(sent) => {
                self.lines_in_flight += total - sent.remaining();
                sent.lines = messages;
            }
            None if total > 0.0 => {
                let lines_before = self.lines_in_flight;
                self.lines_in_flight += total;
                self.unacknowledged.push_back(SentDecision {
                    sent_at: now,
                    lines_before,
                    unacknowledgeable: total,
                    ..Default::default()
                });
            }
            None => {}
        }
        self.remove_delivered();
    }

    /// Removes the lines that the acknowledgement of a nonce shows to be delivered. Unknown nonces are
    /// ignored.
    pub(super) fn acknowledge(&mut self, now: Micros, proxy: ProxyId, nonce: u32) {
        let is_acknowledged = |sent: &SentDecision| sent.nonce.is_some_and(|own| u32::from(own) == nonce);
        let position = self.unacknowledged.iter().position(is_acknowledged);
        let Some(position) = position else { return };
        self.record_delivery(now, position);
        let earlier: f64 = self.unacknowledged.drain(..position).map(|sent| sent.remaining()).sum();
        let own_lines = self.unacknowledged[0].lines.remove(&proxy).unwrap_or(0.0);
        self.lines_in_flight -= earlier + own_lines;
        self.remove_delivered();
    }

    /// Removes the lines to a proxy that has disconnected, as its messages in flight are lost.
    pub(super) fn disconnect(&mut self, proxy: ProxyId) {
        let lost = self.unacknowledged.iter_mut().filter_map(|sent| sent.lines.remove(&proxy));
        self.lines_in_flight -= lost.sum::<f64>();
        self.remove_delivered();
    }

    /// Records that the conductor closes a proxy's stream: its lines stay in the channel, and it acknowledges
    /// none of them.
    pub(super) fn close_stream(&mut self, proxy: ProxyId) {
        for sent in &mut self.unacknowledged {
            sent.unacknowledgeable += sent.lines.remove(&proxy).unwrap_or(0.0);
        }
    }

    /// The lines that may still be in the channel, including those of the current decision.
    pub(super) fn lines_in_flight(&self) -> f64 {
        self.lines_in_flight
    }

    /// The present throughput, in lines per second: at most the nominal one, and what recent acknowledgements
    /// show.
    pub(super) fn lines_per_second(&self) -> f64 {
        self.throughput.lines_per_second()
    }

    /// Records the delivery that the first acknowledgement of a decision shows.
    fn record_delivery(&mut self, now: Micros, position: usize) {
        let sent = &self.unacknowledged[position];
        if !sent.is_confirmed {
            let delivery = Delivery { lines_before: sent.lines_before, sent_at: sent.sent_at, at: now };
            self.throughput.record_delivery(&delivery);
        }
        self.unacknowledged.iter_mut().take(position + 1).for_each(|sent| sent.is_confirmed = true);
    }

    /// Removes the oldest decisions whose remaining lines nobody acknowledges, once the channel has had time
    /// to send them.
    fn release_unacknowledgeable(&mut self, now: Micros) {
        while let Some(oldest) = self.unacknowledged.front() {
            let lines = oldest.lines_before + oldest.unacknowledgeable;
            if !oldest.lines.is_empty() || now < oldest.sent_at + self.throughput.time_to_deliver(lines) {
                break;
            }
            self.lines_in_flight -= oldest.unacknowledgeable;
            self.unacknowledged.pop_front();
        }
        self.remove_delivered();
    }

    /// Removes the oldest decisions while they have no lines in flight.
    fn remove_delivered(&mut self) {
        let is_delivered = |sent: &SentDecision| sent.lines.is_empty() && sent.unacknowledgeable <= 0.0;
        while self.unacknowledged.front().is_some_and(is_delivered) {
            self.unacknowledged.pop_front();
        }
        // An empty channel holds no lines: this clears accumulated rounding errors.
        if self.unacknowledged.is_empty() && self.current.lines.is_empty() {
            self.lines_in_flight = 0.0;
        }
    }
}

#[cfg(test)]
mod tests;
