//! The settings of a control member, and why it does not start.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::configuration::CONFIGURATION;
use crate::keep_alive::{MAX_KEEP_ALIVE, MIN_KEEP_ALIVE};
pub use crate::placement::ControlMember;

/// The settings of a control member.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Its id in the consensus group.
    pub id: u64,
    /// The address at which it accepts subscribers and summaries of other control members.
    pub listen: SocketAddr,
    /// Its region.
    pub region: String,
    /// All control members, with or without this one.
    pub members: Vec<ControlMember>,
    /// Rate limit of snapshots over all subscribers, in bytes per second.
    pub snapshot_bytes_per_s: u32,
    /// Subscribers at once, at most.
    pub subscribers_max: u32,
    /// The longest interval between two frames of either side. Three intervals without a frame end a
    /// connection.
    pub keep_alive: Duration,
}

/// The valid range of keep-alive intervals.
pub const KEEP_ALIVE: RangeInclusive<Duration> = MIN_KEEP_ALIVE..=MAX_KEEP_ALIVE;

/// Why a setting is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidControlSetting {
    /// The rate limit of snapshots is 0.
    #[error("snapshot_bytes_per_s: must be above 0")]
    ZeroSnapshotRate,
    /// The limit of subscribers is 0.
    #[error("subscribers_max: must be above 0")]
    ZeroSubscribers,
    /// The keep-alive interval is outside [`KEEP_ALIVE`].
    #[error("keep_alive: must lie between 100 ms and 10 min")]
    KeepAlive(Duration),
    /// Two members have the same id.
    #[error("members: an id stands twice")]
    DuplicateMember,
}

/// Why a control member does not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlStartError {
    /// A setting is invalid.
    #[error(transparent)]
    InvalidSetting(#[from] InvalidControlSetting),
    /// The consensus member does not replicate the configuration.
    #[error("the council's member has no book {CONFIGURATION}")]
    MissingStateMachine,
    /// The address cannot be listened on.
    #[error("cannot listen at {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        cause: std::io::Error,
    },
}

impl ControlSettings {
    /// Checks the settings.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self) -> Result<(), InvalidControlSetting> {
        if self.snapshot_bytes_per_s == 0 {
            return Err(InvalidControlSetting::ZeroSnapshotRate);
        }
        if self.subscribers_max == 0 {
            return Err(InvalidControlSetting::ZeroSubscribers);
        }
        if !KEEP_ALIVE.contains(&self.keep_alive) {
            return Err(InvalidControlSetting::KeepAlive(self.keep_alive));
        }
        let ids: BTreeSet<u64> = self.members.iter().map(|member| member.id).collect();
        if ids.len() != self.members.len() {
            return Err(InvalidControlSetting::DuplicateMember);
        }
        Ok(())
    }

    /// The number of control members with this one.
    pub(super) fn member_count(&self) -> usize {
        let is_listed = self.members.iter().any(|member| member.id == self.id);
        self.members.len() + usize::from(!is_listed)
    }
}
