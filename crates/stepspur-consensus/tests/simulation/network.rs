//! The simulated network: delays, failed links in each direction, and while random faults last, lost,
//! duplicated and long-delayed messages.

use rand::RngExt;
use stepspur_consensus::{MemberId, PeerMessage};

use super::{Event, Simulation};

impl Simulation {
    /// Isolates one or two conductors from the others.
    pub(crate) fn isolate(&mut self, a: usize, b: Option<usize>) {
        let side: Vec<usize> = [Some(a), b].into_iter().flatten().collect();
        self.partition(&side);
    }

    /// Fails all links, in both directions, between these conductors and the others.
    pub(crate) fn partition(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.failed_links.insert((a, b));
                }
            }
        }
    }

    /// Fails all links to a conductor. The messages that it sends still arrive.
    pub(crate) fn cut_inbound(&mut self, k: usize) {
        for from in 0..self.nodes.len() {
            self.failed_links.insert((from, k));
        }
    }

    /// Sends a message. While random faults last, 5% are lost, 5% are delayed by up to 2 s and 2% duplicated.
    pub(super) fn send(&mut self, from: usize, to: MemberId, message: PeerMessage) {
        let Some(to) = self.nodes.iter().position(|node| node.id == to) else { return };
        if self.failed_links.contains(&(from, to)) {
            return;
        }
        let faulty = self.now < self.faults_until;
        if faulty && self.rng.random_bool(0.05) {
            return;
        }
        let max_delay = if faulty && self.rng.random_bool(0.05) { 2_000_000 } else { 8_000 };
        let delay = self.rng.random_range(200..max_delay);
        let sender = self.nodes[from].id;
        if faulty && self.rng.random_bool(0.02) {
            let extra_delay = self.rng.random_range(200..3_000_000);
            self.schedule(self.now + extra_delay, Event::Deliver(to, sender, Box::new(message.clone())));
        }
        self.schedule(self.now + delay, Event::Deliver(to, sender, Box::new(message)));
    }
}
