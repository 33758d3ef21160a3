//! Limits on the unfinished input of all peers together, so that hundreds of them that send long messages
//! slowly, or never end them, do not exhaust the memory.

/// Longest message that a connection reads without a permit, in bytes.
pub const MAX_SHORT_MESSAGE_BYTES: usize = 16 << 10;
/// Number of connections of a listener that may hold a part of a longer message at a time.
pub const MAX_LONG_MESSAGES: usize = 16;
