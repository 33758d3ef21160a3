//! Authentication and authorization of a conductor's callers.
//!
//! A caller presents a client certificate, a token, or both. They yield a [`grant::Grant`], which is checked
//! on every call until it ends. The crate is sans-IO except for the files of [`keys`] and [`pki`]: it has no
//! clock, and callers pass times in microseconds since 1970. `docs/identity.md` describes the threats and the
//! alternatives considered.

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
