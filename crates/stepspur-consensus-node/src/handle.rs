//! The handle of a running member: starts its tasks, asks them, and stops them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use bytes::Bytes;
use serde::Serialize;
use stepspur_consensus::{
    FencingToken, Index, Member, MemberId, MembershipChange, PersistentState, RequestError, RoleCommand,
    RoleName, StateMachine,
};
use stepspur_consensus_storage::Store;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::link::{Link, Outbox};
use crate::listener::PeerListener;
use crate::settings::{Settings, StartError};
use crate::storage::{SaveQueue, Storage};
use crate::task::{Clock, Inputs, Leases, MemberTask, Request, SaveProgress};
use crate::tcp::Tcp;
use crate::transport::Transport;

/// Messages, and requests, that wait for the member's task; who brings more waits.
const QUEUE: usize = 1_024;

/// The member has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the council's member has stopped")]
pub struct NodeStopped;

/// How a member stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Its identity.
    pub id: MemberId,
    /// Its term.
    pub term: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<MemberId>,
    /// True: it votes.
    pub votes: bool,
    /// True: its storage has failed, and it takes no part.
    pub retired: bool,
    /// Entries that it has applied.
    pub applied: u64,
    /// Duties: their holder and token.
    pub duties: BTreeMap<String, (Option<MemberId>, u64)>,
}

/// How far a member has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedState {
    /// The last entry that it applied.
    pub index: Index,
    /// Why it applies no more, if so.
    pub stopped: Option<String>,
}

/// A running council member. Dropping it stops it without waiting; [`NodeHandle::stop`] waits.
#[derive(Debug)]
pub struct NodeHandle {
    address: SocketAddr,
    requests: mpsc::Sender<Request>,
    leases: Arc<Leases>,
    applied: watch::Receiver<AppliedState>,
    id: MemberId,
    clock: Clock,
    stop: CancellationToken,
    _stop_on_drop: DropGuard,
    tasks: TaskTracker,
}

