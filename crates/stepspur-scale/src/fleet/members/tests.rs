//! Sums of control members' seconds.

use std::collections::BTreeMap;

use super::super::peers::{Member, Passed, PeerKind};
use super::super::sockets::Traffic;
use super::{Group, MemberSecond, Standing, usage_by_member};
use crate::traffic::HEADER_BYTES;

fn standing(id: u64, leads: bool) -> Standing {
    Standing { leads, member: Member { id, votes: id <= 2 } }
}

fn second(cpu_s: f64, passed: &[(PeerKind, usize, u64)]) -> MemberSecond {
    let passed = passed.iter().map(|(kind, connections, bytes)| {
        let traffic = Traffic { read: *bytes, written: 0, messages: 1, segments: 2 };
        (*kind, Passed { connections: *connections, traffic })
    });
    MemberSecond { seconds: 1.0, cpu_s, passed: passed.collect() }
}

#[test]
fn each_member_has_its_means_by_kinds_of_peers_and_the_leader_comes_first() {
    use PeerKind::{Operators, Subscribers};
    let seconds = [
        BTreeMap::from([
            (standing(1, false), second(0.01, &[(Subscribers, 10, 100)])),
            (standing(2, true), second(0.03, &[(Subscribers, 20, 400), (Operators, 1, 50)])),
            (standing(3, false), second(0.0, &[])),
            (standing(4, false), second(0.0, &[(Subscribers, 30, 60)])),
        ]),
        BTreeMap::from([
            (standing(1, false), second(0.03, &[(Subscribers, 12, 300)])),
            (standing(2, true), second(0.01, &[(Subscribers, 20, 0)])),
            (standing(3, false), second(0.0, &[])),
            (standing(4, false), second(0.0, &[(Subscribers, 30, 0)])),
        ]),
    ];
    let usage = usage_by_member(&seconds);
    let who: Vec<_> = usage.iter().map(|usage| (usage.member, usage.leads, usage.votes)).collect();
    assert_eq!(who, [(2, true, true), (1, false, true), (3, false, false), (4, false, false)]);
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
        (standing(1, false), second(0.0, &[(Subscribers, 10, 100)])),
        (standing(2, true), second(0.0, &[(Subscribers, 20, 400), (Operators, 1, 50)])),
        (standing(3, false), second(0.0, &[])),
        (standing(4, false), second(0.0, &[(Subscribers, 30, 60)])),
    ])];
    // Another one leads for longer.
    let later = BTreeMap::from([(standing(1, true), second(0.0, &[(Subscribers, 11, 70)]))]);
    seconds.extend([later.clone(), later]);
    let usage = usage_by_member(&seconds);
    let bytes = |group: Group, kind| group.mean(&usage, kind).map(|usage| usage.bytes_per_s);
    assert_eq!(bytes(Group::Leader, Subscribers), Some(70.0));
    assert_eq!(bytes(Group::Leader, Operators), None);
    assert_eq!(bytes(Group::Voters, Subscribers), Some(100.0));
    // A follower that serves nobody counts in the mean.
    assert_eq!(bytes(Group::Followers, Subscribers), Some(30.0));
    assert_eq!(Group::Followers.mean(&[], Subscribers), None);
}
