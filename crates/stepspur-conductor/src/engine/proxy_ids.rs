//! Assigns ids to proxies that are known by name.

use std::collections::{BTreeMap, BTreeSet};

use stepspur::interface::{Micros, ProxyId};

/// Ids of proxies by name.
///
/// A name keeps its id while unused ids are left. Then a new name gets the id of the name that was released
/// longest ago, but not before `reuse_delay` has passed: messages for the old name must have been delivered,
/// and the decision module must have forgotten it.
#[derive(Debug)]
pub(crate) struct ProxyIds {
    by_name: BTreeMap<String, ProxyId>,
    names: BTreeMap<ProxyId, String>,
    released: BTreeSet<ReleasedId>,
    released_at: BTreeMap<ProxyId, Micros>,
    max_ids: u16,
    reuse_delay: Micros,
}

/// An id whose proxy has disconnected, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReleasedId {
    released_at: Micros,
    id: ProxyId,
}

/// All ids are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all proxy ids are in use; one may be free in {retry_after} us")]
pub(crate) struct IdsExhausted {
    /// Time until an id may be free, in microseconds.
    pub(crate) retry_after: Micros,
}

impl ProxyIds {
    /// Assigns `max_ids` ids at most, 65534 at the highest.
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

    /// The id of a proxy that connects.
    ///
    /// # Errors
    /// [`IdsExhausted`] if no id may be reused yet.
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

    /// A proxy's stream has ended. An id that the protocol assigned has no name here and is not released.
    pub(crate) fn release(&mut self, id: ProxyId, now: Micros) {
        if !self.names.contains_key(&id) {
            return;
        }
        self.released_at.insert(id, now);
        self.released.insert(ReleasedId { released_at: now, id });
    }

    /// The name of a proxy; none if the protocol assigned the id.
    pub(crate) fn name(&self, id: ProxyId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Number of names that have an id.
    pub(crate) fn known(&self) -> usize {
        self.names.len()
    }
}

#[cfg(test)]
mod tests;
