//! What a member is started with, and why it may not start.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use stepspur_consensus::{InvalidSetting, MemberId};

/// A member's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its identity, which must be that of its storage.
    pub id: MemberId,
    /// The address at which it accepts peers: on loopback, as the links have no authentication yet.
    pub listen: SocketAddr,
    /// The members and their addresses; its own entry is ignored.
    pub peers: BTreeMap<MemberId, SocketAddr>,
    /// The settings that all members share.
    pub consensus: stepspur_consensus::Settings,
    /// Prefixes of the names of roles that it would hold, 64 at most.
    pub role_prefixes: Vec<String>,
    /// Its share of these roles relative to other members'; 0: none.
    pub role_weight: f64,
    /// The timeout for connecting to a peer, for each write to it, and for the first frame of an accepted
    /// connection.
    pub io_timeout: Duration,
    /// The largest frame, in bytes: a batch of the largest commands must fit.
    pub max_frame_bytes: usize,
}

/// Why a member did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is out of bounds.
    #[error("council.{0}")]
    InvalidSetting(#[from] InvalidSetting),
    /// The storage belongs to another member.
    #[error("the state file is that of {found}, and the settings name {expected}")]
    WrongIdentity {
        /// The storage's member.
        found: MemberId,
        /// The settings' member.
        expected: MemberId,
    },
    /// It cannot listen at its address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        cause: io::Error,
    },
    /// The system starts no thread for the storage.
    #[error("no thread for the disk: {0}")]
    StorageThread(io::Error),
}
