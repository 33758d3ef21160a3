//! Bookkeeping of a channel: what may still wait in it, as the answers to marks tell. No decision stands here.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::ProxyId;

/// A reply whose messages carry a mark.
#[derive(Clone, Debug, Default)]
struct Marked {
    mark: u16,
    /// Lines by proxy that may still wait.
    lines: BTreeMap<ProxyId, f64>,
}

/// Lines that may wait in the channel. Messages leave it in order: an answer to a mark shows that all that was
/// ordered before has left, and the answering proxy's own message, however slow the channel is.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    sent: VecDeque<Marked>,
    current: Marked,
    waiting: f64,
}

impl Ledger {
    /// A new reply begins.
    pub(crate) fn begin(&mut self) {
        self.current.lines = BTreeMap::new();
    }

    /// This reply writes a proxy so many lines.
    pub(crate) fn charge(&mut self, proxy: ProxyId, lines: f64) {
        *self.current.lines.entry(proxy).or_default() += lines;
        self.waiting += lines;
    }

    /// The mark for this reply, if it writes to anybody.
    pub(crate) fn seal(&mut self) -> Option<u16> {
        if self.current.lines.is_empty() {
            return None;
        }
        self.current.mark = (self.current.mark + 1) % u16::MAX;
        self.sent.push_back(self.current.clone());
        Some(self.current.mark)
    }

    /// A proxy has answered a mark.
    pub(crate) fn applied(&mut self, proxy: ProxyId, mark: u32) {
        let Some(place) = self.sent.iter().position(|m| u32::from(m.mark) == mark) else { return };
        let before: f64 = self.sent.drain(..place).flat_map(|m| m.lines.into_values()).sum();
        self.waiting -= before + self.sent[0].lines.remove(&proxy).unwrap_or(0.0);
        self.tidy();
    }

    /// A proxy has left: what was on its way to it is lost.
    pub(crate) fn lost(&mut self, proxy: ProxyId) {
        self.waiting -= self.sent.iter_mut().filter_map(|m| m.lines.remove(&proxy)).sum::<f64>();
        self.tidy();
    }

    /// Lines that may wait, this reply's among them.
    pub(crate) fn waiting(&self) -> f64 {
        self.waiting
    }

    fn tidy(&mut self) {
        while self.sent.front().is_some_and(|m| m.lines.is_empty()) {
            self.sent.pop_front();
        }
        if self.sent.is_empty() && self.current.lines.is_empty() {
            self.waiting = 0.0;
        }
    }
}

#[cfg(test)]
mod tests;
