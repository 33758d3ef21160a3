//! How long orders were under way: to the last stream and to each.

use anyhow::Context;
use hdrhistogram::Histogram;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::PATIENCE;
use super::stream::Observation;

/// The longest time that is told apart, in microseconds: ten minutes.
const LONGEST_US: u64 = 600_000_000;
/// Decimal digits to which times are kept.
const DIGITS: u8 = 3;

/// The median, the 99th in a hundred and the longest time, in milliseconds.
pub(super) type Quantiles = [f64; 3];

/// Times of rounds: to the last stream, and to each.
pub(super) struct Times {
    last: Histogram<u64>,
    each: Histogram<u64>,
}

impl Times {
    /// None yet.
    pub(super) fn new() -> anyhow::Result<Self> {
        let empty = || Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Ok(Self { last: empty()?, each: empty()? })
    }

    /// Records one round: so many streams tell that a server was removed by an order made at `from`.
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

    /// To the last stream of each round.
    pub(super) fn last(&self) -> Quantiles {
        quantiles(&self.last)
    }

    /// To each stream.
    pub(super) fn each(&self) -> Quantiles {
        quantiles(&self.each)
    }
}

async fn next_removal(observations: &mut mpsc::Receiver<Observation>) -> anyhow::Result<Instant> {
    loop {
        let observed = timeout(PATIENCE, observations.recv()).await.context("a change did not come")?;
        if let Observation::Removed(at) = observed.context("the streams have ended")? {
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
