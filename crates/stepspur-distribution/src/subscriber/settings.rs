//! The settings of a subscriber, their checks, and the errors of its start.

use std::net::SocketAddr;
use std::time::Duration;

use stepspur_proto::FrameError;

use super::messages::{self, MAX_FRAME_BYTES};
use crate::document::{DocumentError, Interest, MAX_NAME_BYTES, is_valid_name};
use crate::scope_store::StoreError;
use crate::version::Version;

/// What a subscriber is started with.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// The name under which it is registered. It must be unique among running subscribers.
    pub name: String,
    /// Which documents concern it.
    pub interest: Interest,
    /// Addresses of the control members to try first. Their welcome names the others.
    pub control: Vec<SocketAddr>,
    /// Time limit for connecting, and again for the first frame of the control member.
    pub dial_timeout: Duration,
    /// Time limit for writing a frame. Exceeding it ends the connection.
    pub write_timeout: Duration,
    /// Seed of the random jitter of the reconnect backoff.
    pub seed: u64,
}

/// Why a subscriber did not start.
#[derive(Debug, thiserror::Error)]
pub enum SubscriberStartError {
    /// The name is empty, too long or has control characters.
    #[error("name: must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    InvalidName,
    /// The settings name no control member.
    #[error("control: must name at least one address")]
    NoControlMember,
    /// The interest is invalid.
    #[error("interest: {0}")]
    InvalidInterest(#[from] DocumentError),
    /// The first frame with this interest is too large.
    #[error("interest: {0}")]
    InterestTooLarge(#[from] FrameError),
    /// The store cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The task that reads the store ended without a result.
    #[error("cannot read the store: {0}")]
    Load(String),
}

impl SubscriberSettings {
    /// Checks the settings, and returns them with a sorted interest.
    pub(super) fn checked(mut self) -> Result<Self, SubscriberStartError> {
        if !is_valid_name(&self.name) {
            return Err(SubscriberStartError::InvalidName);
        }
        if self.control.is_empty() {
            return Err(SubscriberStartError::NoControlMember);
        }
        self.interest = self.interest.sorted()?;
        let subscribe = messages::subscribe(&self.name, &self.interest, Version::NONE, Version::NONE, true);
        stepspur_proto::encode_frame(&subscribe, MAX_FRAME_BYTES)?;
        Ok(self)
    }
}
