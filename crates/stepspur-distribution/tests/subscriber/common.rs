//! A control member that says what a test has it say, a network of pipes to it, and an engine.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_consensus_node::{BoxFuture, Listen, Net, Stream};
use stepspur_distribution::document::{Document, Interest, Key, Scope, ServiceInterest, Setting, Target};
use stepspur_distribution::scope_store::MemoryStore;
use stepspur_distribution::subscriber::{
    DocumentApplier, DocumentNotApplied, Subscriber, SubscriberSettings, SubscriberStatus,
};
use stepspur_distribution::version::{Version, version_of};
use stepspur_proto::{Frames, FromControl, FromSubscriber, LARGEST_FRAME, from_control, from_subscriber, v1};
use tokio::io::{DuplexStream, duplex};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// How long a test waits for what must come.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
/// The span between frames that the control member names.
pub(crate) const SPAN: Duration = Duration::from_secs(5);

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

/// A network on which doors are opened and shut. Dials are kept, with their times.
#[derive(Clone, Default)]
pub(crate) struct Pipes {
    doors: Arc<Mutex<BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>>>,
    dials: Arc<Mutex<Vec<(SocketAddr, Instant)>>>,
}

impl Pipes {
    pub(crate) fn door(&self, port: u16) -> Door {
        let (calls, door) = mpsc::channel(4);
        self.doors.lock().expect("doors").insert(address(port), calls);
        Door { calls: door }
    }

    pub(crate) fn dials(&self) -> Vec<(SocketAddr, Instant)> {
        self.dials.lock().expect("dials").clone()
    }
}

