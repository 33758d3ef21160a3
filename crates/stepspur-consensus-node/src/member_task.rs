//! The task that owns a member: it feeds the member with messages, requests, write results and ticks, and
//! executes the member's outputs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus::{
    Index, Member, MemberId, MemberOutput, PeerMessage, RequestError, RoleTable, StateMachine, WriteRequest,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::events;
use crate::lease_table::LeaseTable;
use crate::request::{ReceivedMessage, Request, WriteProgress};
use crate::schema::PeerFrame;
use crate::send_queue::{PushOutcome, SendQueue};
use crate::status::{AppliedState, RoleStatus, Status};
use crate::storage::{WriteQueue, WriteRejected};

/// The maximum number of reads that wait for a read index. A read beyond it gets `None` at once.
const MAX_PENDING_READS: usize = 1_024;
/// The minimum delay before the next tick, so that a tick that is already due cannot cause a busy loop.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// How long the task sleeps (one day) if the time of the next tick is beyond the range of [`Instant`].
const FALLBACK_SLEEP: Duration = Duration::from_secs(86_400);
/// How long a shutdown waits for queued writes; storage that takes longer is abandoned as hanging.
const STORAGE_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The receiving ends of the task's channels.
pub(crate) struct Inputs {
    pub(crate) messages: mpsc::Receiver<ReceivedMessage>,
    pub(crate) requests: mpsc::Receiver<Request>,
    /// Which writes to the storage are durable, and whether it has failed. A watch channel suffices: the
    /// newest progress covers all earlier writes.
    pub(crate) writes: watch::Receiver<WriteProgress>,
    pub(crate) stop: CancellationToken,
}

/// The member and the state that its task needs to execute the member's outputs.
pub(crate) struct MemberTask<S> {
    pub(crate) id: MemberId,
    pub(crate) member: Member<S>,
    pub(crate) clock: Clock,
    pub(crate) send_queues: BTreeMap<MemberId, Arc<SendQueue>>,
    /// `None` for a member that keeps nothing on disk. An attempted write then counts as a storage failure:
    /// the member neither leads nor votes from then on, but still fetches and applies committed entries.
    pub(crate) storage: Option<Box<dyn WriteQueue>>,
    /// The member's leases, which `NodeHandle::token` reads without a request to the task.
    pub(crate) leases: Arc<LeaseTable>,
    pub(crate) applied: watch::Sender<AppliedState>,
    /// Reads that wait for a read index, by request number.
    pub(crate) pending_reads: BTreeMap<u64, oneshot::Sender<Option<Index>>>,
    /// The number of messages dropped by full send queues since the start, over all peers.
    pub(crate) dropped_messages: u64,
}

