//! The tasks of a council member: its core, its door and its links.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use serde::Serialize;
use stepspur_council::{
    Change, Changed, Command, DutyName, Index, Member, MemberId, Micros, Note, Out, Peer, Refused,
    SettingsFault, State, Stored, Token,
};
use stepspur_proto::Frames;
use stepspur_proto::v1::FromPeer;
use stepspur_state::Store;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use crate::ground::{Disk, Listen, Net, Saves, Stream, Tcp};
use crate::link::{self, Waiting};
use crate::schema::{from_peer, to_peer};

/// Messages and asks that wait for the core; who brings more waits.
const INBOX: usize = 1_024;
/// Reads that wait for an answer; those that nobody waits for any more go first.
const READS: usize = 1_024;
/// Connections beside those of known peers: those whose first frame has not come yet.
const STRANGERS: usize = 16;
/// A member that has nothing to do looks at its clock so often at most.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// A council member's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its identity; that of its disk where it has one.
    pub id: MemberId,
    /// Where peers dial in: on loopback, as the links carry no identity yet.
    pub listen: SocketAddr,
    /// The others, and where they listen.
    pub peers: BTreeMap<MemberId, SocketAddr>,
    /// What all members go by.
    pub council: stepspur_council::Settings,
    /// Beginnings of the names of duties that it would hold.
    pub wants: Vec<String>,
    /// How much of them, against others.
    pub weight: f64,
    /// Dialling and each write are due in this time, and so is a caller's first frame.
    pub within: Duration,
    /// The largest frame, in bytes: a batch of the longest commands must fit.
    pub largest_frame: usize,
}

/// Why a member did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Settings are out of bounds.
    #[error("council.{0}")]
    Settings(#[from] SettingsFault),
    /// The disk is another member's.
    #[error("the state file is that of {found}, and the settings name {named}")]
    Identity {
        /// The disk's.
        found: MemberId,
        /// The settings'.
        named: MemberId,
    },
    /// Peers cannot be let in at an address.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// The system starts no thread for the disk.
    #[error("no thread for the disk: {0}")]
    Thread(io::Error),
}

/// The member has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the council's member has stopped")]
pub struct Gone;

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
    /// True: its disk has failed, and it takes no part.
    pub retired: bool,
    /// Entries that it has applied.
    pub applied: u64,
    /// Duties: their holder and token.
    pub duties: BTreeMap<String, (Option<MemberId>, u64)>,
}

/// How far a member has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The last entry that it applied.
    pub index: Index,
    /// Why it applies no more, if so.
    pub stopped: Option<String>,
}

/// What became of saves.
#[derive(Clone, Debug, Default)]
struct Kept {
    /// The disk has all up to this number.
    kept: u64,
    /// Why it takes no more.
    failed: Option<String>,
}

enum Ask {
    Status(oneshot::Sender<Status>),
    Order(Command),
    Command(Bytes),
    Read(oneshot::Sender<Option<Index>>),
    Change(Change, oneshot::Sender<Result<(), Refused>>),
    HandOver(MemberId, oneshot::Sender<Result<(), Refused>>),
}

/// Until when duties may be acted on, by the member's own clock.
type Leases = RwLock<BTreeMap<DutyName, (Micros, Token)>>;

/// A running council member. Dropping it stops it without waiting; [`Peers::stop`] waits.
#[derive(Debug)]
pub struct Peers {
    address: SocketAddr,
    asks: mpsc::Sender<Ask>,
    leases: Arc<Leases>,
    applied: watch::Receiver<Applied>,
    id: MemberId,
    from: Instant,
    stop: CancellationToken,
    _end: DropGuard,
    tasks: TaskTracker,
}

