//! Measures how late the timers of this machine fire. If they are too late, the result of the rehearsal is
//! void.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(10);
/// The result is void if the 99th percentile of the lag is above this.
const P99_LIMIT: Duration = Duration::from_millis(100);
/// The result is void if the largest lag is above this.
const MAX_LIMIT: Duration = Duration::from_millis(1500);

/// How late timers fired during a rehearsal.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TimerLag {
    /// The 99th percentile.
    pub p99: Duration,
    /// The largest lag.
    pub max: Duration,
}

impl TimerLag {
    /// Measures until `stop` is cancelled.
    pub(super) async fn measure(stop: CancellationToken) -> Self {
        let mut lags = Vec::new();
        while !stop.is_cancelled() {
            let due = Instant::now() + INTERVAL;
            sleep_until(due).await;
            lags.push(due.elapsed());
        }
        lags.sort();
        Self::of_sorted(&lags)
    }

    fn of_sorted(lags: &[Duration]) -> Self {
        let p99 = lags.get((lags.len() as f64 * 0.99) as usize).copied().unwrap_or_default();
        Self { p99, max: lags.last().copied().unwrap_or_default() }
    }

    /// True if timers fired too late for the result to count.
    pub(super) fn is_excessive(&self) -> bool {
        self.p99 > P99_LIMIT || self.max > MAX_LIMIT
    }

    /// The 99th percentile and the largest lag, in milliseconds.
    pub(super) fn as_millis(&self) -> [f64; 2] {
        [self.p99, self.max].map(|lag| lag.as_secs_f64() * 1e3)
    }
}
