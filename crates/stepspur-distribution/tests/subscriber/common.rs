//! A scripted control member, a network in memory, and an engine.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_consensus_node::{BoxFuture, Listener, Stream, Transport};
use stepspur_distribution::document::{Document, Interest, Key, Scope, ServiceInterest, Setting, Target};
use stepspur_distribution::scope_store::MemoryStore;
use stepspur_distribution::subscriber::{
    DocumentApplier, DocumentNotApplied, Subscriber, SubscriberSettings, SubscriberStatus,
};
use stepspur_distribution::version::{Version, version_of};
use stepspur_proto::{
    DEFAULT_MAX_FRAME_BYTES, Frames, FromControl, FromSubscriber, from_control, from_subscriber, v1,
};
use tokio::io::{DuplexStream, duplex};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// Time limit for each step that a test waits for.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The keep-alive interval in the control member's welcome.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(5);

pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(crate) fn version(index: u64) -> Version {
    if index == 0 { Version::NONE } else { Version { term: 1, index } }
}

pub(crate) fn document(class: u64, index: u64, level: Option<u32>) -> Document {
    let scope = Scope { service: Some("a".to_owned()), ..Scope::default() };
    let key = Key { scope, target: Target::Class(format!("class-{class}")) };
    Document { key, setting: level.map(Setting::LevelPpm), version: version(index) }
}

pub(crate) fn settings(control: &[u16]) -> SubscriberSettings {
    let service = ServiceInterest { service: "a".to_owned(), tenants: Vec::new() };
    SubscriberSettings {
        name: "conductor-1".to_owned(),
        interest: Interest { region: "north".to_owned(), services: vec![service] },
        control: control.iter().map(|port| address(*port)).collect(),
        dial_timeout: Duration::from_secs(2),
        write_timeout: Duration::from_secs(2),
        seed: 1,
    }
}

/// A network of duplex pipes in memory. It records attempts to connect, with their times.
#[derive(Clone, Default)]
pub(crate) struct MemoryNetwork {
    listeners: Arc<Mutex<BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>>>,
    dials: Arc<Mutex<Vec<(SocketAddr, Instant)>>>,
}

impl MemoryNetwork {
    pub(crate) fn listener(&self, port: u16) -> ControlListener {
        let (connections, listener) = mpsc::channel(4);
        self.listeners.lock().expect("listeners").insert(address(port), connections);
        ControlListener { connections: listener }
    }

    pub(crate) fn dials(&self) -> Vec<(SocketAddr, Instant)> {
        self.dials.lock().expect("dials").clone()
    }
}

