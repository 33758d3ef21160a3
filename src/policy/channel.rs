//! The lines in flight in the channel to the proxies, tracked by acknowledgements. It holds no decisions and
//! no constants.
//!
//! A line is the unit of the channel's capacity: one weight, one admission level, one ejection or one
//! assignment, and the overhead of a message counts as further lines.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::ProxyId;

/// The lines that one [`Policy::decide`] call sends. All its messages carry the same nonce.
///
/// [`Policy::decide`]: super::Policy::decide
#[derive(Clone, Debug, Default)]
struct SentDecision {
    nonce: u16,
    /// Lines to each proxy that may still be in flight.
    lines: BTreeMap<ProxyId, f64>,
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
    /// The decision being made. Its nonce is the last one used.
    current: SentDecision,
    lines_in_flight: f64,
}

impl ChannelQueue {
    /// Begins a decision, without lines so far.
    pub(super) fn begin_decision(&mut self) {
        self.current.lines = BTreeMap::new();
    }

    /// The nonce that proxies acknowledge the current decision with, if it sends lines.
    pub(super) fn current_nonce(&self) -> u16 {
        (self.current.nonce + 1) % u16::MAX
    }

    /// Adds lines that the current decision sends to a proxy.
    pub(super) fn enqueue(&mut self, proxy: ProxyId, lines: f64) {
        *self.current.lines.entry(proxy).or_default() += lines;
        self.lines_in_flight += lines;
    }

    /// Ends the decision. Returns the nonce that proxies must acknowledge; `None` if no lines are sent.
    pub(super) fn finish_decision(&mut self) -> Option<u16> {
        if self.current.lines.is_empty() {
            return None;
        }
        self.current.nonce = self.current_nonce();
        self.unacknowledged.push_back(self.current.clone());
        Some(self.current.nonce)
    }

    /// Removes the lines that the acknowledgement of a nonce shows to be delivered. Unknown nonces are
    /// ignored.
    pub(super) fn acknowledge(&mut self, proxy: ProxyId, nonce: u32) {
        let position = self.unacknowledged.iter().position(|sent| u32::from(sent.nonce) == nonce);
        let Some(position) = position else { return };
        let earlier = self.unacknowledged.drain(..position);
        let earlier_lines: f64 = earlier.flat_map(|sent| sent.lines.into_values()).sum();
        let own_lines = self.unacknowledged[0].lines.remove(&proxy).unwrap_or(0.0);
        self.lines_in_flight -= earlier_lines + own_lines;
        self.remove_delivered();
    }

    /// Removes the lines to a proxy that has disconnected, as its messages in flight are lost.
    pub(super) fn disconnect(&mut self, proxy: ProxyId) {
        let lost = self.unacknowledged.iter_mut().filter_map(|sent| sent.lines.remove(&proxy));
        self.lines_in_flight -= lost.sum::<f64>();
        self.remove_delivered();
    }

    /// The lines that may still be in the channel, including those of the current decision.
    pub(super) fn lines_in_flight(&self) -> f64 {
        self.lines_in_flight
    }

    /// Removes the oldest decisions while they have no lines in flight.
    fn remove_delivered(&mut self) {
        while self.unacknowledged.front().is_some_and(|sent| sent.lines.is_empty()) {
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
