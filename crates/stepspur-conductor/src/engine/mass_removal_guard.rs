//! Protects against complete lists that suddenly omit many servers, like Eureka's self-preservation mode.
//!
//! A registry that restarts empty is more common than half a fleet that disappears without draining. The
//! entries of such a list are applied at once; the servers that it omits are removed only after complete
//! lists have omitted too many for `confirm_after`. Sources report a list again only when it changes, so the
//! guard schedules fetches meanwhile: these confirm a real loss without a further change.

use std::collections::BTreeSet;

use stepspur::interface::{ListUpdate, Micros, ServerId};

use crate::config::{MassRemovalGuard, micros};

/// Minimum interval between fetches, in microseconds. It bounds the load on the source while an empty list,
/// which may never be confirmed, is fetched again and again.
const MIN_FETCH_INTERVAL: Micros = 1_000_000;

/// The guard's verdict on an update of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Apply the complete update.
    Accepted,
    /// Apply the entries but remove no server: the list omits too many servers that were ready.
    RemovalsWithheld {
        /// Number of ready servers that the list omits.
        missing_ready: usize,
    },
}

/// Detects mass removals; holds the state of a suspected one between lists.
#[derive(Debug)]
pub(crate) struct MassRemovalDetector {
    settings: MassRemovalGuard,
    /// Since when complete lists have omitted too many servers; `None` if nothing is suspected.
    suspected_since: Option<Micros>,
    /// When to fetch the complete list again while a mass removal is suspected.
    next_fetch_at: Option<Micros>,
}

impl MassRemovalDetector {
    pub(crate) fn new(settings: MassRemovalGuard) -> Self {
        Self { settings, suspected_since: None, next_fetch_at: None }
    }

    /// Checks an update that contains the servers `listed` against the servers that were `ready` before it.
    pub(crate) fn check(
        &mut self,
        update: ListUpdate,
        ready: &BTreeSet<ServerId>,
        listed: &BTreeSet<ServerId>,
        now: Micros,
    ) -> Verdict {
        if !matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            return Verdict::Accepted;
        }
        let missing_ready = ready.difference(listed).count();
        let is_within_limit = missing_ready as f64 <= self.settings.loss_max * ready.len() as f64;
        if is_within_limit && (missing_ready == 0 || !listed.is_empty()) {
            return self.accept();
        }
        let since = *self.suspected_since.get_or_insert(now);
        let is_confirmed = now >= since + micros(self.settings.confirm_after);
        if is_confirmed && (!listed.is_empty() || self.settings.empty_allowed) {
            return self.accept();
        }
        let fetch_at = self.fetch_time_after(now);
        self.next_fetch_at = Some(self.next_fetch_at.map_or(fetch_at, |at| at.min(fetch_at)));
        Verdict::RemovalsWithheld { missing_ready }
    }

    /// Returns when the complete list must next be fetched; `None` if nothing is suspected.
    pub(crate) fn next_fetch_at(&self) -> Option<Micros> {
        self.next_fetch_at
    }

    /// Returns true if the complete list must be fetched now, and then schedules the next fetch.
    pub(crate) fn take_due_fetch(&mut self, now: Micros) -> bool {
        let is_due = self.next_fetch_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_fetch_at = Some(self.fetch_time_after(now));
        }
        is_due
    }

    /// Ends a suspicion and accepts the update.
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
