//! Hollow servers and proxies: they cost the conductor what real ones do, and do nothing else.

pub mod proxies;
pub mod servers;
#[cfg(test)]
mod tests;
