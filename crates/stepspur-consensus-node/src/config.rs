//! The configuration section `[council]`, and how a conductor starts its consensus member from it.

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

/// The timeout for connecting to a peer, for each write to it, and for the first frame of an accepted
/// connection.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest frame, in bytes (16 MiB): a full batch of commands of the largest size fits.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// The weight of each conductor in the assignment of roles: equal, so that all get the same share.
const ROLE_WEIGHT: f64 = 1.0;

/// The configuration section `[council]`: the consensus group that a conductor belongs to.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ConsensusConfig {
    /// The conductor's member number. A conductor that has lost its state file needs a new number, because it
    /// may have voted under the old one.
    #[garde(range(min = 1))]
    pub id: u64,
    /// The path of the state file, which `stepspur council bootstrap` creates. Without the file the conductor
    /// applies committed entries but never votes.
    #[garde(skip)]
    pub state: PathBuf,
    /// All conductors of the group including this one, 1 to 1,000; the same list in the settings of each.
    /// They are the group's initial voters.
    #[garde(dive, length(min = 1, max = 1000), custom(validate_member_list(&self.id)))]
    pub conductors: Vec<MemberAddress>,
    /// The election timeout: a conductor that receives no message from a leader for a random time of one to
    /// two times this long starts an election. 10 ms to 10 minutes; default: 1 s.
    #[serde(default = "default_election", with = "humantime_serde")]
    #[garde(custom(validate_consensus_settings(self)))]
    pub election: Duration,
    /// The interval between a leader's heartbeats. 1 ms to a third of `election`; default: 200 ms.
    #[serde(default = "default_heartbeat", with = "humantime_serde")]
    #[garde(skip)]
    pub heartbeat: Duration,
    /// The interval between a holder's lease renewals. `heartbeat` or more; default: 400 ms.
    #[serde(default = "default_renew", with = "humantime_serde")]
    #[garde(skip)]
    pub renew: Duration,
    /// The time after which a write that is not durable yet counts as stalled: the member steps down.
    /// `heartbeat` or more; default: 2 s.
    #[serde(default = "default_disk_stall", with = "humantime_serde")]
    #[garde(skip)]
    pub disk_stall: Duration,
    /// The largest clock drift that leases allow for, in parts per million: how much faster or slower than
    /// true time a clock may run. Up to 100,000; default: 1,000.
    #[serde(default = "default_drift_ppm")]
    #[garde(skip)]
    pub drift_ppm: u32,
}

/// The number and the address of one conductor in the group.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct MemberAddress {
    /// The conductor's member number, 1 or more.
    #[garde(range(min = 1))]
    pub id: u64,
    /// The loopback address at which the conductor accepts connections from the other members.
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
        Err(garde::Error::new(
            "must be a loopback address: connections between members are not authenticated yet",
        ))
    }
}

fn validate_member_list(own_id: &u64) -> impl FnOnce(&Vec<MemberAddress>, &()) -> garde::Result + '_ {
    move |members, ()| {
        let ids: BTreeSet<u64> = members.iter().map(|member| member.id).collect();
        match (ids.len() == members.len(), ids.contains(own_id)) {
            (true, true) => Ok(()),
            (false, _) => Err(garde::Error::new("must contain each number only once")),
            (_, false) => {
                Err(garde::Error::new(format!("must contain this conductor's own number, {own_id}")))
            }
        }
    }
}

/// Checks the bounds of all consensus settings together, because some durations bound others.
fn validate_consensus_settings(
    config: &ConsensusConfig,
) -> impl FnOnce(&Duration, &()) -> garde::Result + '_ {
    move |_, ()| match config.consensus_settings().invalid_settings().first() {
        None => Ok(()),
        Some(invalid) => Err(garde::Error::new(format!("out of bounds: {invalid}"))),
    }
}

impl ConsensusConfig {
    /// Returns the settings of this conductor's member.
    pub fn settings(&self) -> Settings {
        let address = |member: &MemberAddress| (MemberId(member.id), member.address);
        let own = self.conductors.iter().find(|member| member.id == self.id);
        // Not used after validation, which requires the own number in the list.
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            id: MemberId(self.id),
            listen: own.map_or(placeholder, |member| member.address),
            peers: self.conductors.iter().map(address).collect(),
            consensus: self.consensus_settings(),
            role_prefixes: Vec::new(),
            role_weight: ROLE_WEIGHT,
            io_timeout: IO_TIMEOUT,
            max_frame_bytes: MAX_FRAME_BYTES,
        }
    }

    /// Creates the state file for a member of a new group, whose initial voters are all listed conductors.
    ///
    /// # Errors
    /// [`StorageError::AlreadyExists`] if the file exists; otherwise see [`StorageError`].
    pub fn bootstrap(&self) -> Result<(), StorageError> {
        let voters = self.conductors.iter().map(|member| MemberId(member.id)).collect();
        Store::create(&self.state, MemberId(self.id), &RaftNode::bootstrap(voters)).map(drop)
    }

    /// Starts the member with the role table as its only replicated state.
    ///
    /// If the state file cannot be used, the error is logged and the member never votes, so that a storage
    /// fault does not stop the conductor. `seed` is combined with the member number, so that members started
    /// with the same seed draw different random numbers.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start(&self, seed: u64) -> Result<NodeHandle, StartError> {
        self.start_with_state_machine(seed, ()).await
    }

    /// As [`ConsensusConfig::start`], with a replicated state machine. `state` is its state in a new group,
    /// before any entry is applied.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start_with_state_machine<S: StateMachine + Send + Sync + 'static>(
        &self,
        seed: u64,
        state: S,
    ) -> Result<NodeHandle, StartError> {
        let storage = self.open_storage().await;
        NodeHandle::start_with_environment(Arc::new(Tcp), self.settings(), storage, seed ^ self.id, state)
            .await
    }

    /// Opens the state file. If that fails, logs the cause and returns `None`.
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
