//! Settings of the channel to the proxies: throughput, queue capacity and time limits.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between};
use super::fleet::Fleet;

/// The channel that paces the messages to all proxies. Sizes are in lines: one for each weight, admission
/// level, ejection change, nonce and complete table of a message.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Channel {
    /// Throughput in lines per second, default 20,000, 1 to 1e9. It bounds the CPU time and bandwidth that
    /// the conductor spends on messages.
    #[garde(range(min = 1.0, max = 1e9))]
    pub lines_per_s: f64,
    /// Overhead of each message, in lines, default 6, 0 to 1000.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub message_head: f64,
    /// Capacity of the queue, in lines, default 40,000, 10 to 1e9. It must hold two messages with a table of
    /// one server.
    #[garde(range(min = 10.0, max = 1e9))]
    pub waiting_max: f64,
    /// Maximum number of messages to one proxy within `message_window`, default 0 for no limit, up to
    /// 100,000.
    #[garde(range(min = 0, max = 100_000))]
    pub messages_max: u32,
    /// Sliding window that `messages_max` applies to, default 10 s, 100 ms to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub message_window: Duration,
    /// Upper bound of a message's usual transit time to its proxy, default 500 ms, up to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub transit_max: Duration,
    /// Time limit of an acknowledgement, default 5 s, 100 ms to 1 h. The stream of a proxy that exceeds it is
    /// closed, since it would otherwise delay the changes of all proxies.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub mark_timeout: Duration,
    /// Minimum interval between decisions, default 2 ms, up to 1 s. Events that arrive meanwhile are decided
    /// on together; a longer interval saves messages and delays changes.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, Duration::from_secs(1))))]
    pub batch: Duration,
}

impl Default for Channel {
    fn default() -> Self {
        Self {
            lines_per_s: 20_000.0,
            message_head: 6.0,
            waiting_max: 40_000.0,
            messages_max: 0,
            message_window: Duration::from_secs(10),
            transit_max: Duration::from_millis(500),
            mark_timeout: Duration::from_secs(5),
            batch: Duration::from_millis(2),
        }
    }
}

/// Checks that the queue can hold the tables of one server: otherwise no proxy would ever receive a table.
pub(super) fn can_hold_table(fleet: &Fleet) -> impl FnOnce(&Channel, &()) -> garde::Result + '_ {
    move |channel, ()| {
        // Two messages, each with its overhead, the table, one weight, the admission levels and a nonce.
        let min_capacity = 2.0 * (channel.message_head + fleet.classes.len() as f64 + 3.0);
        if channel.waiting_max < min_capacity {
            let what =
                format!("`waiting_max` must be at least {min_capacity} to hold two tables of one server");
            return Err(garde::Error::new(what));
        }
        Ok(())
    }
}
