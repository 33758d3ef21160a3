//! Invariants, checked by the true time: at most one holder of a role, fencing tokens that never decrease, at
//! most one leader per term, and the same state of all members after the same entry.

use std::collections::BTreeSet;

use stepspur_consensus::{FencingToken, Term};

use super::Simulation;

/// The maximum number of states that are retained for comparison. The oldest is dropped first.
const MAX_RETAINED_STATES: usize = 512;
/// With more roles than this, their holders are checked only every [`STEPS_PER_CHECK`] steps, as a check at
/// each step would take longer than the rest of the simulation.
const MAX_ROLES_CHECKED_EACH_STEP: usize = 100;
/// The number of steps between checks of many roles.
const STEPS_PER_CHECK: u64 = 500;

impl Simulation {
    /// Asserts that each role is held and all running conductors have the same state. Two different states
    /// are allowed, as some conductors may not have received the last entry yet.
    pub(crate) fn assert_all_held_and_states_equal(&mut self) {
        let nodes = 0..self.nodes.len();
        let held: usize = nodes.clone().map(|k| self.held_by(k)).sum();
        let free = self.names.iter().filter(|name| nodes.clone().all(|k| self.token(k, name).is_none()));
        let free: Vec<_> = free
            .map(|name| (name, self.nodes[self.leader().unwrap()].member.as_ref().unwrap().roles().get(name)))
            .collect();
        assert_eq!(held, self.names.len(), "each role is held by one: {:?} {free:?}", self.leader());
        let running = self.nodes.iter().filter_map(|node| node.member.as_ref());
        let states: BTreeSet<_> = running.map(|member| member.roles().encode()).collect();
        assert!(states.len() <= 2, "{} states after a while without faults", states.len());
    }

    /// Returns true if a check has failed, in a simulation that only records violations.
    pub(crate) fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }

    /// Checks that a term has no other leader (election safety; paper, figure 3).
    pub(super) fn check_leader(&mut self, k: usize, term: Term) {
        let first = *self.leaders.entry(term).or_insert(k);
        self.check(first == k, || format!("{first} and {k} lead in term {term}"));
    }

    /// Checks that all conductors have the same state after the same entry (state machine safety; paper,
    /// figure 3).
    pub(super) fn check_state(&mut self, k: usize) {
        let Some(member) = &self.nodes[k].member else { return };
        let applied = member.roles().applied();
        if self.nodes[k].checked == applied {
            return;
        }
        let state = member.roles().encode().to_vec();
        self.nodes[k].checked = applied;
        let known = self.states.entry(applied).or_insert_with(|| state.clone());
        let equal = *known == state;
        self.check(equal, || format!("{k} has another state after entry {applied}"));
        if self.states.len() > MAX_RETAINED_STATES {
            self.states.pop_first();
        }
    }

    /// Checks that at most one holder may act on each role now, and that its token is not lower than an
    /// earlier one.
    pub(super) fn check_holders(&mut self) {
        self.steps += 1;
        if self.names.len() > MAX_ROLES_CHECKED_EACH_STEP && !self.steps.is_multiple_of(STEPS_PER_CHECK) {
            return;
        }
        for position in 0..self.names.len() {
            let name = self.names[position].clone();
            let holders: Vec<(usize, FencingToken)> =
                (0..self.nodes.len()).filter_map(|k| Some((k, self.token(k, &name)?))).collect();
            self.check(holders.len() <= 1, || format!("{name} is held by {holders:?}"));
            for (k, token) in holders {
                let highest = self.highest_tokens.get(&name).copied().unwrap_or_default();
                self.check(token >= highest, || format!("{k} acts on {name} by {token} after {highest}"));
                self.highest_tokens.insert(name.clone(), highest.max(token));
            }
        }
    }

    /// Panics or records a violation unless an invariant holds.
    fn check(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if holds {
            return;
        }
        let violation = format!("at {} us: {}", self.now, violation());
        assert!(!self.config.panics_on_violation, "{violation}");
        self.violations.push(violation);
    }
}
