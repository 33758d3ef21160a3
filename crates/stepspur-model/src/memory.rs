//! What a group of servers remembers of requests that it has met, so that a repeat has no second effect.
//!
//! One memory stands for each class and group (the fleet, a zone, a server): the driver keeps it, as it outlives
//! the servers of the group.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// The memory of one group.
#[derive(Clone, Debug)]
pub struct Memory {
    window: Micros,
    most: usize,
    met: BTreeMap<u64, Micros>,
    order: VecDeque<(Micros, u64)>,
}

impl Memory {
    /// A memory of requests met within `window` microseconds, `most` at most: the oldest go first.
    pub fn new(window: Micros, most: usize) -> Self {
        Self { window, most: most.max(1), met: BTreeMap::new(), order: VecDeque::new() }
    }

    /// A request comes; true: it was met within the window, so it must have no effect. Meeting it again does not
    /// lengthen the window.
    pub fn meet(&mut self, now: Micros, request: u64) -> bool {
        let old = now.saturating_sub(self.window);
        while self.order.front().is_some_and(|(at, _)| *at < old || self.met.len() > self.most) {
            let Some((at, request)) = self.order.pop_front() else { break };
            if self.met.get(&request) == Some(&at) {
                self.met.remove(&request);
            }
        }
        if self.met.contains_key(&request) {
            return true;
        }
        self.met.insert(request, now);
        self.order.push_back((now, request));
        false
    }

    /// The request was given up before it ran: a repeat may run.
    pub fn forget(&mut self, request: u64) {
        self.met.remove(&request);
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.met.len()
    }

    /// True: nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.met.is_empty()
    }
}
