//! The task that owns a member: it gives the member messages, requests, finished saves and the time, and does what
//! the member asks for.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use stepspur_consensus::{
    FencingToken, Index, Member, MemberId, MembershipChange, Micros, Output, PeerMessage, RequestError,
    RoleCommand, RoleName, StateMachine,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::events;
use crate::handle::{AppliedState, Status};
use crate::link::Outbox;
use crate::schema::to_peer;
use crate::storage::SaveQueue;

/// Reads that wait for an answer; those that nobody waits for any more go first.
const READS_MAX: usize = 1_024;
/// A member that has nothing to do looks at its clock so often at most.
const TICK_MIN: Duration = Duration::from_millis(1);

/// Storage that has not written what it was given so long after a stop is left behind: it hangs.
const LEFT_BEHIND: Duration = Duration::from_secs(2);

/// What became of saves.
#[derive(Clone, Debug, Default)]
pub(crate) struct SaveProgress {
    /// All up to this number are durable.
    pub(crate) durable: u64,
    /// Why the storage takes no more.
    pub(crate) failed: Option<String>,
}

/// A request of the member's handle.
pub(crate) enum Request {
    Status(oneshot::Sender<Status>),
    Order(RoleCommand),
    Command(Bytes),
    Read(oneshot::Sender<Option<Index>>),
    Change(MembershipChange, oneshot::Sender<Result<(), RequestError>>),
    HandOver(MemberId, oneshot::Sender<Result<(), RequestError>>),
}

/// Until when duties may be acted on, by the member's own clock.
pub(crate) type Leases = RwLock<BTreeMap<RoleName, (Micros, FencingToken)>>;

/// What comes to the task.
pub(crate) struct Inputs {
    pub(crate) messages: mpsc::Receiver<(MemberId, PeerMessage)>,
    pub(crate) requests: mpsc::Receiver<Request>,
    pub(crate) saves: watch::Receiver<SaveProgress>,
    pub(crate) stop: CancellationToken,
}

/// The task's state.
pub(crate) struct MemberTask<S> {
    pub(crate) member: Member<S>,
    pub(crate) outboxes: BTreeMap<MemberId, Arc<Outbox>>,
    pub(crate) storage: Option<Box<dyn SaveQueue>>,
    pub(crate) leases: Arc<Leases>,
    pub(crate) progress: watch::Sender<AppliedState>,
    /// Reads that wait, by their number.
    pub(crate) reads: BTreeMap<u64, oneshot::Sender<Option<Index>>>,
    pub(crate) clock: Clock,
    pub(crate) id: MemberId,
    /// Messages that were dropped for newer ones.
    pub(crate) dropped: u64,
}

/// The member's clock: microseconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(self) -> Micros {
        u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn instant(self, at: Micros) -> Option<Instant> {
        self.0.checked_add(Duration::from_micros(at))
    }
}

