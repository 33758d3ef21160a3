//! Time series of a rehearsal: samples of servers and proxies every half second, for charts and the live
//! display.

use std::time::Duration;

use serde::Serialize;
use stepspur_model::Micros;

use crate::trace::Event;

/// Interval between samples.
pub const STEP: Duration = Duration::from_millis(500);

/// State of a zone at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneSample {
    /// Requests in flight at its servers, per core.
    pub heat: f64,
    /// Number of running servers.
    pub up: usize,
    /// Running servers that are not yet warm.
    pub cold: usize,
    /// Running servers that failed from overload while cold.
    pub fallen: usize,
    /// Share of the weight in proxies' tables that its servers have, from 0 to 1, averaged over all proxies.
    pub weight: f64,
}

/// State of servers and proxies at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// Seconds since the first request was due.
    pub at_s: f64,
    /// By zone, in the order of the plan.
    pub zones: Vec<ZoneSample>,
    /// Share of the weight in proxies' tables that cold servers have, from 0 to 1, averaged over all proxies.
    pub cold_weight: f64,
    /// By class: share of requests that the admission levels admit, from 0 to 1, averaged over all proxies.
    pub levels: Vec<f64>,
}

/// Orders within one [`STEP`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Orders {
    /// Number of orders that proxies read.
    pub read: usize,
    /// Maximum number of lines that were decided and not yet read.
    pub depth: f64,
}

/// All time series of a rehearsal.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// Servers and proxies, every [`STEP`].
    pub samples: Vec<Sample>,
    /// Orders, by [`STEP`] since the first request was due.
    pub orders: Vec<Orders>,
    /// Requests by the second in which they were sent: in time, late, refused, failed.
    pub seconds: Vec<[u64; 4]>,
}

/// Counts orders and waiting lines by [`STEP`], from the orders that proxies read.
pub fn orders(events: &[(Micros, Event)], begin: Micros, length: Duration) -> Vec<Orders> {
    let step = STEP.as_micros() as Micros;
    let mut bins = vec![Orders::default(); (length.as_micros() as u64 / step + 1) as usize];
    let bin_index = |at: Micros| (at.saturating_sub(begin) / step) as usize;
    let mut changes = Vec::new();
    for (at, event) in events {
        if let Event::Order { order, lines, .. } = event {
            changes.push((order.decided_us, *lines));
            changes.push((*at, -lines));
            if let Some(bin) = bins.get_mut(bin_index(*at)).filter(|_| *at >= begin) {
                bin.read += 1;
            }
        }
    }
    changes.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let mut depth = 0.0f64;
    for (at, change) in changes {
        depth += change;
        if let Some(bin) = bins.get_mut(bin_index(at)).filter(|_| at >= begin) {
            bin.depth = bin.depth.max(depth);
        }
    }
    bins
}
