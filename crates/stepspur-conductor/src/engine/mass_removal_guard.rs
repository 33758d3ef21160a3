//! Protects against complete lists that suddenly lack many servers (Eureka: self-preservation).
//!
//! A registry that restarts empty is more common than half a fleet that disappears without draining. What
//! such a list names is applied at once; what it lacks is removed only after complete lists have lacked too
//! much for a while. Sources report a list again only when it changes, so the guard asks for a fetch
//! meanwhile: a real loss is confirmed without a further change.

use std::collections::BTreeSet;

use stepspur::interface::{ListUpdate, Micros, ServerId};

use crate::config::{MassRemovalGuard, micros};

/// Least interval between fetches, in microseconds: an empty list may never be confirmed.
const MIN_FETCH_INTERVAL: Micros = 1_000_000;

/// The guard's verdict on an update of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Apply it as it is.
    Accepted,
    /// Apply only what it names: it lacks too many servers that were ready.
    RemovalsWithheld {
        /// How many of them it lacks.
        missing_ready: usize,
    },
}

/// The guard's state between lists.
#[derive(Debug)]
pub(crate) struct MassRemovalDetector {
    settings: MassRemovalGuard,
    /// Since when complete lists have lacked too much.
    suspected_since: Option<Micros>,
    /// When to fetch the complete list again while a removal is suspected.
    next_fetch_at: Option<Micros>,
}

impl MassRemovalDetector {
    pub(crate) fn new(settings: MassRemovalGuard) -> Self {
        Self { settings, suspected_since: None, next_fetch_at: None }
    }

    /// Checks an update that names `named` against the servers that were `ready` before it.
    pub(crate) fn check(
        &mut self,
        update: ListUpdate,
        ready: &BTreeSet<ServerId>,
        named: &BTreeSet<ServerId>,
        now: Micros,
    ) -> Verdict {
        if !matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            return Verdict::Accepted;
        }
        let missing_ready = ready.difference(named).count();
        let is_within_limit = missing_ready as f64 <= self.settings.loss_max * ready.len() as f64;
        if is_within_limit && (missing_ready == 0 || !named.is_empty()) {
            return self.accept();
        }
        let since = *self.suspected_since.get_or_insert(now);
        let is_confirmed = now >= since + micros(self.settings.confirm_after);
        if is_confirmed && (!named.is_empty() || self.settings.empty_allowed) {
            return self.accept();
        }
        let fetch_at = self.fetch_time_after(now);
        self.next_fetch_at = Some(self.next_fetch_at.map_or(fetch_at, |at| at.min(fetch_at)));
        Verdict::RemovalsWithheld { missing_ready }
    }

    /// When the complete list is next to be fetched.
    pub(crate) fn next_fetch_at(&self) -> Option<Micros> {
        self.next_fetch_at
    }

    /// True if the complete list is to be fetched now; schedules the next fetch then.
    pub(crate) fn take_due_fetch(&mut self, now: Micros) -> bool {
        let is_due = self.next_fetch_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_fetch_at = Some(self.fetch_time_after(now));
        }
        is_due
    }

    fn accept(&mut self) -> Verdict {
        self.suspected_since = None;
        self.next_fetch_at = None;
        Verdict::Accepted
    }

    fn fetch_time_after(&self, now: Micros) -> Micros {
        now + micros(self.settings.confirm_after).max(MIN_FETCH_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
