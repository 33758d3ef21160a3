//! Delivery times of orders: to the last stream of a round, and to each stream.

use anyhow::Context;
use hdrhistogram::Histogram;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::WAIT_TIMEOUT;
use super::stream::Observation;

/// Upper bound of the histograms, in microseconds: ten minutes.
const MAX_TIME_US: u64 = 600_000_000;
/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// p50, p99 and maximum, in milliseconds.
pub(super) type Quantiles = [f64; 3];

/// Histograms of delivery times over all rounds.
pub(super) struct DeliveryTimes {
    last: Histogram<u64>,
    each: Histogram<u64>,
}

impl DeliveryTimes {
    /// Creates empty histograms.
    pub(super) fn new() -> anyhow::Result<Self> {
        let empty = || Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS);
        Ok(Self { last: empty()?, each: empty()? })
    }

    /// Records one round: waits until this many streams have reported a removal, timed from `from`.
    pub(super) async fn collect(
        &mut self,
        from: Instant,
        observations: &mut mpsc::Receiver<Observation>,
        streams: usize,
    ) -> anyhow::Result<()> {
        let mut last = from;
        for _ in 0..streams {
            let at = next_removal(observations).await?;
            self.each.saturating_record(micros(from, at));
            last = last.max(at);
        }
        self.last.saturating_record(micros(from, last));
        Ok(())
    }

    /// Times to the last stream of each round.
    pub(super) fn last(&self) -> Quantiles {
        quantiles(&self.last)
    }

    /// Times to each stream.
    pub(super) fn each(&self) -> Quantiles {
        quantiles(&self.each)
    }
}

/// The time at which the next stream reports a removal; discards other observations.
async fn next_removal(observations: &mut mpsc::Receiver<Observation>) -> anyhow::Result<Instant> {
    loop {
        let observed =
            timeout(WAIT_TIMEOUT, observations.recv()).await.context("an order did not arrive in time")?;
        if let Observation::Removed(at) = observed.context("all streams have ended")? {
            return Ok(at);
        }
    }
}

fn micros(from: Instant, to: Instant) -> u64 {
    to.saturating_duration_since(from).as_micros() as u64
}

fn quantiles(times: &Histogram<u64>) -> Quantiles {
    [times.value_at_quantile(0.5), times.value_at_quantile(0.99), times.max()].map(|us| us as f64 / 1e3)
}
