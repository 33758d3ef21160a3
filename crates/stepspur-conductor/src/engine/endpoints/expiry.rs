//! Forgets servers that were removed long ago, so that memory stays bounded while servers are replaced.

use stepspur::interface::{Micros, ServerId};

use super::store::EndpointStore;

/// Interval between searches for expired servers, in microseconds.
const EXPIRY_INTERVAL: Micros = 10_000_000;

impl EndpointStore {
    /// Forgets servers that were removed long ago and are not in use, and returns their ids. Does so once
    /// every [`EXPIRY_INTERVAL`].
    pub(crate) fn expire(&mut self, now: Micros, is_in_use: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        if now < self.last_expiry_at + EXPIRY_INTERVAL {
            return Vec::new();
        }
        self.last_expiry_at = now;
        let mut expired = Vec::new();
        for (server, known) in &self.servers {
            if known.is_expired(now) && !is_in_use(*server) {
                expired.push(*server);
            }
        }
        for server in &expired {
            self.servers.remove(server);
            self.overrides.remove(server);
            self.ids.remove(*server);
        }
        expired
    }
}
