//! The channel's present throughput, as acknowledgements show it. It is below the nominal one while the
//! channel is slow.

use crate::interface::Micros;

/// Lines before a message, as the time that a channel of nominal throughput sends them in, from which on its
/// delay says something about the throughput.
const MIN_MEASURED_TIME_SECONDS: f64 = 0.25;
/// Lower bound of the throughput, as a ratio of the nominal one: silent proxies alone must not stop all
/// changes.
const MIN_THROUGHPUT_RATIO: f64 = 1.0 / 32.0;
/// Ratio by which a measured throughput rises towards a higher measurement.
const RECOVERY_GAIN: f64 = 0.25;

/// How long a message took that had lines before it.
pub(super) struct Delivery {
    /// Lines in flight when it was made.
    pub(super) lines_before: f64,
    /// When it was made.
    pub(super) sent_at: Micros,
    /// When it was acknowledged, or now while it is not.
    pub(super) at: Micros,
}

/// The throughput of the channel.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    nominal: f64,
    max_message_delay: Micros,
    measured: f64,
}

impl Throughput {
    pub(super) fn new(nominal: f64, max_message_delay: Micros) -> Self {
        let nominal = nominal.max(1.0);
        Throughput { nominal, max_message_delay, measured: nominal }
    }

    /// Lines per second, at most the nominal throughput.
    pub(super) fn lines_per_second(&self) -> f64 {
        self.measured
    }

    /// Time in which the channel sends these lines and the last one reaches its proxy.
    pub(super) fn time_to_deliver(&self, lines: f64) -> Micros {
        self.max_message_delay.saturating_add((lines / self.measured * 1e6) as Micros)
    }

    /// Records the first acknowledgement of a decision: the throughput falls to the measured one at once, and
    /// rises to it step by step.
    pub(super) fn record_delivery(&mut self, delivery: &Delivery) {
        let Some(measured) = self.measure(delivery) else { return };
        if measured < self.measured {
            self.measured = measured;
        } else {
            self.measured += RECOVERY_GAIN * (measured - self.measured);
        }
    }

    /// Records that a decision is not acknowledged yet: the throughput is at most what that shows.
    pub(super) fn record_waiting(&mut self, waiting: &Delivery) {
        if let Some(measured) = self.measure(waiting) {
            self.measured = self.measured.min(measured);
        }
    }

    /// The throughput that a delivery shows, if lines waited before it; the nominal one if it took no longer
    /// than a message's delay.
    fn measure(&self, delivery: &Delivery) -> Option<f64> {
        if delivery.lines_before < self.nominal * MIN_MEASURED_TIME_SECONDS {
            return None;
        }
        let taken = delivery.at.saturating_sub(delivery.sent_at + self.max_message_delay);
        let measured = delivery.lines_before / (taken as f64 * 1e-6).max(1e-9);
        Some(measured.clamp(self.nominal * MIN_THROUGHPUT_RATIO, self.nominal))
    }
}
