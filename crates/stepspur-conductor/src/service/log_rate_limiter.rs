//! A rate limit for log lines that peers can cause, so that a peer cannot fill the disk with them.

use stepspur::interface::Micros;

/// The largest number of log lines that are written in one window.
const MAX_LINES_PER_WINDOW: u32 = 20;
/// The length of a window, in microseconds.
const WINDOW_US: Micros = 1_000_000;

/// Counts log lines in fixed windows. At the start of the next window it logs how many were suppressed.
#[derive(Debug, Default)]
pub(super) struct LogRateLimiter {
    window_start: Micros,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Counts a line at time `now` and returns whether it may be written.
    pub(super) fn allow(&mut self, now: Micros) -> bool {
        if now >= self.window_start + WINDOW_US {
            self.start_window(now);
        }
        self.lines += 1;
        let allowed = self.lines <= MAX_LINES_PER_WINDOW;
        if !allowed {
            self.suppressed += 1;
        }
        allowed
    }

    fn start_window(&mut self, now: Micros) {
        if self.suppressed > 0 {
            tracing::warn!(event = "invalid_input", left_out = self.suppressed);
        }
        *self = Self { window_start: now, ..Self::default() };
    }
}
