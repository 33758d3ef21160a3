//! One control member and one subscriber, each with its host, its disk and, while it runs, its process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stepspur_consensus::{MemberId, RaftNode};
use stepspur_consensus_node::{NodeHandle, Settings};
use stepspur_distribution::configuration::ConfigurationState;
use stepspur_distribution::control::{Control, ControlMember, ControlSettings};
use stepspur_distribution::document::Interest;
use stepspur_distribution::scope_store::MemoryStore;
use stepspur_distribution::subscriber::{Subscriber, SubscriberSettings, SubscriberStatus};
use stepspur_replication::{ProposalLimits, ReplicatedStateMachine, ReplicationClient, StateMachineRegistry};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::checker::{Checker, Observed};
use super::engine::Engine;
use super::network::{Host, Network};
use crate::disk::Image;

/// The span between two frames that control members name.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Dialling and each write are due in this time.
const WITHIN: Duration = Duration::from_secs(2);
/// A disk's time for a save.
pub(crate) const DISK: Duration = Duration::from_millis(2);
/// Entries that the council keeps before a snapshot takes their place.
const LOG_MOST: usize = 256;
/// The largest frame between peers, in bytes.
const PEER_FRAME_MOST: usize = 16 << 20;

/// A control member.
pub(crate) struct ControlNode {
    pub(crate) id: u64,
    pub(crate) host: Host,
    /// None: it only follows.
    pub(crate) image: Option<Image>,
    pub(crate) running: Option<(ReplicationClient, Control)>,
}

/// Where a member's peers dial in.
fn peer_address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + id as u16))
}

/// Where a member serves subscribers.
pub(crate) fn control_address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 30_000 + id as u16))
}

impl ControlNode {
    /// A member that does not run yet.
    pub(crate) fn new(id: u64, region: &str, voters: &BTreeSet<MemberId>) -> Self {
        let image = || Image::new(MemberId(id), RaftNode::bootstrap(voters.clone()), DISK);
        Self {
            id,
            host: Host { region: region.to_owned(), name: format!("control-{id}") },
            image: voters.contains(&MemberId(id)).then(image),
            running: None,
        }
    }

    /// Starts it, with its disk as it is.
    pub(crate) async fn begin(&mut self, network: &Network, members: &[ControlMember], seed: u64) {
        let net = network.of(&self.host);
        let book: Box<dyn ReplicatedStateMachine> = Box::new(ConfigurationState::default());
        let books = StateMachineRegistry::new([book]);
        let settings = Settings {
            id: MemberId(self.id),
            listen: peer_address(self.id),
            peers: members.iter().map(|member| (MemberId(member.id), peer_address(member.id))).collect(),
            consensus: stepspur_consensus::Settings { max_log_entries: LOG_MOST, ..Default::default() },
            role_prefixes: Vec::new(),
            role_weight: 1.0,
            io_timeout: WITHIN,
            max_frame_bytes: PEER_FRAME_MOST,
        };
        let disk = self.image.as_ref().map(Image::open);
        let peers = NodeHandle::start_on(Arc::clone(&net), settings, disk, seed, books.clone()).await;
        let peers = Arc::new(peers.expect("the member starts"));
        let shared = ReplicationClient::new(peers, books, ProposalLimits::default(), seed);
        let settings = ControlSettings {
            id: self.id,
            listen: control_address(self.id),
            region: self.host.region.clone(),
            members: members.to_vec(),
            snapshot_bytes_per_s: 1 << 20,
            subscribers_max: 1_000,
            keep_alive: KEEP_ALIVE,
        };
        let control = Control::start(settings, shared.clone(), net).await.expect("the control member starts");
        self.running = Some((shared, control));
    }

    /// Ends its process at once: what its disk had not taken is lost.
    pub(crate) fn kill(&mut self, network: &Network) {
        if let Some(image) = &self.image {
            image.cut();
        }
        self.running = None;
        network.kill(&self.host);
    }
}

/// A subscriber.
pub(crate) struct SubscriberNode {
    pub(crate) name: String,
    pub(crate) host: Host,
    pub(crate) interest: Interest,
    pub(crate) store: MemoryStore,
    pub(crate) engine: Engine,
    lives: u64,
    running: Option<Running>,
}

struct Running {
    subscriber: Subscriber,
    status: watch::Receiver<SubscriberStatus>,
    watcher: JoinHandle<()>,
}

impl SubscriberNode {
    /// A subscriber that does not run yet.
    pub(crate) fn new(name: String, interest: Interest) -> Self {
        Self {
            host: Host { region: interest.region.clone(), name: name.clone() },
            name,
            interest,
            store: MemoryStore::new(),
            engine: Engine::default(),
            lives: 0,
            running: None,
        }
    }

    /// Starts it, with its disk as it is.
    pub(crate) async fn begin(
        &mut self,
        network: &Network,
        control: Vec<SocketAddr>,
        seed: u64,
        checker: &Arc<Mutex<Checker>>,
    ) {
        let settings = SubscriberSettings {
            name: self.name.clone(),
            interest: self.interest.clone(),
            control,
            dial_timeout: WITHIN,
            write_timeout: WITHIN,
            seed,
        };
        self.engine.begin();
        self.lives += 1;
        let (store, apply) = (Box::new(self.store.clone()), Arc::new(self.engine.clone()));
        let subscriber = Subscriber::start(settings, store, apply, network.of(&self.host)).await;
        let subscriber = subscriber.expect("the subscriber starts");
        let status = subscriber.status();
        let (name, life, checker) = (self.name.clone(), self.lives, Arc::clone(checker));
        let watcher = tokio::spawn(watch_versions(status.clone(), name, life, checker));
        self.running = Some(Running { subscriber, status, watcher });
    }

    /// Ends its process. Its disk stays.
    pub(crate) async fn end(&mut self) {
        let Some(running) = self.running.take() else { return };
        running.subscriber.stop().await;
        // It ends with the status.
        let _ = running.watcher.await;
        self.engine.end();
    }

    /// How it stands, while it runs.
    pub(crate) fn status(&self) -> Option<SubscriberStatus> {
        self.running.as_ref().map(|running| running.status.borrow().clone())
    }

    /// What it has.
    pub(crate) fn observed(&self) -> Observed {
        Observed {
            name: self.name.clone(),
            interest: self.interest.clone(),
            acts_by: self.engine.acts_by(),
            kept: self.store.content().map_or_else(Vec::new, |kept| kept.documents),
        }
    }
}

/// Tells the checker each version that a subscriber tells.
async fn watch_versions(
    mut status: watch::Receiver<SubscriberStatus>,
    name: String,
    life: u64,
    checker: Arc<Mutex<Checker>>,
) {
    loop {
        let (holds, in_force) = {
            let now = status.borrow_and_update();
            (now.stored_version, now.applied_version)
        };
        checker.lock().unwrap_or_else(PoisonError::into_inner).told(&name, life, holds, in_force);
        if status.changed().await.is_err() {
            return;
        }
    }
}
