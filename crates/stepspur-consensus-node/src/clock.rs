//! The monotonic clock of a member.

use std::time::Duration;

use stepspur_consensus::Micros;
use tokio::time::Instant;

/// A monotonic clock that counts microseconds since its start. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub(crate) fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// Returns the current time.
    pub(crate) fn now(self) -> Micros {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Converts a time of this clock to an instant; `None` if it is beyond the range of [`Instant`].
    pub(crate) fn instant(self, at: Micros) -> Option<Instant> {
        self.started_at.checked_add(Duration::from_micros(at))
    }
}
