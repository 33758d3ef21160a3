//! What a member is started with, and why it may not start.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use stepspur_consensus::{InvalidSetting, MemberId};

/// A council member's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its identity; that of its storage where it has one.
    pub id: MemberId,
    /// Where peers dial in: on loopback, as the links carry no identity yet.
    pub listen: SocketAddr,
    /// The others, and where they listen.
    pub peers: BTreeMap<MemberId, SocketAddr>,
    /// What all members go by.
    pub council: stepspur_consensus::Settings,
    /// Beginnings of the names of duties that it would hold.
    pub wants: Vec<String>,
    /// How much of them, against others.
    pub weight: f64,
    /// Dialling and each write are due in this time, and so is a caller's first frame.
    pub within: Duration,
    /// The largest frame, in bytes: a batch of the longest commands must fit.
    pub largest_frame: usize,
}

/// Why a member did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Settings are out of bounds.
    #[error("council.{0}")]
    Settings(#[from] InvalidSetting),
    /// The storage is another member's.
    #[error("the state file is that of {found}, and the settings name {named}")]
    Identity {
        /// The storage's.
        found: MemberId,
        /// The settings'.
        named: MemberId,
    },
    /// Connections cannot be accepted at an address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// The system starts no thread for the storage.
    #[error("no thread for the disk: {0}")]
    Thread(io::Error),
}
