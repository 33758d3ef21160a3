//! What a control member is started with.

use std::net::SocketAddr;
use std::time::Duration;

pub use crate::placement::ControlMember;

/// What a control member is started with.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Its identity in the council.
    pub id: u64,
    /// Where it serves subscribers, and other control members report.
    pub listen: SocketAddr,
    /// Where it stands.
    pub region: String,
    /// All control members, this one among them or not.
    pub members: Vec<ControlMember>,
    /// Bytes of snapshots that it writes in a second, over all subscribers.
    pub snapshot_bytes_per_s: u32,
    /// Subscribers that it takes at most.
    pub subscribers_max: u32,
    /// The largest span between two frames of either side. Three without a frame end a connection.
    pub keep_alive: Duration,
}

/// The shortest and the longest keep-alive.
pub const KEEP_ALIVE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(600);

/// Why a control member does not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlStartError {
    /// A setting is out of bounds.
    #[error("{setting}: {fault}")]
    Setting {
        /// Which.
        setting: &'static str,
        /// What is wrong.
        fault: String,
    },
    /// The council was started without the book of configuration.
    #[error("the council's member has no book {}", crate::configuration::CONFIGURATION)]
    NoBook,
    /// Callers cannot be let in.
    #[error("cannot listen at {address}: {cause}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        cause: std::io::Error,
    },
}

impl ControlSettings {
    /// Checks them.
    ///
    /// # Errors
    /// [`ControlStartError::Setting`].
    pub fn check(&self) -> Result<(), ControlStartError> {
        let fault =
            |setting, fault: &str| Err(ControlStartError::Setting { setting, fault: fault.to_owned() });
        if self.snapshot_bytes_per_s == 0 {
            return fault("snapshot_bytes_per_s", "must be above 0");
        }
        if self.subscribers_max == 0 {
            return fault("subscribers_max", "must be above 0");
        }
        if !KEEP_ALIVE.contains(&self.keep_alive) {
            return fault("keep_alive", "must lie between 100 ms and 10 min");
        }
        let ids: std::collections::BTreeSet<u64> = self.members.iter().map(|member| member.id).collect();
        if ids.len() != self.members.len() {
            return fault("members", "an id stands twice");
        }
        Ok(())
    }

    /// How many control members there are, this one among them.
    pub(crate) fn count(&self) -> usize {
        let listed = self.members.iter().any(|member| member.id == self.id);
        self.members.len() + usize::from(!listed)
    }
}
