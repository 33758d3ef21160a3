//! The identity of a conductor's callers, and what they may do.
//!
//! A caller shows a client certificate, a token, or both. From these a [`grant::Grant`] is made, which is
//! checked on every call until it ends. All of this is sans-IO but the files of [`keys`]: times are given, in
//! microseconds since
//! 1970. `docs/identity.md` has the alternatives that were weighed and the threats.

pub mod cert;
pub mod grant;
pub mod handshake_limiter;
pub mod keys;
pub mod pki;
pub mod rights;
pub mod tls;
pub mod token;

/// A time in whole microseconds since 1970, or a duration in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
const MICROS_PER_SECOND: Micros = 1_000_000;
