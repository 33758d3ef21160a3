//! Overrides of servers' states by operators and the distributed configuration.

use std::net::SocketAddr;

use stepspur::interface::{Endpoint, EndpointState};

use super::super::operation::OperationError;
use super::store::EndpointStore;

/// Maximum number of overrides for servers that no list has contained; bounds their memory.
const MAX_UNLISTED_OVERRIDES: usize = 65_536;

impl EndpointStore {
    /// Overrides a server's state, or lifts an override with that state if `on` is false, and returns the
    /// server's entry for the decision module; `None` if no list has contained the server.
    pub(crate) fn override_state(
        &mut self,
        address: SocketAddr,
        state: EndpointState,
        on: bool,
    ) -> Option<Endpoint> {
        let server = self.server_at(address)?;
        if on {
            self.overrides.insert(server, state);
        } else if self.overrides.get(&server) == Some(&state) {
            self.overrides.remove(&server);
        }
        Some(self.effective_entry(server, self.servers.get(&server)?))
    }

    /// Overrides the state of a server that no list has contained yet. The override applies from the first
    /// list that does.
    ///
    /// # Errors
    /// [`OperationError::TooManyOverrides`] if the server has no override yet and the limit is reached.
    pub(crate) fn override_unlisted(
        &mut self,
        address: SocketAddr,
        state: EndpointState,
    ) -> Result<(), OperationError> {
        let is_full = self.unlisted_overrides.len() >= MAX_UNLISTED_OVERRIDES;
        if is_full && !self.unlisted_overrides.contains_key(&address) {
            return Err(OperationError::TooManyOverrides);
        }
        self.unlisted_overrides.insert(address, state);
        Ok(())
    }

    /// Lifts the override of a server that no list has contained yet. An override with another state remains.
    ///
    /// # Errors
    /// [`OperationError::UnknownServer`] if the server has no override.
    pub(crate) fn lift_unlisted(
        &mut self,
        address: SocketAddr,
        state: EndpointState,
    ) -> Result<(), OperationError> {
        let overridden = self.unlisted_overrides.get(&address).ok_or(OperationError::UnknownServer)?;
        if *overridden == state {
            self.unlisted_overrides.remove(&address);
        }
        Ok(())
    }
}
