//! Replication: entries and snapshots out and in, what is agreed, changes of members, handing the lead over.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use crate::core::{Effect, MembershipChange, RaftNode, RequestError, Role};
use crate::ids::{Index, MemberId, Micros, Term};
use crate::leading::{Joining, Leading, PeerMessage};
use crate::log::{Entry, Payload, Snapshot, Voters};
use crate::message::{Message, Note};

/// Rounds in which one that is to vote must have caught up (thesis 4.2.1).
const CATCH_UP_ROUNDS: u32 = 10;

impl RaftNode {
    /// Writes a command to the log of a leader; its entry is applied once it is agreed.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`], [`RequestError::Full`], [`RequestError::TooLarge`], and [`RequestError::Busy`] while it hands its place
    /// over.
    pub fn propose(&mut self, now: Micros, command: Bytes) -> Result<Index, RequestError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader()));
        }
        if command.len() > self.set.command_max {
            return Err(RequestError::TooLarge);
        }
        if self.log.last_index().0 - self.commit.0 >= self.set.waiting_max as u64 {
            return Err(RequestError::Full);
        }
        if matches!(&self.role, Role::Leader(Leading { hand_to: Some(_), .. })) {
            return Err(RequestError::Busy);
        }
        let index = self.write(Payload::Command(command));
        self.spread();
        Ok(index)
    }

    /// Changes who votes, one member at a time (thesis 4.1).
    ///
    /// # Errors
    /// [`RequestError::NotLeader`]; [`RequestError::Busy`] while another change, a hand-over or the term's first entry is not
    /// agreed; [`RequestError::Senseless`] for a member that votes already, one that does not, or the last.
    pub fn change(&mut self, now: Micros, change: MembershipChange) -> Result<(), RequestError> {
        self.now = self.now.max(now);
        // Before its first entry is agreed another leader's change may be under way unseen (the thesis' erratum).
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader()));
        }
        let (voters, at) = self.log.voters();
        let (mut voters, agreed) = (voters.clone(), at <= self.commit);
        let (now, last) = (self.now, self.log.last_index());
        let Role::Leader(leading) = &mut self.role else { return Err(RequestError::NotLeader(None)) };
        if !agreed || leading.joining.is_some() || leading.hand_to.is_some() {
            return Err(RequestError::Busy);
        }
        match change {
            MembershipChange::Add(member) if !voters.contains(&member) => {
                leading.joining = Some(Joining { member, target: last, began: now, rounds: 1 });
                let peer = PeerMessage { next: last.next(), heard_at: now, ..PeerMessage::default() };
                leading.peers.insert(member, peer);
            }
            MembershipChange::Remove(member) if voters.contains(&member) && voters.len() > 1 => {
                voters.remove(&member);
                self.write(Payload::Members(voters));
            }
            MembershipChange::Add(_) | MembershipChange::Remove(_) => return Err(RequestError::Senseless),
        }
        self.spread();
        Ok(())
    }

    /// Hands the lead over to a member that votes: it stands at once when it has all entries (thesis 3.10).
    ///
    /// # Errors
    /// [`RequestError::NotLeader`], [`RequestError::Busy`], [`RequestError::Senseless`].
    pub fn transfer_leadership(&mut self, now: Micros, to: MemberId) -> Result<(), RequestError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader()));
        }
        let votes = to != self.id && self.log.voters().0.contains(&to);
        let until = self.now + self.set.election;
        let Role::Leader(leading) = &mut self.role else { return Err(RequestError::NotLeader(None)) };
        if leading.hand_to.is_some() || leading.joining.is_some() {
            return Err(RequestError::Busy);
        }
        if !votes {
            return Err(RequestError::Senseless);
        }
        leading.hand_to = Some((to, until));
        self.spread();
        self.hand_if_ready();
        Ok(())
    }

    /// Takes a snapshot of the state above, as it is after an entry that was applied, in place of the entries up to it.
    pub fn compact(&mut self, index: Index, state: Bytes) {
        let Some(term) = self.log.term_at(index).filter(|_| index <= self.commit) else { return };
        if index <= self.log.base().index {
            return;
        }
        let voters = self.log.voters_at(index).clone();
        self.log.compact_to(Arc::new(Snapshot { index, term, voters, state }));
        self.touch_base();
    }

    /// A leader's turn: it steps down without a majority, and keeps in touch.
    pub(crate) fn lead(&mut self) {
        let (now, span) = (self.now, self.set.election);
        let voters = self.log.voters().0.clone();
        let Role::Leader(leading) = &mut self.role else { return };
        let lately = |m: &MemberId| leading.peers.get(m).is_some_and(|p| now < p.heard_at + span);
        let heard = voters.iter().filter(|m| **m == self.id || lately(m)).count();
        if heard * 2 <= voters.len() {
            return self.step_down("no majority answers");
        }
        if leading.hand_to.is_some_and(|(_, until)| now >= until) {
            leading.hand_to = None;
        }
        let due = leading.peers.values().any(|p| now >= p.sent_at + self.set.heartbeat);
        if due {
            self.begin_round();
        }
        self.catch_up();
    }

    /// Writes to every member, with a new round.
    pub(crate) fn begin_round(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        leading.round += 1;
        let members: Vec<MemberId> = leading.peers.keys().copied().collect();
        for member in members {
            self.write_to(member, true);
        }
        // Alone it is its own majority.
        self.confirm();
    }

    /// Sends new entries to those who wait for none.
    fn spread(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let members: Vec<MemberId> = leading.peers.keys().copied().collect();
        for member in members {
            self.write_to(member, false);
        }
        self.agree();
    }

    /// One batch is under way at a time; a heartbeat carries what was not answered again.
    fn write_to(&mut self, member: MemberId, always: bool) {
        let (now, set, term) = (self.now, self.set.clone(), self.term);
        let last = self.log.last_index();
        let Role::Leader(leading) = &mut self.role else { return };
        let round = leading.round;
        let Some(peer) = leading.peers.get_mut(&member) else { return };
        if peer.waits_since.is_some_and(|at| now >= at + set.heartbeat) {
            peer.waits_since = None;
        }
        let waits = peer.waits_since.is_some();
        if !always && (waits || peer.next > last) {
            return;
        }
        peer.sent_at = now;
        let (base, previous) = (Arc::clone(self.log.base()), peer.next.before());
        let message = match self.log.term_at(previous) {
            Some(previous_term) => {
                let entries = if waits { Vec::new() } else { self.log.from(peer.next, set.batch) };
                peer.waits_since = (!entries.is_empty()).then_some(now).or(peer.waits_since);
                peer.snapshot = None;
                let upto = entries.last().map_or(previous, |entry| entry.index);
                peer.told = peer.told.max(self.commit.min(upto));
                let (previous, commit) = ((previous, previous_term), self.commit);
                Message::Append { term, previous, entries, commit, round }
            }
            None => {
                let at = peer.snapshot.filter(|(index, _)| *index == base.index).map_or(0, |(_, at)| at);
                peer.snapshot = Some((base.index, at));
                peer.waits_since = Some(now);
                let from = (at as usize).min(base.state.len());
                let to = (from + set.chunk).min(base.state.len());
                Message::Snapshot {
                    term,
                    covers: (base.index, base.term),
                    voters: base.voters.clone(),
                    offset: from as u64,
                    bytes: base.state.slice(from..to),
                    last: to == base.state.len(),
                    round,
                }
            }
        };
        self.send(member, message);
    }

    pub(crate) fn answered(&mut self, from: MemberId, round: u64, matched: bool, index: Index) {
        let last = self.log.last_index();
        let now = self.now;
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(peer) = leading.peers.get_mut(&from) else { return };
        (peer.heard_at, peer.round) = (now, peer.round.max(round));
        if matched {
            if index > peer.matched {
                peer.matched = index;
                peer.waits_since = None;
            }
            peer.next = peer.next.max(peer.matched.next());
        } else {
            // What it surely holds is never sent again.
            peer.next =
                Index(index.next().0.min(peer.next.before().0).min(last.next().0)).max(peer.matched.next());
            peer.waits_since = None;
        }
        self.confirm();
        self.agree();
        self.catch_up();
        self.hand_if_ready();
        self.write_to(from, false);
        self.tell_agreed(from);
    }

    pub(crate) fn snapshot_answered(&mut self, from: MemberId, covers: Index, next: u64, round: u64) {
        let now = self.now;
        let size = self.log.base().state.len() as u64;
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(peer) = leading.peers.get_mut(&from) else { return };
        (peer.heard_at, peer.round) = (now, peer.round.max(round));
        if peer.snapshot.is_some_and(|(index, _)| index == covers) {
            peer.waits_since = None;
            if next > size {
                peer.snapshot = None;
                peer.matched = peer.matched.max(covers);
                peer.next = peer.matched.next();
            } else {
                peer.snapshot = Some((covers, next));
            }
        }
        self.confirm();
        self.agree();
        let more =
            matches!(&self.role, Role::Leader(l) if l.peers.get(&from).is_some_and(|p| p.snapshot.is_some()));
        self.write_to(from, more);
    }

    /// One that held an entry only after a majority did was told that it is agreed before it could count on it: without
    /// this it would apply it with the next heartbeat.
    fn tell_agreed(&mut self, member: MemberId) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(peer) = leading.peers.get(&member) else { return };
        if peer.told < self.commit.min(peer.matched) {
            self.write_to(member, true);
        }
    }

    /// Questions are confirmed by a majority that answered a round begun after them.
    pub(crate) fn confirm(&mut self) {
        let voters = self.log.voters().0;
        let Role::Leader(leading) = &mut self.role else { return };
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|m| if *m == self.id { leading.round } else { leading.peers.get(m).map_or(0, |p| p.round) })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(by_majority) = rounds.get(voters.len() / 2).copied() else { return };
        while let Some((question, _)) = leading.questions.pop_front_if(|(_, round)| *round <= by_majority) {
            self.out.push_back(Effect::Confirmed(question, self.commit));
        }
    }

    /// What a majority holds is agreed, if it is of this term (paper 5.4.2).
    pub(crate) fn agree(&mut self) {
        let voters = self.log.voters().0;
        let Role::Leader(leading) = &self.role else { return };
        let mut held: Vec<Index> =
            voters
                .iter()
                .map(|m| {
                    if *m == self.id {
                        self.kept
                    } else {
                        leading.peers.get(m).map_or(Index(0), |p| p.matched)
                    }
                })
                .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(by_majority) = held.get(voters.len() / 2).copied() else { return };
        if by_majority > self.commit && self.log.term_at(by_majority) == Some(self.term) {
            self.advance(by_majority);
            // Members learn it with the next message; the state above waits for it most while it is quiet.
            self.begin_round();
            self.after_change();
        }
    }

    fn advance(&mut self, to: Index) {
        for entry in self.log.from(self.commit.next(), (to.0 - self.commit.0) as usize) {
            self.out.push_back(Effect::Apply(entry));
        }
        self.commit = to;
    }

    /// One that was removed leads no more once that is agreed (thesis 4.2.2); its peers are those who vote.
    fn after_change(&mut self) {
        let (voters, at) = self.log.voters();
        if at > self.commit {
            return;
        }
        let (votes, voters) = (voters.contains(&self.id), voters.clone());
        if !votes {
            return self.step_down("it votes no more");
        }
        if let Role::Leader(leading) = &mut self.role {
            let joining = leading.joining.as_ref().map(|j| j.member);
            leading.peers.retain(|m, _| voters.contains(m) || joining == Some(*m));
        }
    }

    pub(crate) fn write(&mut self, payload: Payload) -> Index {
        let changes = matches!(payload, Payload::Members(_));
        let entry = self.log.push(self.term, payload);
        self.touch(entry.index);
        if changes {
            self.out.push_back(Effect::Note(Note::Members { voters: self.log.voters().0.clone() }));
        }
        entry.index
    }

    /// One that is to vote has caught up when a round of entries took it less than an election's time.
    fn catch_up(&mut self) {
        let (now, last, span) = (self.now, self.log.last_index(), self.set.election);
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(joining) = &mut leading.joining else { return };
        let member = joining.member;
        let matched = leading.peers.get(&member).map_or(Index(0), |p| p.matched);
        if matched >= joining.target {
            if now < joining.began + span {
                leading.joining = None;
                let mut voters: Voters = self.log.voters().0.clone();
                voters.insert(member);
                self.write(Payload::Members(voters));
                return self.spread();
            }
            (joining.target, joining.began, joining.rounds) = (last, now, joining.rounds + 1);
        }
        if joining.rounds > CATCH_UP_ROUNDS || now > joining.began + span * u64::from(CATCH_UP_ROUNDS) {
            leading.joining = None;
            leading.peers.remove(&member);
            self.out.push_back(Effect::Note(Note::GivenUp { member }));
        }
    }

    fn hand_if_ready(&mut self) {
        let (last, term) = (self.log.last_index(), self.term);
        let Role::Leader(leading) = &self.role else { return };
        if let Some((to, _)) = leading.hand_to
            && leading.peers.get(&to).is_some_and(|p| p.matched == last)
        {
            self.send(to, Message::Stand { term });
        }
    }

    pub(crate) fn take_entries(
        &mut self,
        leader: MemberId,
        previous: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let (base, last) = (self.log.base().index, self.log.last_index());
        let term = self.term;
        if previous.0 >= base && self.log.term_at(previous.0) != Some(previous.1) {
            // Nothing before the conflicting term can be told from here; one step back, or to its end.
            let index = if previous.0 > last { last } else { previous.0.before().max(base) };
            return self.send(leader, Message::Appended { term, round, matched: false, index });
        }
        let upto = entries.last().map_or(previous.0, |e| e.index).max(base);
        let voted_before = self.log.voters().0.clone();
        // What the snapshot covers is agreed, and the same.
        let new: Vec<Entry> = entries.into_iter().filter(|e| e.index > base).collect();
        if let Some(changed) = self.log.merge(new) {
            self.touch(changed);
        }
        if *self.log.voters().0 != voted_before {
            self.out.push_back(Effect::Note(Note::Members { voters: self.log.voters().0.clone() }));
        }
        let agreed = commit.min(upto);
        if agreed > self.commit {
            self.advance(agreed);
        }
        self.send(leader, Message::Appended { term, round, matched: true, index: upto });
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(crate) fn take_snapshot(
        &mut self,
        leader: MemberId,
        covers: (Index, Term),
        voters: Voters,
        offset: u64,
        bytes: Bytes,
        last: bool,
        round: u64,
    ) {
        let term = self.term;
        let answer = |core: &mut Self, next| {
            core.send(leader, Message::SnapshotTaken { term, covers: covers.0, next, round });
        };
        let fresh = |part: &(Index, Term, BytesMut)| (part.0, part.1) == covers;
        let mut part = self.incoming().take().filter(fresh).unwrap_or((covers.0, covers.1, BytesMut::new()));
        if offset != part.2.len() as u64 {
            let next = part.2.len() as u64;
            *self.incoming() = Some(part);
            return answer(self, next);
        }
        part.2.extend_from_slice(&bytes);
        let size = part.2.len() as u64;
        if !last {
            *self.incoming() = Some(part);
            return answer(self, size);
        }
        if covers.0 > self.commit {
            let snapshot = Snapshot { index: covers.0, term: covers.1, voters, state: part.2.freeze() };
            let snapshot = Arc::new(snapshot);
            self.log.compact_to(Arc::clone(&snapshot));
            self.touch_base();
            self.touch(covers.0.next());
            self.kept = self.kept.min(covers.0);
            self.commit = covers.0;
            self.out.push_back(Effect::Restore(snapshot));
        }
        answer(self, size + 1);
    }
}
