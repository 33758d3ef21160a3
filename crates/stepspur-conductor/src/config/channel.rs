//! How orders leave.

use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::Fleet;
use super::checks::{HOUR, between};

/// How orders leave.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Channel {
    /// Lines a second that leave when all is well: what the conductor's machine may spend on it.
    #[garde(range(min = 1.0, max = 1e9))]
    pub lines_per_s: f64,
    /// Lines that each message costs besides its own.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub message_head: f64,
    /// Lines that may wait.
    #[garde(range(min = 10.0, max = 1e9))]
    pub waiting_max: f64,
    /// Messages that may be written to one proxy within `message_window`; 0: no limit.
    #[garde(range(min = 0, max = 100_000))]
    pub messages_max: u32,
    /// The span for that count.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub message_window: Duration,
    /// The longest way of a message to its proxy that is still usual.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub transit_max: Duration,
    /// A proxy that leaves a mark unanswered for so long is cut off: it would hold up everybody's changes.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub mark_timeout: Duration,
    /// What happens within this span is decided on together.
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

/// A channel that holds no table would leave every proxy without one, for ever.
pub(super) fn holds_a_table(fleet: &Fleet) -> impl FnOnce(&Channel, &()) -> garde::Result + '_ {
    move |channel, ()| {
        // Two messages: the head, the table, a line, the levels, the mark.
        let least = 2.0 * (channel.message_head + fleet.classes.len() as f64 + 3.0);
        if channel.waiting_max >= least {
            return Ok(());
        }
        Err(garde::Error::new(format!("`waiting_max` must be {least} or more: two tables of one server")))
    }
}
