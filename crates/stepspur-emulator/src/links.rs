//! Network faults on the links between zones, including the zones of conductors. Relays ([`crate::relay`])
//! apply them.

use std::sync::Mutex;
use std::time::Duration;

use crate::trace::lock;

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// True if nothing passes.
    pub cut: bool,
    /// Extra one-way delay.
    pub delay: Duration,
    /// Probability from 0 to 1 that a chunk is lost and sent again.
    pub loss: f64,
}

/// The faults in effect; overlapping faults are listed several times.
#[derive(Debug, Default)]
struct State {
    /// Zones that are cut off from all others, once per fault.
    cut: Vec<usize>,
    /// Pairs of zones between which nothing passes.
    cut_links: Vec<(usize, usize)>,
    /// Slow links: two zones, extra delay, probability of loss.
    slow: Vec<(usize, usize, Duration, f64)>,
}

/// The links between all zones.
#[derive(Debug, Default)]
pub struct Links(Mutex<State>);

impl Links {
    /// The present state of the link between two zones. Delays of overlapping faults add up; losses are
    /// independent. A zone's link to itself has no faults.
    pub fn between(&self, a: usize, b: usize) -> Link {
        let state = lock(&self.0);
        if a == b {
            return Link::default();
        }
        let cut = state.cut.iter().any(|zone| *zone == a || *zone == b)
            || state.cut_links.iter().any(|pair| *pair == (a, b) || *pair == (b, a));
        let connects = |(x, y, ..): &&(usize, usize, Duration, f64)| (*x, *y) == (a, b) || (*x, *y) == (b, a);
        let slow = state.slow.iter().filter(connects);
        slow.fold(Link { cut, ..Link::default() }, |link, (_, _, delay, loss)| Link {
            delay: link.delay + *delay,
            loss: 1.0 - (1.0 - link.loss) * (1.0 - loss),
            ..link
        })
    }

    /// Cuts a zone off from all others, or ends one such fault.
    pub fn cut(&self, zone: usize, on: bool) {
        let mut state = lock(&self.0);
        if on {
            state.cut.push(zone);
        } else if let Some(index) = state.cut.iter().position(|z| *z == zone) {
            state.cut.remove(index);
        }
    }

    /// Cuts the link between two zones, or ends one such fault.
    pub fn cut_link(&self, a: usize, b: usize, on: bool) {
        let mut state = lock(&self.0);
        if on {
            state.cut_links.push((a, b));
        } else if let Some(index) = state.cut_links.iter().position(|pair| *pair == (a, b)) {
            state.cut_links.remove(index);
        }
    }

    /// Makes the link between two zones slow and lossy, or ends the fault with the same values.
    pub fn slow(&self, a: usize, b: usize, delay: Duration, loss: f64, on: bool) {
        let mut state = lock(&self.0);
        let entry = (a, b, delay, loss);
        if on {
            state.slow.push(entry);
        } else if let Some(index) = state.slow.iter().position(|e| *e == entry) {
            state.slow.remove(index);
        }
    }
}
