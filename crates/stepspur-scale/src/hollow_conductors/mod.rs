//! Hollow conductors: the program's own subscribers, without proxies, servers and decisions, many as tasks of
//! one process. Their engine notes what it is given and when. The rig drives the process by [`message`]s.

pub(crate) mod message;
mod net;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context;
use stepspur_consensus_node::BoxFuture;
use stepspur_distribution::document::Document;
use stepspur_distribution::scope_store::MemoryStore;
use stepspur_distribution::subscriber::{
    DocumentApplier, DocumentNotApplied, Subscriber, SubscriberSettings, SubscriberStatus,
};
use stepspur_distribution::version::Version;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, BufWriter};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::fleet::history::{Documents, SubscriberId, digest, key_digest, now, put};
use message::{Command, Event, HollowConductor};
use net::{Counters, GatedNet, Gates};

/// Events that may wait for the rig: with more, engines wait.
const EVENTS_WAITING_MOST: usize = 4_096;
/// As in the settings of a real conductor.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A subscriber that has not stopped by then is left behind.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a process of hollow conductors until its standard input ends.
///
/// # Errors
/// Commands that cannot be read, or a standard output that is gone.
pub(crate) async fn run() -> anyhow::Result<()> {
    // One thread: many such processes share the machine, and each has little to do.
    tokio::task::spawn_blocking(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(serve())
    })
    .await?
}

async fn serve() -> anyhow::Result<()> {
    let (events, waiting) = mpsc::channel(EVENTS_WAITING_MOST);
    let writer = tokio::spawn(write(waiting));
    let mut process = Process::new(events);
    process.tell(Event::Ready).await?;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let command = serde_json::from_str(&line).context("a command that cannot be read")?;
        process.take(command).await?;
    }
    process.stop().await;
    writer.await?
}

/// Writes events as they come, many at a time when many wait.
async fn write(mut waiting: mpsc::Receiver<Event>) -> anyhow::Result<()> {
    let mut out = BufWriter::new(tokio::io::stdout());
    while let Some(event) = waiting.recv().await {
        let mut next = Some(event);
        while let Some(event) = next {
            let mut line = serde_json::to_vec(&event)?;
            line.push(b'\n');
            out.write_all(&line).await?;
            next = waiting.try_recv().ok();
        }
        out.flush().await?;
    }
    Ok(())
}

/// The conductors of this process.
struct Process {
    control: Vec<SocketAddr>,
    conductors: BTreeMap<SubscriberId, Running>,
    gates: Gates,
    events: mpsc::Sender<Event>,
}

