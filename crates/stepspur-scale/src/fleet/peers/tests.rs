//! Tests of the classification of control members' connections by their addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::super::plan::ControlMember;
use super::super::settings::{ControlAddresses, ControlFleet};
use super::super::sockets::{Snapshot, Traffic};
use super::{Addresses, Member, MemberProcesses, PeerKind, PeerTraffic};

/// Process ids of three control members, of this process and of hollow conductors.
const LEADER: u32 = 11;
const VOTER: u32 = 12;
const FOLLOWER: u32 = 13;
const RIG: u32 = 20;
const HOLLOW: u32 = 30;

const COUNCIL: u16 = 7_001;
const SUBSCRIBERS: u16 = 7_002;
const OPERATORS: u16 = 7_003;

fn at(member: u64, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, member as u8], port))
}

fn addresses() -> Addresses {
    let member = |id: u64| {
        let member = ControlMember { id, region: "north".into(), votes: id < 3 };
        let addresses = ControlAddresses {
            council: at(id, COUNCIL),
            subscribers: at(id, SUBSCRIBERS),
            operators: at(id, OPERATORS),
        };
        (member, addresses)
    };
    let members = (1..=3).map(member).collect();
    Addresses::of(&ControlFleet { members, keep_alive: Duration::from_secs(5) })
}

fn processes() -> MemberProcesses {
    let member = |id| Member { id, votes: id < 3 };
    BTreeMap::from([(LEADER, member(1)), (VOTER, member(2)), (FOLLOWER, member(3))])
}

/// Both ends of a connection as `ss` prints them; the dialling end has written `bytes`.
fn connection(from: (u32, &str), to: (u32, SocketAddr), bytes: u64) -> String {
    let ((dialler, near), (server, far)) = (from, to);
    format!(
        "0 0 {near} {far} users:((\"a\",pid={dialler},fd=1)) bbr bytes_sent:{bytes} segs_out:3 segs_in:2 data_segs_out:1\n\
         0 0 {far} {near} users:((\"b\",pid={server},fd=2)) bbr bytes_received:{bytes} segs_out:2 segs_in:3 data_segs_in:1\n"
    )
}

fn kinds(by_peer: &BTreeMap<u32, BTreeMap<PeerKind, PeerTraffic>>, pid: u32) -> Vec<(PeerKind, usize, u64)> {
    let by_kind = by_peer.get(&pid).into_iter().flatten();
    by_kind.map(|(kind, by_peer)| (*kind, by_peer.connections, by_peer.traffic.bytes())).collect()
}

#[test]
fn connections_are_classified_by_the_listener_and_the_dialling_process() {
    let snapshot = Snapshot::parse(
        &[
            // The consensus group: each member writes over the connections that it has dialled.
            connection((LEADER, "127.0.0.1:5001"), (VOTER, at(2, COUNCIL)), 100),
            connection((VOTER, "127.0.0.1:5002"), (LEADER, at(1, COUNCIL)), 10),
            connection((LEADER, "127.0.0.1:5003"), (FOLLOWER, at(3, COUNCIL)), 200),
            connection((FOLLOWER, "127.0.0.1:5004"), (LEADER, at(1, COUNCIL)), 20),
            // Summaries are sent to the address that serves subscribers.
            connection((FOLLOWER, "127.0.0.1:5005"), (LEADER, at(1, SUBSCRIBERS)), 3),
            // A relayed subscriber connects from this process, as operators do.
            connection((HOLLOW, "127.0.0.1:5006"), (LEADER, at(1, SUBSCRIBERS)), 4),
            connection((RIG, "127.0.0.1:5007"), (LEADER, at(1, SUBSCRIBERS)), 5),
            connection((RIG, "127.0.0.1:5008"), (LEADER, at(1, OPERATORS)), 6),
            // A client of the status page.
            connection((RIG, "127.0.0.1:5009"), (LEADER, at(1, 9_999)), 7),
        ]
        .concat(),
    );
    let by_peer = addresses().traffic_by_peer(&snapshot, &Snapshot::default(), &processes());
    assert_eq!(by_peer.keys().copied().collect::<Vec<_>>(), [LEADER, VOTER, FOLLOWER]);
    use PeerKind::{CouncilFollowers, CouncilVoters, Operators, Other, Subscribers, Summaries};
    let expected = [
        (CouncilVoters, 2, 110),
        (CouncilFollowers, 2, 220),
        (Summaries, 1, 3),
        (Subscribers, 2, 9),
        (Operators, 1, 6),
        (Other, 1, 7),
    ];
    assert_eq!(kinds(&by_peer, LEADER), expected);
    assert_eq!(kinds(&by_peer, VOTER), [(CouncilVoters, 2, 110)]);
    assert_eq!(kinds(&by_peer, FOLLOWER), [(CouncilVoters, 2, 220), (Summaries, 1, 3)]);
    assert_eq!(by_peer[&LEADER][&Summaries].traffic.segments, 5);
}

#[test]
fn only_traffic_since_the_last_snapshot_counts() {
    let dialled = |bytes| connection((HOLLOW, "127.0.0.1:5006"), (LEADER, at(1, SUBSCRIBERS)), bytes);
    let (first, second) = (Snapshot::parse(&dialled(40)), Snapshot::parse(&dialled(100)));
    let by_peer = addresses().traffic_by_peer(&second, &first, &processes());
    let expected =
        PeerTraffic { connections: 1, traffic: Traffic { read: 60, written: 0, messages: 0, segments: 0 } };
    assert_eq!(by_peer[&LEADER], BTreeMap::from([(PeerKind::Subscribers, expected)]));
    assert_eq!(by_peer.len(), 1, "hollow conductors are no control members");
}

#[test]
fn a_connection_whose_other_end_is_closed_is_classified_by_its_own_address() {
    let both = connection((FOLLOWER, "127.0.0.1:5004"), (LEADER, at(1, COUNCIL)), 20);
    let own =
        |pid: u32| both.lines().filter(|line| line.contains(&format!("pid={pid},"))).collect::<String>();
    let by_peer =
        |text: &str| addresses().traffic_by_peer(&Snapshot::parse(text), &Snapshot::default(), &processes());
    assert_eq!(kinds(&by_peer(&own(FOLLOWER)), FOLLOWER), [(PeerKind::CouncilVoters, 1, 20)]);
    // The owner of the dialling end is unknown.
    assert_eq!(kinds(&by_peer(&own(LEADER)), LEADER), [(PeerKind::Other, 1, 20)]);
}
