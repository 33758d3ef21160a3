//! Endpoint list: merging of updates, and polling of discovery.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn draining_server_leaves_its_table_in_the_same_batch() {
    let mut harness = Harness::running(settings(), 12);
    let drain = Endpoint { state: EndpointState::Draining, ..endpoint(3, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[drain])]);
    assert_eq!(harness.servers_of_zone(0), [0, 6, 9]);
}

#[test]
fn complete_list_removes_absent_servers() {
    let mut harness = Harness::running(settings(), 12);
    let entries: Vec<_> = (0..12).filter(|n| *n != 6).map(|n| endpoint(n, u16::from(n % 3))).collect();
    harness.decide(&[endpoint_list(ListUpdate::Full, &entries)]);
    assert_eq!(harness.servers_of_zone(0), [0, 3, 9]);
}

#[test]
fn advisory_absence_does_not_remove_servers() {
    let mut harness = Harness::running(Settings { absence_is_advisory: true, ..settings() }, 12);
    let dropped = Endpoint { state: EndpointState::Removed, ..endpoint(3, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[dropped])]);
    harness.decide(&[endpoint_list(ListUpdate::Full, &[endpoint(0, 0)])]);
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

#[test]
fn failed_update_keeps_tables_and_polls_with_backoff() {
    let mut harness = Harness::running(Settings { poll_discovery: true, ..settings() }, 12);
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[])]);
    let mut waits = Vec::new();
    for _ in 0..6 {
        harness.decide(&[endpoint_list(ListUpdate::Failed, &[])]);
        let failed_at = harness.now;
        while count(&harness.run_for(250_000, |_| Vec::new()), |a| matches!(a, Action::WatchEndpoints)) == 0 {
        }
        waits.push(harness.now - failed_at);
    }
    assert_eq!(waits, [500_000, SECOND, 2 * SECOND, 4 * SECOND, 4 * SECOND, 4 * SECOND]);
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

#[test]
fn discovery_is_not_polled_where_it_sends_updates_unasked() {
    let mut harness = Harness::new(settings());
    let actions = harness.run_for(10 * SECOND, |_| Vec::new());
    assert_eq!(count(&actions, |a| matches!(a, Action::WatchEndpoints | Action::FetchEndpoints)), 0);
}

#[test]
fn events_without_effect_or_about_unknown_objects_change_nothing() {
    let mut harness = Harness::running(settings(), 12);
    let events = [
        Event::Timer { token: 99 },
        Event::ProxyDisconnected { proxy: ProxyId(77) },
        upstream_stats(200, 0, 10, 10, 0),
        upstream_stats(3, 9, 0, 0, 0),
        probe_result(200, ProbeOutcome::Timeout),
        Event::ClientStats { proxy: ProxyId(0), class: ClassId(0), period: 0, requests: 9, unanswered: 0 },
        Event::ClientStats {
            proxy: ProxyId(77),
            class: ClassId(9),
            period: SECOND,
            requests: 9,
            unanswered: 0,
        },
        Event::Acknowledged { proxy: ProxyId(77), nonce: 5, latency: 1 },
        Event::ShardTraffic { shard: TableId(3), class: ClassId(0), total: 5 },
        endpoint_list(ListUpdate::Failed, &[]),
        endpoint_list(ListUpdate::Delta, &[]),
        Event::PeerMessage,
    ];
    assert_eq!(count(&harness.decide(&events), is_change), 0);
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}
