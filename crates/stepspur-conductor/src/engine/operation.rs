//! What operators order.

use std::net::SocketAddr;

use stepspur::interface::{ClassId, EndpointState, Event, ListUpdate, Micros};

use super::Engine;
use crate::config::AdmitConfig;

/// What an operator orders. It is no decision of the module's: the module is told what follows from it.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// A server is held to be draining, whatever the list says, until it is lifted.
    Drain {
        /// The server.
        server: SocketAddr,
        /// False: lifted.
        on: bool,
    },
    /// A server is held to be gone, whatever the list says, until it is lifted.
    Withdraw {
        /// The server.
        server: SocketAddr,
        /// False: lifted.
        on: bool,
    },
    /// A server is held, whatever the list says, until it is lifted: from the first list that names it on, if none has
    /// yet. Configuration holds servers so, since it is applied before the first list is read.
    Hold {
        /// The server.
        server: SocketAddr,
        /// What it is held to be.
        kind: HoldKind,
        /// False: lifted.
        on: bool,
    },
    /// No more than this share of a class is let in, whatever the module orders; 1 lifts it.
    Level {
        /// The class's name.
        class: String,
        /// The share.
        share: f64,
    },
}

/// What a held server is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldKind {
    /// It gets no new requests and ends those that it has.
    Draining,
    /// It is gone.
    Withdrawn,
}

impl HoldKind {
    fn state(self) -> EndpointState {
        match self {
            Self::Draining => EndpointState::Draining,
            Self::Withdrawn => EndpointState::Removed,
        }
    }
}

/// Why an operation cannot be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// No list has named the server.
    #[error("no list has named this server")]
    UnknownServer,
    /// As many servers that no list has named are held as can be.
    #[error("too many servers are held that no list has named")]
    TooManyHeld,
    /// The class is none of the fleet's.
    #[error("no class of this name")]
    UnknownClass,
    /// Not a share.
    #[error("a share lies between 0 and 1")]
    Share,
    /// Levels of this fleet are rates, or not heeded.
    #[error("levels of this fleet are no shares")]
    NoShares,
}

impl Engine {
    /// Does what an operator orders.
    ///
    /// # Errors
    /// See [`OperationError`]; nothing has changed then.
    pub fn operate(&mut self, now: Micros, operation: Operation) -> Result<(), OperationError> {
        match operation {
            Operation::Drain { server, on } => self.override_state(server, EndpointState::Draining, on),
            Operation::Withdraw { server, on } => self.override_state(server, EndpointState::Removed, on),
            Operation::Hold { server, kind, on } => self.hold(server, kind.state(), on),
            Operation::Level { class, share } => self.cap_level(now, &class, share),
        }
    }

    /// Holds a server to be in a state, or believes the list again.
    fn override_state(
        &mut self,
        server: SocketAddr,
        state: EndpointState,
        on: bool,
    ) -> Result<(), OperationError> {
        let entry = self.servers.override_state(server, state, on).ok_or(OperationError::UnknownServer)?;
        self.batch.push(Event::EndpointList { update: ListUpdate::Delta, entries: [entry].into() });
        Ok(())
    }

    /// As [`Engine::override_state`], also for a server that no list has named yet.
    fn hold(&mut self, server: SocketAddr, state: EndpointState, on: bool) -> Result<(), OperationError> {
        match self.override_state(server, state, on) {
            Err(OperationError::UnknownServer) if on => self.servers.hold_unlisted(server, state),
            Err(OperationError::UnknownServer) => self.servers.lift_unlisted(server, state),
            done => done,
        }
    }

    /// Lets in no more than this share of a class.
    fn cap_level(&mut self, now: Micros, class: &str, share: f64) -> Result<(), OperationError> {
        let place = self.config.fleet.classes.iter().position(|known| known.name == class);
        let place = place.ok_or(OperationError::UnknownClass)?;
        if !(0.0..=1.0).contains(&share) {
            return Err(OperationError::Share);
        }
        if self.config.fleet.admit != AdmitConfig::Share {
            return Err(OperationError::NoShares);
        }
        let orders = self.tables.cap(ClassId(place as u8), share as f32, now);
        self.order(now, orders);
        Ok(())
    }
}
