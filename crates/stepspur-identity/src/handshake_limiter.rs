//! Limits the handshakes in progress, before callers are identified.
//!
//! A source address that authenticated lately is a known source. Part of the permits is reserved for known
//! sources, so that a flood from unknown ones does not lock out proxies.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::Micros;

/// Limits of handshakes in progress.
#[derive(Clone, Copy, Debug)]
pub struct HandshakeLimits {
    /// Handshakes in progress at once.
    pub max_handshakes: usize,
    /// Of them, those that only known sources may use.
    pub reserved_for_known: usize,
    /// Handshakes in progress of one unknown source.
    pub max_per_unknown_source: usize,
    /// How long a source stays known after it has authenticated, in microseconds.
    pub known_for: Micros,
    /// Known sources that are remembered; beyond that the one whose last authentication is the oldest is
    /// forgotten.
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

/// Permission for one handshake; return it with [`HandshakeLimiter::finish`].
#[derive(Debug, PartialEq, Eq)]
pub struct HandshakePermit {
    source: IpAddr,
    known: bool,
}

/// Why a handshake may not begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeRejected {
    /// No permit is left for a source of this kind.
    #[error("too many handshakes are under way")]
    NoPermit,
    /// This unknown source has as many handshakes in progress as it may.
    #[error("too many handshakes of one source are under way")]
    SourceLimit,
}

/// How a handshake ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeOutcome {
    /// The caller authenticated: its source is known from now on.
    Authenticated,
    /// The caller did not authenticate.
    Failed,
}

/// Handshakes in progress by the kind of their source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandshakesInProgress {
    /// From sources that have not authenticated lately.
    pub unknown: usize,
    /// From sources that have.
    pub known: usize,
}

/// Decides which handshakes may begin. It has no clock: times are given, in microseconds since 1970.
#[derive(Debug)]
pub struct HandshakeLimiter {
    limits: HandshakeLimits,
    in_progress: HandshakesInProgress,
    per_unknown_source: BTreeMap<IpAddr, usize>,
    /// When known sources authenticated last.
    authenticated_at: BTreeMap<IpAddr, Micros>,
}

impl HandshakeLimiter {
    /// A limiter with no handshakes in progress and no known sources.
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

    fn is_known(&self, source: IpAddr, now: Micros) -> bool {
        let known_since = now.saturating_sub(self.limits.known_for);
        self.authenticated_at.get(&source).is_some_and(|at| *at >= known_since)
    }

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
            self.remember(permit.source, now);
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

    fn remember(&mut self, source: IpAddr, now: Micros) {
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
