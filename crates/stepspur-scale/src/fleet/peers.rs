//! Classifies the connections of control members by their addresses: voting and non-voting members of the
//! consensus group, summaries, subscribers and operators.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::settings::ControlFleet;
use super::sockets::{ConnectionEnd, Snapshot, Traffic};

/// The kind of peer at the other end of a control member's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerKind {
    /// Another voting member of the consensus group.
    CouncilVoters,
    /// A non-voting member of the consensus group.
    CouncilFollowers,
    /// Summaries that control members send to the leader, at the address at which it serves subscribers.
    Summaries,
    /// Conductors that subscribe to documents.
    Subscribers,
    /// Clients of the operators' endpoint.
    Operators,
    /// Any other peer, such as a client of the status page.
    Other,
}

impl PeerKind {
    /// All kinds, in the order of the report.
    pub(crate) const ALL: [Self; 6] = [
        Self::CouncilVoters,
        Self::CouncilFollowers,
        Self::Summaries,
        Self::Subscribers,
        Self::Operators,
        Self::Other,
    ];

    /// Name in reports.
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

/// Identifies a control member and says whether it votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Member {
    /// Id of the member in the consensus group.
    pub id: u64,
    /// True if it votes.
    pub votes: bool,
}

impl Member {
    fn peer_kind(self) -> PeerKind {
        if self.votes { PeerKind::CouncilVoters } else { PeerKind::CouncilFollowers }
    }
}

/// The service behind a listening address of a control member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Council,
    Subscribers,
    Operators,
}

/// The listening addresses of all control members, each with its member and service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses(BTreeMap<String, (Member, Service)>);

/// Control members that run, by process id.
pub(crate) type MemberProcesses = BTreeMap<u32, Member>;

/// Traffic between a control member and one kind of peer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PeerTraffic {
    /// Number of connections.
    pub connections: usize,
    /// Bytes and segments on them.
    pub traffic: Traffic,
}

impl Addresses {
    /// Collects the listening addresses of these control members.
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

    /// Returns the traffic of each control member since an earlier snapshot, by process id and kind of peer.
    pub(crate) fn traffic_by_peer(
        &self,
        now: &Snapshot,
        before: &Snapshot,
        members: &MemberProcesses,
    ) -> BTreeMap<u32, BTreeMap<PeerKind, PeerTraffic>> {
        // Maps the address pair of each connection end, local address first, to the control member that owns
        // the end.
        let owner_of: BTreeMap<(&str, &str), Member> = now
            .ends()
            .filter_map(|end| Some(((end.local.as_str(), end.peer.as_str()), *members.get(&end.pid)?)))
            .collect();
        let mut sums: BTreeMap<u32, BTreeMap<PeerKind, PeerTraffic>> = BTreeMap::new();
        for (end, traffic) in now.traffic_since(before).filter(|(end, _)| members.contains_key(&end.pid)) {
            let other = owner_of.get(&(end.peer.as_str(), end.local.as_str())).copied();
            let sum = sums.entry(end.pid).or_default().entry(self.kind(end, other)).or_default();
            sum.connections += 1;
            sum.traffic.add(traffic);
        }
        sums
    }

    /// Classifies the peer of a control member's connection. `other` is the control member whose process owns
    /// the other end, if one does.
    fn kind(&self, end: &ConnectionEnd, other: Option<Member>) -> PeerKind {
        let service = |address: &str| self.0.get(address).copied();
        match (service(&end.local), service(&end.peer), other) {
            // Accepted connections are classified by the listening address.
            (Some((_, Service::Operators)), ..) => PeerKind::Operators,
            (Some((_, Service::Subscribers)), _, Some(_)) => PeerKind::Summaries,
            (Some((_, Service::Subscribers)), _, None) => PeerKind::Subscribers,
            (Some((_, Service::Council)), _, Some(member)) => member.peer_kind(),
            // Outgoing connections are classified by the address that was dialled.
            (None, Some((member, Service::Council)), _) => member.peer_kind(),
            (None, Some((_, Service::Subscribers)), _) => PeerKind::Summaries,
            (None, Some((_, Service::Operators)), _) => PeerKind::Operators,
            _ => PeerKind::Other,
        }
    }
}
