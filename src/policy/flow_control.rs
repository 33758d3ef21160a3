//! Flow control of the channel to the proxies: which changes may be sent now, depending on their urgency, and
//! how long tables may be.
//!
//! Removals of servers and assignments of tables have to reach their proxies within time limits. What else
//! may wait in the channel before them follows from these times and the present throughput.

use std::collections::BTreeSet;

use super::Policy;
use crate::interface::{Micros, ProxyId};

/// Lower bound of the interval between routine changes of a table.
const MIN_ROUTINE_INTERVAL: Micros = 500_000;
/// Ratio of the channel's nominal throughput that routine changes of all tables together may use.
const ROUTINE_THROUGHPUT_RATIO: f64 = 0.25;
/// Lower bound of the part of a time limit that the channel may use, where a message's delay takes the rest.
const MIN_CHANNEL_TIME_RATIO: f64 = 0.25;
/// Ratio of the lines that reach all proxies in time which complete tables for all proxies may have.
const TABLES_RATIO: f64 = 0.5;

/// The urgency of a change, from lowest to highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// Waits until its table's routine interval is over.
    Routine,
    /// Reacts to a fault, or adds servers in place of removed ones.
    Fault,
    /// Assigns a table to a proxy that waits for it.
    Assignment,
    /// Stops traffic to a server that drains or is removed, ends its ejection at proxies, fills an empty
    /// table, or adds the only servers of a zone that a table must serve.
    Critical,
}

impl Urgency {
    /// Those of changes of tables, from highest to lowest.
    pub(super) const OF_CHANGES: [Urgency; 3] = [Urgency::Critical, Urgency::Fault, Urgency::Routine];

    /// The ratio of the channel's queue that changes of this urgency may use. The remainder is reserved for
    /// more urgent changes.
    fn queue_ratio(self) -> f64 {
        match self {
            Urgency::Routine => 0.5,
            Urgency::Fault | Urgency::Assignment => 0.75,
            Urgency::Critical => 0.95,
        }
    }

    /// The ratio of the message limit that changes of this urgency may use.
    fn message_ratio(self) -> f64 {
        match self {
            Urgency::Routine => 0.5,
            Urgency::Fault => 0.75,
            Urgency::Assignment | Urgency::Critical => 0.95,
        }
    }

    /// The ratio of the lines that the channel delivers in time which may be in flight after a change of this
    /// urgency. What has a time limit itself is not bounded by it, as it would only be later.
    fn timely_ratio(self) -> f64 {
        match self {
            Urgency::Routine => 0.25,
            Urgency::Fault => 0.5,
            Urgency::Assignment | Urgency::Critical => f64::INFINITY,
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
        let cost = self.cost(proxies, lines);
        let joins_a_message = proxies.iter().all(|proxy| self.channel.is_receiver(*proxy));
        self.has_queue_space(urgency, cost)
            && self.is_within_message_limit(urgency, proxies)
            && (urgency > Urgency::Routine
                || joins_a_message
                || self.now >= table_changed_at + self.routine_interval(cost, self.message_limit(urgency)))
    }

    /// The most lines for each of these proxies that flow control permits now; 0: none.
    pub(super) fn sendable_lines(&self, urgency: Urgency, proxies: &BTreeSet<ProxyId>) -> usize {
        if proxies.is_empty() {
            return usize::MAX;
        }
        let space = self.queue_limit(urgency) - self.channel.lines_in_flight() - self.cost(proxies, 0);
        (space / proxies.len() as f64).max(0.0) as usize
    }

    /// The lines that a change of `lines` lines for each of these proxies adds to the channel. All lines of a
    /// decision to a proxy share one message.
    fn cost(&self, proxies: &BTreeSet<ProxyId>, lines: usize) -> f64 {
        let new_messages = proxies.iter().filter(|proxy| !self.channel.is_receiver(**proxy)).count();
        (proxies.len() * lines) as f64 + new_messages as f64 * self.message_overhead()
    }

    /// True: the channel's queue has space for this many further lines of this urgency.
    pub(super) fn has_queue_space(&self, urgency: Urgency, lines: f64) -> bool {
        self.channel.lines_in_flight() + lines <= self.queue_limit(urgency)
    }

    /// The lines that may be in flight after a change of this urgency.
    fn queue_limit(&self, urgency: Urgency) -> f64 {
        let timely = self.timely_lines(self.channel.lines_per_second()) * urgency.timely_ratio();
        timely.min(self.settings.max_pending_lines * urgency.queue_ratio())
    }

    /// The lines that a channel with this throughput delivers within the shortest time limit; infinite if
    /// none is known.
    fn timely_lines(&self, lines_per_second: f64) -> f64 {
        let limits = [self.settings.drain_grace, self.settings.unserved_limit];
        let Some(limit) = limits.into_iter().filter(|limit| *limit > 0).min() else { return f64::INFINITY };
        let least = (limit as f64 * MIN_CHANNEL_TIME_RATIO) as Micros;
        let channel_time = limit.saturating_sub(self.settings.max_message_delay).max(least);
        lines_per_second * channel_time as f64 * 1e-6
    }

    /// The length up to which tables are extended by servers of other subsets: such that the removal of all
    /// servers, or complete tables for all proxies, reach these in time.
    ///
    /// Guards against changes that the channel cannot carry, as each server of a table costs lines at each of
    /// its proxies. Cost: under overload requests are shed where longer tables would spread them.
    pub(super) fn max_extended_length(&self) -> usize {
        let timely = self.timely_lines(self.channel.lines_per_second());
        let lines = TABLES_RATIO * timely.min(self.settings.max_pending_lines);
        self.table_length_within(lines / self.expected_proxies() as f64)
    }

    /// The proxies that are connected, and at least this instance's share of all.
    fn expected_proxies(&self) -> usize {
        let connected: usize = self.connected_by_zone.values().sum();
        let share = self.settings.proxy_count.div_ceil(self.settings.conductor_count.max(1));
        connected.max(share as usize).max(1)
    }

    /// Records that the current decision sends this many lines to each of these proxies. All lines of a
    /// decision to a proxy share one message, whose overhead is counted once.
    pub(super) fn record_sent<'a>(&mut self, proxies: impl IntoIterator<Item = &'a ProxyId>, lines: usize) {
        let window_start = self.now.saturating_sub(self.settings.message_window);
        let message_overhead = self.message_overhead();
        for id in proxies {
            let Some(proxy) = self.proxies.get_mut(id) else { continue };
            proxy.message_times.retain(|at| *at >= window_start);
            let mut overhead = 0.0;
            if !self.channel.is_receiver(*id) {
                proxy.message_times.push(self.now);
                overhead = message_overhead;
            }
            self.channel.enqueue(*id, lines as f64 + overhead);
        }
    }

    /// True: each of these proxies may get a message of this urgency, or gets one by this decision already.
    pub(super) fn is_within_message_limit(&self, urgency: Urgency, proxies: &BTreeSet<ProxyId>) -> bool {
        let limit = self.message_limit(urgency);
        self.settings.max_messages_per_window == 0
            || proxies.iter().all(|id| self.channel.is_receiver(*id) || self.recent_messages(*id) < limit)
    }

    /// Number of messages within the window from which on a change of this urgency must wait; at least 1.
    fn message_limit(&self, urgency: Urgency) -> u32 {
        (f64::from(self.settings.max_messages_per_window) * urgency.message_ratio()).max(1.0) as u32
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
