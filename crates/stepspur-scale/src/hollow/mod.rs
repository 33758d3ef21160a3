//! Hollow servers and proxies: they cost the conductor what real ones do, and do nothing else.

pub(crate) mod proxies;
pub(crate) mod servers;
#[cfg(test)]
mod tests;
