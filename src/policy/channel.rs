//! Lines in flight in the channel to the proxies, counted by their acknowledgements. No decisions and no
//! constants.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::ProxyId;

/// The lines that one [`Policy::decide`] call sends. The nonce of its messages identifies it.
///
/// [`Policy::decide`]: super::Policy::decide
#[derive(Clone, Debug, Default)]
struct SentDecision {
    nonce: u16,
    /// Lines by proxy that may still be in flight.
    lines: BTreeMap<ProxyId, f64>,
}

/// Lines that may still be in the channel.
///
/// Messages leave the channel in order. An acknowledgement shows that all earlier decisions have left it, and
/// the acknowledging proxy's own message of this decision, however slow the channel is.
#[derive(Debug, Default)]
pub(super) struct ChannelQueue {
    unacknowledged: VecDeque<SentDecision>,
    current: SentDecision,
    lines_in_flight: f64,
}

impl ChannelQueue {
    /// Begins a decision.
    pub(super) fn begin_decision(&mut self) {
        self.current.lines = BTreeMap::new();
    }

    /// Counts lines that this decision sends to a proxy.
    pub(super) fn enqueue(&mut self, proxy: ProxyId, lines: f64) {
        *self.current.lines.entry(proxy).or_default() += lines;
        self.lines_in_flight += lines;
    }

    /// Ends the decision. Gives the nonce to acknowledge, if it sends lines to any proxy.
    pub(super) fn finish_decision(&mut self) -> Option<u16> {
        if self.current.lines.is_empty() {
            return None;
        }
        self.current.nonce = (self.current.nonce + 1) % u16::MAX;
        self.unacknowledged.push_back(self.current.clone());
        Some(self.current.nonce)
    }

    /// A proxy has acknowledged a nonce; unknown nonces are ignored.
    pub(super) fn acknowledge(&mut self, proxy: ProxyId, nonce: u32) {
        let position = self.unacknowledged.iter().position(|sent| u32::from(sent.nonce) == nonce);
        let Some(position) = position else { return };
        let earlier = self.unacknowledged.drain(..position);
        let earlier_lines: f64 = earlier.flat_map(|sent| sent.lines.into_values()).sum();
        let own_lines = self.unacknowledged[0].lines.remove(&proxy).unwrap_or(0.0);
        self.lines_in_flight -= earlier_lines + own_lines;
        self.remove_delivered();
    }

    /// A proxy has disconnected: its messages in flight are lost.
    pub(super) fn disconnect(&mut self, proxy: ProxyId) {
        let lost = self.unacknowledged.iter_mut().filter_map(|sent| sent.lines.remove(&proxy));
        self.lines_in_flight -= lost.sum::<f64>();
        self.remove_delivered();
    }

    /// Lines that may still be in the channel, including this decision's.
    pub(super) fn lines_in_flight(&self) -> f64 {
        self.lines_in_flight
    }

    fn remove_delivered(&mut self) {
        while self.unacknowledged.front().is_some_and(|sent| sent.lines.is_empty()) {
            self.unacknowledged.pop_front();
        }
        // Removes what rounding leaves.
        if self.unacknowledged.is_empty() && self.current.lines.is_empty() {
            self.lines_in_flight = 0.0;
        }
    }
}

#[cfg(test)]
mod tests;
