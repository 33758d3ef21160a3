//! Hollow conductors: the program's own configuration subscribers, without proxies, servers and decisions.
//! Many run as tasks of one process. Their stand-in engine records each document it receives and the time.
//! The harness controls the process by [`message`]s.

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
use net::{Counters, GatedTransport, Gates};

/// Capacity of the queue of events to the harness, in events; engines block while it is full.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Default timeouts of a real conductor for connecting and writing.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a subscriber to stop; it is then abandoned.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs hollow conductors until standard input is closed.
///
/// # Errors
/// If a command cannot be parsed or standard output is closed.
pub(crate) async fn run() -> anyhow::Result<()> {
    // A single thread, because many such processes share the machine and each has little work.
    tokio::task::spawn_blocking(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(serve())
    })
    .await?
}

async fn serve() -> anyhow::Result<()> {
    let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let writer = tokio::spawn(write_events(queue));
    let mut process = Process::new(events);
    process.send(Event::Ready).await?;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let command = serde_json::from_str(&line).context("a command that cannot be read")?;
        process.handle(command).await?;
    }
    process.stop().await;
    writer.await?
}

/// Writes events to standard output, and flushes once for all that are queued.
async fn write_events(mut queue: mpsc::Receiver<Event>) -> anyhow::Result<()> {
    let mut out = BufWriter::new(tokio::io::stdout());
    while let Some(event) = queue.recv().await {
        let mut next = Some(event);
        while let Some(event) = next {
            let mut line = serde_json::to_vec(&event)?;
            line.push(b'\n');
            out.write_all(&line).await?;
            next = queue.try_recv().ok();
        }
        out.flush().await?;
    }
    Ok(())
}

/// State of this process: its conductors, and the control members they use.
struct Process {
    control: Vec<SocketAddr>,
    conductors: BTreeMap<SubscriberId, Running>,
    gates: Gates,
    events: mpsc::Sender<Event>,
}

/// A running hollow conductor.
struct Running {
    conductor: HollowConductor,
    subscriber: Subscriber,
    store: MemoryStore,
    engine: Arc<RecordingEngine>,
    counters: Arc<Counters>,
    status: watch::Receiver<SubscriberStatus>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Process {
    fn new(events: mpsc::Sender<Event>) -> Self {
        Self { control: Vec::new(), conductors: BTreeMap::new(), gates: Gates::default(), events }
    }

    async fn send(&self, event: Event) -> anyhow::Result<()> {
        self.events.send(event).await.context("nobody takes events")
    }

    async fn handle(&mut self, command: Command) -> anyhow::Result<()> {
        match command {
            Command::Start { control, conductors } => {
                self.control = control.into_iter().map(|member| member.address).collect();
                for conductor in conductors {
                    let counters = Arc::new(Counters::default());
                    self.start(conductor, MemoryStore::default(), counters).await?;
                }
            }
            Command::Cut { region } => self.gates.for_region(&region).set(true),
            Command::Heal { region } => self.gates.for_region(&region).set(false),
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
        let engine = Arc::new(RecordingEngine::new(id, self.events.clone()));
        let net = GatedTransport {
            gate: self.gates.for_region(&conductor.interest.region),
            counters: Arc::clone(&counters),
        };
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
                Err(error) => return self.send(Event::Failed { id, reason: error.to_string() }).await,
            };
        let (status, stop, tasks) = (subscriber.status(), CancellationToken::new(), TaskTracker::new());
        tasks.spawn(send_acknowledgements(id, subscriber.status(), self.events.clone(), stop.clone()));
        tasks.close();
        let running = Running { conductor, subscriber, store, engine, counters, status, stop, tasks };
        self.conductors.insert(id, running);
        Ok(())
    }

    /// Stops all these conductors before it starts them again, so that they reconnect at the same time.
    async fn restart(&mut self, ids: Vec<SubscriberId>) -> anyhow::Result<()> {
        let mut stopped = Vec::new();
        for id in ids {
            let Some(running) = self.conductors.remove(&id) else { continue };
            stopped.push(running.stop().await);
            self.send(Event::Restarted { id, at: now() }).await?;
        }
        for (conductor, store, counters) in stopped {
            self.start(conductor, store, counters).await?;
        }
        Ok(())
    }

    async fn report(&self, token: u64) -> anyhow::Result<()> {
        for (&id, running) in &self.conductors {
            let connected = running.status.borrow().control.is_some();
            let (digest, documents) = running.engine.digest_and_count();
            let bytes = running.counters.bytes();
            self.send(Event::Holding { id, at: now(), connected, digest, documents, bytes }).await?;
        }
        self.send(Event::Reported { token }).await
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

/// Sends an [`Event::Acknowledged`] for each version that a conductor has applied.
async fn send_acknowledgements(
    id: SubscriberId,
    mut status: watch::Receiver<SubscriberStatus>,
    events: mpsc::Sender<Event>,
    stop: CancellationToken,
) {
    let mut acknowledged = Version::NONE;
    loop {
        let version = status.borrow_and_update().applied_version;
        let at = now();
        if version != acknowledged && version != Version::NONE {
            acknowledged = version;
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

/// Stand-in for a conductor's engine: applies each document immediately and sends an [`Event::Applied`].
struct RecordingEngine {
    id: SubscriberId,
    documents: Mutex<Documents>,
    events: mpsc::Sender<Event>,
}

impl RecordingEngine {
    fn new(id: SubscriberId, events: mpsc::Sender<Event>) -> Self {
        Self { id, documents: Mutex::new(Documents::new()), events }
    }

    /// Digest and number of the documents in force.
    fn digest_and_count(&self) -> (u64, usize) {
        let documents = self.documents.lock().unwrap_or_else(PoisonError::into_inner);
        (digest(&documents), documents.len())
    }

    async fn apply_document(&self, document: &Document) -> Result<(), String> {
        put(&mut self.documents.lock().unwrap_or_else(PoisonError::into_inner), document);
        let (id, key, version) = (self.id, key_digest(&document.key), document.version);
        let sent = self.events.send(Event::Applied { id, version, key, at: now() }).await;
        sent.map_err(|_| "the rig is gone".to_owned())
    }
}

impl DocumentApplier for RecordingEngine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move { Ok(self.apply_document(document).await?) })
    }
}
