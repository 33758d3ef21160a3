//! Flow control of the channel to the proxies: which changes may be sent now, depending on their urgency.

use std::collections::BTreeSet;

use super::Policy;
use crate::interface::{Micros, ProxyId};

/// Lower bound of the interval between routine changes of a table.
const MIN_ROUTINE_INTERVAL: Micros = 500_000;
/// Ratio of the channel's nominal throughput that routine changes of all tables together may use.
const ROUTINE_THROUGHPUT_RATIO: f64 = 0.25;

/// The urgency of a change, from lowest to highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// Waits until its table's routine interval is over.
    Routine,
    /// Reacts to a fault, or assigns a table.
    Fault,
    /// Stops traffic to a server that drains or is removed, ends its ejection at proxies, fills an empty
    /// table, or adds the only servers of a zone that a table must serve.
    Critical,
}

impl Urgency {
    /// The ratio of the channel's queue and of the message limit that changes of this urgency may use. The
    /// remainder is reserved for more urgent changes.
    fn limit_ratio(self) -> f64 {
        match self {
            Urgency::Routine => 0.5,
            Urgency::Fault => 0.75,
            Urgency::Critical => 0.95,
        }
    }
}

impl Policy {
    /// True: a change of `lines` lines for each of these proxies may be sent now. `table_changed_at` is when
    /// their table last changed, from which the interval between routine changes counts.
    ///
    /// Guards against long queues in the channel and against too many messages to a proxy. Cost: lines to a
    /// proxy that never acknowledges count as queued until its stream ends.
    pub(super) fn may_send(
        &self,
        urgency: Urgency,
        table_changed_at: Micros,
        proxies: &BTreeSet<ProxyId>,
        lines: usize,
    ) -> bool {
        if proxies.is_empty() {
            return true;
        }
        let message_lines = lines as f64 + self.settings.message_overhead_lines + 1.0;
        let cost = proxies.len() as f64 * message_lines;
        let queue_limit = self.settings.max_pending_lines * urgency.limit_ratio();
        if self.channel.lines_in_flight() + cost > queue_limit {
            return false;
        }
        let message_limit = self.message_limit(urgency);
        if self.settings.max_messages_per_window > 0
            && proxies.iter().any(|p| self.recent_messages(*p) >= message_limit)
        {
            return false;
        }
        urgency > Urgency::Routine
            || self.now >= table_changed_at + self.routine_interval(cost, message_limit)
    }

    /// Records that the current decision sends this many lines to each of these proxies. All lines of a
    /// decision to a proxy share one message, whose overhead is counted once.
    pub(super) fn record_sent<'a>(&mut self, proxies: impl IntoIterator<Item = &'a ProxyId>, lines: usize) {
        let window_start = self.now.saturating_sub(self.settings.message_window);
        let message_overhead = self.settings.message_overhead_lines + 1.0;
        for id in proxies {
            let Some(proxy) = self.proxies.get_mut(id) else { continue };
            proxy.message_times.retain(|at| *at >= window_start);
            let mut overhead = 0.0;
            if proxy.message_times.last() != Some(&self.now) {
                proxy.message_times.push(self.now);
                overhead = message_overhead;
            }
            self.channel.enqueue(*id, lines as f64 + overhead);
        }
    }

    /// Number of messages within the window from which on a change of this urgency must wait; at least 1.
    fn message_limit(&self, urgency: Urgency) -> u32 {
        (f64::from(self.settings.max_messages_per_window) * urgency.limit_ratio()).max(1.0) as u32
    }

    /// Number of messages that were sent to a proxy within the window.
    fn recent_messages(&self, proxy: ProxyId) -> u32 {
        let window_start = self.now.saturating_sub(self.settings.message_window);
        let times = &self.proxies[&proxy].message_times;
        times.iter().filter(|at| **at >= window_start).count() as u32
    }

    /// The interval between routine changes of a table, in microseconds, if each costs `cost` lines. It keeps
    /// all tables together within [`ROUTINE_THROUGHPUT_RATIO`] and each proxy within its message limit.
    fn routine_interval(&self, cost: f64, message_limit: u32) -> Micros {
        let throughput = self.settings.channel_lines_per_second.max(1.0) * ROUTINE_THROUGHPUT_RATIO;
        let paced = cost * self.tables.len() as f64 / throughput * 1e6;
        let mut interval = MIN_ROUTINE_INTERVAL.max(paced as Micros);
        if self.settings.max_messages_per_window > 0 {
            interval = interval.max(self.settings.message_window / u64::from(message_limit + 1));
        }
        interval
    }
}
