//! Request deduplication in a group of servers, so that a repeated request takes effect only once.
//!
//! The driver owns one [`Memory`] for each class and group (the fleet, a zone or a server), because it
//! outlives the server processes of the group.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// Identifiers of the requests that one group has received within the deduplication window.
#[derive(Clone, Debug)]
pub struct Memory {
    window: Micros,
    capacity: usize,
    /// Time of the first arrival by request.
    seen: BTreeMap<u64, Micros>,
    /// Arrivals from the oldest to the newest, for expiry; may still list forgotten requests.
    order: VecDeque<(Micros, u64)>,
}

impl Memory {
    /// Creates a memory of about `capacity` requests (at least 1), each for `window` microseconds. When it is
    /// over capacity, the oldest requests are dropped first.
    pub fn new(window: Micros, capacity: usize) -> Self {
        Self { window, capacity: capacity.max(1), seen: BTreeMap::new(), order: VecDeque::new() }
    }

    /// Records the arrival of a request. Returns true for a duplicate within the window, which must have no
    /// effect. A duplicate does not extend the window.
    pub fn record_arrival(&mut self, now: Micros, request: u64) -> bool {
        let oldest_valid = now.saturating_sub(self.window);
        while self.order.front().is_some_and(|(at, _)| *at < oldest_valid || self.seen.len() > self.capacity)
        {
            let Some((at, request)) = self.order.pop_front() else { break };
            if self.seen.get(&request) == Some(&at) {
                self.seen.remove(&request);
            }
        }
        if self.seen.contains_key(&request) {
            return true;
        }
        self.seen.insert(request, now);
        self.order.push_back((now, request));
        false
    }

    /// Forgets a request that was cancelled before it ran, so that a repeat may run.
    pub fn forget(&mut self, request: u64) {
        self.seen.remove(&request);
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns true if no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
