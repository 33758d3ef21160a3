//! What was asked and answered, and whether one order of it explains all answers: linearizability after Wing and Gong
//! (1993), with Lowe's cut of states that were met before (2017), for each name by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An operation on a sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// So much more: answers with the new sum.
    Add(u32),
    /// Answers with the sum.
    Read,
}

/// An operation that was asked for.
#[derive(Clone, Debug)]
pub struct Asked {
    /// What.
    pub op: Op,
    /// When.
    pub from: Duration,
    /// When it was answered, and how; none if its outcome is unknown: it may have taken effect at any time since.
    pub answer: Option<(Duration, u32)>,
}

/// All that was asked, by name.
#[derive(Clone, Debug, Default)]
pub struct History {
    names: BTreeMap<String, Vec<Asked>>,
    /// Operations that were answered twice, and not alike.
    unlike: Vec<String>,
}

/// Operations of one name that are judged at most: their set is kept in the bits of a number.
const MOST: usize = 128;

impl History {
    /// Adds an operation: its place among those of its name.
    pub fn add(&mut self, name: &str, asked: Asked) -> usize {
        let all = self.names.entry(name.to_owned()).or_default();
        all.push(asked);
        all.len() - 1
    }

    /// An operation was asked for again, and answered: it is one, and has one answer.
    pub fn answer(&mut self, name: &str, place: usize, answer: (Duration, u32)) {
        let asked = self.names.get_mut(name).and_then(|all| all.get_mut(place));
        match asked.map(|a| a.answer.get_or_insert(answer).1) {
            Some(sum) if sum == answer.1 => {}
            before => {
                self.unlike.push(format!("`{name}`, operation {place}: {before:?}, and then {answer:?}"))
            }
        }
    }

    /// Operations that were kept.
    pub fn len(&self) -> usize {
        self.names.values().map(Vec::len).sum()
    }

    /// True: none was.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Judges each name.
    ///
    /// # Errors
    /// The name, and its operations, that no order explains.
    pub fn judge(&self) -> Result<(), String> {
        if let Some(unlike) = self.unlike.first() {
            return Err(unlike.clone());
        }
        for (name, asked) in &self.names {
            assert!(asked.len() <= MOST, "{name}: {} operations, {MOST} can be judged", asked.len());
            if !explained(asked) {
                return Err(format!("no order explains `{name}`: {asked:#?}"));
            }
        }
        Ok(())
    }
}

/// Tries orders depth first: next may be whatever began before the first end of those that are left.
fn explained(asked: &[Asked]) -> bool {
    let answered: u128 =
        asked.iter().enumerate().filter(|(_, a)| a.answer.is_some()).map(|(k, _)| 1 << k).sum();
    let (mut met, mut left) = (BTreeSet::new(), vec![(0_u128, 0_u32)]);
    while let Some((done, sum)) = left.pop() {
        if done & answered == answered {
            return true;
        }
        if !met.insert((done, sum)) {
            continue;
        }
        let open = || asked.iter().enumerate().filter(|(k, _)| done & 1 << k == 0);
        let first_end = open().filter_map(|(_, a)| a.answer.map(|(at, _)| at)).min();
        for (k, a) in open().filter(|(_, a)| first_end.is_none_or(|end| a.from <= end)) {
            let after = match a.op {
                Op::Add(more) => sum.wrapping_add(more),
                Op::Read => sum,
            };
            if a.answer.is_none_or(|(_, told)| told == after) {
                left.push((done | 1 << k, after));
            }
        }
    }
    false
}

#[cfg(test)]
mod tests;
