//! The settings of a member, and the errors of its start.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use stepspur_consensus::{InvalidSetting, MemberId};

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The member's identity, which must match that of its storage.
    pub id: MemberId,
    /// The address at which the member accepts connections from peers. [`Tcp`](crate::Tcp) accepts only a
    /// loopback address, because the connections are not authenticated yet.
    pub listen: SocketAddr,
    /// The addresses of all members of the group. No link is opened to the member itself.
    pub peers: BTreeMap<MemberId, SocketAddr>,
    /// The timeouts and limits of consensus, the same for all members of a group.
    pub consensus: stepspur_consensus::Settings,
    /// Name prefixes of the roles that the member accepts: the first 64 count. An empty list matches no role,
    /// an empty prefix matches all.
    pub role_prefixes: Vec<String>,
    /// The member's share of these roles relative to the weights of the other members; 0: no further roles.
    pub role_weight: f64,
    /// The timeout for connecting to a peer, for each write to it, and for the first frame of an accepted
    /// connection.
    pub io_timeout: Duration,
    /// The largest frame, in bytes. A full batch of commands of the largest size must fit.
    pub max_frame_bytes: usize,
}

/// Errors that prevent the start of a member.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A consensus setting is out of bounds.
    #[error("council.{0}")]
    InvalidSetting(#[from] InvalidSetting),
    /// The storage belongs to another member.
    #[error("the state file belongs to member {found}, but the settings are for member {expected}")]
    WrongIdentity {
        /// The member that the storage belongs to.
        found: MemberId,
        /// The member that the settings are for.
        expected: MemberId,
    },
    /// The transport cannot listen at the member's address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// The operating system cannot start the thread for the storage.
    #[error("cannot start the storage thread: {0}")]
    StorageThread(io::Error),
}
