//! A conductor of the council: a voting member, or one that only follows; the duties that it holds, and those that it
//! grants while it leads.

use std::collections::{BTreeMap, VecDeque};

use bytes::{BufMut, Bytes, BytesMut};

use crate::core::{Effect, MembershipChange, PersistentState, RaftNode, RequestError};
use crate::duty::{FencingToken, RoleCommand, RoleName, RoleTable};
use crate::ids::{Index, LogPosition, MemberId, Micros};
use crate::lease::{LeaseGrantor, LeaseHolder};
use crate::log::{Entry, Payload, Voters};
use crate::peer::{Output, PeerMessage, Waiting};
use crate::rendezvous::highest_random_weight;
use crate::settings::Settings;
use crate::state::{SHARED, StateMachine};

mod follow;

use follow::{Fetching, Subscribers};

/// One that would hold duties.
#[derive(Clone, Debug)]
struct Applicant {
    weight: f64,
    wants: Vec<String>,
}

/// Grants of one entry at most.
const GRANTS: usize = 256;
/// Names that a conductor may want.
const WANTS: usize = 64;
/// Numbers of reads begin above this, those of renewals below.
const READS: u64 = 1 << 62;
/// What a snapshot's state begins with where something beside duties is agreed; without, it is their JSON.
const BOTH: u8 = 2;

/// A conductor of the council.
#[derive(Clone, Debug)]
pub struct Member<S = ()> {
    core: RaftNode,
    state: S,
    /// Why it applies no more: an entry that this program does not know.
    stopped: Option<String>,
    set: Settings,
    voters: Voters,
    duties: RoleTable,
    keeper: Option<LeaseGrantor>,
    applicants: BTreeMap<MemberId, Applicant>,
    /// Duties whose grant is written and not applied yet.
    proposed: BTreeMap<RoleName, Index>,
    waiting: VecDeque<Waiting>,
    holder: LeaseHolder,
    weight: f64,
    wants: Vec<String>,
    /// Who is asked, and fetched from, next.
    turn: usize,
    leader: Option<MemberId>,
    renew_at: Micros,
    fetching: Fetching,
    subscribers: Subscribers,
    /// Reads asked for so far.
    reads: u64,
    now: Micros,
    out: Vec<Output>,
}

impl Member {
    /// A conductor as its disk has it; `voters` are those it is told of, for one whose log names none yet. Nothing is
    /// agreed beside duties.
    pub fn new(
        id: MemberId,
        stored: PersistentState,
        voters: Voters,
        set: Settings,
        seed: u64,
        now: Micros,
    ) -> Self {
        Self::with_state(id, stored, voters, set, seed, now, ())
    }
}

impl<S: StateMachine> Member<S> {
    /// As [`Member::new`], with a state as it is at the founding, which is agreed on beside the duties.
    pub fn with_state(
        id: MemberId,
        stored: PersistentState,
        voters: Voters,
        set: Settings,
        seed: u64,
        now: Micros,
        state: S,
    ) -> Self {
        let mut member = Self {
            core: RaftNode::new(id, stored, set.clone(), seed, now),
            state,
            stopped: None,
            set,
            voters,
            duties: RoleTable::default(),
            keeper: None,
            applicants: BTreeMap::new(),
            proposed: BTreeMap::new(),
            waiting: VecDeque::new(),
            holder: LeaseHolder::default(),
            weight: 0.0,
            wants: Vec::new(),
            turn: id.0 as usize,
            leader: None,
            renew_at: now,
            fetching: Fetching::new(now),
            subscribers: Subscribers::default(),
            reads: 0,
            now,
            out: Vec::new(),
        };
        member.act();
        member
    }

    /// What duties it would hold: beginnings of their names, 64 at most, and how much of them against others.
    pub fn want(&mut self, wants: impl IntoIterator<Item = String>, weight: f64) {
        self.wants = wants.into_iter().take(WANTS).collect();
        self.weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
    }

    /// The log below.
    pub fn core(&self) -> &RaftNode {
        &self.core
    }

    /// What is agreed beside duties.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Why it applies no more entries, if so.
    pub fn stopped(&self) -> Option<&str> {
        self.stopped.as_deref()
    }

