//! Carries out operations that operators or the distributed configuration request.

use std::net::SocketAddr;

use stepspur::interface::{ClassId, EndpointState, Event, ListUpdate, Micros};

use super::operation::{Operation, OperationError};
use super::state::Engine;
use crate::config::AdmissionModeConfig;

impl Engine {
    /// Carries out an operation.
    ///
    /// # Errors
    /// [`OperationError`] if the operation is rejected; the engine's state is then unchanged.
    pub fn operate(&mut self, now: Micros, operation: Operation) -> Result<(), OperationError> {
        match operation {
            Operation::Drain { server, on } => self.override_listed(server, EndpointState::Draining, on),
            Operation::Withdraw { server, on } => self.override_listed(server, EndpointState::Removed, on),
            Operation::Override { server, state, on } => self.override_any(server, state.into(), on),
            Operation::Level { class, share } => self.cap_admission(now, &class, share),
        }
    }

    /// Overrides the state of a listed server, or lifts the override if `on` is false.
    fn override_listed(
        &mut self,
        server: SocketAddr,
        state: EndpointState,
        on: bool,
    ) -> Result<(), OperationError> {
        let entry = self.endpoints.override_state(server, state, on).ok_or(OperationError::UnknownServer)?;
        self.batch.push(Event::EndpointList { update: ListUpdate::Delta, entries: [entry].into() });
        Ok(())
    }

    /// Does the same as [`Engine::override_listed`], also for a server that no list has contained yet.
    fn override_any(
        &mut self,
        server: SocketAddr,
        state: EndpointState,
        on: bool,
    ) -> Result<(), OperationError> {
        match self.override_listed(server, state, on) {
            Err(OperationError::UnknownServer) if on => self.endpoints.override_unlisted(server, state),
            Err(OperationError::UnknownServer) => self.endpoints.lift_unlisted(server, state),
            result => result,
        }
    }

    /// Caps the admission ratio of a class at `ratio`, 0 to 1; 1 lifts the cap.
    fn cap_admission(&mut self, now: Micros, class: &str, ratio: f64) -> Result<(), OperationError> {
        let index = self.config.fleet.classes.iter().position(|known| known.name == class);
        let index = index.ok_or(OperationError::UnknownClass)?;
        if !(0.0..=1.0).contains(&ratio) {
            return Err(OperationError::InvalidRatio);
        }
        if self.config.fleet.admit != AdmissionModeConfig::Share {
            return Err(OperationError::NotRatioBased);
        }
        let updates = self.tables.cap_admission(ClassId(index as u8), ratio as f32, now);
        self.policy.record_messages(None, self.message_lines(&updates));
        self.enqueue_updates(now, updates);
        Ok(())
    }
}
