//! Links between zones, and between zones and the conductor: cut, slow or lossy. Relays
//! ([`crate::relay`]) play them.

use std::sync::Mutex;
use std::time::Duration;

use crate::trace::lock;

/// What a link does to bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Nothing passes.
    pub cut: bool,
    /// It takes so much longer.
    pub delay: Duration,
    /// This part of chunks is lost and sent again.
    pub loss: f64,
}

#[derive(Debug, Default)]
struct State {
    /// Zones cut off, each as often as it is.
    cut: Vec<usize>,
    /// Pairs of zones between which nothing passes.
    cut_links: Vec<(usize, usize)>,
    slow: Vec<(usize, usize, Duration, f64)>,
}

/// All links.
#[derive(Debug, Default)]
pub struct Links(Mutex<State>);

impl Links {
    /// The link between two zones, now.
    pub fn between(&self, a: usize, b: usize) -> Link {
        let state = lock(&self.0);
        if a == b {
            return Link::default();
        }
        let cut = state.cut.iter().any(|zone| *zone == a || *zone == b)
            || state.cut_links.iter().any(|pair| *pair == (a, b) || *pair == (b, a));
        let on = |(x, y, ..): &&(usize, usize, Duration, f64)| (*x, *y) == (a, b) || (*x, *y) == (b, a);
        let slow = state.slow.iter().filter(on);
        slow.fold(Link { cut, ..Link::default() }, |link, (_, _, delay, loss)| Link {
            delay: link.delay + *delay,
            loss: 1.0 - (1.0 - link.loss) * (1.0 - loss),
            ..link
        })
    }

    /// A zone is cut off from the others, or no longer.
    pub fn cut(&self, zone: usize, on: bool) {
        let mut state = lock(&self.0);
        if on {
            state.cut.push(zone);
        } else if let Some(place) = state.cut.iter().position(|z| *z == zone) {
            state.cut.remove(place);
        }
    }

    /// Nothing passes between two zones, or again.
    pub fn cut_link(&self, a: usize, b: usize, on: bool) {
        let mut state = lock(&self.0);
        if on {
            state.cut_links.push((a, b));
        } else if let Some(place) = state.cut_links.iter().position(|pair| *pair == (a, b)) {
            state.cut_links.remove(place);
        }
    }

    /// A link between two zones is slow and lossy, or no longer.
    pub fn slow(&self, a: usize, b: usize, delay: Duration, loss: f64, on: bool) {
        let mut state = lock(&self.0);
        let entry = (a, b, delay, loss);
        if on {
            state.slow.push(entry);
        } else if let Some(place) = state.slow.iter().position(|e| *e == entry) {
            state.slow.remove(place);
        }
    }
}
