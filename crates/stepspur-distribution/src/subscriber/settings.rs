//! A subscriber's settings, and why it does not start.

use std::net::SocketAddr;
use std::time::Duration;

use stepspur_proto::FrameError;

use super::messages::{self, MAX_FRAME_BYTES};
use crate::document::{DocumentError, Interest, MAX_NAME_BYTES, is_valid_name};
use crate::scope_store::StoreError;
use crate::version::Version;

/// A subscriber's settings.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// The name under which it is registered. No two running subscribers share one.
    pub name: String,
    /// Which documents concern it.
    pub interest: Interest,
    /// The first control members to try. They name the others.
    pub control: Vec<SocketAddr>,
    /// Time limit of connecting, and again of the first frame.
    pub dial_timeout: Duration,
    /// Time limit of writing a frame.
    pub write_timeout: Duration,
    /// Seed of the jitter of the backoff.
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
    /// The interest does not fit in a frame.
    #[error("interest: {0}")]
    InterestTooLarge(#[from] FrameError),
    /// The store cannot be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The task that reads the store ended without a result.
    #[error("reading what is kept: {0}")]
    Load(String),
}

impl SubscriberSettings {
    /// Checks the settings, and sorts the interest.
    pub(super) fn checked(mut self) -> Result<Self, SubscriberStartError> {
        if !is_valid_name(&self.name) {
            return Err(SubscriberStartError::InvalidName);
        }
        if self.control.is_empty() {
            return Err(SubscriberStartError::NoControlMember);
        }
        self.interest = self.interest.sorted()?;
        let subscribe = messages::subscribe(&self.name, &self.interest, Version::NONE, Version::NONE, true);
        stepspur_proto::frame(&subscribe, MAX_FRAME_BYTES)?;
        Ok(self)
    }
}
