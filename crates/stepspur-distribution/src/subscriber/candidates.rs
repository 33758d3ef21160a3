//! Selects the control member to connect to next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use stepspur_proto::v1;
use tokio::time::Instant;

use super::connection::ConnectionEnd;
use crate::placement::{ControlMember, MAX_MEMBERS, order, order_addresses};

/// Maximum time for which a redirect can prevent further attempts at a control member.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The next step of connecting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextCandidate {
    /// Connect to this control member now.
    Dial {
        /// Address of the control member.
        address: SocketAddr,
        /// Whether to ask to be accepted beyond the member's share, as all control members have redirected
        /// the subscriber or failed.
        insists: bool,
    },
    /// Redirects forbid an attempt at any control member before this time.
    WaitUntil(Instant),
}

/// The known control members, and the attempts to connect to them.
#[derive(Debug)]
pub(super) struct Candidates {
    name: String,
    region: String,
    /// Addresses from the settings, in the subscriber's order.
    configured: Vec<SocketAddr>,
    /// All known addresses, in the order in which they are tried.
    order: Vec<SocketAddr>,
    /// Those that redirected the subscriber or failed in this round.
    tried: BTreeSet<SocketAddr>,
    /// For each that redirected the subscriber, the earliest time of the next attempt.
    retry_at: BTreeMap<SocketAddr, Instant>,
    /// Whether all were tried in a round since the subscriber was last attached.
    insists: bool,
}

impl Candidates {
    /// Creates the candidates of a subscriber with the configured addresses.
    pub(super) fn new(name: &str, region: &str, configured: &[SocketAddr]) -> Self {
        let configured = order_addresses(name, configured);
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            order: configured.clone(),
            configured,
            tried: BTreeSet::new(),
            retry_at: BTreeMap::new(),
            insists: false,
        }
    }

    /// The next candidate. Once all were tried, a new round begins, in which the subscriber insists.
    pub(super) fn next(&mut self, now: Instant) -> NextCandidate {
        if self.order.iter().all(|address| self.tried.contains(address)) {
            self.tried.clear();
            self.insists = true;
        }
        let mut earliest: Option<Instant> = None;
        for address in self.order.iter().filter(|address| !self.tried.contains(*address)) {
            let retry_at = self.retry_at.get(address).copied().unwrap_or(now);
            if retry_at <= now {
                return NextCandidate::Dial { address: *address, insists: self.insists };
            }
            earliest = Some(earliest.map_or(retry_at, |earliest| earliest.min(retry_at)));
        }
        NextCandidate::WaitUntil(earliest.unwrap_or(now))
    }

    /// Records that a control member did not answer or its connection was lost.
    pub(super) fn mark_failed(&mut self, address: SocketAddr) {
        self.tried.insert(address);
    }

    /// Records that a control member redirected the subscriber. That member is not tried again before the
    /// time that the redirect names.
    pub(super) fn follow_redirect(
        &mut self,
        address: SocketAddr,
        redirect: v1::ConfigRedirect,
    ) -> ConnectionEnd {
        self.learn(redirect.members);
        self.mark_redirected(address, Duration::from_micros(redirect.retry_after_us), Instant::now());
        ConnectionEnd::Redirected(redirect.detail)
    }

    fn mark_redirected(&mut self, address: SocketAddr, retry_after: Duration, now: Instant) {
        self.tried.insert(address);
        self.retry_at.insert(address, now + retry_after.min(MAX_RETRY_AFTER));
    }

    /// Records that the subscriber is attached, and clears the record of earlier attempts.
    pub(super) fn mark_attached(&mut self) {
        self.tried.clear();
        self.retry_at.clear();
        self.insists = false;
    }

    /// Whether a control member is first in the order.
    pub(super) fn is_first(&self, address: SocketAddr) -> bool {
        self.order.first() == Some(&address)
    }

    /// Replaces the known members by those that a control member names. Members with an invalid address are
    /// omitted; if none is valid, nothing changes. The configured addresses always remain, last in the order.
    pub(super) fn learn(&mut self, members: Vec<v1::ControlAddress>) {
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
        let ordered = order(&self.name, &self.region, &learned).into_iter().map(|member| member.address);
        let mut known = BTreeSet::new();
        let all = ordered.chain(self.configured.iter().copied());
        self.order = all.filter(|address| known.insert(*address)).collect();
        self.tried.retain(|address| known.contains(address));
        self.retry_at.retain(|address, _| known.contains(address));
    }
}

#[cfg(test)]
mod tests;
