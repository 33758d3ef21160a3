//! Both sides of a lease. The holder counts from before it asked, less the drift of clocks; whoever grants waits that
//! long and the drift from when it was asked. So the next holder begins after the last has stopped, whatever was lost,
//! late or stalled between.
//!
//! A renewal is one message for all duties of a holder, and nothing of it is written to disk: it is granted by a leader
//! that a majority confirmed after it was asked, and a new leader waits out what the old one may have granted.

use std::collections::{BTreeMap, VecDeque};

use crate::duty::{FencingToken, Role, RoleChange, RoleName, RoleTable};
use crate::ids::{Index, MemberId, Micros};
use crate::settings::Settings;

/// The granting side: what a leader knows of its holders. It begins empty with each lead.
#[derive(Clone, Debug, Default)]
pub struct LeaseGrantor {
    /// Since when it leads.
    since: Micros,
    /// When each member was last heard to ask.
    asked: BTreeMap<MemberId, Micros>,
    /// When each duty's grant, and its revocation, was applied here.
    granted: BTreeMap<RoleName, Micros>,
    revoked: BTreeMap<RoleName, Micros>,
}

impl LeaseGrantor {
    /// A leader begins.
    pub fn new(now: Micros) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// A member asks to renew. It counts at once, before a majority confirms it: else a duty might be given to another
    /// between.
    pub fn asked(&mut self, member: MemberId, now: Micros) {
        self.asked.insert(member, now);
    }

    /// When a member last asked.
    pub fn heard(&self, member: MemberId) -> Option<Micros> {
        self.asked.get(&member).copied()
    }

    /// An entry was applied.
    pub fn note(&mut self, changed: &RoleChange, now: Micros) {
        match changed {
            RoleChange::Held { duty, .. } => {
                self.granted.insert(duty.clone(), now);
                self.revoked.remove(duty);
            }
            RoleChange::Free { duty, .. } => {
                self.granted.remove(duty);
                self.revoked.remove(duty);
            }
            RoleChange::Revoked { duty } => _ = self.revoked.entry(duty.clone()).or_insert(now),
        }
    }

    /// When a duty may be given to another: its holder's lease has surely run out by then.
    pub fn free_at(&self, name: &RoleName, duty: &Role, set: &Settings) -> Micros {
        let Some(holder) = duty.holder else { return 0 };
        let asked = self.asked.get(&holder).copied().unwrap_or(0);
        // A revoked one was renewed no more from then on; if that was before this lead, by this lead's begin.
        let asked = match self.revoked.get(name) {
            Some(at) => asked.min(*at),
            None if duty.revoked => 0,
            None => asked,
        };
        let last = self.since.max(asked).max(self.granted.get(name).copied().unwrap_or(0));
        last + set.extended_by_drift(duty.lease)
    }
}

/// The holding side.
#[derive(Clone, Debug, Default)]
pub struct LeaseHolder {
    next: u64,
    /// Requests without an answer, and when they were sent.
    asked: VecDeque<(u64, Micros)>,
    /// The newest that was answered: when it was sent, and what its answer counted.
    proved: Option<(Micros, Index)>,
    /// The newest that was answered in any way.
    heard: u64,
}

/// Requests that may wait for an answer.
const WAITING: usize = 64;

impl LeaseHolder {
    /// It asks to renew: the number of the request. Time runs from here.
    pub fn ask(&mut self, now: Micros) -> u64 {
        self.next += 1;
        self.asked.push_back((self.next, now));
        if self.asked.len() > WAITING {
            self.asked.pop_front();
        }
        self.next
    }

    /// A request was answered, granted or not.
    pub fn answered(&mut self, number: u64) {
        self.heard = self.heard.max(number.min(self.next));
    }

    /// The newest request that was answered in any way; 0: none.
    pub fn heard(&self) -> u64 {
        self.heard
    }

    /// A request was granted, by a leader that counted all entries up to `applied`.
    pub fn granted(&mut self, number: u64, applied: Index) {
        self.answered(number);
        let Some(place) = self.asked.iter().position(|(n, _)| *n == number) else { return };
        let (_, at) = self.asked[place];
        self.asked.drain(..=place);
        if self.proved.is_none_or(|(before, _)| at > before) {
            self.proved = Some((at, applied));
        }
    }

    /// Until when it may act by a duty, and with which token; none if it does not hold it, or may not know that it does
    /// no more.
    pub fn until(
        &self,
        me: MemberId,
        name: &RoleName,
        duties: &RoleTable,
        set: &Settings,
    ) -> Option<(Micros, FencingToken)> {
        let duty = duties.get(name).filter(|d| d.holder == Some(me) && !d.revoked)?;
        let (asked, applied) = self.proved?;
        // The grant counts what was agreed by then: one that has not heard of it may hold what was taken from it.
        (duties.applied() >= applied).then(|| (asked + set.reduced_by_drift(duty.lease), duty.token))
    }
}