    /// What is agreed.
    pub fn duties(&self) -> &RoleTable {
        &self.duties
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<MemberId> {
        self.written_by().or(self.leader)
    }

    /// The token by which it may act on a duty now; none if it may not. To be asked right before each act, and told
    /// with it: a receiver refuses a token lower than one that it has seen ([`crate::Fence`]).
    pub fn token(&self, duty: &RoleName, now: Micros) -> Option<FencingToken> {
        let (until, token) = self.holder.until(self.core.id(), duty, &self.duties, &self.set)?;
        (now < until).then_some(token)
    }

    /// The duties that it holds, until when it may act on each by its own clock, and with which token.
    pub fn leases(&self) -> impl Iterator<Item = (&RoleName, Micros, FencingToken)> {
        let mine = |(name, _)| {
            let (until, token) = self.holder.until(self.core.id(), name, &self.duties, &self.set)?;
            Some((name, until, token))
        };
        self.duties.iter().filter_map(mine)
    }

    /// When [`Member::tick`] is due at the latest.
    pub fn next_at(&self) -> Micros {
        let fetch_at = if self.fetches() { self.fetching.due_at } else { Micros::MAX };
        let renew_at = if self.core.is_retired() { Micros::MAX } else { self.renew_at };
        self.core.next_at().min(renew_at).min(fetch_at)
    }

    /// Time passes.
    pub fn tick(&mut self, now: Micros) -> Vec<Output> {
        self.now = self.now.max(now);
        self.core.tick(self.now);
        self.act();
        self.fetch();
        self.allot();
        self.renew();
        std::mem::take(&mut self.out)
    }

    /// Something has come from a conductor.
    pub fn receive(&mut self, now: Micros, from: MemberId, message: PeerMessage) -> Vec<Output> {
        self.now = self.now.max(now);
        match message {
            PeerMessage::Log(message) => {
                self.core.receive(self.now, from, message);
                self.act();
            }
            PeerMessage::Renew { number, heard, weight, wants } => {
                if number.saturating_sub(heard) > self.unheard_most() {
                    // It would keep its duties by asking for ever, and act on none: no answer reaches it. One that
                    // does, as this may, lets its next request count.
                    let leader = self.core.leader();
                    self.out.push(Output::Send(from, PeerMessage::Elsewhere { number, leader }));
                } else {
                    self.asked_to_renew(from, number, weight, wants);
                }
            }
            PeerMessage::Renewed { number, applied } => {
                self.leader = Some(from);
                self.holder.granted(number, applied);
            }
            PeerMessage::Order { number, command } => {
                if self.core.propose(self.now, command).is_err() {
                    let leader = self.core.leader();
                    self.out.push(Output::Send(from, PeerMessage::Elsewhere { number, leader }));
                }
                self.act();
            }
            PeerMessage::Elsewhere { number, leader } => {
                // Numbers of reads are above those of renewals.
                match number >= READS {
                    true => self.out.push(Output::Read(number, None)),
                    false => self.holder.answered(number),
                }
                self.leader = leader;
                // Once at once, else at the next turn: two that point at each other must not spin.
                self.renew_at = self.renew_at.min(self.now + self.set.heartbeat);
            }
            PeerMessage::Read { number } => self.asked_to_read(from, number),
            PeerMessage::ReadAt { number, index } => {
                self.leader = Some(from);
                self.out.push(Output::Read(number, Some(index)));
            }
            PeerMessage::Fetch { from: index } => self.fetched_from(from, index),
            PeerMessage::Fetched { entries, leader } => self.entries_fetched(from, entries, leader),
            PeerMessage::FetchedState { index, state, leader } => {
                self.state_fetched(from, index, &state, leader)
            }
        }
        std::mem::take(&mut self.out)
    }

    /// The disk has all saves up to this number.
    pub fn saved(&mut self, now: Micros, number: u64) -> Vec<Output> {
        self.now = self.now.max(now);
        self.core.saved(self.now, number);
        self.act();
        std::mem::take(&mut self.out)
    }

    /// The disk has failed.
    pub fn disk_failed(&mut self, why: impl Into<String>) -> Vec<Output> {
        self.core.disk_failed(why);
        self.act();
        std::mem::take(&mut self.out)
    }

    /// Agrees on a command, by the leader: what became of it shows in [`Output::Changed`]. A holder that gives a duty up
    /// or hands it on must have stopped before.
    pub fn order(&mut self, now: Micros, command: &RoleCommand) -> Vec<Output> {
        self.bring(now, command.encode())
    }

    /// Agrees on a command for the state beside the duties, by the leader: that it was applied shows there.
    pub fn command(&mut self, now: Micros, command: &[u8]) -> Vec<Output> {
        let mut tagged = BytesMut::with_capacity(command.len() + 1);
        tagged.put_u8(SHARED);
        tagged.put_slice(command);
        self.bring(now, tagged.freeze())
    }

    /// Asks the leader what has been agreed by now (thesis 6.4): [`Output::Read`] tells, with this number.
    pub fn read(&mut self, now: Micros) -> (u64, Vec<Output>) {
        self.now = self.now.max(now);
        self.reads += 1;
        let number = READS + self.reads;
        match self.core.is_leader() {
            true => self.asked_to_read(self.core.id(), number),
            false => self.write_leader(PeerMessage::Read { number }),
        }
        (number, std::mem::take(&mut self.out))
    }

    fn bring(&mut self, now: Micros, command: Bytes) -> Vec<Output> {
        self.now = self.now.max(now);
        if self.core.is_leader() {
            let _ = self.core.propose(self.now, command);
            self.act();
        } else {
            self.write_leader(PeerMessage::Order { number: 0, command });
        }
        std::mem::take(&mut self.out)
    }

    /// Changes who votes: see [`RaftNode::change`].
    ///
    /// # Errors
    /// Those of [`RaftNode::change`].
    pub fn change(&mut self, now: Micros, change: MembershipChange) -> Result<Vec<Output>, RequestError> {
        self.core.change(now, change)?;
        self.act();
        Ok(std::mem::take(&mut self.out))
    }

    /// Hands the lead over: see [`RaftNode::hand_over`].
    ///
    /// # Errors
    /// Those of [`RaftNode::hand_over`].
    pub fn transfer_leadership(&mut self, now: Micros, to: MemberId) -> Result<Vec<Output>, RequestError> {
        self.core.transfer_leadership(now, to)?;
        self.act();
        Ok(std::mem::take(&mut self.out))
    }

    /// Requests that may have no answer before the next counts no more: as many as fit into an election's time, and two
    /// that are under way.
    fn unheard_most(&self) -> u64 {
        self.set.election / self.set.renew.max(1) + 2
    }

    /// The leader that writes to it, as far as it knows. One that was removed while it was cut off may not know that:
    /// without a leader it asks others what was agreed, like one that never voted. So does one whose disk has failed,
    /// as it takes nothing more from a leader.
    fn written_by(&self) -> Option<MemberId> {
        let votes = self.core.log().voters().0.contains(&self.core.id()) && !self.core.is_retired();
        self.core.leader().filter(|_| votes)
    }

    fn is_written_to(&self) -> bool {
        self.written_by().is_some()
    }

    /// Does what the log below asks for.
    fn act(&mut self) {
        for effect in self.core.take() {
            match effect {
                Effect::Send(to, message) => self.out.push(Output::Send(to, PeerMessage::Log(message))),
                Effect::Save(save) => self.out.push(Output::Save(save)),
                Effect::Apply(entry) => self.apply(entry),
                Effect::Restore(snapshot) => self.restore(&snapshot.state, snapshot.index),
                Effect::Confirmed(question, _) => {
                    let asked = self.waiting.iter_mut().find(|w| w.question == question);
                    asked.into_iter().for_each(|w| w.confirmed = true);
                }
                Effect::Lost(question) => {
                    if let Some(place) = self.waiting.iter().position(|w| w.question == question)
                        && let Some(Waiting { from, number, reads, .. }) = self.waiting.remove(place)
                    {
                        let leader = self.core.leader();
                        if from != self.core.id() {
                            self.out.push(Output::Send(from, PeerMessage::Elsewhere { number, leader }));
                        } else if reads {
                            self.out.push(Output::Read(number, None));
                        }
                    }
                }
                Effect::Note(note) => self.out.push(Output::Log(note)),
            }
        }
        match (self.core.is_leader(), &self.keeper) {
            (true, None) => self.keeper = Some(LeaseGrantor::new(self.now)),
            (false, Some(_)) => {
                self.keeper = None;
                self.applicants.clear();
                self.proposed.clear();
            }
            _ => {}
        }
        self.answer();
        self.send_agreed();
        if self.core.log().len() > self.set.log_max && self.duties.applied() <= self.core.commit() {
            self.core.compact(self.duties.applied(), self.encode());
            // What is to be saved of it goes out with this step.
            let more = self.core.take();
            self.out.extend(more.into_iter().filter_map(|effect| match effect {
                Effect::Save(save) => Some(Output::Save(save)),
                _ => None,
            }));
        }
    }

    /// Entries come by the log below, or were fetched: each counts once.
    fn apply(&mut self, entry: Entry) {
        if entry.index != self.duties.applied().next() || self.stopped.is_some() {
            return;
        }
        let changes = match &entry.payload {
            Payload::Command(command) if command.first() == Some(&SHARED) => {
                let position = LogPosition { term: entry.term, index: entry.index };
                if let Err(why) = self.state.apply(position, &command[1..]) {
                    return self.stop(format!("entry {}: {why}", entry.index));
                }
                self.duties.pass(entry.index);
                Vec::new()
            }
            Payload::Command(command) => self.duties.apply(entry.index, command),
            Payload::Nothing | Payload::Members(_) => {
                self.duties.pass(entry.index);
                Vec::new()
            }
        };
        self.proposed.retain(|_, index| *index > entry.index);
        for change in changes {
            if let Some(keeper) = &mut self.keeper {
                keeper.note(&change, self.now);
            }
            self.out.push(Output::Changed(change));
        }
    }

    fn restore(&mut self, state: &[u8], index: Index) {
        if index < self.duties.applied() {
            return;
        }
        if let Err(cause) = self.decode(state, index) {
            // A state that no member of this version wrote: what it says cannot be guessed.
            self.stop(format!("the state at entry {index} cannot be read: {cause}"));
        }
    }

    /// What it cannot know it neither passes over nor guesses: it would come to another state than the rest.
    fn stop(&mut self, why: String) {
        if self.stopped.is_none() {
            self.core.disk_failed(why.clone());
            self.stopped = Some(why);
        }
    }

    /// The whole state as a snapshot holds it.
    fn encode(&self) -> Bytes {
        let (duties, state) = (self.duties.encode(), self.state.encode());
        if state.is_empty() {
            return duties;
        }
        let mut both = BytesMut::with_capacity(9 + duties.len() + state.len());
        both.put_u8(BOTH);
        both.put_u64(duties.len() as u64);
        both.put_slice(&duties);
        both.put_slice(&state);
        both.freeze()
    }

    fn decode(&mut self, bytes: &[u8], index: Index) -> Result<(), String> {
        let torn = || "it is torn".to_owned();
        let (duties, state) = match bytes.split_first() {
            Some((&BOTH, rest)) => {
                let (size, rest) = rest.split_first_chunk::<8>().ok_or_else(torn)?;
                let size = usize::try_from(u64::from_be_bytes(*size)).map_err(|_| torn())?;
                rest.split_at_checked(size).ok_or_else(torn)?
            }
            _ => (bytes, &[][..]),
        };
        let duties = RoleTable::decode(duties, index).map_err(|cause| cause.to_string())?;
        self.state.restore(index, state)?;
        self.duties = duties;
        Ok(())
    }

    fn asked_to_read(&mut self, from: MemberId, number: u64) {
        let upto = self.core.log().last_index();
        match self.core.ask(self.now) {
            Ok(question) => {
                self.waiting.push_back(Waiting {
                    question,
                    confirmed: false,
                    upto,
                    from,
                    number,
                    reads: true,
                });
            }
            Err(_) if from != self.core.id() => {
                let leader = self.core.leader();
                self.out.push(Output::Send(from, PeerMessage::Elsewhere { number, leader }));
            }
            Err(_) => self.out.push(Output::Read(number, None)),
        }
        self.act();
    }

    fn asked_to_renew(&mut self, from: MemberId, number: u64, weight: f64, wants: Vec<String>) {
        let upto = self.core.log().last_index();
        match self.core.ask(self.now) {
            Ok(question) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.asked(from, self.now);
                    let wants = wants.into_iter().take(WANTS).collect();
                    self.applicants.insert(from, Applicant { weight, wants });
                }
                let reads = false;
                self.waiting.push_back(Waiting { question, confirmed: false, upto, from, number, reads });
            }
            Err(_) if from != self.core.id() => {
                let leader = self.core.leader();
                self.out.push(Output::Send(from, PeerMessage::Elsewhere { number, leader }));
            }
            Err(_) => {}
        }
        self.act();
    }

    /// Answers requests that are confirmed, once all counts that was written before them.
    fn answer(&mut self) {
        let applied = self.duties.applied();
        let ready = |w: &Waiting| w.confirmed && applied >= w.upto;
        let (ready, wait): (VecDeque<_>, VecDeque<_>) = self.waiting.drain(..).partition(ready);
        self.waiting = wait;
        for Waiting { from, number, reads, upto, .. } in ready {
            if reads && from == self.core.id() {
                self.out.push(Output::Read(number, Some(upto)));
            } else if reads {
                self.out.push(Output::Send(from, PeerMessage::ReadAt { number, index: upto }));
            } else if from == self.core.id() {
                self.holder.granted(number, applied);
            } else {
                self.out.push(Output::Send(from, PeerMessage::Renewed { number, applied }));
            }
        }
    }

    /// A leader gives free duties to the best of those that were heard of lately and want them.
    fn allot(&mut self) {
        let Some(keeper) = &self.keeper else { return };
        let lately = |m: &MemberId| keeper.heard(*m).is_some_and(|at| self.now < at + self.set.election * 2);
        let able: Vec<(MemberId, &Applicant)> =
            self.applicants.iter().filter(|(m, _)| lately(m)).map(|(m, a)| (*m, a)).collect();
        if able.is_empty() {
            return;
        }
        let mut grants = Vec::new();
        for (name, duty) in self.duties.iter() {
            let free = self.now >= keeper.free_at(name, duty, &self.set);
            if !free || self.proposed.contains_key(name) || grants.len() >= GRANTS {
                continue;
            }
            let wants = |a: &Applicant| a.wants.iter().any(|w| name.as_str().starts_with(w.as_str()));
            let members = able.iter().filter(|(_, a)| wants(a)).map(|(m, a)| (*m, a.weight));
            if let Some(to) = highest_random_weight(name, members) {
                grants.push((name.clone(), duty.token, to));
            }
        }
        if grants.is_empty() {
            return;
        }
        let names: Vec<RoleName> = grants.iter().map(|(name, ..)| name.clone()).collect();
        if let Ok(index) = self.core.propose(self.now, RoleCommand::Grant { grants }.encode()) {
            self.proposed.extend(names.into_iter().map(|name| (name, index)));
        }
        self.act();
    }

    /// Asks for its leases, by one message for all.
    fn renew(&mut self) {
        // One whose disk has failed hears of no more entries: it must not keep what it can't act on.
        if self.now < self.renew_at || self.core.is_retired() {
            return;
        }
        self.renew_at = self.now + self.set.renew;
        let me = self.core.id();
        let holds = self.duties.iter().any(|(_, duty)| duty.holder == Some(me));
        if !holds && (self.wants.is_empty() || self.weight <= 0.0) {
            return;
        }
        let number = self.holder.ask(self.now);
        let (weight, wants) = (self.weight, self.wants.clone());
        if self.core.is_leader() {
            self.asked_to_renew(me, number, weight, wants);
        } else {
            let heard = self.holder.heard();
            self.write_leader(PeerMessage::Renew { number, heard, weight, wants });
        }
    }

    fn write_leader(&mut self, message: PeerMessage) {
        match self.leader().filter(|l| *l != self.core.id()) {
            Some(leader) => {
                // If it does not answer, the next is asked; a fetch tells who leads.
                self.leader = None;
                self.fetching.due_at = self.fetching.due_at.min(self.now + self.set.heartbeat);
                self.out.push(Output::Send(leader, message));
            }
            None => self.write_any(message),
        }
    }

    fn write_any(&mut self, message: PeerMessage) {
        if let Some(other) = self.next_other() {
            self.out.push(Output::Send(other, message));
        }
    }
}