impl<S: StateMachine> MemberTask<S> {
    /// Runs until stopped, then waits up to [`STORAGE_CLOSE_TIMEOUT`] for queued writes.
    ///
    /// Leases are cleared before that wait, so that the member does not act on a role while it shuts down.
    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        while let Some(outputs) = self.next_outputs(&mut inputs).await {
            self.handle_outputs(outputs);
            if self.clock.now() >= self.member.next_tick_at() {
                let outputs = self.member.tick(self.clock.now());
                self.handle_outputs(outputs);
            }
            self.publish();
        }
        self.leases.clear();
        if let Some(storage) = self.storage.take()
            && timeout(STORAGE_CLOSE_TIMEOUT, storage.close()).await.is_err()
        {
            tracing::error!(event = "storage_shutdown_timeout", member = %self.id);
        }
    }

    /// Waits for the next input and returns the member's outputs for it; `None` once stopped.
    ///
    /// The branches are polled in a fixed order, so that the same events produce the same run. Messages of
    /// peers are handled only while no request is queued, so callers that propose commands faster than the
    /// task handles them delay messages. Ticks are not delayed: `run` ticks the member after any input if a
    /// tick is due.
    async fn next_outputs(&mut self, inputs: &mut Inputs) -> Option<Vec<MemberOutput>> {
        let next_tick = self.next_tick();
        tokio::select! {
            biased;
            () = inputs.stop.cancelled() => None,
            Ok(()) = inputs.writes.changed() => {
                let progress = inputs.writes.borrow_and_update().clone();
                Some(self.handle_write_progress(progress))
            }
            Some(request) = inputs.requests.recv() => Some(self.handle_request(request)),
            Some(ReceivedMessage { from, message }) = inputs.messages.recv() => {
                Some(self.member.receive(self.clock.now(), from, message))
            }
            () = sleep_until(next_tick) => Some(Vec::new()),
        }
    }

    /// Returns when to wake up for the member's next tick.
    fn next_tick(&self) -> Instant {
        let earliest = Instant::now() + MIN_TICK_INTERVAL;
        let due = self.clock.instant(self.member.next_tick_at());
        due.unwrap_or(earliest + FALLBACK_SLEEP).max(earliest)
    }

    fn handle_write_progress(&mut self, progress: WriteProgress) -> Vec<MemberOutput> {
        let mut outputs = self.member.on_persisted(self.clock.now(), progress.durable);
        if let Some(reason) = progress.failure {
            outputs.extend(self.member.on_storage_failure(reason));
        }
        outputs
    }

    fn handle_request(&mut self, request: Request) -> Vec<MemberOutput> {
        let now = self.clock.now();
        match request {
            Request::Status { reply } => {
                // An error means that the caller has stopped waiting.
                let _ = reply.send(self.status());
                Vec::new()
            }
            Request::ProposeRoleCommand { command } => self.member.propose_role_command(now, &command),
            Request::ProposeCommand { command } => self.member.propose_command(now, &command),
            Request::ReadIndex { reply } => self.request_read(reply),
            Request::ChangeMembership { change, reply } => {
                send_result(self.member.change_membership(now, change), reply)
            }
            Request::TransferLeadership { to, reply } => {
                send_result(self.member.transfer_leadership(now, to), reply)
            }
        }
    }

    /// Requests a read index. With [`MAX_PENDING_READS`] reads pending, those whose caller has stopped
    /// waiting are removed first.
    fn request_read(&mut self, reply: oneshot::Sender<Option<Index>>) -> Vec<MemberOutput> {
        if self.pending_reads.len() >= MAX_PENDING_READS {
            self.pending_reads.retain(|_, reply| !reply.is_closed());
        }
        if self.pending_reads.len() >= MAX_PENDING_READS {
            let _ = reply.send(None);
            return Vec::new();
        }
        let read = self.member.request_read(self.clock.now());
        self.pending_reads.insert(read.request, reply);
        read.outputs
    }

    fn status(&self) -> Status {
        let raft = self.member.raft();
        let roles = self.member.roles();
        Status {
            id: self.id,
            term: raft.term().0,
            leader: self.member.leader(),
            is_voter: raft.log().voters().contains(&self.id),
            is_halted: raft.is_halted(),
            applied: roles.applied().0,
            roles: role_statuses(roles),
        }
    }

    /// Executes the member's outputs in order. A write that cannot be queued halts the member, which may
    /// produce further outputs.
    fn handle_outputs(&mut self, outputs: Vec<MemberOutput>) {
        let mut remaining = VecDeque::from(outputs);
        while let Some(output) = remaining.pop_front() {
            match output {
                MemberOutput::Send { to, message } => self.send(to, message),
                MemberOutput::Persist(write) => {
                    if let Err(rejected) = self.enqueue_write(write) {
                        remaining.extend(self.member.on_storage_failure(rejected.reason));
                    }
                }
                MemberOutput::ReadCompleted { request, index } => {
                    if let Some(reply) = self.pending_reads.remove(&request) {
                        let _ = reply.send(index);
                    }
                }
                MemberOutput::RoleChanged(change) => events::log_role_change(self.id, &change),
                MemberOutput::Event(event) => events::log_raft_event(self.id, &event),
            }
        }
    }

    fn enqueue_write(&self, write: WriteRequest) -> Result<(), WriteRejected> {
        match &self.storage {
            Some(storage) => storage.enqueue(write),
            None => Err(WriteRejected { reason: "the member has no state file".to_owned() }),
        }
    }

    /// Queues a message to a peer. Dropped messages are logged whenever their count reaches a power of two.
    fn send(&mut self, to: MemberId, message: PeerMessage) {
        let Some(queue) = self.send_queues.get(&to) else { return };
        let frame = PeerFrame { from: self.id, to, message };
        if queue.push(frame.into()) == PushOutcome::Added {
            return;
        }
        self.dropped_messages += 1;
        if self.dropped_messages.is_power_of_two() {
            tracing::warn!(event = "peer_messages_dropped", peer = %to, count = self.dropped_messages);
        }
    }

    /// Publishes the last applied index, the halt reason and the leases to readers outside of this task.
    fn publish(&mut self) {
        let index = self.member.roles().applied();
        let halt_reason = self.member.halt_reason();
        self.applied.send_if_modified(|published| {
            let changed = published.index != index || published.halt_reason.as_deref() != halt_reason;
            if changed {
                *published = AppliedState { index, halt_reason: halt_reason.map(str::to_owned) };
            }
            changed
        });
        self.leases.replace(self.member.leases());
    }
}

fn role_statuses(roles: &RoleTable) -> BTreeMap<String, RoleStatus> {
    let statuses = roles.iter().map(|(name, role)| {
        let status = RoleStatus { holder: role.holder, token: role.token.0 };
        (name.as_str().to_owned(), status)
    });
    statuses.collect()
}

/// Sends the result of a request to its caller, and returns the outputs to execute.
fn send_result(
    result: Result<Vec<MemberOutput>, RequestError>,
    reply: oneshot::Sender<Result<(), RequestError>>,
) -> Vec<MemberOutput> {
    match result {
        Ok(outputs) => {
            let _ = reply.send(Ok(()));
            outputs
        }
        Err(cause) => {
            let _ = reply.send(Err(cause));
            Vec::new()
        }
    }
}
