//! Validates a member's settings and starts its tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use stepspur_consensus::{Member, MemberConfig, MemberId, Micros, PersistentState, StateMachine};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::lease_table::LeaseTable;
use crate::member_task::{Inputs, MemberTask};
use crate::peer_link::PeerLink;
use crate::peer_listener::PeerListener;
use crate::request::{Request, WriteProgress};
use crate::send_queue::SendQueue;
use crate::settings::{Settings, StartError};
use crate::status::AppliedState;
use crate::storage::{Storage, StorageEvent, WriteQueue};
use crate::transport::{Listener, Transport};

/// The capacity of the member task's message queue and of its request queue. Senders wait while a queue is
/// full.
const QUEUE_CAPACITY: usize = 1_024;
/// The time at which the member starts: its clock is started at the same moment.
const START_TIME: Micros = 0;

/// The tasks of a running member, and the channels and shared state through which its handle reaches them.
pub(crate) struct RunningMember {
    pub(crate) requests: mpsc::Sender<Request>,
    pub(crate) applied: watch::Receiver<AppliedState>,
    pub(crate) leases: Arc<LeaseTable>,
    pub(crate) clock: Clock,
    pub(crate) stop: CancellationToken,
    pub(crate) tasks: TaskTracker,
}

/// The I/O that a member runs on.
pub(crate) struct Environment {
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) listener: Box<dyn Listener>,
    /// `None` for a member without stable storage, which applies committed entries but never votes.
    pub(crate) storage: Option<Box<dyn Storage>>,
}

/// Checks that the settings are within bounds, and that the storage belongs to this member.
pub(crate) fn validate(settings: &Settings, storage: Option<&dyn Storage>) -> Result<(), StartError> {
    if let Some(invalid) = settings.consensus.invalid_settings().into_iter().next() {
        return Err(invalid.into());
    }
    match storage.map(Storage::id) {
        Some(found) if found != settings.id => {
            Err(StartError::WrongIdentity { found, expected: settings.id })
        }
        _ => Ok(()),
    }
}

/// Starts the tasks of a member from its persistent state. `state` is the state machine before any entry.
pub(crate) fn start_tasks<S: StateMachine + Send + Sync + 'static>(
    settings: &Settings,
    environment: Environment,
    stored: PersistentState,
    seed: u64,
    state: S,
) -> Result<RunningMember, StartError> {
    let Environment { transport, listener, storage } = environment;
    let (write_progress, writes) = watch::channel(WriteProgress::default());
    let storage = storage.map(|storage| start_storage(storage, write_progress)).transpose()?;
    let stop = CancellationToken::new();
    let tasks = TaskTracker::new();
    let (received, messages) = mpsc::channel(QUEUE_CAPACITY);
    let (request_sender, requests) = mpsc::channel(QUEUE_CAPACITY);
    let (applied_sender, applied) = watch::channel(AppliedState::default());
    let leases = Arc::new(LeaseTable::default());
    let clock = Clock::start();
    let send_queues = start_links(&transport, settings, &stop, &tasks);
    let peers = PeerListener::new(settings.clone(), received, stop.clone(), tasks.clone());
    tasks.spawn(peers.run(listener));
    let task = MemberTask {
        id: settings.id,
        member: new_member(settings, stored, seed, state),
        clock,
        send_queues,
        storage,
        leases: Arc::clone(&leases),
        applied: applied_sender,
        pending_reads: BTreeMap::new(),
        dropped_messages: 0,
    };
    tasks.spawn(task.run(Inputs { messages, requests, writes, stop: stop.clone() }));
    Ok(RunningMember { requests: request_sender, applied, leases, clock, stop, tasks })
}

fn new_member<S: StateMachine>(
    settings: &Settings,
    stored: PersistentState,
    seed: u64,
    state: S,
) -> Member<S> {
    let config = MemberConfig {
        id: settings.id,
        initial_voters: settings.peers.keys().copied().collect(),
        settings: settings.consensus.clone(),
        seed,
    };
    let mut member = Member::with_state(config, stored, START_TIME, state);
    member.set_role_preferences(settings.role_prefixes.clone(), settings.role_weight);
    member
}

/// Starts the storage, and publishes its events as [`WriteProgress`].
fn start_storage(
    storage: Box<dyn Storage>,
    progress: watch::Sender<WriteProgress>,
) -> Result<Box<dyn WriteQueue>, StartError> {
    let on_event = Box::new(move |event| {
        progress.send_modify(|progress| match event {
            StorageEvent::Durable { number } => progress.durable = number,
            StorageEvent::Failed { reason } => progress.failure = Some(reason),
        });
    });
    storage.start(on_event).map_err(StartError::StorageThread)
}

/// Starts a link task for each peer, and returns the send queues of the links.
fn start_links(
    transport: &Arc<dyn Transport>,
    settings: &Settings,
    stop: &CancellationToken,
    tasks: &TaskTracker,
) -> BTreeMap<MemberId, Arc<SendQueue>> {
    let mut queues = BTreeMap::new();
    for (peer, address) in settings.peers.iter().filter(|(peer, _)| **peer != settings.id) {
        let queue = Arc::new(SendQueue::default());
        queues.insert(*peer, Arc::clone(&queue));
        let link = PeerLink {
            transport: Arc::clone(transport),
            address: *address,
            queue,
            max_frame_bytes: settings.max_frame_bytes,
            io_timeout: settings.io_timeout,
        };
        tasks.spawn(link.run(stop.clone()));
    }
    queues
}
