//! Tests of the sums of control members' samples.

use std::collections::BTreeMap;

use super::super::peers::{Member, PeerKind, PeerTraffic};
use super::super::sockets::Traffic;
use super::{Group, MemberRole, MemberSample, usage_by_member};
use crate::traffic::HEADER_BYTES;

fn role_of(id: u64, leads: bool) -> MemberRole {
    MemberRole { leads, member: Member { id, votes: id <= 2 } }
}

fn sample(cpu_s: f64, traffic_by_peer: &[(PeerKind, usize, u64)]) -> MemberSample {
    let traffic_by_peer = traffic_by_peer.iter().map(|(kind, connections, bytes)| {
        let traffic = Traffic { read: *bytes, written: 0, messages: 1, segments: 2 };
        (*kind, PeerTraffic { connections: *connections, traffic })
    });
    MemberSample { seconds: 1.0, cpu_s, traffic_by_peer: traffic_by_peer.collect() }
}

#[test]
fn each_member_has_means_by_kind_of_peer_and_the_leader_comes_first() {
    use PeerKind::{Operators, Subscribers};
    let seconds = [
        BTreeMap::from([
            (role_of(1, false), sample(0.01, &[(Subscribers, 10, 100)])),
            (role_of(2, true), sample(0.03, &[(Subscribers, 20, 400), (Operators, 1, 50)])),
            (role_of(3, false), sample(0.0, &[])),
            (role_of(4, false), sample(0.0, &[(Subscribers, 30, 60)])),
        ]),
        BTreeMap::from([
            (role_of(1, false), sample(0.03, &[(Subscribers, 12, 300)])),
            (role_of(2, true), sample(0.01, &[(Subscribers, 20, 0)])),
            (role_of(3, false), sample(0.0, &[])),
            (role_of(4, false), sample(0.0, &[(Subscribers, 30, 0)])),
        ]),
    ];
    let usage = usage_by_member(&seconds);
    let order: Vec<_> = usage.iter().map(|usage| (usage.member, usage.leads, usage.votes)).collect();
    assert_eq!(order, [(2, true, true), (1, false, true), (3, false, false), (4, false, false)]);
    assert!((usage[0].cpu_percent - 2.0).abs() < 1e-9 && (usage[0].seconds - 2.0).abs() < 1e-9);
    let operators = usage[0].peers[&Operators];
    assert!((operators.bytes_per_s - 25.0).abs() < 1e-9 && (operators.connections - 0.5).abs() < 1e-9);
    let subscribers = usage[1].peers[&Subscribers];
    assert!((subscribers.connections - 11.0).abs() < 1e-9 && (subscribers.bytes_per_s - 200.0).abs() < 1e-9);
    let headers = (2 * HEADER_BYTES) as f64;
    assert!((subscribers.bytes_per_s_with_headers - 200.0 - headers).abs() < 1e-9);
    assert!((subscribers.segments_per_s - 2.0).abs() < 1e-9);
    assert!((subscribers.messages_per_s - 1.0).abs() < 1e-9);
}

#[test]
fn groups_are_the_leader_and_means_of_the_others() {
    use PeerKind::{Operators, Subscribers};
    let mut seconds = vec![BTreeMap::from([
        (role_of(1, false), sample(0.0, &[(Subscribers, 10, 100)])),
        (role_of(2, true), sample(0.0, &[(Subscribers, 20, 400), (Operators, 1, 50)])),
        (role_of(3, false), sample(0.0, &[])),
        (role_of(4, false), sample(0.0, &[(Subscribers, 30, 60)])),
    ])];
    // Another member leads for a longer time.
    let later = BTreeMap::from([(role_of(1, true), sample(0.0, &[(Subscribers, 11, 70)]))]);
    seconds.extend([later.clone(), later]);
    let usage = usage_by_member(&seconds);
    let bytes = |group: Group, kind| group.mean(&usage, kind).map(|usage| usage.bytes_per_s);
    assert_eq!(bytes(Group::Leader, Subscribers), Some(70.0));
    assert_eq!(bytes(Group::Leader, Operators), None);
    assert_eq!(bytes(Group::Voters, Subscribers), Some(100.0));
    // A follower without subscribers counts as zero in the mean.
    assert_eq!(bytes(Group::Followers, Subscribers), Some(30.0));
    assert_eq!(Group::Followers.mean(&[], Subscribers), None);
}