impl Net for Pipes {
    fn listen(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listen>>> {
        Box::pin(async { Err(io::ErrorKind::Unsupported.into()) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            self.dials.lock().expect("dials").push((to, Instant::now()));
            let door = self.doors.lock().expect("doors").get(&to).cloned();
            let door = door.ok_or(io::ErrorKind::ConnectionRefused)?;
            let (near, far) = duplex(64 << 10);
            door.try_send(far).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

/// Where subscribers call.
pub(crate) struct Door {
    calls: mpsc::Receiver<DuplexStream>,
}

impl Door {
    /// The next call, and what it subscribes to.
    pub(crate) async fn call(&mut self) -> Call {
        let stream =
            timeout(PATIENCE, self.calls.recv()).await.expect("a call in time").expect("the net stands");
        let mut call = Call {
            frames: Framed::new(stream, Frames::new(LARGEST_FRAME)),
            subscribe: v1::ConfigSubscribe::default(),
        };
        match call.receive().await {
            Some(from_subscriber::Kind::Subscribe(subscribe)) => call.subscribe = subscribe,
            other => panic!("the first frame is {other:?}"),
        }
        call
    }

    /// The next call, welcomed.
    pub(crate) async fn welcome(&mut self) -> Call {
        let mut call = self.call().await;
        let keep_alive_us = u64::try_from(SPAN.as_micros()).expect("it fits");
        let welcome = v1::ConfigWelcome { members: Vec::new(), head: None, keep_alive_us };
        call.send(from_control::Kind::Welcome(welcome)).await;
        call
    }
}

/// A subscriber's connection, from the other side.
pub(crate) struct Call {
    frames: Framed<DuplexStream, Frames<FromSubscriber, FromControl>>,
    pub subscribe: v1::ConfigSubscribe,
}

impl Call {
    pub(crate) fn holds(&self) -> Version {
        version_of(self.subscribe.holds)
    }

    pub(crate) fn in_force(&self) -> Version {
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

    /// The next frame; none: the subscriber ended the connection.
    pub(crate) async fn receive(&mut self) -> Option<from_subscriber::Kind> {
        let frame = timeout(PATIENCE, self.frames.next()).await.expect("a frame in time")?;
        frame.expect("a sound frame").kind
    }

    /// The next acknowledgement: what is held, what is in force, and the reasons for what is not.
    pub(crate) async fn acknowledged(&mut self) -> (Version, Version, Vec<String>) {
        loop {
            match self.receive().await {
                Some(from_subscriber::Kind::KeepAlive(_)) => {}
                Some(from_subscriber::Kind::Acknowledgement(told)) => {
                    let reasons = told.unapplied.into_iter().map(|unapplied| unapplied.reason).collect();
                    return (version_of(told.holds), version_of(told.in_force), reasons);
                }
                other => panic!("{other:?} in place of an acknowledgement"),
            }
        }
    }

    /// Waits until the subscriber ends the connection.
    pub(crate) async fn ended(&mut self) {
        while self.receive().await.is_some() {}
    }
}

/// An engine that acts by what it is told, unless it refuses; while it is held up it does not answer.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    state: Arc<Mutex<EngineState>>,
    held_up: Arc<watch::Sender<bool>>,
}

#[derive(Default)]
struct EngineState {
    acts_by: BTreeMap<Key, Document>,
    refuses: Option<String>,
    /// Where it looks whether what it is told is kept.
    disk: Option<MemoryStore>,
}

impl Engine {
    pub(crate) fn acts_by(&self) -> Vec<Document> {
        self.state.lock().expect("state").acts_by.values().cloned().collect()
    }

    pub(crate) fn refuse(&self, why: Option<&str>) {
        self.state.lock().expect("state").refuses = why.map(str::to_owned);
    }

    pub(crate) fn hold_up(&self, held_up: bool) {
        self.held_up.send_replace(held_up);
    }

    /// From now on what it is told must be on this disk.
    pub(crate) fn watch_disk(&self, disk: &MemoryStore) {
        self.state.lock().expect("state").disk = Some(disk.clone());
    }
}

impl DocumentApplier for Engine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move {
            let _ = self.held_up.subscribe().wait_for(|held_up| !held_up).await;
            let mut state = self.state.lock().expect("state");
            if let Some(disk) = &state.disk {
                let kept = disk.content().map_or(Version::NONE, |kept| kept.version);
                assert!(kept >= document.version, "{document:?} is applied, and the disk has {kept}");
            }
            if let Some(why) = &state.refuses {
                return Err(why.clone().into());
            }
            match document.setting {
                Some(_) => state.acts_by.insert(document.key.clone(), document.clone()),
                None => state.acts_by.remove(&document.key),
            };
            Ok(())
        })
    }
}

/// A subscriber and all that it stands on.
pub(crate) struct Rig {
    pub engine: Engine,
    pub store: MemoryStore,
    pub subscriber: Subscriber,
}

impl Rig {
    pub(crate) async fn start(pipes: &Pipes, control: &[u16]) -> Self {
        Self::start_on(pipes, control, MemoryStore::new()).await
    }

    pub(crate) async fn start_on(pipes: &Pipes, control: &[u16], store: MemoryStore) -> Self {
        Self::start_with(pipes, control, store, Engine::default()).await
    }

    pub(crate) async fn start_with(
        pipes: &Pipes,
        control: &[u16],
        store: MemoryStore,
        engine: Engine,
    ) -> Self {
        engine.watch_disk(&store);
        let (apply, net) = (Arc::new(engine.clone()), Arc::new(pipes.clone()));
        let subscriber = Subscriber::start(settings(control), Box::new(store.clone()), apply, net).await;
        Self { engine, store, subscriber: subscriber.expect("it starts") }
    }

    /// Waits until the status is so.
    pub(crate) async fn status(&self, is_so: impl Fn(&SubscriberStatus) -> bool) -> SubscriberStatus {
        let mut status = self.subscriber.status();
        let found = timeout(PATIENCE, status.wait_for(is_so)).await.expect("in time").expect("it runs");
        found.clone()
    }

    /// What the store holds.
    pub(crate) fn kept(&self) -> (Version, Vec<Document>) {
        self.store.content().map_or((Version::NONE, Vec::new()), |kept| (kept.version, kept.documents))
    }
}
