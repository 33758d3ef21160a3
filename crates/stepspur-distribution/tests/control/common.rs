//! A cluster of control members on a consensus group in memory, and a scripted subscriber.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_consensus::{MemberId, RaftNode};
use stepspur_consensus_node::{BoxFuture, Listener, NodeHandle, Settings, Stream, Transport};
use stepspur_distribution::configuration::ConfigurationState;
use stepspur_distribution::control::{Control, ControlMember, ControlSettings, RolloutStatus};
use stepspur_distribution::document::{Change, Document, Scope, Setting, Target};
use stepspur_distribution::version::{Version, version_of};
use stepspur_fault_tests::{ConsensusNetwork, MemoryDisk};
use stepspur_proto::v1::{self, FromControl, FromSubscriber};
use stepspur_proto::{Frames, from_control, from_subscriber};
use stepspur_replication::{ProposalLimits, ReplicatedStateMachine, ReplicationClient, StateMachineRegistry};
use tokio::io::{DuplexStream, duplex};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::Framed;

/// Time limit for each step that a test waits for.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a test checks that only keep-alives are sent.
pub(crate) const QUIET_PERIOD: Duration = Duration::from_secs(5);
/// The keep-alive interval of all control members here.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(2);
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of a pipe in each direction, in bytes. A subscriber that does not read soon blocks the writer.
const PIPE_BYTES: usize = 16 << 10;

/// A network of duplex pipes in memory.
#[derive(Clone, Default)]
pub(crate) struct MemoryNetwork(Arc<Mutex<BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>>>);

struct MemoryListener(SocketAddr, mpsc::Receiver<DuplexStream>);

impl Transport for MemoryNetwork {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        let (connections, listener) = mpsc::channel(64);
        self.0.lock().unwrap().insert(at, connections);
        Box::pin(async move { Ok(Box::new(MemoryListener(at, listener)) as Box<dyn Listener>) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        let listener = self.0.lock().unwrap().get(&to).cloned();
        Box::pin(async move {
            let (near, far) = duplex(PIPE_BYTES);
            let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
            listener.ok_or_else(refused)?.send(far).await.map_err(|_| refused())?;
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

impl Listener for MemoryListener {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async {
            let connection = self.1.recv().await.ok_or(io::ErrorKind::ConnectionAborted)?;
            Ok(Box::new(connection) as Box<dyn Stream>)
        })
    }
}

/// A consensus group whose members are all control members. The first ones are voters.
pub(crate) struct Cluster {
    pub network: MemoryNetwork,
    pub wire: ConsensusNetwork,
    pub controls: BTreeMap<u64, Control>,
    replication: BTreeMap<u64, ReplicationClient>,
    settings: ClusterSettings,
}

/// The size and the limits of a cluster.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterSettings {
    pub voters: u64,
    pub members: u64,
    pub snapshot_bytes_per_s: u32,
    pub subscribers_max: u32,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self { voters: 1, members: 1, snapshot_bytes_per_s: 1 << 20, subscribers_max: 100 }
    }
}

pub(crate) fn address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + id as u16))
}

async fn replication(wire: &ConsensusNetwork, id: u64, cluster: ClusterSettings) -> ReplicationClient {
    let member = MemberId(id);
    let settings = Settings {
        id: member,
        listen: ConsensusNetwork::address(member),
        peers: (1..=cluster.members).map(MemberId).map(|id| (id, ConsensusNetwork::address(id))).collect(),
        consensus: stepspur_consensus::Settings::default(),
        role_prefixes: Vec::new(),
        role_weight: 1.0,
        io_timeout: Duration::from_secs(2),
        max_frame_bytes: 16 << 20,
    };
    let registry = StateMachineRegistry::new([
        Box::new(ConfigurationState::default()) as Box<dyn ReplicatedStateMachine>
    ]);
    let voters: BTreeSet<_> = (1..=cluster.voters).map(MemberId).collect();
    let disk = (id <= cluster.voters)
        .then(|| MemoryDisk::new(member, RaftNode::bootstrap(voters), Duration::from_millis(2)).open());
    let node =
        NodeHandle::start_with_environment(wire.transport_of(member), settings, disk, id, registry.clone())
            .await
            .unwrap();
    ReplicationClient::new(Arc::new(node), registry, ProposalLimits::default(), id)
}

impl Cluster {
    pub(crate) async fn start(settings: ClusterSettings) -> Self {
        let (network, wire) = (MemoryNetwork::default(), ConsensusNetwork::default());
        let mut cluster =
            Self { network, wire, controls: BTreeMap::new(), replication: BTreeMap::new(), settings };
        for id in 1..=settings.members {
            cluster.start_member(id).await;
        }
        // Once a change is committed, the group has a leader.
        cluster.change(vec![level("nobody", "first", 1)]).await;
        cluster
    }

