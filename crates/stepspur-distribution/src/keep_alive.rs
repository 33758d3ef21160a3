//! Bounds of the keep-alive interval. Both sides of a connection send keep-alives.

use std::time::Duration;

/// The shortest keep-alive interval that is accepted.
pub(crate) const MIN_KEEP_ALIVE: Duration = Duration::from_millis(100);
/// The longest keep-alive interval that is accepted.
pub(crate) const MAX_KEEP_ALIVE: Duration = Duration::from_secs(600);
/// Number of keep-alive intervals without a frame from the other side after which a connection is closed.
pub(crate) const MAX_SILENT_INTERVALS: u32 = 3;
