//! Records operations and their responses, and checks each counter's history for linearizability by the
//! algorithm of Wing and Gong (1993), with Lowe's (2017) pruning of states that were visited before.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An operation on a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Adds an amount and returns the new value.
    Add(u32),
    /// Returns the value.
    Read,
}

/// An invocation of an operation and its response.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The operation.
    pub op: Op,
    /// When it was invoked, since the start of the run.
    pub invoked_at: Duration,
    /// When the response came, and its value. `None` if the outcome is unknown: it may take effect at any
    /// time after its invocation, or never.
    pub response: Option<(Duration, u32)>,
}

/// All recorded operations, by counter.
#[derive(Clone, Debug, Default)]
pub struct History {
    by_counter: BTreeMap<String, Vec<Operation>>,
    /// Operations that were proposed again and got two different responses.
    conflicting: Vec<String>,
}

/// Maximum number of operations on one counter: sets of them are bit masks of a `u128`.
const MAX_OPERATIONS: usize = 128;

impl History {
    /// Records an operation and returns its index among those of its counter.
    pub fn record(&mut self, name: &str, operation: Operation) -> usize {
        let all = self.by_counter.entry(name.to_owned()).or_default();
        all.push(operation);
        all.len() - 1
    }

    /// Records the response to a repeated proposal of an operation. It must equal an earlier response,
    /// because the operation takes effect once.
    pub fn record_repeated_response(&mut self, name: &str, index: usize, response: (Duration, u32)) {
        let operation = self.by_counter.get_mut(name).and_then(|all| all.get_mut(index));
        match operation.map(|a| a.response.get_or_insert(response).1) {
            Some(value) if value == response.1 => {}
            before => self.conflicting.push(format!(
                "counter `{name}`, operation {index}: first response {before:?}, then {response:?}"
            )),
        }
    }

    /// Number of recorded operations.
    pub fn len(&self) -> usize {
        self.by_counter.values().map(Vec::len).sum()
    }

    /// Whether no operation was recorded.
    pub fn is_empty(&self) -> bool {
        self.by_counter.is_empty()
    }

    /// Checks that the history of each counter is linearizable.
    ///
    /// # Errors
    /// An operation with two different responses, or a counter and its operations, if no order of them
    /// explains all responses.
    ///
    /// # Panics
    /// If a counter has more than 128 operations.
    pub fn check_linearizable(&self) -> Result<(), String> {
        if let Some(conflicting) = self.conflicting.first() {
            return Err(conflicting.clone());
        }
        for (name, operations) in &self.by_counter {
            assert!(
                operations.len() <= MAX_OPERATIONS,
                "counter `{name}`: {} operations, at most {MAX_OPERATIONS} can be checked",
                operations.len()
            );
            if !is_linearizable(operations) {
                return Err(format!("counter `{name}` is not linearizable: {operations:#?}"));
            }
        }
        Ok(())
    }
}

/// Searches depth first for an order that explains all responses. Next in the order may be every remaining
/// operation that was invoked before the first response among the remaining ones.
fn is_linearizable(operations: &[Operation]) -> bool {
    let answered: u128 =
        operations.iter().enumerate().filter(|(_, a)| a.response.is_some()).map(|(k, _)| 1 << k).sum();
    let (mut visited, mut pending) = (BTreeSet::new(), vec![(0_u128, 0_u32)]);
    while let Some((done, value)) = pending.pop() {
        if done & answered == answered {
            return true;
        }
        if !visited.insert((done, value)) {
            continue;
        }
        let remaining = || operations.iter().enumerate().filter(|(k, _)| done & 1 << k == 0);
        let first_response = remaining().filter_map(|(_, a)| a.response.map(|(at, _)| at)).min();
        for (k, a) in
            remaining().filter(|(_, a)| first_response.is_none_or(|response| a.invoked_at <= response))
        {
            let after = match a.op {
                Op::Add(amount) => value.wrapping_add(amount),
                Op::Read => value,
            };
            if a.response.is_none_or(|(_, returned)| returned == after) {
                pending.push((done | 1 << k, after));
            }
        }
    }
    false
}

#[cfg(test)]
mod tests;
