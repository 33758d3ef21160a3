//! The settings of a control member, their checks, and the errors of its start.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::configuration::CONFIGURATION;
use crate::keep_alive::{MAX_KEEP_ALIVE, MIN_KEEP_ALIVE};
pub use crate::placement::ControlMember;

/// What a control member is started with.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Its id in the consensus group.
    pub id: u64,
    /// The address at which it accepts subscribers and summaries of other control members.
    pub listen: SocketAddr,
    /// Its region, by which subscribers choose a member.
    pub region: String,
    /// All control members, as subscribers are given them. This one may be left out.
    pub members: Vec<ControlMember>,
    /// Rate limit of snapshots over all subscribers, in bytes per second. Deltas are not limited.
    pub snapshot_bytes_per_s: u32,
    /// The maximum number of attached subscribers.
    pub subscribers_max: u32,
    /// The longest interval between two frames of either side. A connection without a frame for three
    /// intervals is closed.
    pub keep_alive: Duration,
}

/// The valid range of keep-alive intervals.
pub const KEEP_ALIVE: RangeInclusive<Duration> = MIN_KEEP_ALIVE..=MAX_KEEP_ALIVE;

/// Why a setting is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidControlSetting {
    /// The rate limit of snapshots is 0, so that no snapshot could be sent.
    #[error("snapshot_bytes_per_s: must be above 0")]
    ZeroSnapshotRate,
    /// The limit of subscribers is 0, so that none could attach.
    #[error("subscribers_max: must be above 0")]
    ZeroSubscribers,
    /// The keep-alive interval is outside [`KEEP_ALIVE`].
    #[error("keep_alive: must be between 100 ms and 10 min")]
    KeepAlive(Duration),
    /// Two members have the same id.
    #[error("members: two members have the same id")]
    DuplicateMember,
}

/// Why a control member does not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlStartError {
    /// A setting is invalid.
    #[error(transparent)]
    InvalidSetting(#[from] InvalidControlSetting),
    /// The consensus member does not replicate the configuration.
    #[error("the consensus member does not replicate the configuration (state machine {CONFIGURATION})")]
    MissingStateMachine,
    /// The address cannot be bound.
    #[error("cannot listen at {address}: {cause}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the transport.
        cause: std::io::Error,
    },
}

impl ControlSettings {
    /// Checks every setting that has a bound.
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

    /// The number of control members, this one included.
    pub(super) fn member_count(&self) -> usize {
        let is_listed = self.members.iter().any(|member| member.id == self.id);
        self.members.len() + usize::from(!is_listed)
    }
}