impl Transport for MemoryNetwork {
    fn listen(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async { Err(io::ErrorKind::Unsupported.into()) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            self.dials.lock().expect("dials").push((to, Instant::now()));
            let listener = self.listeners.lock().expect("listeners").get(&to).cloned();
            let listener = listener.ok_or(io::ErrorKind::ConnectionRefused)?;
            let (near, far) = duplex(64 << 10);
            listener.try_send(far).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

/// Accepts connections of subscribers.
pub(crate) struct ControlListener {
    connections: mpsc::Receiver<DuplexStream>,
}

impl ControlListener {
    /// Accepts a connection, and receives its first frame.
    pub(crate) async fn accept(&mut self) -> ControlConnection {
        let stream = timeout(TEST_TIMEOUT, self.connections.recv())
            .await
            .expect("a connection in time")
            .expect("the network exists");
        let mut connection = ControlConnection {
            frames: Framed::new(stream, Frames::new(DEFAULT_MAX_FRAME_BYTES)),
            subscribe: v1::ConfigSubscribe::default(),
        };
        match connection.receive().await {
            Some(from_subscriber::Kind::Subscribe(subscribe)) => connection.subscribe = subscribe,
            other => panic!("the first frame is {other:?}"),
        }
        connection
    }

    /// Accepts a connection, and sends the welcome.
    pub(crate) async fn accept_and_welcome(&mut self) -> ControlConnection {
        let mut connection = self.accept().await;
        let keep_alive_us = u64::try_from(KEEP_ALIVE.as_micros()).expect("it fits");
        let welcome = v1::ConfigWelcome { members: Vec::new(), head: None, keep_alive_us };
        connection.send(from_control::Kind::Welcome(welcome)).await;
        connection
    }
}

/// A subscriber's connection, at the control member.
pub(crate) struct ControlConnection {
    frames: Framed<DuplexStream, Frames<FromSubscriber, FromControl>>,
    pub subscribe: v1::ConfigSubscribe,
}

impl ControlConnection {
    pub(crate) fn stored_version(&self) -> Version {
        version_of(self.subscribe.holds)
    }

    pub(crate) fn applied_version(&self) -> Version {
        version_of(self.subscribe.in_force)
    }

    pub(crate) async fn send(&mut self, kind: from_control::Kind) {
        self.frames.send(FromControl { kind: Some(kind) }).await.expect("it is written");
    }

    pub(crate) async fn delta(&mut self, from: u64, to: u64, documents: &[Document]) {
        let documents = documents.iter().cloned().map(Into::into).collect();
        let (from, to) = (Some(version(from).into()), Some(version(to).into()));
        self.send(from_control::Kind::Delta(v1::ConfigDelta { from, to, documents })).await;
    }

    pub(crate) async fn part(&mut self, index: u64, part: u32, last: bool, documents: &[Document]) {
        let documents = documents.iter().cloned().map(Into::into).collect();
        let part = v1::ConfigSnapshotPart { version: Some(version(index).into()), part, last, documents };
        self.send(from_control::Kind::SnapshotPart(part)).await;
    }

    pub(crate) async fn keep_alive(&mut self, covered: u64) {
        let covered = Some(version(covered).into());
        self.send(from_control::Kind::KeepAlive(v1::ConfigKeepAlive { covered })).await;
    }

    pub(crate) async fn redirect(&mut self, members: Vec<v1::ControlAddress>, retry_after: Duration) {
        let retry_after_us = u64::try_from(retry_after.as_micros()).expect("it fits");
        let redirect = v1::ConfigRedirect { detail: "full".to_owned(), members, retry_after_us };
        self.send(from_control::Kind::Redirect(redirect)).await;
    }

    /// Receives the next frame; `None` if the subscriber ended the connection.
    pub(crate) async fn receive(&mut self) -> Option<from_subscriber::Kind> {
        let frame = timeout(TEST_TIMEOUT, self.frames.next()).await.expect("a frame in time")?;
        frame.expect("a valid frame").kind
    }

    /// Receives the next acknowledgement: the stored version, the applied version, and the reasons of
    /// documents that were not applied.
    pub(crate) async fn next_acknowledgement(&mut self) -> (Version, Version, Vec<String>) {
        loop {
            match self.receive().await {
                Some(from_subscriber::Kind::KeepAlive(_)) => {}
                Some(from_subscriber::Kind::Acknowledgement(acknowledgement)) => {
                    let reasons =
                        acknowledgement.unapplied.into_iter().map(|unapplied| unapplied.reason).collect();
                    return (
                        version_of(acknowledgement.holds),
                        version_of(acknowledgement.in_force),
                        reasons,
                    );
                }
                other => panic!("expected an acknowledgement, received {other:?}"),
            }
        }
    }

    /// Waits until the subscriber ends the connection.
    pub(crate) async fn wait_until_closed(&mut self) {
        while self.receive().await.is_some() {}
    }
}

/// An engine that records applied documents. A test can make it reject documents, or stall.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    state: Arc<Mutex<EngineState>>,
    is_stalled: Arc<watch::Sender<bool>>,
}

#[derive(Default)]
struct EngineState {
    applied: BTreeMap<Key, Document>,
    rejection: Option<String>,
    /// The store that must have each document before it is applied.
    store: Option<MemoryStore>,
}

impl Engine {
    pub(crate) fn applied(&self) -> Vec<Document> {
        self.state.lock().expect("state").applied.values().cloned().collect()
    }

    pub(crate) fn reject(&self, reason: Option<&str>) {
        self.state.lock().expect("state").rejection = reason.map(str::to_owned);
    }

    pub(crate) fn stall(&self, is_stalled: bool) {
        self.is_stalled.send_replace(is_stalled);
    }

    /// Asserts from now on that documents are stored before they are applied.
    pub(crate) fn require_stored_in(&self, store: &MemoryStore) {
        self.state.lock().expect("state").store = Some(store.clone());
    }
}

impl DocumentApplier for Engine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move {
            let mut is_stalled = self.is_stalled.subscribe();
            is_stalled.wait_for(|is_stalled| !is_stalled).await.expect("the engine exists");
            let mut state = self.state.lock().expect("state");
            if let Some(store) = &state.store {
                let stored = store.content().map_or(Version::NONE, |stored| stored.version);
                assert!(stored >= document.version, "{document:?} is applied, and the store has {stored}");
            }
            if let Some(reason) = &state.rejection {
                return Err(reason.clone().into());
            }
            match document.setting {
                Some(_) => state.applied.insert(document.key.clone(), document.clone()),
                None => state.applied.remove(&document.key),
            };
            Ok(())
        })
    }
}

/// A running subscriber, its engine and its store.
pub(crate) struct RunningSubscriber {
    pub engine: Engine,
    pub store: MemoryStore,
    pub subscriber: Subscriber,
}

impl RunningSubscriber {
    pub(crate) async fn start(network: &MemoryNetwork, control: &[u16]) -> Self {
        Self::start_on(network, control, MemoryStore::new()).await
    }

    pub(crate) async fn start_on(network: &MemoryNetwork, control: &[u16], store: MemoryStore) -> Self {
        Self::start_with(network, control, store, Engine::default()).await
    }

    pub(crate) async fn start_with(
        network: &MemoryNetwork,
        control: &[u16],
        store: MemoryStore,
        engine: Engine,
    ) -> Self {
        engine.require_stored_in(&store);
        let (apply, net) = (Arc::new(engine.clone()), Arc::new(network.clone()));
        let subscriber = Subscriber::start(settings(control), Box::new(store.clone()), apply, net).await;
        Self { engine, store, subscriber: subscriber.expect("it starts") }
    }

    /// Waits until the status is as expected, and returns it.
    pub(crate) async fn status(&self, is_expected: impl Fn(&SubscriberStatus) -> bool) -> SubscriberStatus {
        let mut status = self.subscriber.status();
        let found =
            timeout(TEST_TIMEOUT, status.wait_for(is_expected)).await.expect("in time").expect("it runs");
        found.clone()
    }

    /// The stored version and documents.
    pub(crate) fn stored(&self) -> (Version, Vec<Document>) {
        self.store.content().map_or((Version::NONE, Vec::new()), |stored| (stored.version, stored.documents))
    }
}

/// A running subscriber that is attached to its only control member.
pub(crate) struct AttachedSubscriber {
    pub network: MemoryNetwork,
    pub running: RunningSubscriber,
    pub listener: ControlListener,
    pub connection: ControlConnection,
}

impl AttachedSubscriber {
    pub(crate) async fn start() -> Self {
        let network = MemoryNetwork::default();
        let mut listener = network.listener(1);
        let running = RunningSubscriber::start(&network, &[1]).await;
        let connection = listener.accept_and_welcome().await;
        Self { network, running, listener, connection }
    }
}
