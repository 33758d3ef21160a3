//! Limits before identity: who may begin a handshake while many do.
//!
//! Nobody is known before the handshake, but a source that has proved itself lately is known as a source. Known
//! sources have a share of the places that strangers cannot take, so a flood of strangers keeps no known proxy out.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::Micros;

/// How many at once.
#[derive(Clone, Copy, Debug)]
pub struct HandshakeLimits {
    /// Handshakes under way.
    pub all: usize,
    /// Of them, those kept for known sources.
    pub kept: usize,
    /// Of one stranger source.
    pub per_stranger: usize,
    /// A source that proved itself is known for so long.
    pub known_for: Micros,
    /// Known sources that are remembered; the oldest is forgotten first.
    pub known_most: usize,
}

impl Default for HandshakeLimits {
    fn default() -> Self {
        Self { all: 512, kept: 256, per_stranger: 64, known_for: 3_600_000_000, known_most: 20_000 }
    }
}

/// A place at the door; give it back by [`HandshakeLimiter::leave`].
#[derive(Debug, PartialEq, Eq)]
pub struct HandshakePermit {
    source: IpAddr,
    known: bool,
}

/// Why nobody may enter now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeRejected {
    /// No place is left.
    #[error("too many handshakes are under way")]
    All,
    /// This source has too many.
    #[error("too many handshakes of one source are under way")]
    Source,
}

/// The door.
#[derive(Debug)]
pub struct HandshakeLimiter {
    limits: HandshakeLimits,
    strangers: usize,
    known: usize,
    per_stranger: BTreeMap<IpAddr, usize>,
    proved: BTreeMap<IpAddr, Micros>,
}

impl HandshakeLimiter {
    /// A door at which nobody stands.
    pub fn new(limits: HandshakeLimits) -> Self {
        let (per_stranger, proved) = (BTreeMap::new(), BTreeMap::new());
        Self { limits, strangers: 0, known: 0, per_stranger, proved }
    }

    /// A connection came.
    ///
    /// # Errors
    /// See [`HandshakeRejected`].
    pub fn enter(&mut self, source: IpAddr, now: Micros) -> Result<HandshakePermit, HandshakeRejected> {
        let since = now.saturating_sub(self.limits.known_for);
        let known = self.proved.get(&source).is_some_and(|at| *at >= since);
        if self.strangers + self.known >= self.limits.all {
            return Err(HandshakeRejected::All);
        }
        if known {
            self.known += 1;
            return Ok(HandshakePermit { source, known });
        }
        if self.strangers >= self.limits.all.saturating_sub(self.limits.kept) {
            return Err(HandshakeRejected::All);
        }
        let of_source = self.per_stranger.entry(source).or_default();
        if *of_source >= self.limits.per_stranger {
            return Err(HandshakeRejected::Source);
        }
        *of_source += 1;
        self.strangers += 1;
        Ok(HandshakePermit { source, known })
    }

    /// A handshake ended; true: the caller proved who it is.
    pub fn leave(&mut self, place: HandshakePermit, proved: bool, now: Micros) {
        if place.known {
            self.known -= 1;
        } else {
            self.strangers -= 1;
            if let Some(of_source) = self.per_stranger.get_mut(&place.source) {
                *of_source -= 1;
                if *of_source == 0 {
                    self.per_stranger.remove(&place.source);
                }
            }
        }
        if proved {
            self.proved.insert(place.source, now);
            if self.proved.len() > self.limits.known_most
                && let Some(oldest) = self.proved.iter().min_by_key(|(_, at)| **at).map(|(ip, _)| *ip)
            {
                self.proved.remove(&oldest);
            }
        }
    }

    /// Handshakes under way: of strangers, of known sources.
    pub fn under_way(&self) -> (usize, usize) {
        (self.strangers, self.known)
    }
}