impl<S: StateMachine> MemberTask<S> {
    /// Runs until stopped; then waits for the storage, [`LEFT_BEHIND`] at most.
    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        while let Some(out) = self.next(&mut inputs).await {
            self.act(out);
            if self.clock.now() >= self.member.next_at() {
                let out = self.member.tick(self.clock.now());
                self.act(out);
            }
            self.publish();
        }
        self.leases.write().unwrap_or_else(PoisonError::into_inner).clear();
        if let Some(storage) = self.storage.take()
            && timeout(LEFT_BEHIND, storage.close()).await.is_err()
        {
            tracing::error!(event = "storage_shutdown_timeout", member = %self.id);
        }
    }

    /// What the next event makes the member ask for; none: it is stopped.
    async fn next(&mut self, inputs: &mut Inputs) -> Option<Vec<Output>> {
        let wake = self.wake_at();
        // In this order, so that the same events give the same course; requests are bounded by who asks, and the clock
        // is looked at after each.
        tokio::select! {
            biased;
            () = inputs.stop.cancelled() => None,
            Ok(()) = inputs.saves.changed() => {
                let progress = inputs.saves.borrow_and_update().clone();
                Some(self.saved(progress))
            }
            Some(request) = inputs.requests.recv() => Some(self.answer(request)),
            Some((from, message)) = inputs.messages.recv() => {
                Some(self.member.receive(self.clock.now(), from, message))
            }
            () = sleep_until(wake) => Some(Vec::new()),
        }
    }

    fn wake_at(&self) -> Instant {
        let soonest = Instant::now() + TICK_MIN;
        let due = self.clock.instant(self.member.next_at());
        // A time beyond the clock's range is never due: a day is as good.
        due.unwrap_or(soonest + Duration::from_secs(86_400)).max(soonest)
    }

    fn saved(&mut self, progress: SaveProgress) -> Vec<Output> {
        let mut out = self.member.saved(self.clock.now(), progress.durable);
        if let Some(why) = progress.failed {
            out.extend(self.member.disk_failed(why));
        }
        out
    }

    fn answer(&mut self, request: Request) -> Vec<Output> {
        let now = self.clock.now();
        match request {
            Request::Status(reply) => {
                let _ = reply.send(self.status());
                Vec::new()
            }
            Request::Order(command) => self.member.order(now, &command),
            Request::Command(command) => self.member.command(now, &command),
            Request::Read(reply) => self.read(reply),
            Request::Change(change, reply) => answered(self.member.change(now, change), reply),
            Request::HandOver(to, reply) => answered(self.member.transfer_leadership(now, to), reply),
        }
    }

    fn read(&mut self, reply: oneshot::Sender<Option<Index>>) -> Vec<Output> {
        if self.reads.len() >= READS_MAX {
            self.reads.retain(|_, waits| !waits.is_closed());
        }
        if self.reads.len() >= READS_MAX {
            let _ = reply.send(None);
            return Vec::new();
        }
        let (number, out) = self.member.read(self.clock.now());
        self.reads.insert(number, reply);
        out
    }

    fn status(&self) -> Status {
        let core = self.member.core();
        let duty = |(name, duty): (&RoleName, &stepspur_consensus::Role)| {
            (name.as_str().to_owned(), (duty.holder, duty.token.0))
        };
        Status {
            id: self.id,
            term: core.term().0,
            leader: self.member.leader(),
            votes: core.log().voters().0.contains(&self.id),
            retired: core.is_retired(),
            applied: self.member.duties().applied().0,
            duties: self.member.duties().iter().map(duty).collect(),
        }
    }

    /// Does what the member asks for. A save that cannot be queued retires it, which may ask for more.
    fn act(&mut self, out: Vec<Output>) {
        let mut left = VecDeque::from(out);
        while let Some(out) = left.pop_front() {
            match out {
                Output::Send(to, message) => self.send(to, message),
                Output::Save(save) => {
                    let queued = match &self.storage {
                        Some(storage) => storage.save(save),
                        None => Err("it has no disk".to_owned()),
                    };
                    if let Err(why) = queued {
                        left.extend(self.member.disk_failed(why));
                    }
                }
                Output::Read(number, index) => {
                    if let Some(reply) = self.reads.remove(&number) {
                        let _ = reply.send(index);
                    }
                }
                Output::Changed(changed) => events::duty_changed(self.id, &changed),
                Output::Log(note) => events::council_note(self.id, &note),
            }
        }
    }

    fn send(&mut self, to: MemberId, message: PeerMessage) {
        let Some(outbox) = self.outboxes.get(&to) else { return };
        if outbox.push(to_peer(self.id, to, message)) {
            return;
        }
        self.dropped += 1;
        if self.dropped.is_power_of_two() {
            tracing::warn!(event = "peer_messages_dropped", peer = %to, count = self.dropped);
        }
    }

    /// Shows how far it has come, and its leases, to those who look without asking the task.
    fn publish(&mut self) {
        let (index, stopped) = (self.member.duties().applied(), self.member.stopped());
        self.progress.send_if_modified(|now| {
            let news = now.index != index || now.stopped.as_deref() != stopped;
            if news {
                *now = AppliedState { index, stopped: stopped.map(str::to_owned) };
            }
            news
        });
        let leases = self.member.leases();
        let mut shared = self.leases.write().unwrap_or_else(PoisonError::into_inner);
        shared.clear();
        shared.extend(leases.map(|(name, until, token)| (name.clone(), (until, token))));
    }
}

fn answered(
    result: Result<Vec<Output>, RequestError>,
    reply: oneshot::Sender<Result<(), RequestError>>,
) -> Vec<Output> {
    let (out, told) = match result {
        Ok(out) => (out, Ok(())),
        Err(refused) => (Vec::new(), Err(refused)),
    };
    let _ = reply.send(told);
    out
}
