//! The event queue: events in the order of their times, and FIFO at the same time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use stepspur_model::Micros;

#[derive(Debug)]
struct Entry<T> {
    at: Micros,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    /// Reversed, since `BinaryHeap` returns the greatest entry first: the earliest entry is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A priority queue of events by time.
#[derive(Debug)]
pub struct Queue<T> {
    heap: BinaryHeap<Entry<T>>,
    sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T> Queue<T> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: Micros, event: T) {
        self.sequence += 1;
        self.heap.push(Entry { at, sequence: self.sequence, event });
    }

    /// Removes and returns the next event with its time; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }

    /// Returns the number of events added since the beginning.
    pub fn count(&self) -> u64 {
        self.sequence
    }
}