    /// Starts a member with an empty disk.
    pub(crate) async fn start_member(&mut self, id: u64) {
        let cluster = self.settings;
        let member = |id| ControlMember { id, address: address(id), region: "north".to_owned() };
        let settings = ControlSettings {
            id,
            listen: address(id),
            region: "north".to_owned(),
            members: (1..=cluster.members).map(member).collect(),
            snapshot_bytes_per_s: cluster.snapshot_bytes_per_s,
            subscribers_max: cluster.subscribers_max,
            keep_alive: KEEP_ALIVE,
        };
        let replication = replication(&self.wire, id, cluster).await;
        self.replication.insert(id, replication.clone());
        let control = Control::start(settings, replication, Arc::new(self.network.clone())).await.unwrap();
        self.controls.insert(id, control);
    }

    /// Stops a member, its consensus node as well.
    pub(crate) async fn stop_member(&mut self, id: u64) {
        self.replication.remove(&id);
        let control = self.controls.remove(&id).unwrap();
        timeout(TEST_TIMEOUT, control.stop()).await.unwrap();
    }

    /// Transfers the leadership, and waits until the new leader leads. The old leader keeps running.
    pub(crate) async fn transfer_leadership(&self, from: u64, to: u64) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.replication[&from].node().transfer_leadership(MemberId(to)).await.unwrap().is_err() {
            assert!(Instant::now() < deadline, "the leadership is not transferred");
            sleep(Duration::from_millis(100)).await;
        }
        wait_until("the new leader leads", || self.control(to).status().leads).await;
    }

    /// Waits until a running member is the leader, and returns its id.
    pub(crate) async fn leader(&self) -> u64 {
        let leads = || self.controls.iter().find(|(_, control)| control.status().leads).map(|(id, _)| *id);
        wait_until("a running member leads", || leads().is_some()).await;
        leads().unwrap()
    }

    pub(crate) fn control(&self, id: u64) -> &Control {
        &self.controls[&id]
    }

    /// Proposes changes at any member, and returns their version.
    pub(crate) async fn change(&self, changes: Vec<Change>) -> Version {
        let any = self.controls.values().next().unwrap();
        any.propose(None, changes, PROPOSE_TIMEOUT).await.unwrap()
    }

    /// Waits until a member has applied a version.
    pub(crate) async fn wait_for_version(&self, id: u64, version: Version) {
        let reached = || self.control(id).status().head >= version;
        wait_until("the member has the version", reached).await;
    }

    /// Waits until this many subscribers are registered at all members.
    pub(crate) async fn wait_for_registered(&self, count: usize) {
        let all = || self.controls.values().all(|control| control.status().registered == count);
        wait_until("all members have the registrations", all).await;
    }

    /// Waits until the leader returns an expected rollout status.
    pub(crate) async fn wait_for_rollout(
        &self,
        version: Version,
        is_expected: impl Fn(&RolloutStatus) -> bool,
    ) -> RolloutStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let answer = self.control(self.leader().await).rollout_status(version).await;
            if let Some(status) = answer.as_ref().ok().filter(|status| is_expected(status)) {
                return status.clone();
            }
            assert!(Instant::now() < deadline, "{answer:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Connects to a member and sends this first frame.
    pub(crate) async fn subscribe(&self, id: u64, first: v1::ConfigSubscribe) -> Subscriber {
        let mut subscriber = self.dial(id).await;
        subscriber.send(from_subscriber::Kind::Subscribe(first)).await;
        subscriber
    }

    pub(crate) async fn dial(&self, id: u64) -> Subscriber {
        let socket = self.network.dial(address(id)).await.unwrap();
        Subscriber(Framed::new(socket, Frames::new(1 << 20)))
    }

    /// Connects to a member, sends this first frame, and receives the welcome.
    pub(crate) async fn attach(&self, id: u64, first: v1::ConfigSubscribe) -> Subscriber {
        let mut subscriber = self.subscribe(id, first).await;
        subscriber.welcome().await;
        subscriber
    }
}

/// Polls until a condition holds.
pub(crate) async fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "never: {condition}");
        sleep(Duration::from_millis(10)).await;
    }
}

pub(crate) fn level(service: &str, class: &str, ppm: u32) -> Change {
    let scope = Scope { service: Some(service.to_owned()), tenant: None, region: None };
    Change { scope, target: Target::Class(class.to_owned()), setting: Some(Setting::LevelPpm(ppm)) }
}

