//! The member's clock.

use std::time::Duration;

use stepspur_consensus::Micros;
use tokio::time::Instant;

/// A monotonic clock, in microseconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock.
    pub(crate) fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// The time now.
    pub(crate) fn now(self) -> Micros {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The instant at which the clock shows `at`; none beyond the range of instants.
    pub(crate) fn instant(self, at: Micros) -> Option<Instant> {
        self.started_at.checked_add(Duration::from_micros(at))
    }
}
