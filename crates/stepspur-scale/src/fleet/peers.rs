//! Whom control members exchange bytes with, by the addresses of their connections: other members of the council, those
//! that vote and those that follow; subscribers; operators.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::settings::ControlFleet;
use super::sockets::{End, Look, Traffic};

/// What is at the other end of a control member's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerKind {
    /// Another member of the council that votes.
    CouncilVoters,
    /// A member of the council that follows.
    CouncilFollowers,
    /// Control members' summaries for the leader, at the address at which it serves subscribers.
    Summaries,
    /// Subscribers.
    Subscribers,
    /// Callers of the operators' endpoint.
    Operators,
    /// None of these.
    Other,
}

impl PeerKind {
    /// All kinds.
    pub(crate) const ALL: [Self; 6] = [
        Self::CouncilVoters,
        Self::CouncilFollowers,
        Self::Summaries,
        Self::Subscribers,
        Self::Operators,
        Self::Other,
    ];

    /// What it is called.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::CouncilVoters => "council voters",
            Self::CouncilFollowers => "council followers",
            Self::Summaries => "summaries",
            Self::Subscribers => "subscribers",
            Self::Operators => "operators",
            Self::Other => "other",
        }
    }
}

/// A control member, as its sockets are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Member {
    /// Its number in the council.
    pub id: u64,
    /// True: it votes.
    pub votes: bool,
}

impl Member {
    fn council(self) -> PeerKind {
        if self.votes { PeerKind::CouncilVoters } else { PeerKind::CouncilFollowers }
    }
}

/// What is served at an address of a control member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Council,
    Subscribers,
    Operators,
}

/// The addresses of all control members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses(BTreeMap<String, (Member, Service)>);

/// The processes of control members that run.
pub(crate) type MemberProcesses = BTreeMap<u32, Member>;

/// What passed between a control member and one kind of peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Passed {
    /// Connections.
    pub connections: usize,
    /// Bytes and segments.
    pub traffic: Traffic,
}

impl Addresses {
    /// Those of these control members.
    pub(crate) fn of(control: &ControlFleet) -> Self {
        let mut addresses = BTreeMap::new();
        for (member, at) in &control.members {
            let of = Member { id: member.id, votes: member.votes };
            for (address, service) in [
                (at.council, Service::Council),
                (at.subscribers, Service::Subscribers),
                (at.operators, Service::Operators),
            ] {
                addresses.insert(address.to_string(), (of, service));
            }
        }
        Self(addresses)
    }

    /// What passed at each control member since an earlier look, by kinds of peers.
    pub(crate) fn passed(
        &self,
        now: &Look,
        before: &Look,
        members: &MemberProcesses,
    ) -> BTreeMap<u32, BTreeMap<PeerKind, Passed>> {
        // By the two addresses of an end, its own first.
        let own: BTreeMap<(&str, &str), Member> = now
            .ends()
            .filter_map(|end| Some(((end.local.as_str(), end.peer.as_str()), *members.get(&end.pid)?)))
            .collect();
        let mut sums: BTreeMap<u32, BTreeMap<PeerKind, Passed>> = BTreeMap::new();
        for (end, traffic) in now.passed(before).filter(|(end, _)| members.contains_key(&end.pid)) {
            let other = own.get(&(end.peer.as_str(), end.local.as_str())).copied();
            let sum = sums.entry(end.pid).or_default().entry(self.kind(end, other)).or_default();
            sum.connections += 1;
            sum.traffic.add(traffic);
        }
        sums
    }

    /// Who is at the other end of a control member's connection; `other` is the control member whose process that is.
    fn kind(&self, end: &End, other: Option<Member>) -> PeerKind {
        let service = |address: &str| self.0.get(address).copied();
        match (service(&end.local), service(&end.peer), other) {
            // Served here, by the address of the listener.
            (Some((_, Service::Operators)), ..) => PeerKind::Operators,
            (Some((_, Service::Subscribers)), _, Some(_)) => PeerKind::Summaries,
            (Some((_, Service::Subscribers)), _, None) => PeerKind::Subscribers,
            (Some((_, Service::Council)), _, Some(member)) => member.council(),
            // Dialled from here, by the address that was dialled.
            (None, Some((member, Service::Council)), _) => member.council(),
            (None, Some((_, Service::Subscribers)), _) => PeerKind::Summaries,
            (None, Some((_, Service::Operators)), _) => PeerKind::Operators,
            _ => PeerKind::Other,
        }
    }
}