impl Peers {
    /// Starts a member: one that votes with its store and what was read from it, one that only follows without.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start(set: Settings, disk: Option<(Store, Stored)>, seed: u64) -> Result<Self, StartError> {
        let disk = disk.map(|(store, stored)| (Box::new(store) as Box<dyn Disk>, stored));
        Self::start_on(Arc::new(Tcp), set, disk, seed, ()).await
    }

    /// As [`Peers::start`], on this network and disk, with a state that is agreed on beside duties.
    ///
    /// # Errors
    /// See [`StartError`].
    pub async fn start_on<S: State + Send + Sync + 'static>(
        net: Arc<dyn Net>,
        set: Settings,
        disk: Option<(Box<dyn Disk>, Stored)>,
        seed: u64,
        state: S,
    ) -> Result<Self, StartError> {
        let faults = set.council.faults();
        if let Some(fault) = faults.into_iter().next() {
            return Err(fault.into());
        }
        if let Some((disk, _)) = &disk
            && disk.id() != set.id
        {
            return Err(StartError::Identity { found: disk.id(), named: set.id });
        }
        let failed = |cause| StartError::Listen { address: set.listen, cause };
        let listener = net.listen(set.listen).await.map_err(failed)?;
        let address = listener.address();
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let (heard, incoming) = mpsc::channel(INBOX);
        let (asks, asked) = mpsc::channel(INBOX);
        // The newest counts: it tells of all saves before it.
        let (tell, told) = watch::channel(Kept::default());
        let (disk, stored) = disk.map_or((None, Stored::default()), |(disk, stored)| (Some(disk), stored));
        let tell = Box::new(move |what| {
            tell.send_modify(|disk| match what {
                Ok(number) => disk.kept = number,
                Err(why) => disk.failed = Some(why),
            });
        });
        let writer = disk.map(|disk| disk.serve(tell)).transpose().map_err(StartError::Thread)?;
        let from = Instant::now();
        let leases = Arc::new(Leases::default());
        let mut links = BTreeMap::new();
        for (peer, to) in set.peers.iter().filter(|(peer, _)| **peer != set.id) {
            let waiting = Arc::new(Waiting::default());
            links.insert(*peer, Arc::clone(&waiting));
            let (net, to, largest, within, stop) =
                (Arc::clone(&net), *to, set.largest_frame, set.within, stop.clone());
            tasks.spawn(async move { link::write(net.as_ref(), to, &waiting, largest, within, stop).await });
        }
        let door = Door { set: set.clone(), heard, stop: stop.clone(), tasks: tasks.clone() };
        tasks.spawn(door.run(listener));
        let voters = set.peers.keys().copied().collect();
        let mut member = Member::with_state(set.id, stored, voters, set.council.clone(), seed, 0, state);
        member.want(set.wants.clone(), set.weight);
        let (progress, applied) = watch::channel(Applied::default());
        let core = Core {
            member,
            links,
            writer,
            leases: Arc::clone(&leases),
            progress,
            reads: BTreeMap::new(),
            from,
            id: set.id,
            dropped: 0,
        };
        tasks.spawn(core.run(incoming, asked, told, stop.clone()));
        tracing::info!(event = "council_started", member = %set.id, %address);
        let end = stop.clone().drop_guard();
        Ok(Self { address, asks, leases, applied, id: set.id, from, stop, _end: end, tasks })
    }

    /// Its identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// How far it has come, as it goes on.
    pub fn applied(&self) -> watch::Receiver<Applied> {
        self.applied.clone()
    }

    /// Has the council agree on a command for the state beside duties, if a leader can be reached. Whether it was
    /// applied shows there alone; brought twice it may be applied twice.
    ///
    /// # Errors
    /// [`Gone`].
    pub async fn command(&self, command: Bytes) -> Result<(), Gone> {
        self.asks.send(Ask::Command(command)).await.map_err(|_| Gone)
    }

    /// The entry up to which all was agreed when this was asked (the read index); none: ask again. It may wait for ever
    /// where no leader answers.
    ///
    /// # Errors
    /// [`Gone`].
    pub async fn read_index(&self) -> Result<Option<Index>, Gone> {
        let (reply, answer) = oneshot::channel();
        self.asks.send(Ask::Read(reply)).await.map_err(|_| Gone)?;
        Ok(answer.await.unwrap_or_default())
    }

    /// Where peers dial in.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The token by which this member may act on a duty now; none if it may not. To be asked right before each act,
    /// and told with it: who obeys refuses a token lower than one that it has seen ([`stepspur_council::Fence`]).
    pub fn token(&self, duty: &DutyName) -> Option<Token> {
        let leases = self.leases.read().unwrap_or_else(PoisonError::into_inner);
        let (until, token) = *leases.get(duty)?;
        (micros(self.from) < until).then_some(token)
    }

    /// How it stands.
    ///
    /// # Errors
    /// [`Gone`].
    pub async fn status(&self) -> Result<Status, Gone> {
        let (reply, answer) = oneshot::channel();
        self.asks.send(Ask::Status(reply)).await.map_err(|_| Gone)?;
        answer.await.map_err(|_| Gone)
    }

    /// Has the council agree on a command, if a leader can be reached: what became of it shows in the status.
    ///
    /// # Errors
    /// [`Gone`].
    pub async fn order(&self, command: Command) -> Result<(), Gone> {
        self.asks.send(Ask::Order(command)).await.map_err(|_| Gone)
    }

    /// Changes who votes; to be asked of the leader. See [`stepspur_council::Core::change`].
    ///
    /// # Errors
    /// [`Gone`], and within it what the council refuses.
    pub async fn change(&self, change: Change) -> Result<Result<(), Refused>, Gone> {
        let (reply, answer) = oneshot::channel();
        self.asks.send(Ask::Change(change, reply)).await.map_err(|_| Gone)?;
        answer.await.map_err(|_| Gone)
    }

    /// Hands the lead over; to be asked of the leader.
    ///
    /// # Errors
    /// [`Gone`], and within it what the council refuses.
    pub async fn hand_over(&self, to: MemberId) -> Result<Result<(), Refused>, Gone> {
        let (reply, answer) = oneshot::channel();
        self.asks.send(Ask::HandOver(to, reply)).await.map_err(|_| Gone)?;
        answer.await.map_err(|_| Gone)
    }

    /// Ends every task and waits for them, and for what the disk was given.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

