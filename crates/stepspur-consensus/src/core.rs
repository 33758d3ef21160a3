//! A member of the replicated log: elections, and what leaves and comes in. Replication is in `replicate.rs`.
//!
//! After Ongaro and Ousterhout 2014 ("the paper") and Ongaro's thesis. It has no clock, socket, disk or chance of its
//! own: it is told events with their time, and gives back effects.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ids::{Index, MemberId, Micros, Term};
use crate::leading::{Leading, PeerMessage};
use crate::log::{Entry, Log, Payload, Snapshot, Voters};
use crate::message::{Message, Note};
use crate::settings::Settings;

/// What a member keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistentState {
    /// Its term.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<MemberId>,
    /// Its log.
    pub log: Log,
}

/// What has to be on disk before what depends on it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRequest {
    /// Its number; [`RaftNode::saved`] tells it once the disk has it.
    pub number: u64,
    /// The term.
    pub term: Term,
    /// The vote in it.
    pub vote: Option<MemberId>,
    /// A snapshot to keep, in place of the entries that it covers.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries that were kept from here on go.
    pub from: Option<Index>,
    /// Entries to keep, the first of them at `from`.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The disk after a save.
    pub fn after(&self, save: &WriteRequest) -> Self {
        let base = save.snapshot.as_ref().unwrap_or(self.log.base());
        let old = self.log.from(Index(0), usize::MAX).into_iter();
        let old = old.filter(|e| e.index > base.index && save.from.is_none_or(|from| e.index < from));
        let new = save.entries.iter().filter(|e| e.index > base.index).cloned();
        Self { term: save.term, vote: save.vote, log: Log::new(Arc::clone(base), old.chain(new)) }
    }
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write to a member.
    Send(MemberId, Message),
    /// Bring to disk.
    Save(WriteRequest),
    /// An entry is agreed: apply it to the state above.
    Apply(Entry),
    /// The state above is this one now.
    Restore(Arc<Snapshot>),
    /// A question asked at [`RaftNode::ask`] is confirmed: it led after it was asked, and all agreed up to here counts.
    Confirmed(ReadRequestId, Index),
    /// It is no more the leader that could confirm it.
    Lost(ReadRequestId),
    /// For the log.
    Note(Note),
}

/// The number of a question to a leader whether it still leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadRequestId(pub u64);

/// Why something cannot be asked of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// It does not lead; this one may.
    #[error("it does not lead")]
    NotLeader(Option<MemberId>),
    /// Too much waits already.
    #[error("too much waits")]
    Full,
    /// The command is larger than is taken.
    #[error("the command is too large")]
    TooLarge,
    /// Another change of members, or a hand-over, is under way, or the term's first entry is not agreed yet.
    #[error("a change is under way")]
    Busy,
    /// The change makes no sense: a member that is there, one that is not, or the last.
    #[error("no such change")]
    Senseless,
}

/// A change of the members that vote: one at a time (thesis 4.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// It votes once it has caught up.
    Add(MemberId),
    /// It votes no more.
    Remove(MemberId),
}

/// What a member is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Role {
    Follower,
    /// Asks who would vote for it.
    Asking(BTreeSet<MemberId>),
    Candidate(BTreeSet<MemberId>),
    Leader(Leading),
    Retired,
}

/// A member of the council.
#[derive(Clone, Debug)]
pub struct RaftNode {
    pub(crate) id: MemberId,
    pub(crate) set: Settings,
    rng: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) term: Term,
    vote: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) role: Role,
    leader: Option<MemberId>,
    /// When a leader was last heard of.
    heard_at: Option<Micros>,
    pub(crate) election_at: Micros,
    /// The newest save that was asked for, and that the disk has; when the oldest outstanding was asked for.
    asked: u64,
    have: u64,
    outstanding: VecDeque<(u64, Micros, Index)>,
    /// What is to be saved by this step.
    unsaved: Unsaved,
    /// Messages that wait for a save.
    held: VecDeque<(u64, MemberId, Message)>,
    /// The last entry that its own disk surely holds.
    pub(crate) kept: Index,
    incoming: Option<(Index, Term, BytesMut)>,
    questions: u64,
    pub(crate) out: VecDeque<Effect>,
}

#[derive(Clone, Debug, Default)]
struct Unsaved {
    any: bool,
    entries_from: Option<Index>,
    snapshot: bool,
}

