//! Control members on a council in memory, and a subscriber that speaks frames.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_consensus::{MemberId, RaftNode};
use stepspur_consensus_node::{BoxFuture, Listen, Net, NodeHandle, Settings, Stream};
use stepspur_distribution::configuration::ConfigurationState;
use stepspur_distribution::control::{Control, ControlMember, ControlSettings, RolloutStatus};
use stepspur_distribution::document::{Change, Document, Scope, Setting, Target};
use stepspur_distribution::version::{Version, version_of};
use stepspur_fault_tests::{Image, Wire};
use stepspur_proto::v1::{self, FromControl, FromSubscriber};
use stepspur_proto::{Frames, from_control, from_subscriber};
use stepspur_replication::{ProposalLimits, ReplicatedStateMachine, ReplicationClient, StateMachineRegistry};
use tokio::io::{DuplexStream, duplex};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::Framed;

/// How long a test waits for what must come.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
/// How long nothing comes, where nothing must come but keep-alives.
pub(crate) const QUIET: Duration = Duration::from_secs(5);
/// The keep-alive of all control members here.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(2);
const WITHIN: Duration = Duration::from_secs(10);
const PIPE: usize = 16 << 10;

/// A network of pipes that carry both ways.
#[derive(Clone, Default)]
pub(crate) struct Pipes(Arc<Mutex<BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>>>);

struct Door(SocketAddr, mpsc::Receiver<DuplexStream>);

impl Net for Pipes {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listen>>> {
        let (calls, door) = mpsc::channel(64);
        self.0.lock().unwrap().insert(at, calls);
        Box::pin(async move { Ok(Box::new(Door(at, door)) as Box<dyn Listen>) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        let door = self.0.lock().unwrap().get(&to).cloned();
        Box::pin(async move {
            let (near, far) = duplex(PIPE);
            let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
            door.ok_or_else(refused)?.send(far).await.map_err(|_| refused())?;
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

impl Listen for Door {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async {
            let call = self.1.recv().await.ok_or(io::ErrorKind::ConnectionAborted)?;
            Ok(Box::new(call) as Box<dyn Stream>)
        })
    }
}

/// Members of a council, the first ones with a vote; each is a control member.
pub(crate) struct Rig {
    pub pipes: Pipes,
    pub wire: Wire,
    pub controls: BTreeMap<u64, Control>,
    shared: BTreeMap<u64, ReplicationClient>,
    shape: Shape,
}

/// How a rig begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub voters: u64,
    pub members: u64,
    pub snapshot_bytes_per_s: u32,
    pub subscribers_max: u32,
}

impl Default for Shape {
    fn default() -> Self {
        Self { voters: 1, members: 1, snapshot_bytes_per_s: 1 << 20, subscribers_max: 100 }
    }
}

pub(crate) fn address(id: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + id as u16))
}

async fn shared(wire: &Wire, id: u64, shape: Shape) -> ReplicationClient {
    let member = MemberId(id);
    let settings = Settings {
        id: member,
        listen: Wire::address(member),
        peers: (1..=shape.members).map(MemberId).map(|id| (id, Wire::address(id))).collect(),
        council: stepspur_consensus::Settings::default(),
        wants: Vec::new(),
        weight: 1.0,
        within: Duration::from_secs(2),
        largest_frame: 16 << 20,
    };
    let books = StateMachineRegistry::new([
        Box::new(ConfigurationState::default()) as Box<dyn ReplicatedStateMachine>
    ]);
    let voters: BTreeSet<_> = (1..=shape.voters).map(MemberId).collect();
    let disk = (id <= shape.voters)
        .then(|| Image::new(member, RaftNode::bootstrap(voters), Duration::from_millis(2)).open());
    let peers = NodeHandle::start_on(wire.of(member), settings, disk, id, books.clone()).await.unwrap();
    ReplicationClient::new(Arc::new(peers), books, ProposalLimits::default(), id)
}

impl Rig {
    pub(crate) async fn start(shape: Shape) -> Self {
        let (pipes, wire) = (Pipes::default(), Wire::default());
        let mut rig = Self { pipes, wire, controls: BTreeMap::new(), shared: BTreeMap::new(), shape };
        for id in 1..=shape.members {
            rig.begin(id).await;
        }
        // The council has a leader once a change is agreed on.
        rig.change(vec![level("nobody", "first", 1)]).await;
        rig
    }

