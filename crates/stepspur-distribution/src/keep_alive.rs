//! The intervals of keep-alives, which both sides of a connection send.

use std::time::Duration;

/// The shortest interval of keep-alives.
pub(crate) const MIN_KEEP_ALIVE: Duration = Duration::from_millis(100);
/// The longest interval of keep-alives.
pub(crate) const MAX_KEEP_ALIVE: Duration = Duration::from_secs(600);
/// Intervals without a frame of the other side that end a connection.
pub(crate) const MAX_SILENT_INTERVALS: u32 = 3;