pub(crate) fn subscribe_message(name: &str, service: &str, holds: Version) -> v1::ConfigSubscribe {
    v1::ConfigSubscribe {
        protocol: stepspur_proto::VERSION,
        name: name.to_owned(),
        region: "north".to_owned(),
        services: vec![v1::ServiceInterest { service: service.to_owned(), tenants: vec![] }],
        holds: Some(holds.into()),
        in_force: Some(holds.into()),
        insists: false,
    }
}

/// A scripted subscriber that sends and receives frames.
pub(crate) struct Subscriber(Framed<Box<dyn Stream>, Frames<FromControl, FromSubscriber>>);

impl Subscriber {
    pub(crate) async fn send(&mut self, kind: from_subscriber::Kind) {
        timeout(TEST_TIMEOUT, self.0.send(FromSubscriber { kind: Some(kind) })).await.unwrap().unwrap();
    }

    pub(crate) async fn acknowledge(&mut self, version: Version) {
        self.acknowledge_with_unapplied(version, vec![]).await;
    }

    pub(crate) async fn acknowledge_with_unapplied(
        &mut self,
        version: Version,
        unapplied: Vec<v1::UnappliedDocument>,
    ) {
        let (holds, in_force) = (Some(version.into()), Some(version.into()));
        let acknowledgement = v1::ConfigAcknowledgement { holds, in_force, unapplied };
        self.send(from_subscriber::Kind::Acknowledgement(acknowledgement)).await;
    }

    pub(crate) async fn keep_alive(&mut self) {
        self.send(from_subscriber::Kind::KeepAlive(v1::ConfigKeepAlive { covered: None })).await;
    }

    /// Receives the next frame; `None` once the other side has closed.
    pub(crate) async fn next(&mut self) -> Option<from_control::Kind> {
        let next = timeout(TEST_TIMEOUT, self.0.next()).await.expect("a frame in time");
        next.and_then(Result::ok).and_then(|frame| frame.kind)
    }

    /// Receives the next frame other than a keep-alive. Answers keep-alives.
    pub(crate) async fn next_update(&mut self) -> Option<from_control::Kind> {
        loop {
            match self.next().await {
                Some(from_control::Kind::KeepAlive(_)) => self.keep_alive().await,
                next => return next,
            }
        }
    }

    /// Asserts that only keep-alives are received for a time. Returns the version that the last one covers.
    pub(crate) async fn covered_while_quiet(&mut self, span: Duration) -> Version {
        let (until, mut covered) = (Instant::now() + span, Version::NONE);
        loop {
            match tokio::time::timeout_at(until, self.next()).await {
                Err(_) => return covered,
                Ok(Some(from_control::Kind::KeepAlive(keep_alive))) => {
                    covered = version_of(keep_alive.covered);
                    self.keep_alive().await;
                }
                Ok(other) => panic!("received {other:?}"),
            }
        }
    }

    pub(crate) async fn welcome(&mut self) -> v1::ConfigWelcome {
        match self.next().await {
            Some(from_control::Kind::Welcome(welcome)) => welcome,
            other => panic!("no welcome: {other:?}"),
        }
    }

    pub(crate) async fn redirect(&mut self) -> v1::ConfigRedirect {
        match self.next().await {
            Some(from_control::Kind::Redirect(redirect)) => redirect,
            other => panic!("no redirect: {other:?}"),
        }
    }

    /// Receives a delta: from, to, documents.
    pub(crate) async fn delta(&mut self) -> (Version, Version, Vec<Document>) {
        match self.next_update().await {
            Some(from_control::Kind::Delta(delta)) => {
                (version_of(delta.from), version_of(delta.to), documents(delta.documents))
            }
            other => panic!("no delta: {other:?}"),
        }
    }

    /// Receives a snapshot: its version, and the documents of each part with its time.
    pub(crate) async fn snapshot(&mut self) -> (Version, Vec<(Instant, Vec<Document>)>) {
        let mut parts = Vec::new();
        loop {
            let part = match self.next_update().await {
                Some(from_control::Kind::SnapshotPart(part)) => part,
                other => panic!("no part of a snapshot: {other:?}"),
            };
            assert_eq!(part.part as usize, parts.len(), "in order");
            parts.push((Instant::now(), documents(part.documents)));
            self.keep_alive().await;
            if part.last {
                return (version_of(part.version), parts);
            }
        }
    }

    /// Waits until the other side closes, and discards earlier frames.
    pub(crate) async fn wait_until_closed(&mut self) {
        while self.next().await.is_some() {}
    }
}

fn documents(messages: Vec<v1::ConfigDocument>) -> Vec<Document> {
    messages.into_iter().map(|message| Document::try_from(message).unwrap()).collect()
}
