//! What each control member used over a phase, and with whom: so that the leader's growth can be divided among those
//! who cause it.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::peers::{Member, Passed, PeerKind};
use super::sockets::Traffic;

/// What one control member used and exchanged in one second.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MemberSecond {
    /// How long it was.
    pub seconds: f64,
    /// Processor time.
    pub cpu_s: f64,
    /// By kinds of peers.
    pub passed: BTreeMap<PeerKind, Passed>,
}

/// A control member as it stood: one that comes to lead counts as another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Standing {
    /// True: it led.
    pub leads: bool,
    /// Which.
    pub member: Member,
}

/// What passed each second between a control member and one kind of peers, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PeerUsage {
    /// Connections, on the mean.
    pub connections: f64,
    /// Bytes without headers.
    pub bytes_per_s: f64,
    /// Bytes with IP and TCP headers.
    pub bytes_per_s_with_headers: f64,
    /// Segments, acknowledgements among them.
    pub segments_per_s: f64,
    /// Segments with data.
    pub messages_per_s: f64,
}

/// What one control member used over a phase.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberUsage {
    /// Its number in the council.
    pub member: u64,
    /// True: it votes.
    pub votes: bool,
    /// True: these are the seconds in which it led.
    pub leads: bool,
    /// Seconds that were looked at.
    pub seconds: f64,
    /// Processor time, in hundredths of a core.
    pub cpu_percent: f64,
    /// By kinds of peers.
    pub peers: BTreeMap<PeerKind, PeerUsage>,
}

/// Sums of one control member.
#[derive(Default)]
struct Sum {
    seconds: f64,
    cpu_s: f64,
    /// Traffic, and connections times seconds.
    passed: BTreeMap<PeerKind, (Traffic, f64)>,
}

/// Sums seconds up, leaders first.
pub(crate) fn usage_by_member(seconds: &[BTreeMap<Standing, MemberSecond>]) -> Vec<MemberUsage> {
    let mut sums: BTreeMap<Standing, Sum> = BTreeMap::new();
    for (standing, second) in seconds.iter().flatten() {
        sums.entry(*standing).or_default().take(second);
    }
    let mut usage: Vec<MemberUsage> = sums.into_iter().map(|(standing, sum)| sum.usage(standing)).collect();
    usage.sort_by_key(|usage| (!usage.leads, usage.member));
    usage
}

impl Sum {
    fn take(&mut self, second: &MemberSecond) {
        self.seconds += second.seconds;
        self.cpu_s += second.cpu_s;
        for (kind, passed) in &second.passed {
            let (traffic, connections) = self.passed.entry(*kind).or_default();
            traffic.add(passed.traffic);
            *connections += passed.connections as f64 * second.seconds;
        }
    }

    fn usage(self, Standing { leads, member }: Standing) -> MemberUsage {
        let each_second = |sum: f64| if self.seconds > 0.0 { sum / self.seconds } else { 0.0 };
        let peer = |(traffic, connections): (Traffic, f64)| PeerUsage {
            connections: each_second(connections),
            bytes_per_s: each_second(traffic.bytes() as f64),
            bytes_per_s_with_headers: each_second(traffic.with_headers() as f64),
            segments_per_s: each_second(traffic.segments as f64),
            messages_per_s: each_second(traffic.messages as f64),
        };
        MemberUsage {
            member: member.id,
            votes: member.votes,
            leads,
            seconds: self.seconds,
            cpu_percent: each_second(self.cpu_s * 100.0),
            peers: self.passed.iter().map(|(kind, sum)| (*kind, peer(*sum))).collect(),
        }
    }
}

/// What stands in one line of a report: the leader, or the mean of other control members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Group {
    /// Whoever led longest.
    Leader,
    /// Voters that did not lead.
    Voters,
    /// Members that only follow.
    Followers,
}

impl Group {
    /// All groups.
    pub(crate) const ALL: [Self; 3] = [Self::Leader, Self::Voters, Self::Followers];

    /// What it is called.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Leader => "leader",
            Self::Voters => "each voter",
            Self::Followers => "each follower",
        }
    }

    /// Its members among these.
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

    /// What one of its members exchanged with a kind of peers, on the mean; none: nothing.
    pub(crate) fn mean(self, members: &[MemberUsage], kind: PeerKind) -> Option<PeerUsage> {
        let own = self.of(members);
        let all: Vec<PeerUsage> = own.iter().filter_map(|usage| usage.peers.get(&kind).copied()).collect();
        let mean = |figure: fn(&PeerUsage) -> f64| all.iter().map(figure).sum::<f64>() / own.len() as f64;
        (!all.is_empty()).then(|| PeerUsage {
            connections: mean(|usage| usage.connections),
            bytes_per_s: mean(|usage| usage.bytes_per_s),
            bytes_per_s_with_headers: mean(|usage| usage.bytes_per_s_with_headers),
            segments_per_s: mean(|usage| usage.segments_per_s),
            messages_per_s: mean(|usage| usage.messages_per_s),
        })
    }
}
