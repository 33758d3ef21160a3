//! State of one server of the endpoint list.

use stepspur::interface::Micros;

use super::super::input::DiscoveredEndpoint;

/// Difference, in microseconds, below which two listed starts are the same: lists derive them from clocks
/// that differ.
const SAME_START_TOLERANCE: Micros = 1_000_000;
/// Time from a server's removal until it is forgotten, in microseconds.
const REMOVED_RETENTION: Micros = 600_000_000;

/// A server that an endpoint list has contained.
#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    /// The newest valid entry of the list.
    pub(super) entry: DiscoveredEndpoint,
    pub(super) start: StartTime,
    /// True once it was listed as draining or removed, or with a start, or was omitted from a complete list:
    /// proxies may have it ejected by another conductor or by an earlier run of this one.
    pub(super) possibly_ejected: bool,
    /// When the list removed the server; `None` while it is listed.
    pub(super) removed_at: Option<Micros>,
}

/// When a server last started, by the engine's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartTime {
    /// The server's start in microseconds, or when that start was first listed if it was then in the future.
    pub(super) at: Micros,
    /// True if the start was in the future when it was first listed.
    pub(super) was_in_future: bool,
}

impl StartTime {
    /// Converts a listed start (microseconds since 1970, 0 for long ago) to the engine's clock. A start in
    /// the future comes from a wrong clock and is replaced by `now`, since the server started no later than
    /// its start was first listed. `clock_offset` is the engine's time minus wall-clock time, in
    /// microseconds.
    pub(super) fn from_listed(started: Micros, clock_offset: i64, now: Micros) -> Self {
        let by_engine_clock = if started > 0 { started.saturating_add_signed(clock_offset) } else { 0 };
        Self { at: by_engine_clock.min(now), was_in_future: by_engine_clock > now }
    }
}

impl KnownEndpoint {
    /// Returns true if `started` is the known start, or if no start is listed.
    pub(super) fn has_same_start(&self, started: Micros) -> bool {
        started == 0 || started.abs_diff(self.entry.started) < SAME_START_TOLERANCE
    }

    /// Returns true if `started` is earlier than the known start. A known start that was in the future is
    /// wrong and may be corrected by an earlier one.
    pub(super) fn is_newer_than(&self, started: Micros) -> bool {
        started < self.entry.started && !self.start.was_in_future && !self.has_same_start(started)
    }

    /// Returns true if the server was removed long enough ago to be forgotten.
    pub(super) fn is_expired(&self, now: Micros) -> bool {
        self.removed_at.is_some_and(|removed_at| now > removed_at + REMOVED_RETENTION)
    }
}
