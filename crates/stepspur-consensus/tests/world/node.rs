//! A simulated conductor: its process, its clock, and its disk.

use stepspur_consensus::{Index, Member, MemberId, Micros, PersistentState, WriteRequest};

/// How long a healthy disk takes for a write.
pub(crate) const HEALTHY_WRITE: Micros = 2_000;

/// A conductor of the simulation.
pub(super) struct Node {
    pub(super) id: MemberId,
    /// The running member; none while its process is down.
    pub(super) member: Option<Member>,
    /// Counts starts and crashes: events of an earlier process are dropped.
    pub(super) incarnation: u64,
    /// When it is woken next.
    pub(super) wake_at: Micros,
    pub(super) clock: Clock,
    pub(super) stored: PersistentState,
    /// Writes that the disk has not finished.
    pub(super) pending_writes: Vec<WriteRequest>,
    /// How long a write takes; none: the disk does not answer.
    pub(super) write_duration: Option<Micros>,
    /// The process does nothing until then.
    pub(super) stalled_until: Micros,
    /// The entry after which its state was checked last.
    pub(super) checked: Index,
}

/// A clock that is off by a constant, and runs too fast or too slow.
pub(super) struct Clock {
    pub(super) rate: f64,
    pub(super) offset: f64,
}

impl Clock {
    pub(super) fn local(&self, now: Micros) -> Micros {
        (self.offset + now as f64 * self.rate) as Micros
    }

    /// The true time at which the clock shows `local`, rounded up.
    pub(super) fn real(&self, local: Micros) -> Micros {
        if local == Micros::MAX {
            return Micros::MAX;
        }
        ((local as f64 - self.offset) / self.rate).max(0.0).ceil() as Micros + 1
    }
}

impl Node {
    /// Finishes the first `count` pending writes.
    pub(super) fn finish_writes(&mut self, count: usize) {
        for write in self.pending_writes.drain(..count) {
            self.stored = self.stored.with_write(&write);
        }
    }

    /// Finishes the pending writes up to a number.
    pub(super) fn finish_writes_up_to(&mut self, number: u64) {
        let later = self.pending_writes.iter().position(|write| write.number > number);
        self.finish_writes(later.unwrap_or(self.pending_writes.len()));
    }
}
