//! The simulated network: delays, and while faults last, loss, duplicates and lateness; cuts in each
//! direction.

use rand::RngExt;
use stepspur_consensus::{MemberId, PeerMessage};

use super::{Event, World};

impl World {
    /// Cuts these (or one alone) off from the others.
    pub(crate) fn cut(&mut self, a: usize, b: Option<usize>) {
        let side: Vec<usize> = [Some(a), b].into_iter().flatten().collect();
        self.split(&side);
    }

    /// Nothing passes between these and the others.
    pub(crate) fn split(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut_links.insert((a, b));
                }
            }
        }
    }

    /// The conductor receives nothing, and its messages arrive.
    pub(crate) fn deafen(&mut self, k: usize) {
        for from in 0..self.nodes.len() {
            self.cut_links.insert((from, k));
        }
    }

    pub(super) fn send(&mut self, from: usize, to: MemberId, message: PeerMessage) {
        let Some(to) = self.nodes.iter().position(|node| node.id == to) else { return };
        if self.cut_links.contains(&(from, to)) {
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
            let late = self.rng.random_range(200..3_000_000);
            self.schedule(self.now + late, Event::Deliver(to, sender, Box::new(message.clone())));
        }
        self.schedule(self.now + delay, Event::Deliver(to, sender, Box::new(message)));
    }
}