impl RaftNode {
    /// A member as its disk has it. The first members of a council have a log whose snapshot names all of them, at
    /// index 1 and term 1; a conductor that only follows has an empty one.
    pub fn new(id: MemberId, stored: PersistentState, set: Settings, seed: u64, now: Micros) -> Self {
        let mut core = Self {
            id,
            set,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            term: stored.term,
            vote: stored.vote,
            commit: stored.log.base().index,
            kept: stored.log.last_index(),
            log: stored.log,
            role: Role::Follower,
            leader: None,
            heard_at: None,
            election_at: 0,
            asked: 0,
            have: 0,
            outstanding: VecDeque::new(),
            unsaved: Unsaved::default(),
            held: VecDeque::new(),
            incoming: None,
            questions: 0,
            out: VecDeque::new(),
        };
        core.out.push_back(Effect::Restore(Arc::clone(core.log.base())));
        core.draw_election();
        core
    }

    /// The snapshot that the first members of a council begin with.
    pub fn bootstrap(voters: Voters) -> PersistentState {
        let base = Snapshot { index: Index(1), term: Term(1), voters, state: Bytes::new() };
        PersistentState { term: Term(1), vote: None, log: Log::new(Arc::new(base), []) }
    }

    /// Its identity.
    pub fn id(&self) -> MemberId {
        self.id
    }
    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }
    /// Its log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The last entry that it knows to be agreed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// True: it leads, and the first entry of its term is agreed, so that it knows all that is.
    pub fn is_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(leading) if self.commit >= leading.first)
    }

    /// True: its disk has failed, and it takes no part.
    pub fn is_retired(&self) -> bool {
        matches!(self.role, Role::Retired)
    }

    /// When [`RaftNode::tick`] is due at the latest.
    pub fn next_at(&self) -> Micros {
        match &self.role {
            Role::Leader(_) => self.now + self.set.heartbeat / 2,
            Role::Retired => Micros::MAX,
            _ => self.election_at,
        }
    }

    /// What is to be done, in this order.
    pub fn take(&mut self) -> Vec<Effect> {
        self.settle();
        self.out.drain(..).collect()
    }

    /// Time passes.
    pub fn tick(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let stalled = self.outstanding.front().is_some_and(|(_, at, _)| self.now > at + self.set.disk_stall);
        if stalled {
            self.step_down("its disk does not answer");
            self.draw_election();
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.lead();
        } else if !matches!(self.role, Role::Retired) && self.now >= self.election_at {
            self.ask_for_votes();
        }
    }

    /// The disk has all saves up to this number.
    pub fn saved(&mut self, now: Micros, number: u64) {
        self.now = self.now.max(now);
        self.have = self.have.max(number);
        while let Some((_, _, last)) = self.outstanding.pop_front_if(|(n, ..)| *n <= number) {
            self.kept = last.min(self.log.last_index());
        }
        while let Some((_, to, message)) = self.held.pop_front_if(|(n, ..)| *n <= number) {
            self.out.push_back(Effect::Send(to, message));
        }
        self.count_own_vote();
        self.agree();
    }

    /// The disk has failed: nothing that it promised is sure, and it promises nothing more.
    pub fn disk_failed(&mut self, why: impl Into<String>) {
        self.step_down("its disk has failed");
        self.role = Role::Retired;
        self.held.clear();
        self.out.push_back(Effect::Note(Note::Retired { why: why.into() }));
    }

    /// A message has come.
    pub fn receive(&mut self, now: Micros, from: MemberId, message: Message) {
        self.now = self.now.max(now);
        if matches!(self.role, Role::Retired) || from == self.id {
            return;
        }
        if let Message::Vote { handed: false, .. } | Message::PreVote { .. } = message
            && self.has_leader()
        {
            // A leader was heard of lately: who wants to take its place is most likely cut off from it (4.2.3).
            return;
        }
        if let Some(term) = message.term().filter(|term| *term > self.term) {
            self.enter(term, "a higher term");
        }
        match message {
            Message::PreVote { term, last } => {
                let granted = term > self.term && self.is_current(last);
                let term = if granted { term } else { self.term };
                self.send(from, Message::PreVoted { term, granted });
            }
            Message::PreVoted { term, granted } => {
                let stands_in = self.term.next();
                if let Role::Asking(votes) = &mut self.role
                    && granted
                    && term == stands_in
                {
                    votes.insert(from);
                    self.count_votes();
                }
            }
            Message::Vote { term, last, .. } => {
                let free = self.vote.is_none_or(|vote| vote == from);
                let granted = term == self.term && free && self.is_current(last);
                if granted {
                    self.vote = Some(from);
                    self.unsaved.any = true;
                    self.draw_election();
                }
                self.send(from, Message::Voted { term: self.term, granted });
            }
            Message::Voted { term, granted } => {
                if let Role::Candidate(votes) = &mut self.role
                    && granted
                    && term == self.term
                {
                    votes.insert(from);
                    self.count_votes();
                }
            }
            Message::Append { term, previous, entries, commit, round } => {
                if self.heed(term, from) {
                    self.take_entries(from, previous, entries, commit, round);
                } else {
                    let index = self.log.last_index();
                    self.send(from, Message::Appended { term: self.term, round, matched: false, index });
                }
            }
            Message::Snapshot { term, covers, voters, offset, bytes, last, round } => {
                if self.heed(term, from) {
                    self.take_snapshot(from, covers, voters, offset, bytes, last, round);
                }
            }
            Message::Appended { term, round, matched, index } if term == self.term => {
                self.answered(from, round, matched, index);
            }
            Message::SnapshotTaken { term, covers, next, round } if term == self.term => {
                self.snapshot_answered(from, covers, next, round);
            }
            Message::Stand { term } if term == self.term && self.log.voters().0.contains(&self.id) => {
                self.stand("the leader handed its place over", true);
            }
            Message::Appended { .. } | Message::SnapshotTaken { .. } | Message::Stand { .. } => {}
        }
    }

    /// Asks a leader whether it still leads: [`Effect::Confirmed`] or [`Effect::Lost`] tells (thesis 6.4).
    ///
    /// # Errors
    /// [`RequestError::NotLeader`], [`RequestError::Full`].
    pub fn ask(&mut self, now: Micros) -> Result<ReadRequestId, RequestError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader));
        }
        let most = self.set.waiting_max;
        let Role::Leader(leading) = &mut self.role else { return Err(RequestError::NotLeader(self.leader)) };
        if leading.questions.len() >= most {
            return Err(RequestError::Full);
        }
        self.questions += 1;
        let question = ReadRequestId(self.questions);
        // A round that begins from now on: one under way may have begun before it was asked.
        leading.questions.push_back((question, leading.round + 1));
        self.begin_round();
        self.confirm();
        Ok(question)
    }

    fn has_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
            || self.heard_at.is_some_and(|at| self.now < at + self.set.election)
    }

    /// The sender's log is no older than its own (paper 5.4.1).
    fn is_current(&self, last: (Index, Term)) -> bool {
        (last.1, last.0) >= (self.log.last_term(), self.log.last_index())
    }

    /// A leader's message: true if it is of the present term.
    fn heed(&mut self, term: Term, leader: MemberId) -> bool {
        if term < self.term || matches!(self.role, Role::Leader(_)) {
            return false;
        }
        if self.leader != Some(leader) {
            self.out.push_back(Effect::Note(Note::Follows { term, leader }));
        }
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.heard_at = Some(self.now);
        self.draw_election();
        true
    }

    pub(crate) fn draw_election(&mut self) {
        self.election_at = self.now + self.rng.random_range(self.set.election..=self.set.election * 2);
    }

    fn enter(&mut self, term: Term, why: &'static str) {
        self.step_down(why);
        self.term = term;
        self.vote = None;
        self.leader = None;
        self.unsaved.any = true;
    }

    pub(crate) fn step_down(&mut self, why: &'static str) {
        match std::mem::replace(&mut self.role, Role::Follower) {
            Role::Leader(leading) => {
                self.out.push_back(Effect::Note(Note::StepsDown { term: self.term, why }));
                self.out.extend(leading.questions.into_iter().map(|(question, _)| Effect::Lost(question)));
                self.leader = None;
                self.draw_election();
            }
            Role::Retired => self.role = Role::Retired,
            Role::Follower | Role::Asking(_) | Role::Candidate(_) => {}
        }
    }

    fn ask_for_votes(&mut self) {
        self.draw_election();
        if !self.log.voters().0.contains(&self.id) {
            return;
        }
        self.leader = None;
        self.role = Role::Asking(BTreeSet::from([self.id]));
        let last = (self.log.last_index(), self.log.last_term());
        self.tell_voters(&Message::PreVote { term: self.term.next(), last });
        self.count_votes();
    }

    fn stand(&mut self, why: &'static str, handed: bool) {
        self.enter(self.term.next(), why);
        self.vote = Some(self.id);
        self.draw_election();
        self.out.push_back(Effect::Note(Note::Stands { term: self.term, why }));
        // Its own vote counts once its disk has it: `count_own_vote`.
        self.role = Role::Candidate(BTreeSet::new());
        let last = (self.log.last_index(), self.log.last_term());
        self.tell_voters(&Message::Vote { term: self.term, last, handed });
    }

    fn count_own_vote(&mut self) {
        let durable = self.have >= self.asked && !self.unsaved.any;
        if let Role::Candidate(votes) = &mut self.role
            && durable
            && self.vote == Some(self.id)
        {
            votes.insert(self.id);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let voters = self.log.voters().0;
        let majority = |votes: &BTreeSet<MemberId>| votes.intersection(voters).count() * 2 > voters.len();
        match &self.role {
            Role::Asking(votes) if majority(votes) => self.stand("no leader was heard of", false),
            Role::Candidate(votes) if majority(votes) => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        let last = self.log.last_index();
        let peers = self.log.voters().0.iter().filter(|m| **m != self.id);
        let peer = PeerMessage { next: last.next(), heard_at: self.now, ..PeerMessage::default() };
        let peers = peers.map(|m| (*m, peer.clone())).collect();
        self.role = Role::Leader(Leading { peers, first: last.next(), ..Leading::default() });
        self.leader = Some(self.id);
        self.out.push_back(Effect::Note(Note::Leads { term: self.term }));
        self.write(Payload::Nothing);
        self.begin_round();
    }

    fn tell_voters(&mut self, message: &Message) {
        let voters: Vec<MemberId> = self.log.voters().0.iter().copied().filter(|m| *m != self.id).collect();
        for voter in voters {
            self.send(voter, message.clone());
        }
    }

    /// Sends what depends on what is saved, by this step too. A leader's entries need no wait: it counts its own
    /// copy when its disk has it (thesis 10.2.1).
    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        let free = matches!(message, Message::Append { .. } | Message::Snapshot { .. });
        let needs = self.asked + u64::from(self.unsaved.any);
        if free && !self.unsaved_vote() || needs <= self.have {
            self.out.push_back(Effect::Send(to, message));
        } else {
            self.held.push_back((needs, to, message));
        }
    }

    /// A leader has its own vote on disk before it leads, so only a term that it enters now is not.
    fn unsaved_vote(&self) -> bool {
        !matches!(self.role, Role::Leader(_))
    }

    /// Entries from here on have changed.
    pub(crate) fn touch(&mut self, from: Index) {
        self.unsaved.any = true;
        self.unsaved.entries_from = Some(self.unsaved.entries_from.map_or(from, |at| at.min(from)));
        self.kept = self.kept.min(from.before());
        // What is on its way to the disk holds nothing from there on that still counts.
        for (_, _, last) in &mut self.outstanding {
            *last = (*last).min(from.before());
        }
    }

    /// The log's base has changed.
    pub(crate) fn touch_base(&mut self) {
        self.unsaved.any = true;
        self.unsaved.snapshot = true;
    }

    /// Asks for one save of all that this step has changed.
    fn settle(&mut self) {
        if !self.unsaved.any {
            return;
        }
        let unsaved = std::mem::take(&mut self.unsaved);
        self.asked += 1;
        let from = unsaved.entries_from;
        let entries = from.map_or(Vec::new(), |from| self.log.from(from, usize::MAX));
        let snapshot = unsaved.snapshot.then(|| Arc::clone(self.log.base()));
        self.outstanding.push_back((self.asked, self.now, self.log.last_index()));
        let save =
            WriteRequest { number: self.asked, term: self.term, vote: self.vote, snapshot, from, entries };
        // Before all else of this step: what it gives back may depend on it.
        self.out.push_front(Effect::Save(save));
    }

    /// All that its further course hangs on but chance, with spans in place of times: for searches.
    #[doc(hidden)]
    pub fn fingerprint(&self) -> String {
        let mut role = self.role.clone();
        if let Role::Leader(leading) = &mut role {
            for peer in leading.peers.values_mut() {
                peer.heard_at = u64::from(self.now >= peer.heard_at + self.set.election);
                (peer.sent_at, peer.waits_since) = (0, peer.waits_since.map(|_| 0));
            }
        }
        let state = (self.term, self.vote, &self.log, self.commit, self.kept, self.leader, self.has_leader());
        format!("{state:?} {role:?} {:?}", self.held)
    }

    pub(crate) fn incoming(&mut self) -> &mut Option<(Index, Term, BytesMut)> {
        &mut self.incoming
    }
}
