//! What the conductor puts into the channel, and how long changes of the endpoint list take to reach the
//! proxies. The log has a summary every five seconds.

use std::collections::{BTreeSet, VecDeque};

use stepspur::interface::{Micros, ProxyId};

use super::proxy_update::ProxyUpdate;

/// Interval between two summaries in the log, in microseconds.
const SUMMARY_INTERVAL: Micros = 5_000_000;
/// Maximum number of list changes that are followed until every proxy has acknowledged them; of more, the
/// oldest are no longer followed.
const MAX_FOLLOWED_CHANGES: usize = 64;

/// Lines put into the channel since the engine's start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentLines {
    /// Weights of servers.
    pub weights: u64,
    /// Begins of ejections.
    pub ejections: u64,
    /// Ends of ejections.
    pub restores: u64,
    /// Admission levels.
    pub levels: u64,
    /// Complete tables, one line each besides their content.
    pub complete_tables: u64,
    /// Nonces.
    pub nonces: u64,
    /// Overhead of messages.
    pub overhead: u64,
}

/// Size of the traffic to proxies since the engine's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChannelStats {
    /// Lines that may still wait in the channel, as the decisions count them.
    pub lines_in_flight: f64,
    /// Lines by kind.
    pub sent: SentLines,
    /// Lines of the longest message, its overhead included.
    pub longest_message: u64,
    /// Servers of the longest complete table.
    pub longest_table: usize,
    /// The longest time from a change of the endpoint list to the last acknowledgement of the updates that it
    /// caused, in microseconds.
    pub slowest_list_change: Micros,
}

/// A change of the endpoint list that not every proxy has acknowledged.
#[derive(Debug)]
struct ListChange {
    changed_at: Micros,
    nonce: u32,
    /// Proxies that have not acknowledged it.
    waiting: BTreeSet<ProxyId>,
}

/// Measures the traffic to proxies.
#[derive(Debug, Default)]
pub(crate) struct ChannelMeter {
    stats: ChannelStats,
    /// When the list changed, until the decision that takes it into account.
    undecided_change_at: Option<Micros>,
    changes: VecDeque<ListChange>,
    summarized: SentLines,
    next_summary_at: Micros,
}

impl ChannelMeter {
    /// Records that the endpoint list changed.
    pub(crate) fn record_list_change(&mut self, now: Micros) {
        self.undecided_change_at.get_or_insert(now);
    }

    /// Records a decision with this nonce, whose updates go to these proxies.
    pub(crate) fn record_decision(&mut self, nonce: Option<u16>, recipients: BTreeSet<ProxyId>) {
        let Some(changed_at) = self.undecided_change_at.take() else { return };
        let Some(nonce) = nonce.filter(|_| !recipients.is_empty()) else { return };
        if self.changes.len() == MAX_FOLLOWED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(ListChange { changed_at, nonce: nonce.into(), waiting: recipients });
    }

    /// Records one message with this update.
    pub(crate) fn record_message(&mut self, update: &ProxyUpdate, overhead: f64) {
        let count = |lines: usize| lines as u64;
        let ejections = update.ejections.iter().filter(|change| change.ejected).count();
        let sent = &mut self.stats.sent;
        sent.weights += count(update.weights.len());
        sent.ejections += count(ejections);
        sent.restores += count(update.ejections.len() - ejections);
        sent.levels += count(update.admissions.len());
        sent.complete_tables += u64::from(update.complete_table.is_some());
        sent.nonces += u64::from(update.nonce.is_some());
        sent.overhead += overhead as u64;
        let lines = count(update.line_count()) + overhead as u64;
        self.stats.longest_message = self.stats.longest_message.max(lines);
        if update.complete_table.is_some() {
            self.stats.longest_table = self.stats.longest_table.max(update.weights.len());
        }
    }

    /// Records that a proxy has acknowledged the update with this nonce.
    pub(crate) fn record_acknowledgement(&mut self, now: Micros, proxy: ProxyId, nonce: u32) {
        for change in self.changes.iter_mut().filter(|change| change.nonce == nonce) {
            change.waiting.remove(&proxy);
            if change.waiting.is_empty() {
                let taken = now.saturating_sub(change.changed_at);
                self.stats.slowest_list_change = self.stats.slowest_list_change.max(taken);
            }
        }
        self.changes.retain(|change| !change.waiting.is_empty());
    }

    /// Records that a proxy has disconnected: it acknowledges nothing more.
    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.changes.iter_mut().for_each(|change| _ = change.waiting.remove(&proxy));
        self.changes.retain(|change| !change.waiting.is_empty());
    }

    /// The measurements so far.
    pub(crate) fn stats(&self, lines_in_flight: f64) -> ChannelStats {
        ChannelStats { lines_in_flight, ..self.stats }
    }

    /// Returns true if a summary is due: lines were sent since the last one.
    pub(crate) fn take_due_summary(&mut self, now: Micros) -> bool {
        let is_due = now >= self.next_summary_at && self.summarized != self.stats.sent;
        if is_due {
            self.summarized = self.stats.sent;
            self.next_summary_at = now + SUMMARY_INTERVAL;
        }
        is_due
    }
}
