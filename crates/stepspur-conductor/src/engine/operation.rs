//! Operations that operators request.

use std::net::SocketAddr;

use stepspur::interface::EndpointState;

/// An operation that an operator or the distributed configuration requests. The decision module does not
/// decide on it: it is given what follows from it.
///
/// The audit log stores the `Debug` form of `Drain`, `Withdraw` and `Level`: their names and fields must not
/// change.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Treats a listed server as draining, unless the list has removed it, until it is lifted.
    Drain {
        /// The server.
        server: SocketAddr,
        /// False: lifted.
        on: bool,
    },
    /// Treats a listed server as removed, whatever the list says, until it is lifted.
    Withdraw {
        /// The server.
        server: SocketAddr,
        /// False: lifted.
        on: bool,
    },
    /// Overrides a server's state until it is lifted, unless the list's state is further on (ready, draining,
    /// removed); if no list has named the server yet, from the first list that does. The distributed
    /// configuration uses it, since it is applied before the first list.
    Override {
        /// The server.
        server: SocketAddr,
        /// The state that it is treated as.
        state: OverrideState,
        /// False: lifted.
        on: bool,
    },
    /// Caps the admission ratio of a class, whatever is decided; 1 lifts the cap.
    Level {
        /// The class' name.
        class: String,
        /// The highest fraction of its requests to admit, 0 to 1.
        share: f64,
    },
}

/// The state that an overridden server is treated as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideState {
    /// It gets no new requests and finishes its work.
    Draining,
    /// It is removed.
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

/// Why an operation is rejected. Operators read the messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// No list has named the server.
    #[error("no list has named this server")]
    UnknownServer,
    /// The limit of overrides of servers that no list has named is reached.
    #[error("too many servers are held that no list has named")]
    TooManyOverrides,
    /// The deployment has no class of this name.
    #[error("no class of this name")]
    UnknownClass,
    /// The ratio is not between 0 and 1.
    #[error("a share lies between 0 and 1")]
    InvalidRatio,
    /// Proxies of this deployment interpret admission levels as rates, or ignore them.
    #[error("levels of this fleet are no shares")]
    NotRatioBased,
}
