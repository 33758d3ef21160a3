//! Hollow servers and proxies: stand-ins that put the load of real ones on a conductor and do nothing else.

pub(crate) mod proxies;
pub(crate) mod servers;
#[cfg(test)]
mod tests;