impl NodeHandle {
    /// Starts a member: one that votes with its store and what was read from it, one that only follows without.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start(
        set: Settings,
        disk: Option<(Store, PersistentState)>,
        seed: u64,
    ) -> Result<Self, StartError> {
        let storage = disk.map(|(store, stored)| (Box::new(store) as Box<dyn Storage>, stored));
        Self::start_on(Arc::new(Tcp), set, storage, seed, ()).await
    }

    /// As [`NodeHandle::start`], on this transport and storage, with a state that is agreed on beside duties.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start_on<S: StateMachine + Send + Sync + 'static>(
        transport: Arc<dyn Transport>,
        set: Settings,
        storage: Option<(Box<dyn Storage>, PersistentState)>,
        seed: u64,
        state: S,
    ) -> Result<Self, StartError> {
        checked(&set, storage.as_ref().map(|(storage, _)| storage.id()))?;
        let failed = |cause| StartError::Listen { address: set.listen, cause };
        let listener = transport.listen(set.listen).await.map_err(failed)?;
        let address = listener.address();
        let (storage, stored) =
            storage.map_or((None, PersistentState::default()), |(s, stored)| (Some(s), stored));
        let (storage, saves) = open_saves(storage)?;
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let (heard, messages) = mpsc::channel(QUEUE);
        let (asks, requests) = mpsc::channel(QUEUE);
        let (progress, applied) = watch::channel(AppliedState::default());
        let (leases, clock) = (Arc::new(Leases::default()), Clock::start());
        let outboxes = start_links(&transport, &set, &stop, &tasks);
        let peers = PeerListener::new(set.clone(), heard, stop.clone(), tasks.clone());
        tasks.spawn(peers.run(listener));
        let voters = set.peers.keys().copied().collect();
        let mut member = Member::with_state(set.id, stored, voters, set.council.clone(), seed, 0, state);
        member.want(set.wants.clone(), set.weight);
        let task = MemberTask {
            member,
            outboxes,
            storage,
            leases: Arc::clone(&leases),
            progress,
            reads: BTreeMap::new(),
            clock,
            id: set.id,
            dropped: 0,
        };
        tasks.spawn(task.run(Inputs { messages, requests, saves, stop: stop.clone() }));
        tracing::info!(event = "consensus_started", member = %set.id, %address);
        let stop_on_drop = stop.clone().drop_guard();
        Ok(Self {
            address,
            requests: asks,
            leases,
            applied,
            id: set.id,
            clock,
            stop,
            _stop_on_drop: stop_on_drop,
            tasks,
        })
    }

    /// Its identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// How far it has come, as it goes on.
    pub fn applied(&self) -> watch::Receiver<AppliedState> {
        self.applied.clone()
    }

    /// Has the council agree on a command for the state beside duties, if a leader can be reached. Whether it was
    /// applied shows there alone; brought twice it may be applied twice.
    ///
    /// # Errors
    /// [`NodeStopped`].
    pub async fn command(&self, command: Bytes) -> Result<(), NodeStopped> {
        self.send(Request::Command(command)).await
    }

    /// The entry up to which all was agreed when this was asked (the read index); none: ask again. It may wait for ever
    /// where no leader answers.
    ///
    /// # Errors
    /// [`NodeStopped`].
    pub async fn read_index(&self) -> Result<Option<Index>, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Read(reply)).await?;
        Ok(answer.await.unwrap_or_default())
    }

    /// Where peers dial in.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The token by which this member may act on a duty now; none if it may not. To be asked right before each act,
    /// and told with it: who obeys refuses a token lower than one that it has seen ([`stepspur_consensus::Fence`]).
    pub fn token(&self, duty: &RoleName) -> Option<FencingToken> {
        let leases = self.leases.read().unwrap_or_else(PoisonError::into_inner);
        let (until, token) = *leases.get(duty)?;
        (self.clock.now() < until).then_some(token)
    }

    /// How it stands.
    ///
    /// # Errors
    /// [`NodeStopped`].
    pub async fn status(&self) -> Result<Status, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Status(reply)).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    /// Has the council agree on a command, if a leader can be reached: what became of it shows in the status.
    ///
    /// # Errors
    /// [`NodeStopped`].
    pub async fn order(&self, command: RoleCommand) -> Result<(), NodeStopped> {
        self.send(Request::Order(command)).await
    }

    /// Changes who votes; to be asked of the leader. See [`stepspur_consensus::Core::change`].
    ///
    /// # Errors
    /// [`NodeStopped`], and within it what the council refuses.
    pub async fn change(&self, change: MembershipChange) -> Result<Result<(), RequestError>, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Change(change, reply)).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    /// Hands the lead over; to be asked of the leader.
    ///
    /// # Errors
    /// [`NodeStopped`], and within it what the council refuses.
    pub async fn transfer_leadership(&self, to: MemberId) -> Result<Result<(), RequestError>, NodeStopped> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::HandOver(to, reply)).await?;
        answer.await.map_err(|_| NodeStopped)
    }

    /// Ends every task and waits for them, and for what the storage was given; storage that hangs is left behind after
    /// two seconds.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    async fn send(&self, request: Request) -> Result<(), NodeStopped> {
        self.requests.send(request).await.map_err(|_| NodeStopped)
    }
}

/// Settings within their bounds, and storage that is this member's.
fn checked(set: &Settings, found: Option<MemberId>) -> Result<(), StartError> {
    if let Some(fault) = set.council.faults().into_iter().next() {
        return Err(fault.into());
    }
    match found {
        Some(found) if found != set.id => Err(StartError::Identity { found, named: set.id }),
        _ => Ok(()),
    }
}

type Saves = (Option<Box<dyn SaveQueue>>, watch::Receiver<SaveProgress>);

/// Takes saves from now on; the newest progress counts, as it covers all saves before it.
fn open_saves(storage: Option<Box<dyn Storage>>) -> Result<Saves, StartError> {
    let (progress, saves) = watch::channel(SaveProgress::default());
    let tell = Box::new(move |outcome| {
        progress.send_modify(|progress| match outcome {
            Ok(number) => progress.durable = number,
            Err(why) => progress.failed = Some(why),
        });
    });
    let queue = storage.map(|storage| storage.serve(tell)).transpose().map_err(StartError::Thread)?;
    Ok((queue, saves))
}

/// A task that writes to each peer.
fn start_links(
    transport: &Arc<dyn Transport>,
    set: &Settings,
    stop: &CancellationToken,
    tasks: &TaskTracker,
) -> BTreeMap<MemberId, Arc<Outbox>> {
    let mut outboxes = BTreeMap::new();
    for (peer, to) in set.peers.iter().filter(|(peer, _)| **peer != set.id) {
        let outbox = Arc::new(Outbox::default());
        outboxes.insert(*peer, Arc::clone(&outbox));
        let link = Link {
            transport: Arc::clone(transport),
            to: *to,
            outbox,
            largest_frame: set.largest_frame,
            within: set.within,
        };
        tasks.spawn(link.run(stop.clone()));
    }
    outboxes
}
