//! How a member to which no leader writes follows what is agreed.
//!
//! It fetches from a voter that has a leader. That voter keeps it as a subscriber for a while and sends it each entry
//! as soon as it is agreed, so a quiet council costs one request and one answer per [`Settings::election`]. A lost
//! entry shows as a gap before the next one, or is found by the next fetch; a fetch without an answer goes to another
//! member after [`Settings::heartbeat`].
//!
//! [`Settings::election`]: crate::Settings::election
//! [`Settings::heartbeat`]: crate::Settings::heartbeat

use std::collections::BTreeMap;

use super::Member;
use crate::ids::{Index, MemberId, Micros};
use crate::log::Entry;
use crate::peer::{Output, PeerMessage};
use crate::settings::Settings;
use crate::state::StateMachine;

/// Subscribers of one member at most; further ones get what is agreed by their fetches alone.
const SUBSCRIBERS_MAX: usize = 1_024;

/// The fetching side.
#[derive(Clone, Debug)]
pub(super) struct Fetching {
    /// When the next fetch is due.
    pub(super) due_at: Micros,
    /// The voter that answered the last fetch; the next one goes to it again.
    source: Option<MemberId>,
    /// Who was asked and has not answered.
    asked: Option<MemberId>,
    /// Members that answered in a row without having a leader.
    without_leader: usize,
}

impl Fetching {
    pub(super) fn new(now: Micros) -> Self {
        Self { due_at: now, source: None, asked: None, without_leader: 0 }
    }
}

/// The answering side: followers that are sent what is agreed without a request.
#[derive(Clone, Debug, Default)]
pub(super) struct Subscribers {
    all: BTreeMap<MemberId, Subscriber>,
    /// All that is agreed up to here was sent to them.
    sent: Index,
}

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    /// The next entry to send.
    next: Index,
    /// It has not fetched since so long that it is most likely gone, or fetches elsewhere.
    until: Micros,
}

impl Subscribers {
    fn keep(&mut self, member: MemberId, next: Index, now: Micros, set: &Settings) {
        self.all.retain(|_, subscriber| now < subscriber.until);
        if self.all.len() < SUBSCRIBERS_MAX || self.all.contains_key(&member) {
            self.all.insert(member, Subscriber { next, until: now + set.election * 2 });
        }
    }
}

impl<S: StateMachine> Member<S> {
    /// True: it has to fetch what is agreed.
    pub(super) fn fetches(&self) -> bool {
        !self.is_written_to() && self.stopped.is_none()
    }

    /// Asks for what is agreed, if that is due.
    pub(super) fn fetch(&mut self) {
        if !self.fetches() || self.now < self.fetching.due_at {
            return;
        }
        // An answer moves it on; without one the next member is asked.
        self.fetching.due_at = self.now + self.set.heartbeat;
        let Some(to) = self.fetching.source.take().or_else(|| self.next_other()) else { return };
        self.fetching.asked = Some(to);
        let from = self.duties.applied().next();
        self.out.push(Output::Send(to, PeerMessage::Fetch { from }));
    }

    /// Entries have come, by a fetch or as a subscriber.
    pub(super) fn entries_fetched(&mut self, from: MemberId, entries: Vec<Entry>, leader: Option<MemberId>) {
        let full = entries.len() >= self.set.batch;
        let mut gap = false;
        for entry in entries {
            gap |= entry.index > self.duties.applied().next();
            if entry.index == self.duties.applied().next() {
                self.apply(entry);
            }
        }
        self.fetch_answered(from, leader, full || gap);
    }

    /// The state after an entry has come.
    pub(super) fn state_fetched(
        &mut self,
        from: MemberId,
        index: Index,
        state: &[u8],
        leader: Option<MemberId>,
    ) {
        let newer = index > self.duties.applied();
        if newer {
            self.restore(state, index);
        }
        self.fetch_answered(from, leader, newer);
    }

    fn fetch_answered(&mut self, from: MemberId, leader: Option<MemberId>, more: bool) {
        self.leader = leader.or(self.leader);
        match (self.fetching.asked, leader) {
            // Also by one that was asked before, and is slow.
            (Some(_), Some(_)) => {
                self.fetching.asked = None;
                self.fetching.source = Some(from);
                self.fetching.without_leader = 0;
                self.fetching.due_at = self.now + self.set.election;
            }
            (Some(asked), None) if asked == from => {
                self.fetching.asked = None;
                // The next one is asked at once, until all were: then they are asked at the pace of heartbeats.
                self.fetching.without_leader += 1;
                if self.fetching.without_leader <= self.others().len() {
                    self.fetching.due_at = self.now;
                }
            }
            _ => {}
        }
        if more && self.fetching.asked.is_none() {
            self.fetching.due_at = self.now;
        }
    }

    /// A follower asks what is agreed from an entry on.
    pub(super) fn fetched_from(&mut self, to: MemberId, from: Index) {
        let (base, leader) = (self.core.log().base().index, self.written_by());
        let (next, answer) = if from > base {
            let entries = self.agreed_from(from);
            let next = Index(from.0 + entries.len() as u64);
            (next, PeerMessage::Fetched { entries, leader })
        } else {
            let index = self.duties.applied();
            (index.next(), PeerMessage::FetchedState { index, state: self.encode(), leader })
        };
        self.out.push(Output::Send(to, answer));
        // One without a leader learns of nothing that it could tell, and the follower asks another.
        if leader.is_some() {
            self.subscribers.keep(to, next, self.now, &self.set);
        }
    }

    /// Sends subscribers what is newly agreed.
    pub(super) fn send_agreed(&mut self) {
        let (commit, base, now) = (self.core.commit(), self.core.log().base().index, self.now);
        if commit <= self.subscribers.sent {
            return;
        }
        self.subscribers.sent = commit;
        let leader = self.written_by();
        let mut all = std::mem::take(&mut self.subscribers.all);
        all.retain(|_, subscriber| now < subscriber.until);
        for (to, subscriber) in &mut all {
            // What the log no longer has it gets as a state, by its next fetch.
            if subscriber.next > commit || subscriber.next <= base {
                continue;
            }
            let entries = self.agreed_from(subscriber.next);
            subscriber.next = Index(subscriber.next.0 + entries.len() as u64);
            self.out.push(Output::Send(*to, PeerMessage::Fetched { entries, leader }));
        }
        self.subscribers.all = all;
    }

    /// Agreed entries from a place on, one batch at most.
    fn agreed_from(&self, from: Index) -> Vec<Entry> {
        let left = self.core.commit().next().0.saturating_sub(from.0);
        self.core.log().from(from, (left as usize).min(self.set.batch))
    }

    /// The voters but itself, as far as it knows: those of its log, or those that it was told of. Each member has them
    /// in another order, so that followers spread over them.
    fn others(&self) -> Vec<MemberId> {
        let (known, me) = (self.core.log().voters().0, self.core.id());
        let voters = if known.is_empty() { &self.voters } else { known };
        let mut others: Vec<MemberId> = voters.iter().copied().filter(|m| *m != me).collect();
        others.sort_by_key(|other| (mixed(me.0 ^ mixed(other.0)), *other));
        others
    }

    /// Another voter, each in its turn.
    pub(super) fn next_other(&mut self) -> Option<MemberId> {
        let others = self.others();
        if others.is_empty() {
            return None;
        }
        self.turn = (self.turn + 1) % others.len();
        Some(others[self.turn])
    }
}

/// Neighbouring numbers far apart (the finalizer of SplitMix64, Steele, Lea and Flood 2014).
fn mixed(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
