//! What is known of one server of the endpoint list.

use stepspur::interface::Micros;

use super::super::input::DiscoveredEndpoint;

/// Starts that differ by less, in microseconds, are the same: lists derive them from clocks that differ.
const SAME_START_TOLERANCE: Micros = 1_000_000;
/// A server that was removed this long ago, in microseconds, is forgotten.
const REMOVED_RETENTION: Micros = 600_000_000;

/// A server of the endpoint list.
#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    pub(super) entry: DiscoveredEndpoint,
    pub(super) start: StartTime,
    pub(super) removed_at: Option<Micros>,
}

/// When a server last started, by the engine's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartTime {
    /// The start, or when it was first listed if it was in the future then.
    pub(super) at: Micros,
    /// True: it was in the future when it was first listed.
    pub(super) was_in_future: bool,
}

impl StartTime {
    /// Converts a listed start (microseconds since 1970; 0: long ago). A start in the future comes from a
    /// wrong clock: the server started no later than its start was first listed.
    pub(super) fn from_listed(started: Micros, clock_offset: i64, now: Micros) -> Self {
        let by_own_clock = if started > 0 { started.saturating_add_signed(clock_offset) } else { 0 };
        Self { at: by_own_clock.min(now), was_in_future: by_own_clock > now }
    }
}

impl KnownEndpoint {
    /// True if `started` is the known start, or none is given.
    pub(super) fn has_same_start(&self, started: Micros) -> bool {
        started == 0 || started.abs_diff(self.entry.started) < SAME_START_TOLERANCE
    }

    /// True if `started` is earlier than the known start. One that was in the future was wrong and may be
    /// corrected.
    pub(super) fn is_newer_than(&self, started: Micros) -> bool {
        started < self.entry.started && !self.start.was_in_future && !self.has_same_start(started)
    }

    /// True if it was removed long enough ago to be forgotten.
    pub(super) fn is_expired(&self, now: Micros) -> bool {
        self.removed_at.is_some_and(|removed_at| now > removed_at + REMOVED_RETENTION)
    }
}
