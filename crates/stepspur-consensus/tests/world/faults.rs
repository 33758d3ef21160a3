//! Faults: crashes, stalls, disks that are slow or fail, and random ones of all kinds.

use rand::RngExt;
use stepspur_consensus::Micros;

use super::node::HEALTHY_WRITE;
use super::{Event, World};

impl World {
    /// Kills the process. A random part of its pending writes has reached the disk.
    pub(crate) fn crash(&mut self, k: usize) {
        let pending = self.nodes[k].pending_writes.len();
        let finished = if pending > 0 { self.rng.random_range(0..=pending) } else { 0 };
        let node = &mut self.nodes[k];
        node.member = None;
        node.incarnation += 1;
        node.finish_writes(finished);
        node.pending_writes.clear();
    }

    /// Stops the process for a while: what comes waits for it.
    pub(crate) fn stall(&mut self, k: usize, duration: Micros) {
        self.nodes[k].stalled_until = self.now + duration;
    }

    /// Sets how long a write takes; none: the disk does not answer.
    pub(crate) fn set_write_duration(&mut self, k: usize, duration: Option<Micros>) {
        self.nodes[k].write_duration = duration;
        if duration.is_none() {
            return;
        }
        let pending: Vec<u64> = self.nodes[k].pending_writes.iter().map(|write| write.number).collect();
        let incarnation = self.nodes[k].incarnation;
        for number in pending {
            self.schedule(self.now + HEALTHY_WRITE, Event::Written(k, incarnation, number));
        }
    }

    pub(crate) fn fail_disk(&mut self, k: usize) {
        self.step(k, |member, _| member.on_storage_failure("no space left"));
    }

    /// Random faults from now on, for so long.
    pub(crate) fn random_faults(&mut self, duration: Micros) {
        self.faults_until = self.now + duration;
        self.schedule(self.now + 100_000, Event::Fault);
    }

    /// No more faults: all links and disks are healthy, all conductors run.
    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
        self.faults_until = 0;
        for k in 0..self.nodes.len() {
            self.nodes[k].stalled_until = 0;
            self.set_write_duration(k, Some(HEALTHY_WRITE));
            self.start(k);
        }
    }

    /// One random fault, and the next one later.
    pub(super) fn inject_fault(&mut self) {
        if self.now >= self.faults_until {
            return;
        }
        let k = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..10) {
            0 | 1 => self.crash(k),
            2 | 3 => (0..self.nodes.len()).for_each(|k| self.start(k)),
            4 => {
                let duration = self.rng.random_range(10_000..12_000_000);
                self.stall(k, duration);
            }
            5 => self.cut(k, None),
            6 => self.deafen(k),
            7 => {
                let side: Vec<usize> = (0..self.nodes.len()).filter(|_| self.rng.random_bool(0.5)).collect();
                self.split(&side);
            }
            8 => self.cut_links.clear(),
            _ => {
                let duration = [None, Some(HEALTHY_WRITE), Some(500_000)][self.rng.random_range(0..3)];
                self.set_write_duration(k, duration);
            }
        }
        let gap = self.rng.random_range(50_000..3_000_000);
        self.schedule(self.now + gap, Event::Fault);
    }
}
