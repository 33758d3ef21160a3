//! Limits the handshakes in progress, before callers are authenticated.
//!
//! A source address from which a caller authenticated recently is a known source. Some of the permits are
//! reserved for known sources, so that a flood of handshakes from unknown sources does not block proxies.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::Micros;

/// The limits of handshakes in progress.
#[derive(Clone, Copy, Debug)]
pub struct HandshakeLimits {
    /// The largest number of handshakes in progress.
    pub max_handshakes: usize,
    /// How many of `max_handshakes` only known sources may use.
    pub reserved_for_known: usize,
    /// The largest number of handshakes in progress from one unknown source.
    pub max_per_unknown_source: usize,
    /// How long a source stays known after it has authenticated, in microseconds.
    pub known_for: Micros,
    /// The largest number of known sources that are stored. Beyond it, the source whose last authentication
    /// is the oldest is removed.
    pub max_known_sources: usize,
}

impl Default for HandshakeLimits {
    fn default() -> Self {
        Self {
            max_handshakes: 512,
            reserved_for_known: 256,
            max_per_unknown_source: 64,
            known_for: 3_600_000_000,
            max_known_sources: 20_000,
        }
    }
}

/// A permit for one handshake, to be returned by [`HandshakeLimiter::finish`].
#[derive(Debug, PartialEq, Eq)]
pub struct HandshakePermit {
    source: IpAddr,
    /// Whether the source was known when the handshake began, which determines the counter to decrement.
    known: bool,
}

/// Why a handshake may not begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeRejected {
    /// All permits that the source may use are in use.
    #[error("too many handshakes are in progress")]
    NoPermit,
    /// The unknown source has reached its limit of handshakes in progress.
    #[error("too many handshakes from one source are in progress")]
    SourceLimit,
}

/// How a handshake ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeOutcome {
    /// The caller authenticated, so its source is known from now on.
    Authenticated,
    /// The caller did not authenticate.
    Failed,
}

/// The number of handshakes in progress by the kind of their source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandshakesInProgress {
    /// Handshakes from unknown sources.
    pub unknown: usize,
    /// Handshakes from known sources.
    pub known: usize,
}

/// Decides which handshakes may begin. It has no clock: the caller passes times, in microseconds since 1970.
#[derive(Debug)]
pub struct HandshakeLimiter {
    limits: HandshakeLimits,
    in_progress: HandshakesInProgress,
    per_unknown_source: BTreeMap<IpAddr, usize>,
    /// The time of the last authentication of each known source.
    authenticated_at: BTreeMap<IpAddr, Micros>,
}

impl HandshakeLimiter {
    /// Creates a limiter with no handshakes in progress and no known sources.
    pub fn new(limits: HandshakeLimits) -> Self {
        Self {
            limits,
            in_progress: HandshakesInProgress::default(),
            per_unknown_source: BTreeMap::new(),
            authenticated_at: BTreeMap::new(),
        }
    }

    /// Begins a handshake with a source, if the limits allow it.
    ///
    /// # Errors
    /// See [`HandshakeRejected`].
    pub fn begin(&mut self, source: IpAddr, now: Micros) -> Result<HandshakePermit, HandshakeRejected> {
        let known = self.is_known(source, now);
        if self.in_progress.unknown + self.in_progress.known >= self.limits.max_handshakes {
            return Err(HandshakeRejected::NoPermit);
        }
        if known {
            self.in_progress.known += 1;
        } else {
            self.begin_unknown(source)?;
        }
        Ok(HandshakePermit { source, known })
    }

    /// Whether the source authenticated within the last `known_for`.
    fn is_known(&self, source: IpAddr, now: Micros) -> bool {
        let known_since = now.saturating_sub(self.limits.known_for);
        self.authenticated_at.get(&source).is_some_and(|at| *at >= known_since)
    }

    /// Counts a handshake from an unknown source, if an unreserved permit is free and the source is below its
    /// limit.
    fn begin_unknown(&mut self, source: IpAddr) -> Result<(), HandshakeRejected> {
        let unreserved = self.limits.max_handshakes.saturating_sub(self.limits.reserved_for_known);
        if self.in_progress.unknown >= unreserved {
            return Err(HandshakeRejected::NoPermit);
        }
        let of_source = self.per_unknown_source.entry(source).or_default();
        if *of_source >= self.limits.max_per_unknown_source {
            return Err(HandshakeRejected::SourceLimit);
        }
        *of_source += 1;
        self.in_progress.unknown += 1;
        Ok(())
    }

    /// Ends a handshake and returns its permit.
    pub fn finish(&mut self, permit: HandshakePermit, outcome: HandshakeOutcome, now: Micros) {
        if permit.known {
            self.in_progress.known -= 1;
        } else {
            self.finish_unknown(permit.source);
        }
        if outcome == HandshakeOutcome::Authenticated {
            self.add_known_source(permit.source, now);
        }
    }

    fn finish_unknown(&mut self, source: IpAddr) {
        self.in_progress.unknown -= 1;
        if let Some(of_source) = self.per_unknown_source.get_mut(&source) {
            *of_source -= 1;
            if *of_source == 0 {
                self.per_unknown_source.remove(&source);
            }
        }
    }

    /// Makes a source known, and removes the source that authenticated longest ago if there are too many.
    fn add_known_source(&mut self, source: IpAddr, now: Micros) {
        self.authenticated_at.insert(source, now);
        if self.authenticated_at.len() <= self.limits.max_known_sources {
            return;
        }
        let oldest = self.authenticated_at.iter().min_by_key(|(_, at)| **at).map(|(source, _)| *source);
        if let Some(oldest) = oldest {
            self.authenticated_at.remove(&oldest);
        }
    }

    /// The handshakes in progress.
    pub fn in_progress(&self) -> HandshakesInProgress {
        self.in_progress
    }
}
