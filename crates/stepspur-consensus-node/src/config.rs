//! A council as an operator words it, and how a conductor starts by it.

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

/// A council of conductors, and this one's place in it.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ConsensusConfig {
    /// This conductor's number, never used twice: one whose disk is lost is replaced by another number.
    #[garde(range(min = 1))]
    pub id: u64,
    /// The state file, made by `stepspur council bootstrap`. Without it this conductor only follows.
    #[garde(skip)]
    pub state: PathBuf,
    /// All conductors of the council, this one too, alike in all their settings. The first council is of these.
    #[garde(dive, length(min = 1, max = 1000), custom(sound(&self.id)))]
    pub conductors: Vec<MemberAddress>,
    /// One that hears no leader for a time between this and its double stands for election.
    #[serde(default = "election", with = "humantime_serde")]
    #[garde(custom(alike(self)))]
    pub election: Duration,
    /// A leader writes to each member this often at least; a third of `election` at most.
    #[serde(default = "heartbeat", with = "humantime_serde")]
    #[garde(skip)]
    pub heartbeat: Duration,
    /// Leases are renewed so often.
    #[serde(default = "renew", with = "humantime_serde")]
    #[garde(skip)]
    pub renew: Duration,
    /// A disk that takes longer to answer is stalled.
    #[serde(default = "disk_stall", with = "humantime_serde")]
    #[garde(skip)]
    pub disk_stall: Duration,
    /// How much a conductor's clock may be off, in millionths.
    #[serde(default = "drift_ppm")]
    #[garde(skip)]
    pub drift_ppm: u32,
}

/// Where a conductor of the council listens to the others.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct MemberAddress {
    /// Its number.
    #[garde(range(min = 1))]
    pub id: u64,
    /// Its address.
    #[garde(custom(loopback))]
    pub address: SocketAddr,
}

fn election() -> Duration {
    Duration::from_secs(1)
}
fn heartbeat() -> Duration {
    Duration::from_millis(200)
}
fn renew() -> Duration {
    Duration::from_millis(400)
}
fn disk_stall() -> Duration {
    Duration::from_secs(2)
}
fn drift_ppm() -> u32 {
    1_000
}

fn loopback(address: &SocketAddr, (): &()) -> garde::Result {
    match address.ip().is_loopback() {
        true => Ok(()),
        false => Err(garde::Error::new("must be a loopback address: peers carry no identity yet")),
    }
}

fn sound(own: &u64) -> impl FnOnce(&Vec<MemberAddress>, &()) -> garde::Result + '_ {
    move |places, ()| {
        let ids: BTreeSet<u64> = places.iter().map(|place| place.id).collect();
        match (ids.len() == places.len(), ids.contains(own)) {
            (true, true) => Ok(()),
            (false, _) => Err(garde::Error::new("name a number twice")),
            (_, false) => Err(garde::Error::new(format!("do not name this conductor's own number, {own}"))),
        }
    }
}

/// The times must fit each other.
fn alike(council: &ConsensusConfig) -> impl FnOnce(&Duration, &()) -> garde::Result + '_ {
    move |_, ()| match council.council().faults().first() {
        None => Ok(()),
        Some(fault) => Err(garde::Error::new(format!("does not fit: {fault}"))),
    }
}

/// Dialling and each write are due in this time.
const WITHIN: Duration = Duration::from_secs(2);
/// The largest frame, in bytes: a batch of the longest commands.
const LARGEST: usize = 16 << 20;

impl ConsensusConfig {
    fn council(&self) -> stepspur_consensus::Settings {
        let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        stepspur_consensus::Settings {
            election: micros(self.election),
            heartbeat: micros(self.heartbeat),
            renew: micros(self.renew),
            disk_stall: micros(self.disk_stall),
            drift_ppm: self.drift_ppm,
            ..Default::default()
        }
    }

    /// As a member takes it.
    pub fn settings(&self) -> Settings {
        let place = |place: &MemberAddress| (MemberId(place.id), place.address);
        let own = self.conductors.iter().find(|place| place.id == self.id);
        Settings {
            id: MemberId(self.id),
            // Settings without their own place are refused before.
            listen: own.map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |place| place.address),
            peers: self.conductors.iter().map(place).collect(),
            council: self.council(),
            wants: Vec::new(),
            weight: 1.0,
            within: WITHIN,
            largest_frame: LARGEST,
        }
    }

    /// Makes the state file of a first member: it votes from its start, with the others that are named.
    ///
    /// # Errors
    /// [`Fault::Exists`] if there is one, and those of the disk.
    pub fn bootstrap(&self) -> Result<(), StorageError> {
        let voters = self.conductors.iter().map(|place| MemberId(place.id)).collect();
        Store::create(&self.state, MemberId(self.id), &RaftNode::bootstrap(voters)).map(drop)
    }

    /// Starts the member. One whose state cannot be used only follows, and says so: the conductor goes on.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start(&self, seed: u64) -> Result<NodeHandle, StartError> {
        self.start_with(seed, ()).await
    }

    /// As [`ConsensusConfig::start`], with a state that is agreed on beside duties.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start_with<S: StateMachine + Send + Sync + 'static>(
        &self,
        seed: u64,
        state: S,
    ) -> Result<NodeHandle, StartError> {
        let path = self.state.clone();
        let opened: Result<Result<(Store, PersistentState), StorageError>, _> =
            tokio::task::spawn_blocking(move || Store::open(&path)).await;
        let disk = match opened {
            Ok(Ok((store, stored))) => Some((Box::new(store) as Box<dyn Storage>, stored)),
            Ok(Err(cause)) => {
                tracing::error!(event = "consensus_without_storage", member = %MemberId(self.id), %cause);
                None
            }
            Err(cause) => {
                tracing::error!(event = "consensus_without_storage", member = %MemberId(self.id), %cause);
                None
            }
        };
        NodeHandle::start_on(Arc::new(Tcp), self.settings(), disk, seed ^ self.id, state).await
    }
}
