//! Whole lists that lose much at once are doubted: a list that restarts is more common than half a fleet that
//! vanishes without having drained. What such a list names counts at once, what it lacks stays as it was until
//! whole lists have said so for a while. A source tells a list anew only when it changes, so that a doubted one is
//! asked for: a loss that is real is believed without a further edit.

use std::collections::BTreeSet;

use stepspur::interface::{ListUpdate, Micros, ServerId};

use crate::config::{MassRemovalGuard, micros};

/// How a whole list is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// As it stands.
    Whole,
    /// Only what it names: it lacks so many servers that were ready.
    Named {
        /// Those.
        lacking: usize,
    },
}

/// What is held of the list so far.
#[derive(Debug)]
pub(crate) struct MassRemovalDetector {
    set: MassRemovalGuard,
    /// Since when whole lists have lacked too much.
    since: Option<Micros>,
    /// When to ask for the whole list again, while a doubt stands.
    ask_at: Option<Micros>,
}

/// A list that is never believed, as it is empty, is asked for no more often than this.
const ASK_EVERY: Micros = 1_000_000;

impl MassRemovalDetector {
    pub(crate) fn new(set: MassRemovalGuard) -> Self {
        Self { set, since: None, ask_at: None }
    }

    /// Judges a list that names `named` against the servers that were ready before.
    pub(crate) fn judge(
        &mut self,
        how: ListUpdate,
        ready: &BTreeSet<ServerId>,
        named: &BTreeSet<ServerId>,
        now: Micros,
    ) -> Taken {
        if !matches!(how, ListUpdate::Full | ListUpdate::Cached) {
            return Taken::Whole;
        }
        let lacking = ready.difference(named).count();
        if lacking as f64 <= self.set.loss_max * ready.len() as f64 && (lacking == 0 || !named.is_empty()) {
            (self.since, self.ask_at) = (None, None);
            return Taken::Whole;
        }
        let since = *self.since.get_or_insert(now);
        let confirmed = now >= since + micros(self.set.confirm_after);
        if confirmed && (!named.is_empty() || self.set.empty_allowed) {
            (self.since, self.ask_at) = (None, None);
            return Taken::Whole;
        }
        self.ask_at = Some(self.next_ask(now).min(self.ask_at.unwrap_or(Micros::MAX)));
        Taken::Named { lacking }
    }

    /// When to ask for the whole list.
    pub(crate) fn next_at(&self) -> Option<Micros> {
        self.ask_at
    }

    /// True: the whole list is to be asked for now.
    pub(crate) fn ask(&mut self, now: Micros) -> bool {
        let due = self.ask_at.is_some_and(|at| now >= at);
        if due {
            self.ask_at = Some(self.next_ask(now));
        }
        due
    }

    fn next_ask(&self, now: Micros) -> Micros {
        now + micros(self.set.confirm_after).max(ASK_EVERY)
    }
}

#[cfg(test)]
mod tests;
