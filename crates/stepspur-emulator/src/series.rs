//! A day over time: what the stand-ins looked like every half second, for people and for plots.

use std::time::Duration;

use serde::Serialize;
use stepspur_model::Micros;

use crate::trace::Event;

/// Samples are so far apart.
pub const STEP: Duration = Duration::from_millis(500);

/// A zone at a moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneSample {
    /// Requests in hand at its servers over their cores.
    pub heat: f64,
    /// Servers that run.
    pub up: usize,
    /// Those of them that are cold yet.
    pub cold: usize,
    /// Those of them that fell over.
    pub fallen: usize,
    /// The part of the weight in proxies' tables that names its servers, over all proxies.
    pub weight: f64,
}

/// The stand-ins at a moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// Seconds from the day's begin.
    pub at_s: f64,
    /// By zone.
    pub zones: Vec<ZoneSample>,
    /// The part of the weight in proxies' tables that names cold servers.
    pub cold_weight: f64,
    /// By class: the part of requests that levels let in, over all proxies.
    pub levels: Vec<f64>,
}

/// Orders in half a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Orders {
    /// Orders that were read.
    pub read: usize,
    /// Lines between their decision and their being read, at most.
    pub depth: f64,
}

/// A day over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// The stand-ins, every [`STEP`].
    pub samples: Vec<Sample>,
    /// The channel, by [`STEP`] from the day's begin.
    pub orders: Vec<Orders>,
    /// Requests by the second in which they were asked: in time, late, refused, failed.
    pub seconds: Vec<[u64; 4]>,
}

/// The channel over time, from what proxies read.
pub fn orders(events: &[(Micros, Event)], begin: Micros, length: Duration) -> Vec<Orders> {
    let step = STEP.as_micros() as Micros;
    let mut bins = vec![Orders::default(); (length.as_micros() as u64 / step + 1) as usize];
    let place = |at: Micros| (at.saturating_sub(begin) / step) as usize;
    let mut changes = Vec::new();
    for (at, event) in events {
        if let Event::Order { order, lines, .. } = event {
            changes.push((order.decided_us, *lines));
            changes.push((*at, -lines));
            if let Some(bin) = bins.get_mut(place(*at)).filter(|_| *at >= begin) {
                bin.read += 1;
            }
        }
    }
    changes.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let mut depth = 0.0f64;
    for (at, change) in changes {
        depth += change;
        if let Some(bin) = bins.get_mut(place(at)).filter(|_| at >= begin) {
            bin.depth = bin.depth.max(depth);
        }
    }
    bins
}
