//! Limits of the replicated configuration and of its commands. All members must have the same ones.

/// Changes in a command, at most.
pub const MAX_CHANGES: usize = 64;
/// Registrations in a command, at most.
pub const MAX_REGISTRATIONS: usize = 64;
/// Length of a registration, in bytes, at most. An interest that exceeds
/// `MAX_REGISTRATION_BYTES_WITH_TENANTS` is registered without its tenants.
pub const MAX_REGISTRATION_BYTES: usize = 24 << 10;
/// Length of a registration that names its tenants, in bytes, at most.
pub(super) const MAX_REGISTRATION_BYTES_WITH_TENANTS: usize = 2 << 10;
/// Changes that are retained for deltas, at most. Beyond that the oldest versions are discarded.
pub const MAX_RECENT_CHANGES: usize = 16_384;
/// Current documents, at most.
pub const MAX_DOCUMENTS: usize = 250_000;
/// Registered subscribers, at most.
pub const MAX_SUBSCRIBERS: usize = 10_000;
