//! What is due, in the order of its time; at the same time, in the order in which it was put.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use stepspur_model::Micros;

#[derive(Debug)]
struct Item<T> {
    at: Micros,
    put: u64,
    what: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.put) == (other.at, other.put)
    }
}
impl<T> Eq for Item<T> {}
impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Item<T> {
    /// The earliest is the greatest, as the heap gives that first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.put).cmp(&(self.at, self.put))
    }
}

/// A queue of things due.
#[derive(Debug)]
pub struct Queue<T> {
    heap: BinaryHeap<Item<T>>,
    put: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), put: 0 }
    }
}

impl<T> Queue<T> {
    /// Puts something due at a time.
    pub fn put(&mut self, at: Micros, what: T) {
        self.put += 1;
        self.heap.push(Item { at, put: self.put, what });
    }

    /// The next thing due, and its time.
    pub fn take(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|item| (item.at, item.what))
    }

    /// Things put since the beginning.
    pub fn count(&self) -> u64 {
        self.put
    }
}
