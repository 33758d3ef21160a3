//! Operations that operators or the distributed configuration request.

use std::net::SocketAddr;

use stepspur::interface::EndpointState;

/// An operation that an operator or the distributed configuration requests. The engine applies it without a
/// decision; the decision module receives only the resulting states of servers.
///
/// The audit log stores the `Debug` form of `Drain`, `Withdraw` and `Level`, so their names and fields must
/// not change.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Treats a listed server as draining, unless the list has removed it, until the operation is lifted.
    Drain {
        /// Address of the server.
        server: SocketAddr,
        /// True to drain the server, false to lift the drain.
        on: bool,
    },
    /// Treats a listed server as removed, whatever its listed state, until the operation is lifted.
    Withdraw {
        /// Address of the server.
        server: SocketAddr,
        /// True to remove the server, false to lift the removal.
        on: bool,
    },
    /// Overrides a server's state until the override is lifted, unless the listed state is later in the order
    /// ready, draining, removed. If no list has contained the server yet, the override applies from the first
    /// list that does: the distributed configuration, which uses this operation, is applied before the first
    /// list.
    Override {
        /// Address of the server.
        server: SocketAddr,
        /// State that the server is treated as having.
        state: OverrideState,
        /// True to set the override, false to lift it; one with another state is not lifted.
        on: bool,
    },
    /// Caps the admission ratio of a class, whatever level the decision module sets.
    Level {
        /// Name of the class.
        class: String,
        /// Upper bound of the fraction of its requests to admit, 0 to 1; 1 lifts the cap.
        share: f64,
    },
}

/// The state that an overridden server is treated as having.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideState {
    /// The server gets no new requests and completes those in flight.
    Draining,
    /// The server is removed from all tables.
    Removed,
}

impl From<OverrideState> for EndpointState {
    fn from(state: OverrideState) -> Self {
        match state {
            OverrideState::Draining => Self::Draining,
            OverrideState::Removed => Self::Removed,
        }
    }
}

/// Why an operation is rejected. The message is returned to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// No endpoint list has contained the server.
    #[error("no list has named this server")]
    UnknownServer,
    /// The limit of overrides for servers that no list has contained is reached.
    #[error("too many overrides of servers that no list has named")]
    TooManyOverrides,
    /// The deployment has no class of this name.
    #[error("no class of this name")]
    UnknownClass,
    /// The ratio is not between 0 and 1.
    #[error("the share must be between 0 and 1")]
    InvalidRatio,
    /// Proxies of this deployment interpret admission levels as rates, or ignore them.
    #[error("admission levels of this deployment are not shares: `fleet.admit` is not `share`")]
    NotRatioBased,
}
