//! The setting `[council]`, and how a conductor starts a member by it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur_consensus::{MemberId, PersistentState, RaftNode, StateMachine};
use stepspur_consensus_storage::{StorageError, Store};

use crate::handle::NodeHandle;
use crate::settings::{Settings, StartError};
use crate::storage::Storage;
use crate::tcp::Tcp;

/// The timeout for connecting to a peer, for each write, and for a first frame.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest frame, in bytes: a batch of the largest commands fits.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// All conductors want the same share of roles.
const ROLE_WEIGHT: f64 = 1.0;

/// The setting `[council]`: the consensus group that a conductor belongs to.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ConsensusConfig {
    /// The conductor's number. A conductor that has lost its state file gets a new one.
    #[garde(range(min = 1))]
    pub id: u64,
    /// The state file, created by `stepspur council bootstrap`. Without it the conductor only follows.
    #[garde(skip)]
    pub state: PathBuf,
    /// All conductors of the group with this one, 1 to 1,000, the same in all their settings. They are its
    /// first voters.
    #[garde(dive, length(min = 1, max = 1000), custom(lists_members_once(&self.id)))]
    pub conductors: Vec<MemberAddress>,
    /// The election timeout: a conductor without a leader's messages for one to two times this long
    /// campaigns. 10 ms to 10 minutes; default: 1 s.
    #[serde(default = "default_election", with = "humantime_serde")]
    #[garde(custom(fits_other_settings(self)))]
    pub election: Duration,
    /// The interval of a leader's heartbeats. 1 ms to a third of `election`; default: 200 ms.
    #[serde(default = "default_heartbeat", with = "humantime_serde")]
    #[garde(skip)]
    pub heartbeat: Duration,
    /// The interval of lease renewals. `heartbeat` or more; default: 400 ms.
    #[serde(default = "default_renew", with = "humantime_serde")]
    #[garde(skip)]
    pub renew: Duration,
    /// A disk that takes longer than this for a write counts as stalled. `heartbeat` or more; default: 2 s.
    #[serde(default = "default_disk_stall", with = "humantime_serde")]
    #[garde(skip)]
    pub disk_stall: Duration,
    /// How much faster or slower than true time a clock may run, in parts in a million. Up to 100,000;
    /// default: 1,000.
    #[serde(default = "default_drift_ppm")]
    #[garde(skip)]
    pub drift_ppm: u32,
}

/// A member's number and address.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct MemberAddress {
    /// The member's number.
    #[garde(range(min = 1))]
    pub id: u64,
    /// The address at which it accepts peers.
    #[garde(custom(is_loopback))]
    pub address: SocketAddr,
}

fn default_election() -> Duration {
    Duration::from_secs(1)
}
fn default_heartbeat() -> Duration {
    Duration::from_millis(200)
}
fn default_renew() -> Duration {
    Duration::from_millis(400)
}
fn default_disk_stall() -> Duration {
    Duration::from_secs(2)
}
fn default_drift_ppm() -> u32 {
    1_000
}

fn is_loopback(address: &SocketAddr, (): &()) -> garde::Result {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(garde::Error::new("must be a loopback address: peers carry no identity yet"))
    }
}

fn lists_members_once(own_id: &u64) -> impl FnOnce(&Vec<MemberAddress>, &()) -> garde::Result + '_ {
    move |members, ()| {
        let ids: BTreeSet<u64> = members.iter().map(|member| member.id).collect();
        match (ids.len() == members.len(), ids.contains(own_id)) {
            (true, true) => Ok(()),
            (false, _) => Err(garde::Error::new("name a number twice")),
            (_, false) => {
                Err(garde::Error::new(format!("do not name this conductor's own number, {own_id}")))
            }
        }
    }
}

/// The durations have bounds that depend on each other.
fn fits_other_settings(config: &ConsensusConfig) -> impl FnOnce(&Duration, &()) -> garde::Result + '_ {
    move |_, ()| match config.consensus_settings().invalid_settings().first() {
        None => Ok(()),
        Some(invalid) => Err(garde::Error::new(format!("does not fit: {invalid}"))),
    }
}

impl ConsensusConfig {
    /// The member's settings.
    pub fn settings(&self) -> Settings {
        let address = |member: &MemberAddress| (MemberId(member.id), member.address);
        let own = self.conductors.iter().find(|member| member.id == self.id);
        // Validation rejects settings without their own member.
        let unlisted = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            id: MemberId(self.id),
            listen: own.map_or(unlisted, |member| member.address),
            peers: self.conductors.iter().map(address).collect(),
            consensus: self.consensus_settings(),
            role_prefixes: Vec::new(),
            role_weight: ROLE_WEIGHT,
            io_timeout: IO_TIMEOUT,
            max_frame_bytes: MAX_FRAME_BYTES,
        }
    }

    /// Creates the state file of a first member, which votes from its start with all conductors of the group.
    ///
    /// # Errors
    /// [`StorageError::AlreadyExists`] if there is one; see [`StorageError`].
    pub fn bootstrap(&self) -> Result<(), StorageError> {
        let voters = self.conductors.iter().map(|member| MemberId(member.id)).collect();
        Store::create(&self.state, MemberId(self.id), &RaftNode::bootstrap(voters)).map(drop)
    }

    /// Starts the member, without replicated state beside the roles. If its state file cannot be used, that
    /// is logged, and the member only follows: the conductor still runs. Random numbers come from `seed`.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start(&self, seed: u64) -> Result<NodeHandle, StartError> {
        self.start_with(seed, ()).await
    }

    /// As [`ConsensusConfig::start`], with the state machine as in a new group.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start_with<S: StateMachine + Send + Sync + 'static>(
        &self,
        seed: u64,
        state: S,
    ) -> Result<NodeHandle, StartError> {
        let storage = self.open_storage().await;
        NodeHandle::start_on(Arc::new(Tcp), self.settings(), storage, seed ^ self.id, state).await
    }

    /// Opens the state file; none if it cannot be used, which is logged.
    async fn open_storage(&self) -> Option<(Box<dyn Storage>, PersistentState)> {
        let path = self.state.clone();
        let member = MemberId(self.id);
        match tokio::task::spawn_blocking(move || Store::open(&path)).await {
            Ok(Ok((store, stored))) => Some((Box::new(store), stored)),
            Ok(Err(cause)) => {
                tracing::error!(event = "consensus_without_storage", %member, %cause);
                None
            }
            Err(cause) => {
                tracing::error!(event = "consensus_without_storage", %member, %cause);
                None
            }
        }
    }

    fn consensus_settings(&self) -> stepspur_consensus::Settings {
        let micros = |duration: Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        stepspur_consensus::Settings {
            election_timeout: micros(self.election),
            heartbeat_interval: micros(self.heartbeat),
            renewal_interval: micros(self.renew),
            write_timeout: micros(self.disk_stall),
            clock_drift_ppm: self.drift_ppm,
            ..Default::default()
        }
    }
}
