//! A simulated conductor: its process, clock and disk.

use stepspur_consensus::{Index, Member, MemberId, Micros, PersistentState, WriteRequest};

/// The nominal duration of a write on a healthy disk, in microseconds. Actual ones are half to twice as long.
pub(crate) const HEALTHY_WRITE_DURATION: Micros = 2_000;

/// A simulated conductor.
pub(super) struct Node {
    pub(super) id: MemberId,
    /// The running member; `None` while the process is not running.
    pub(super) member: Option<Member>,
    /// The number of starts and crashes so far. Timers and writes of an earlier process are dropped by it.
    pub(super) incarnation: u64,
    /// When the timer of the process expires next, in true time.
    pub(super) wake_at: Micros,
    pub(super) clock: Clock,
    /// The contents of the disk.
    pub(super) stored: PersistentState,
    /// Writes that the disk has not completed.
    pub(super) pending_writes: Vec<WriteRequest>,
    /// The nominal duration of a write; `None` if the disk completes no writes.
    pub(super) write_duration: Option<Micros>,
    /// The process is stalled until this true time.
    pub(super) stalled_until: Micros,
    /// The last entry at which the conductor's state was checked.
    pub(super) checked: Index,
}

/// A clock with a constant offset and rate error.
pub(super) struct Clock {
    /// How fast the clock runs relative to true time.
    pub(super) rate: f64,
    /// What the clock shows at true time 0, in microseconds.
    pub(super) offset: f64,
}

impl Clock {
    /// Returns what the clock shows at a true time.
    pub(super) fn local(&self, now: Micros) -> Micros {
        (self.offset + now as f64 * self.rate) as Micros
    }

    /// Returns the true time at which the clock shows `local`, rounded up.
    pub(super) fn real(&self, local: Micros) -> Micros {
        if local == Micros::MAX {
            return Micros::MAX;
        }
        ((local as f64 - self.offset) / self.rate).max(0.0).ceil() as Micros + 1
    }
}

impl Node {
    /// Completes the first `count` pending writes.
    pub(super) fn finish_writes(&mut self, count: usize) {
        for write in self.pending_writes.drain(..count) {
            self.stored = self.stored.with_write(&write);
        }
    }

    /// Completes the pending writes up to a number.
    pub(super) fn finish_writes_up_to(&mut self, number: u64) {
        let later = self.pending_writes.iter().position(|write| write.number > number);
        self.finish_writes(later.unwrap_or(self.pending_writes.len()));
    }
}