    /// Starts a member, with nothing but the voter's disk.
    pub(crate) async fn begin(&mut self, id: u64) {
        let shape = self.shape;
        let member = |id| ControlMember { id, address: address(id), region: "north".to_owned() };
        let settings = ControlSettings {
            id,
            listen: address(id),
            region: "north".to_owned(),
            members: (1..=shape.members).map(member).collect(),
            snapshot_bytes_per_s: shape.snapshot_bytes_per_s,
            subscribers_max: shape.subscribers_max,
            keep_alive: KEEP_ALIVE,
        };
        let shared = shared(&self.wire, id, shape).await;
        self.shared.insert(id, shared.clone());
        let control = Control::start(settings, shared, Arc::new(self.pipes.clone())).await.unwrap();
        self.controls.insert(id, control);
    }

    /// Ends a member, its part in the council as well.
    pub(crate) async fn end(&mut self, id: u64) {
        self.shared.remove(&id);
        let control = self.controls.remove(&id).unwrap();
        timeout(PATIENCE, control.stop()).await.unwrap();
    }

    /// The leader hands the lead over, and lives on.
    pub(crate) async fn hand_over(&self, from: u64, to: u64) {
        let waits = Instant::now() + PATIENCE;
        while self.shared[&from].node().transfer_leadership(MemberId(to)).await.unwrap().is_err() {
            assert!(Instant::now() < waits, "it hands nothing over");
            sleep(Duration::from_millis(100)).await;
        }
        until("the lead is handed over", || self.control(to).status().leads).await;
    }

    /// The member that leads, once one of those that run does.
    pub(crate) async fn leader(&self) -> u64 {
        let leads = || self.controls.iter().find(|(_, control)| control.status().leads).map(|(id, _)| *id);
        until("a leader that runs", || leads().is_some()).await;
        leads().unwrap()
    }

    pub(crate) fn control(&self, id: u64) -> &Control {
        &self.controls[&id]
    }

    pub(crate) async fn change(&self, changes: Vec<Change>) -> Version {
        let any = self.controls.values().next().unwrap();
        any.propose(None, changes, WITHIN).await.unwrap()
    }

    /// Waits until a member has this version.
    pub(crate) async fn reaches(&self, id: u64, version: Version) {
        let reached = || self.control(id).status().head >= version;
        until("the member has the version", reached).await;
    }

    /// Waits until so many are registered.
    pub(crate) async fn registered(&self, count: usize) {
        let all = || self.controls.values().all(|control| control.status().registered == count);
        until("they are registered", all).await;
    }

