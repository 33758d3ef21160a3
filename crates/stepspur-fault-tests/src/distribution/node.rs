//! A control member and a subscriber, each with its host, its disk and, while it runs, its process.

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

use super::checker::{Checker, SubscriberState};
use super::engine::Engine;
use super::network::{Host, Network};
use crate::disk::MemoryDisk;

/// Interval of keep-alive frames that control members announce to subscribers.
pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of each dial and each write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a write takes on a disk.
pub(crate) const DISK_WRITE_LATENCY: Duration = Duration::from_millis(2);
/// Maximum number of log entries before a snapshot replaces them.
const MAX_LOG_ENTRIES: usize = 256;
/// Maximum size of a frame between peers, in bytes.
const MAX_PEER_FRAME_BYTES: usize = 16 << 20;

/// A control member, running or not.
pub(crate) struct ControlNode {
    pub(crate) id: u64,
    pub(crate) host: Host,
    /// `None` if it has no vote.
    pub(crate) disk: Option<MemoryDisk>,
    /// `None` while it is killed.
    pub(crate) running: Option<(ReplicationClient, Control)>,
}

/// The address at which a member listens for its peers.
fn peer_address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + id as u16))
}

/// The address at which a member serves subscribers.
pub(crate) fn control_address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 30_000 + id as u16))
}

impl ControlNode {
    /// Creates a member that does not run yet.
    pub(crate) fn new(id: u64, region: &str, voters: &BTreeSet<MemberId>) -> Self {
        let disk = || MemoryDisk::new(MemberId(id), RaftNode::bootstrap(voters.clone()), DISK_WRITE_LATENCY);
        Self {
            id,
            host: Host { region: region.to_owned(), name: format!("control-{id}") },
            disk: voters.contains(&MemberId(id)).then(disk),
            running: None,
        }
    }

    /// Starts it on the present content of its disk.
    pub(crate) async fn start(&mut self, network: &Network, members: &[ControlMember], seed: u64) {
        let net = network.of(&self.host);
        let configuration: Box<dyn ReplicatedStateMachine> = Box::new(ConfigurationState::default());
        let registry = StateMachineRegistry::new([configuration]);
        let settings = Settings {
            id: MemberId(self.id),
            listen: peer_address(self.id),
            peers: members.iter().map(|member| (MemberId(member.id), peer_address(member.id))).collect(),
            consensus: stepspur_consensus::Settings {
                max_log_entries: MAX_LOG_ENTRIES,
                ..Default::default()
            },
            role_prefixes: Vec::new(),
            role_weight: 1.0,
            io_timeout: IO_TIMEOUT,
            max_frame_bytes: MAX_PEER_FRAME_BYTES,
        };
        let disk = self.disk.as_ref().map(MemoryDisk::open);
        let handle =
            NodeHandle::start_with_environment(Arc::clone(&net), settings, disk, seed, registry.clone())
                .await;
        let handle = Arc::new(handle.expect("the member starts"));
        let client = ReplicationClient::new(handle, registry, ProposalLimits::default(), seed);
        let settings = ControlSettings {
            id: self.id,
            listen: control_address(self.id),
            region: self.host.region.clone(),
            members: members.to_vec(),
            snapshot_bytes_per_s: 1 << 20,
            subscribers_max: 1_000,
            keep_alive: KEEP_ALIVE_INTERVAL,
        };
        let control = Control::start(settings, client.clone(), net).await.expect("the control member starts");
        self.running = Some((client, control));
    }

    /// Ends its process at once: writes that its disk has not completed are lost.
    pub(crate) fn kill(&mut self, network: &Network) {
        if let Some(disk) = &self.disk {
            disk.crash();
        }
        self.running = None;
        network.kill(&self.host);
    }
}

/// A subscriber, running or not.
pub(crate) struct SubscriberNode {
    pub(crate) name: String,
    pub(crate) host: Host,
    pub(crate) interest: Interest,
    pub(crate) store: MemoryStore,
    pub(crate) engine: Engine,
    /// Number of starts so far.
    incarnations: u64,
    running: Option<Running>,
}

struct Running {
    subscriber: Subscriber,
    status: watch::Receiver<SubscriberStatus>,
    reporter: JoinHandle<()>,
}

impl SubscriberNode {
    /// Creates a subscriber that does not run yet.
    pub(crate) fn new(name: String, interest: Interest) -> Self {
        Self {
            host: Host { region: interest.region.clone(), name: name.clone() },
            name,
            interest,
            store: MemoryStore::new(),
            engine: Engine::default(),
            incarnations: 0,
            running: None,
        }
    }

    /// Starts it on the present content of its disk.
    pub(crate) async fn start(
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
            dial_timeout: IO_TIMEOUT,
            write_timeout: IO_TIMEOUT,
            seed,
        };
        self.engine.start_process();
        self.incarnations += 1;
        let (store, apply) = (Box::new(self.store.clone()), Arc::new(self.engine.clone()));
        let subscriber = Subscriber::start(settings, store, apply, network.of(&self.host)).await;
        let subscriber = subscriber.expect("the subscriber starts");
        let status = subscriber.status();
        let (name, incarnation, checker) = (self.name.clone(), self.incarnations, Arc::clone(checker));
        let reporter = tokio::spawn(report_versions(status.clone(), name, incarnation, checker));
        self.running = Some(Running { subscriber, status, reporter });
    }

    /// Ends its process and keeps its disk.
    pub(crate) async fn stop(&mut self) {
        let Some(running) = self.running.take() else { return };
        running.subscriber.stop().await;
        // The task ends when the status channel closes.
        let _ = running.reporter.await;
        self.engine.end_process();
    }

    /// Its status; `None` while it does not run.
    pub(crate) fn status(&self) -> Option<SubscriberStatus> {
        self.running.as_ref().map(|running| running.status.borrow().clone())
    }

    /// The documents that it has.
    pub(crate) fn state(&self) -> SubscriberState {
        SubscriberState {
            name: self.name.clone(),
            interest: self.interest.clone(),
            in_effect: self.engine.in_effect(),
            stored: self.store.content().map_or_else(Vec::new, |stored| stored.documents),
        }
    }
}

/// Passes each version that a subscriber reports to the checker.
async fn report_versions(
    mut status: watch::Receiver<SubscriberStatus>,
    name: String,
    incarnation: u64,
    checker: Arc<Mutex<Checker>>,
) {
    loop {
        let (stored, applied) = {
            let now = status.borrow_and_update();
            (now.stored_version, now.applied_version)
        };
        checker.lock().unwrap_or_else(PoisonError::into_inner).record_reported(
            &name,
            incarnation,
            stored,
            applied,
        );
        if status.changed().await.is_err() {
            return;
        }
    }
}
