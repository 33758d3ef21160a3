//! Limits of the replicated configuration and of its commands. They must be the same at all members, or the
//! members' states diverge.

/// Maximum number of changes in a command.
pub const MAX_CHANGES: usize = 64;
/// Maximum number of registrations in a command.
pub const MAX_REGISTRATIONS: usize = 64;
/// Maximum length of a registration, in bytes. An interest that exceeds
/// `MAX_REGISTRATION_BYTES_WITH_TENANTS` is registered without its tenants.
pub const MAX_REGISTRATION_BYTES: usize = 24 << 10;
/// Maximum length of a registration that names its tenants, in bytes.
pub(super) const MAX_REGISTRATION_BYTES_WITH_TENANTS: usize = 2 << 10;
/// Maximum number of changes that are retained for deltas. Beyond it the oldest versions are discarded.
pub const MAX_RECENT_CHANGES: usize = 16_384;
/// Maximum number of current documents.
pub const MAX_DOCUMENTS: usize = 250_000;
/// Maximum number of registered subscribers.
pub const MAX_SUBSCRIBERS: usize = 10_000;