    /// Waits for an answer of the leader that is as it should be.
    pub(crate) async fn standing(
        &self,
        version: Version,
        wanted: impl Fn(&RolloutStatus) -> bool,
    ) -> RolloutStatus {
        let waits = Instant::now() + PATIENCE;
        loop {
            let told = self.control(self.leader().await).rollout_status(version).await;
            if let Some(standing) = told.as_ref().ok().filter(|standing| wanted(standing)) {
                return standing.clone();
            }
            assert!(Instant::now() < waits, "{told:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Dials a member and tells it this first.
    pub(crate) async fn subscribe(&self, id: u64, first: v1::ConfigSubscribe) -> Subscriber {
        let mut subscriber = self.dial(id).await;
        subscriber.send(from_subscriber::Kind::Subscribe(first)).await;
        subscriber
    }

    pub(crate) async fn dial(&self, id: u64) -> Subscriber {
        let socket = self.pipes.dial(address(id)).await.unwrap();
        Subscriber(Framed::new(socket, Frames::new(1 << 20)))
    }

    /// As [`Rig::subscribe`], welcomed.
    pub(crate) async fn attach(&self, id: u64, first: v1::ConfigSubscribe) -> Subscriber {
        let mut subscriber = self.subscribe(id, first).await;
        subscriber.welcome().await;
        subscriber
    }
}

/// Looks again and again until something is so.
pub(crate) async fn until(what: &str, so: impl Fn() -> bool) {
    let waits = Instant::now() + PATIENCE;
    while !so() {
        assert!(Instant::now() < waits, "never: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

pub(crate) fn level(service: &str, class: &str, ppm: u32) -> Change {
    let scope = Scope { service: Some(service.to_owned()), tenant: None, region: None };
    Change { scope, target: Target::Class(class.to_owned()), setting: Some(Setting::LevelPpm(ppm)) }
}

pub(crate) fn first(name: &str, service: &str, holds: Version) -> v1::ConfigSubscribe {
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

/// A subscriber that speaks frames.
pub(crate) struct Subscriber(Framed<Box<dyn Stream>, Frames<FromControl, FromSubscriber>>);

impl Subscriber {
    pub(crate) async fn send(&mut self, kind: from_subscriber::Kind) {
        timeout(PATIENCE, self.0.send(FromSubscriber { kind: Some(kind) })).await.unwrap().unwrap();
    }

    pub(crate) async fn acknowledge(&mut self, version: Version) {
        self.unapplied(version, vec![]).await;
    }

    pub(crate) async fn unapplied(&mut self, version: Version, unapplied: Vec<v1::UnappliedDocument>) {
        let (holds, in_force) = (Some(version.into()), Some(version.into()));
        let told = v1::ConfigAcknowledgement { holds, in_force, unapplied };
        self.send(from_subscriber::Kind::Acknowledgement(told)).await;
    }

    pub(crate) async fn keep_alive(&mut self) {
        self.send(from_subscriber::Kind::KeepAlive(v1::ConfigKeepAlive { covered: None })).await;
    }

    /// The next frame; none once the other side has closed.
    pub(crate) async fn next(&mut self) -> Option<from_control::Kind> {
        let next = timeout(PATIENCE, self.0.next()).await.expect("a frame in time");
        next.and_then(Result::ok).and_then(|frame| frame.kind)
    }

    /// The next frame that is no keep-alive. Own keep-alives go out meanwhile.
    pub(crate) async fn news(&mut self) -> Option<from_control::Kind> {
        loop {
            match self.next().await {
                Some(from_control::Kind::KeepAlive(_)) => self.keep_alive().await,
                next => return next,
            }
        }
    }

    /// What it is covered to by keep-alives, for a time in which nothing else comes.
    pub(crate) async fn quiet(&mut self, span: Duration) -> Version {
        let (until, mut covered) = (Instant::now() + span, Version::NONE);
        loop {
            match tokio::time::timeout_at(until, self.next()).await {
                Err(_) => return covered,
                Ok(Some(from_control::Kind::KeepAlive(told))) => {
                    covered = version_of(told.covered);
                    self.keep_alive().await;
                }
                Ok(other) => panic!("{other:?} came"),
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

    /// The next delta: from, to, documents.
    pub(crate) async fn delta(&mut self) -> (Version, Version, Vec<Document>) {
        match self.news().await {
            Some(from_control::Kind::Delta(delta)) => {
                (version_of(delta.from), version_of(delta.to), documents(delta.documents))
            }
            other => panic!("no delta: {other:?}"),
        }
    }

    /// The next snapshot: its version, its parts' documents and when each came.
    pub(crate) async fn snapshot(&mut self) -> (Version, Vec<(Instant, Vec<Document>)>) {
        let mut parts = Vec::new();
        loop {
            let part = match self.news().await {
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

    /// True: the other side closes it in time. What comes before is dropped.
    pub(crate) async fn closes(&mut self) {
        while self.next().await.is_some() {}
    }
}

fn documents(messages: Vec<v1::ConfigDocument>) -> Vec<Document> {
    messages.into_iter().map(|message| Document::try_from(message).unwrap()).collect()
}
