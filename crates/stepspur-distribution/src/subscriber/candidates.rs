//! Which control member is dialled next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use stepspur_proto::v1;
use tokio::time::Instant;

use crate::placement::{ControlMember, MAX_MEMBERS, order, order_addresses};

/// A control member that sends a subscriber on is heeded for so long at most.
pub(crate) const RETRY_AFTER_MOST: Duration = Duration::from_secs(60);

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// This one is dialled.
    Dial {
        /// Its address.
        address: SocketAddr,
        /// True: all have sent it on, or do not answer.
        insists: bool,
    },
    /// None before that.
    Wait(Instant),
}

/// The control members that a subscriber knows, and what became of its attempts.
#[derive(Debug)]
pub(crate) struct Candidates {
    name: String,
    region: String,
    configured: Vec<SocketAddr>,
    order: Vec<SocketAddr>,
    /// Those of this round that sent it on, do not answer or were lost.
    tried: BTreeSet<SocketAddr>,
    not_before: BTreeMap<SocketAddr, Instant>,
    insists: bool,
}

impl Candidates {
    /// Only the configured addresses, to begin with.
    pub(crate) fn new(name: &str, region: &str, configured: &[SocketAddr]) -> Self {
        let configured = order_addresses(name, configured);
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            order: configured.clone(),
            configured,
            tried: BTreeSet::new(),
            not_before: BTreeMap::new(),
            insists: false,
        }
    }

    /// Which one is next. Once all have been tried a round begins in which the subscriber insists.
    pub(crate) fn next(&mut self, now: Instant) -> Next {
        if self.order.iter().all(|address| self.tried.contains(address)) {
            self.tried.clear();
            self.insists = true;
        }
        let untried = || self.order.iter().filter(|address| !self.tried.contains(*address));
        let from = |address: &SocketAddr| self.not_before.get(address).copied().unwrap_or(now);
        if let Some(address) = untried().find(|address| from(address) <= now) {
            return Next::Dial { address: *address, insists: self.insists };
        }
        Next::Wait(untried().map(from).min().unwrap_or(now))
    }

    /// It does not answer, or was lost.
    pub(crate) fn failed(&mut self, address: SocketAddr) {
        self.tried.insert(address);
    }

    /// It sends the subscriber on, and wants to be left alone for a while.
    pub(crate) fn redirected(&mut self, address: SocketAddr, retry_after: Duration, now: Instant) {
        self.tried.insert(address);
        self.not_before.insert(address, now + retry_after.min(RETRY_AFTER_MOST));
    }

    /// The subscriber is attached: the next round begins anew.
    pub(crate) fn attached(&mut self) {
        self.tried.clear();
        self.not_before.clear();
        self.insists = false;
    }

    /// True: it comes first in the order.
    pub(crate) fn is_first(&self, address: SocketAddr) -> bool {
        self.order.first() == Some(&address)
    }

    /// Takes the members that a control member names, in place of those known before. What cannot be read of it is left
    /// out; of nothing that can be read nothing changes. The configured addresses always stay, behind them.
    pub(crate) fn learn(&mut self, members: Vec<v1::ControlAddress>) {
        let mut learned: Vec<ControlMember> = Vec::new();
        for member in members.into_iter().take(MAX_MEMBERS) {
            match member.try_into() {
                Ok(member) => learned.push(member),
                Err(cause) => tracing::warn!(event = "control_member_unreadable", %cause),
            }
        }
        if learned.is_empty() {
            return;
        }
        let ranked = order(&self.name, &self.region, &learned).into_iter().map(|member| member.address);
        let mut seen = BTreeSet::new();
        self.order = ranked.chain(self.configured.iter().copied()).filter(|a| seen.insert(*a)).collect();
        self.tried.retain(|address| seen.contains(address));
        self.not_before.retain(|address, _| seen.contains(address));
    }
}

#[cfg(test)]
mod tests;
