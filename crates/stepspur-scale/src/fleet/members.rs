//! Resource usage of each control member and its traffic by kind of peer, so that the growth of the leader's
//! load can be attributed to its causes.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::peers::{Member, PeerKind, PeerTraffic};
use super::sockets::Traffic;

/// Usage and traffic of one control member between two samples.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MemberSample {
    /// Time between the samples.
    pub seconds: f64,
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Traffic by kind of peer.
    pub traffic_by_peer: BTreeMap<PeerKind, PeerTraffic>,
}

/// A control member with its role during a sample; the seconds in which it leads are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MemberRole {
    /// True if it led.
    pub leads: bool,
    /// The member.
    pub member: Member,
}

/// Mean traffic a second, in both directions, between a control member and one kind of peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PeerUsage {
    /// Mean number of connections.
    pub connections: f64,
    /// Payload bytes a second.
    pub bytes_per_s: f64,
    /// Bytes a second with IP and TCP headers.
    pub bytes_per_s_with_headers: f64,
    /// Segments a second, pure acknowledgements included.
    pub segments_per_s: f64,
    /// Segments with data a second.
    pub messages_per_s: f64,
}

/// Usage of one control member over a phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberUsage {
    /// Id of the member in the consensus group.
    pub member: u64,
    /// True if it votes.
    pub votes: bool,
    /// True if the figures cover the seconds in which it led, false for the others.
    pub leads: bool,
    /// Sampled time, in seconds.
    pub seconds: f64,
    /// Mean processor time, in hundredths of a core.
    pub cpu_percent: f64,
    /// Mean traffic by kind of peer.
    pub peers: BTreeMap<PeerKind, PeerUsage>,
}

/// Sums over the samples of one control member.
#[derive(Default)]
struct Sum {
    seconds: f64,
    cpu_s: f64,
    /// Traffic, and connections times seconds.
    traffic_by_peer: BTreeMap<PeerKind, (Traffic, f64)>,
}

/// Sums samples by member; leaders come first, then members by id.
pub(crate) fn usage_by_member(seconds: &[BTreeMap<MemberRole, MemberSample>]) -> Vec<MemberUsage> {
    let mut sums: BTreeMap<MemberRole, Sum> = BTreeMap::new();
    for (member_role, sample) in seconds.iter().flatten() {
        sums.entry(*member_role).or_default().take(sample);
    }
    let mut usage: Vec<MemberUsage> =
        sums.into_iter().map(|(member_role, sum)| sum.usage(member_role)).collect();
    usage.sort_by_key(|usage| (!usage.leads, usage.member));
    usage
}

impl Sum {
    fn take(&mut self, sample: &MemberSample) {
        self.seconds += sample.seconds;
        self.cpu_s += sample.cpu_s;
        for (kind, peer) in &sample.traffic_by_peer {
            let (traffic, connections) = self.traffic_by_peer.entry(*kind).or_default();
            traffic.add(peer.traffic);
            *connections += peer.connections as f64 * sample.seconds;
        }
    }

    fn usage(self, MemberRole { leads, member }: MemberRole) -> MemberUsage {
        let per_second = |sum: f64| if self.seconds > 0.0 { sum / self.seconds } else { 0.0 };
        let peer = |(traffic, connections): (Traffic, f64)| PeerUsage {
            connections: per_second(connections),
            bytes_per_s: per_second(traffic.bytes() as f64),
            bytes_per_s_with_headers: per_second(traffic.with_headers() as f64),
            segments_per_s: per_second(traffic.segments as f64),
            messages_per_s: per_second(traffic.messages as f64),
        };
        MemberUsage {
            member: member.id,
            votes: member.votes,
            leads,
            seconds: self.seconds,
            cpu_percent: per_second(self.cpu_s * 100.0),
            peers: self.traffic_by_peer.iter().map(|(kind, sum)| (*kind, peer(*sum))).collect(),
        }
    }
}

/// Control members that share one line of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Group {
    /// The member that led longest.
    Leader,
    /// Voters while they do not lead.
    Voters,
    /// Members that do not vote.
    Followers,
}

impl Group {
    /// All groups, in the order of the report.
    pub(crate) const ALL: [Self; 3] = [Self::Leader, Self::Voters, Self::Followers];

    /// Name in reports.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Leader => "leader",
            Self::Voters => "each voter",
            Self::Followers => "each follower",
        }
    }

    /// Selects the group's members.
    fn of(self, members: &[MemberUsage]) -> Vec<&MemberUsage> {
        match self {
            Self::Leader => {
                let led = members.iter().filter(|usage| usage.leads);
                led.max_by(|a, b| a.seconds.total_cmp(&b.seconds)).into_iter().collect()
            }
            Self::Voters => members.iter().filter(|usage| !usage.leads && usage.votes).collect(),
            Self::Followers => members.iter().filter(|usage| !usage.leads && !usage.votes).collect(),
        }
    }

    /// Returns the mean traffic of a member with one kind of peer; `None` if no member had any. Members
    /// without such traffic count as zero.
    pub(crate) fn mean(self, members: &[MemberUsage], kind: PeerKind) -> Option<PeerUsage> {
        let group = self.of(members);
        let with_traffic: Vec<PeerUsage> =
            group.iter().filter_map(|usage| usage.peers.get(&kind).copied()).collect();
        let mean =
            |figure: fn(&PeerUsage) -> f64| with_traffic.iter().map(figure).sum::<f64>() / group.len() as f64;
        (!with_traffic.is_empty()).then(|| PeerUsage {
            connections: mean(|usage| usage.connections),
            bytes_per_s: mean(|usage| usage.bytes_per_s),
            bytes_per_s_with_headers: mean(|usage| usage.bytes_per_s_with_headers),
            segments_per_s: mean(|usage| usage.segments_per_s),
            messages_per_s: mean(|usage| usage.messages_per_s),
        })
    }
}