fn micros(from: Instant) -> Micros {
    u64::try_from(from.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// The task that owns the member.
struct Core<S> {
    member: Member<S>,
    links: BTreeMap<MemberId, Arc<Waiting>>,
    writer: Option<Box<dyn Saves>>,
    leases: Arc<Leases>,
    progress: watch::Sender<Applied>,
    reads: BTreeMap<u64, oneshot::Sender<Option<Index>>>,
    from: Instant,
    id: MemberId,
    /// Messages that went for newer ones.
    dropped: u64,
}

impl<S: State> Core<S> {
    async fn run(
        mut self,
        mut incoming: mpsc::Receiver<(MemberId, Peer)>,
        mut asks: mpsc::Receiver<Ask>,
        mut told: watch::Receiver<Kept>,
        stop: CancellationToken,
    ) {
        loop {
            let due = self.from + Duration::from_micros(self.member.next_at());
            let wake = due.max(Instant::now() + LEAST_WAIT);
            // In this order, so that the same events give the same course; asks are bounded by who asks, and the
            // clock is looked at after each.
            let out = tokio::select! {
                biased;
                () = stop.cancelled() => break,
                Ok(()) = told.changed() => {
                    let Kept { kept, failed } = told.borrow_and_update().clone();
                    let mut out = self.member.saved(micros(self.from), kept);
                    out.extend(failed.into_iter().flat_map(|why| self.member.disk_failed(why)));
                    out
                }
                Some(ask) = asks.recv() => self.asked(ask),
                Some((from, message)) = incoming.recv() => {
                    self.member.receive(micros(self.from), from, message)
                }
                () = sleep_until(wake) => Vec::new(),
            };
            self.act(out);
            if micros(self.from) >= self.member.next_at() {
                let out = self.member.tick(micros(self.from));
                self.act(out);
            }
            self.publish();
        }
        self.leases.write().unwrap_or_else(PoisonError::into_inner).clear();
        if let Some(writer) = self.writer.take() {
            writer.close().await;
        }
    }

    fn asked(&mut self, ask: Ask) -> Vec<Out> {
        let now = micros(self.from);
        match ask {
            Ask::Status(reply) => {
                let _ = reply.send(self.status());
                Vec::new()
            }
            Ask::Order(command) => self.member.order(now, &command),
            Ask::Command(command) => self.member.command(now, &command),
            Ask::Read(reply) => {
                if self.reads.len() >= READS {
                    self.reads.retain(|_, waits| !waits.is_closed());
                }
                if self.reads.len() >= READS {
                    let _ = reply.send(None);
                    return Vec::new();
                }
                let (number, out) = self.member.read(now);
                self.reads.insert(number, reply);
                out
            }
            Ask::Change(change, reply) => answered(self.member.change(now, change), reply),
            Ask::HandOver(to, reply) => answered(self.member.hand_over(now, to), reply),
        }
    }

    fn status(&self) -> Status {
        let core = self.member.core();
        let duty = |(name, duty): (&DutyName, &stepspur_council::Duty)| {
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

    /// Does what the member asks for. A save that cannot be given to the disk retires it, which may ask for more.
    fn act(&mut self, out: Vec<Out>) {
        let mut left = std::collections::VecDeque::from(out);
        while let Some(out) = left.pop_front() {
            match out {
                Out::Send(to, message) => {
                    let Some(link) = self.links.get(&to) else { continue };
                    if !link.push(to_peer(self.id, to, message)) {
                        self.dropped += 1;
                        if self.dropped.is_power_of_two() {
                            tracing::warn!(event = "peer_messages_dropped", peer = %to, count = self.dropped);
                        }
                    }
                }
                Out::Save(save) => {
                    let given = match &self.writer {
                        Some(writer) => writer.save(save),
                        None => Err("it has no disk".to_owned()),
                    };
                    if let Err(why) = given {
                        left.extend(self.member.disk_failed(why));
                    }
                }
                Out::Read(number, index) => {
                    if let Some(reply) = self.reads.remove(&number) {
                        let _ = reply.send(index);
                    }
                }
                Out::Changed(changed) => told_change(self.id, &changed),
                Out::Note(note) => told_note(self.id, &note),
            }
        }
    }

    fn publish(&mut self) {
        let (index, stopped) = (self.member.duties().applied(), self.member.stopped());
        self.progress.send_if_modified(|now| {
            let news = now.index != index || now.stopped.as_deref() != stopped;
            if news {
                *now = Applied { index, stopped: stopped.map(str::to_owned) };
            }
            news
        });
        let leases = self.member.leases();
        let mut shared = self.leases.write().unwrap_or_else(PoisonError::into_inner);
        shared.clear();
        shared.extend(leases.map(|(name, until, token)| (name.clone(), (until, token))));
    }
}

fn answered(result: Result<Vec<Out>, Refused>, reply: oneshot::Sender<Result<(), Refused>>) -> Vec<Out> {
    let (out, told) = match result {
        Ok(out) => (out, Ok(())),
        Err(refused) => (Vec::new(), Err(refused)),
    };
    let _ = reply.send(told);
    out
}

fn told_change(me: MemberId, changed: &Changed) {
    match changed {
        Changed::Held { duty, holder, token, before } => {
            let before = before.map(|m| m.to_string()).unwrap_or_default();
            tracing::info!(event = "duty_held", member = %me, duty = duty.as_str(), %holder, %token, before);
        }
        Changed::Free { duty, before } => {
            let before = before.map(|m| m.to_string()).unwrap_or_default();
            tracing::info!(event = "duty_free", member = %me, duty = duty.as_str(), before);
        }
        Changed::Revoked { duty } => {
            tracing::info!(event = "duty_revoked", member = %me, duty = duty.as_str());
        }
    }
}

fn told_note(me: MemberId, note: &Note) {
    match note {
        Note::Stands { term, why } => tracing::info!(event = "council_stands", member = %me, %term, why),
        Note::Leads { term } => tracing::info!(event = "council_leads", member = %me, %term),
        Note::StepsDown { term, why } => {
            tracing::warn!(event = "council_steps_down", member = %me, %term, why);
        }
        Note::Follows { term, leader } => {
            tracing::info!(event = "council_follows", member = %me, %term, %leader);
        }
        Note::Members { voters } => tracing::info!(event = "council_members", member = %me, ?voters),
        Note::GivenUp { member } => tracing::warn!(event = "council_gave_up", member = %me, other = %member),
        Note::Retired { why } => tracing::error!(event = "council_retired", member = %me, why),
    }
}

/// Lets peers in. Of each known peer the newest connection counts, so that half-open ones hold no place.
struct Door {
    set: Settings,
    heard: mpsc::Sender<(MemberId, Peer)>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// The newest connection of each peer.
type Newest = std::sync::Mutex<BTreeMap<MemberId, CancellationToken>>;

impl Door {
    async fn run(self, mut listener: Box<dyn Listen>) {
        let strangers = Arc::new(Semaphore::new(STRANGERS));
        let newest = Arc::new(Newest::default());
        let set = Arc::new(self.set);
        loop {
            // A place first: who dials while there is none waits in the system's queue.
            let place = tokio::select! {
                () = self.stop.cancelled() => return,
                place = Arc::clone(&strangers).acquire_owned() => place,
            };
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (Ok(place), Ok(socket)) = (place, accepted) else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let (set, heard, newest) = (Arc::clone(&set), self.heard.clone(), Arc::clone(&newest));
            let stop = self.stop.child_token();
            self.tasks.spawn(async move {
                let read = read(socket, &set, heard, &newest, &stop, place);
                let end = tokio::select! {
                    () = stop.cancelled() => return,
                    end = read => end,
                };
                if let Err(why) = end {
                    tracing::warn!(event = "peer_refused", why);
                }
            });
        }
    }
}

async fn read(
    socket: Box<dyn Stream>,
    set: &Settings,
    heard: mpsc::Sender<(MemberId, Peer)>,
    newest: &Newest,
    stop: &CancellationToken,
    place: tokio::sync::OwnedSemaphorePermit,
) -> Result<(), String> {
    let mut frames = Framed::new(socket, Frames::<FromPeer, FromPeer>::new(set.largest_frame));
    let (mut place, mut known) = (Some(place), None);
    loop {
        let next = match known {
            None => timeout(set.within, frames.next()).await.map_err(|_| "no frame in time".to_owned())?,
            Some(_) => frames.next().await,
        };
        let Some(frame) = next else { return Ok(()) };
        let frame = frame.map_err(|cause| cause.to_string())?;
        let (from, to, message) = from_peer(frame).map_err(|cause| cause.to_string())?;
        if to != set.id {
            return Err(format!("{from} means {to}, and this is {}", set.id));
        }
        if !set.peers.contains_key(&from) || known.is_some_and(|known| known != from) {
            return Err(format!("{from} is none of this council's conductors"));
        }
        if known.is_none() {
            known = Some(from);
            drop(place.take());
            let mut newest = newest.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(older) = newest.insert(from, stop.clone()) {
                older.cancel();
            }
        }
        if heard.send((from, message)).await.is_err() {
            return Ok(());
        }
    }
}
