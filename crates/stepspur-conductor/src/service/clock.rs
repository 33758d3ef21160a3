//! The clocks of the service: a monotonic clock for the engine, and the system clock for the validity of
//! tokens and certificates.

use std::time::{Duration, SystemTime};

use stepspur::interface::Micros;
use tokio::time::Instant;

use crate::config::micros;

/// A monotonic clock in microseconds since 1970. It reads the system clock once, at the start, and adds the
/// elapsed monotonic time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at_unix: Micros,
    started_at: Instant,
}

impl Clock {
    /// Starts the clock at the system's present time.
    pub(super) fn start() -> Self {
        Self { started_at_unix: unix_now(), started_at: Instant::now() }
    }

    /// The present time. It never decreases, even if the system clock is set back.
    pub(crate) fn now(&self) -> Micros {
        self.started_at_unix + micros(self.started_at.elapsed())
    }

    /// Converts a time of this clock to an instant of the runtime. Times before the start become the start.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at.saturating_sub(self.started_at_unix))
    }
}

/// The system clock in microseconds since 1970. It may jump when the clock is set.
pub(crate) fn unix_now() -> Micros {
    micros(SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default())
}