/// A hollow conductor that runs.
struct Running {
    conductor: HollowConductor,
    subscriber: Subscriber,
    store: MemoryStore,
    engine: Arc<Engine>,
    counters: Arc<Counters>,
    status: watch::Receiver<SubscriberStatus>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Process {
    fn new(events: mpsc::Sender<Event>) -> Self {
        Self { control: Vec::new(), conductors: BTreeMap::new(), gates: Gates::default(), events }
    }

    async fn tell(&self, event: Event) -> anyhow::Result<()> {
        self.events.send(event).await.context("nobody takes events")
    }

    async fn take(&mut self, command: Command) -> anyhow::Result<()> {
        match command {
            Command::Start { control, conductors } => {
                self.control = control.into_iter().map(|place| place.address).collect();
                for conductor in conductors {
                    let counters = Arc::new(Counters::default());
                    self.start(conductor, MemoryStore::default(), counters).await?;
                }
            }
            Command::Cut { region } => self.gates.of(&region).set(true),
            Command::Heal { region } => self.gates.of(&region).set(false),
            Command::Restart { conductors } => self.restart(conductors).await?,
            Command::Report { token } => self.report(token).await?,
        }
        Ok(())
    }

    async fn start(
        &mut self,
        conductor: HollowConductor,
        store: MemoryStore,
        counters: Arc<Counters>,
    ) -> anyhow::Result<()> {
        let id = conductor.id;
        let engine = Arc::new(Engine::new(id, self.events.clone()));
        let net =
            GatedNet { gate: self.gates.of(&conductor.interest.region), counters: Arc::clone(&counters) };
        let settings = SubscriberSettings {
            name: conductor.name.clone(),
            interest: conductor.interest.clone(),
            control: self.control.clone(),
            dial_timeout: DIAL_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            seed: u64::from(id.0) ^ now(),
        };
        let apply: Arc<dyn DocumentApplier> = Arc::clone(&engine) as Arc<dyn DocumentApplier>;
        let subscriber =
            match Subscriber::start(settings, Box::new(store.clone()), apply, Arc::new(net)).await {
                Ok(subscriber) => subscriber,
                Err(error) => return self.tell(Event::Failed { id, reason: error.to_string() }).await,
            };
        let (status, stop, tasks) = (subscriber.status(), CancellationToken::new(), TaskTracker::new());
        tasks.spawn(acknowledgements(id, subscriber.status(), self.events.clone(), stop.clone()));
        tasks.close();
        let running = Running { conductor, subscriber, store, engine, counters, status, stop, tasks };
        self.conductors.insert(id, running);
        Ok(())
    }

    /// Ends them all, then starts them all: they come back at once.
    async fn restart(&mut self, ids: Vec<SubscriberId>) -> anyhow::Result<()> {
        let mut ended = Vec::new();
        for id in ids {
            let Some(running) = self.conductors.remove(&id) else { continue };
            ended.push(running.stop().await);
            self.tell(Event::Restarted { id, at: now() }).await?;
        }
        for (conductor, store, counters) in ended {
            self.start(conductor, store, counters).await?;
        }
        Ok(())
    }

    async fn report(&self, token: u64) -> anyhow::Result<()> {
        for (&id, running) in &self.conductors {
            let connected = running.status.borrow().control.is_some();
            let (digest, documents) = running.engine.look();
            let bytes = running.counters.bytes();
            self.tell(Event::Holding { id, at: now(), connected, digest, documents, bytes }).await?;
        }
        self.tell(Event::Reported { token }).await
    }

    async fn stop(self) {
        for running in self.conductors.into_values() {
            running.stop().await;
        }
    }
}

impl Running {
    async fn stop(self) -> (HollowConductor, MemoryStore, Arc<Counters>) {
        if tokio::time::timeout(STOP_TIMEOUT, self.subscriber.stop()).await.is_err() {
            eprintln!("{} has not stopped", self.conductor.name);
        }
        self.stop.cancel();
        self.tasks.wait().await;
        (self.conductor, self.store, self.counters)
    }
}

/// Tells each version that a conductor says it acts by.
async fn acknowledgements(
    id: SubscriberId,
    mut status: watch::Receiver<SubscriberStatus>,
    events: mpsc::Sender<Event>,
    stop: CancellationToken,
) {
    let mut told = Version::NONE;
    loop {
        let version = status.borrow_and_update().applied_version;
        let at = now();
        if version != told && version != Version::NONE {
            told = version;
            if events.send(Event::Acknowledged { id, version, at }).await.is_err() {
                return;
            }
        }
        tokio::select! {
            () = stop.cancelled() => return,
            changed = status.changed() => if changed.is_err() { return },
        }
    }
}

/// What stands in for the engine: it takes every document at once, and tells when.
struct Engine {
    id: SubscriberId,
    documents: Mutex<Documents>,
    events: mpsc::Sender<Event>,
}

impl Engine {
    fn new(id: SubscriberId, events: mpsc::Sender<Event>) -> Self {
        Self { id, documents: Mutex::new(Documents::new()), events }
    }

    /// The digest of what is in force, and how many documents that are.
    fn look(&self) -> (u64, usize) {
        let documents = self.documents.lock().unwrap_or_else(PoisonError::into_inner);
        (digest(&documents), documents.len())
    }

    async fn take(&self, document: &Document) -> Result<(), String> {
        put(&mut self.documents.lock().unwrap_or_else(PoisonError::into_inner), document);
        let (id, key, version) = (self.id, key_digest(&document.key), document.version);
        let told = self.events.send(Event::Applied { id, version, key, at: now() }).await;
        told.map_err(|_| "the rig is gone".to_owned())
    }
}

impl DocumentApplier for Engine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move { Ok(self.take(document).await?) })
    }
}
