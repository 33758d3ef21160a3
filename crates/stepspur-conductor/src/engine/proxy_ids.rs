//! Assigns ids to proxies that identify themselves by name.

use std::collections::{BTreeMap, BTreeSet};

use stepspur::interface::{Micros, ProxyId};

/// Maps proxies' names to ids and back.
///
/// A name keeps its id while unassigned ids are left. After that a new name gets the id that was released
/// longest ago, but not before `reuse_delay` has passed: by then messages for the old name have been
/// delivered, and the decision module has forgotten the proxy.
#[derive(Debug)]
pub(crate) struct ProxyIds {
    by_name: BTreeMap<String, ProxyId>,
    names: BTreeMap<ProxyId, String>,
    /// Ids of disconnected proxies, ordered by the time of their release.
    released: BTreeSet<ReleasedId>,
    /// The same by id.
    released_at: BTreeMap<ProxyId, Micros>,
    /// Maximum number of ids.
    max_ids: u16,
    /// Time from the release of an id to its reuse, in microseconds.
    reuse_delay: Micros,
}

/// The id of a disconnected proxy, ordered by the time of its release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReleasedId {
    released_at: Micros,
    id: ProxyId,
}

/// All ids are in use or were released too recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no proxy id is free: retry in {retry_after} us")]
pub(crate) struct IdsExhausted {
    /// Minimum time until an id may become free, in microseconds.
    pub(crate) retry_after: Micros,
}

impl ProxyIds {
    /// Creates an empty map that assigns at most `max_ids` ids, bounded by 65,534. `reuse_delay` is in
    /// microseconds.
    pub(crate) fn new(max_ids: u32, reuse_delay: Micros) -> Self {
        Self {
            by_name: BTreeMap::new(),
            names: BTreeMap::new(),
            released: BTreeSet::new(),
            released_at: BTreeMap::new(),
            max_ids: u16::try_from(max_ids).unwrap_or(u16::MAX - 1),
            reuse_delay,
        }
    }

    /// Returns the id of a proxy that connects, assigning one to a new name.
    ///
    /// # Errors
    /// [`IdsExhausted`] if all ids are assigned and none may be reused yet.
    pub(crate) fn claim(&mut self, name: &str, now: Micros) -> Result<ProxyId, IdsExhausted> {
        if let Some(id) = self.by_name.get(name).copied() {
            if let Some(released_at) = self.released_at.remove(&id) {
                self.released.remove(&ReleasedId { released_at, id });
            }
            return Ok(id);
        }
        let id = if self.names.len() < usize::from(self.max_ids) {
            ProxyId(self.names.len() as u16)
        } else {
            self.reuse(now)?
        };
        self.by_name.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        Ok(id)
    }

    /// Takes the id that was released longest ago from its name.
    fn reuse(&mut self, now: Micros) -> Result<ProxyId, IdsExhausted> {
        let oldest = *self.released.first().ok_or(IdsExhausted { retry_after: self.reuse_delay })?;
        let reusable_at = oldest.released_at.saturating_add(self.reuse_delay);
        if now < reusable_at {
            return Err(IdsExhausted { retry_after: reusable_at - now });
        }
        self.released.pop_first();
        self.released_at.remove(&oldest.id);
        if let Some(previous_name) = self.names.remove(&oldest.id) {
            self.by_name.remove(&previous_name);
        }
        Ok(oldest.id)
    }

    /// Releases the id of a proxy that has disconnected. Ids that a protocol assigned have no name here and
    /// are ignored.
    pub(crate) fn release(&mut self, id: ProxyId, now: Micros) {
        if !self.names.contains_key(&id) {
            return;
        }
        self.released_at.insert(id, now);
        self.released.insert(ReleasedId { released_at: now, id });
    }

    /// Returns the name of a proxy; `None` if a protocol assigned the id.
    pub(crate) fn name(&self, id: ProxyId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Returns the number of names that have an id.
    pub(crate) fn known(&self) -> usize {
        self.names.len()
    }
}

#[cfg(test)]
mod tests;
