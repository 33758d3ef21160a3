//! Injection of faults: crashes, stalled processes, slow or failed disks, and random faults of all kinds.

use rand::RngExt;
use stepspur_consensus::Micros;

use super::node::HEALTHY_WRITE_DURATION;
use super::{Event, Simulation};

impl Simulation {
    /// Kills a conductor's process. A random number of its pending writes has reached the disk.
    pub(crate) fn crash(&mut self, k: usize) {
        let pending = self.nodes[k].pending_writes.len();
        let finished = if pending > 0 { self.rng.random_range(0..=pending) } else { 0 };
        let node = &mut self.nodes[k];
        node.member = None;
        node.incarnation += 1;
        node.finish_writes(finished);
        node.pending_writes.clear();
    }

    /// Stalls a conductor's process for a duration. Its events are postponed to the end.
    pub(crate) fn stall(&mut self, k: usize, duration: Micros) {
        self.nodes[k].stalled_until = self.now + duration;
    }

    /// Sets the nominal duration of a write; `None` if the disk completes no writes.
    pub(crate) fn set_write_duration(&mut self, k: usize, duration: Option<Micros>) {
        self.nodes[k].write_duration = duration;
        if duration.is_none() {
            return;
        }
        let pending: Vec<u64> = self.nodes[k].pending_writes.iter().map(|write| write.number).collect();
        let incarnation = self.nodes[k].incarnation;
        for number in pending {
            self.schedule(self.now + HEALTHY_WRITE_DURATION, Event::Written(k, incarnation, number));
        }
    }

    /// Makes a write of a conductor fail.
    pub(crate) fn fail_disk(&mut self, k: usize) {
        self.step(k, |member, _| member.on_storage_failure("no space left"));
    }

    /// Starts to inject random faults, for a duration.
    pub(crate) fn random_faults(&mut self, duration: Micros) {
        self.faults_until = self.now + duration;
        self.schedule(self.now + 100_000, Event::Fault);
    }

    /// Ends all faults: repairs all links and disks, and starts all conductors.
    pub(crate) fn heal(&mut self) {
        self.failed_links.clear();
        self.faults_until = 0;
        for k in 0..self.nodes.len() {
            self.nodes[k].stalled_until = 0;
            self.set_write_duration(k, Some(HEALTHY_WRITE_DURATION));
            self.start(k);
        }
    }

    /// Injects one random fault and schedules the next one.
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
            5 => self.isolate(k, None),
            6 => self.cut_inbound(k),
            7 => {
                let side: Vec<usize> = (0..self.nodes.len()).filter(|_| self.rng.random_bool(0.5)).collect();
                self.partition(&side);
            }
            8 => self.failed_links.clear(),
            _ => {
                let duration =
                    [None, Some(HEALTHY_WRITE_DURATION), Some(500_000)][self.rng.random_range(0..3)];
                self.set_write_duration(k, duration);
            }
        }
        let pause = self.rng.random_range(50_000..3_000_000);
        self.schedule(self.now + pause, Event::Fault);
    }
}
