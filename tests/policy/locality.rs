//! Topology aware routing: tables by zone, and lending between zones.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn proxies_are_assigned_to_the_table_of_their_zone() {
    let harness = Harness::running(settings(), 12);
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
    assert_eq!(harness.servers_of_zone(2), [2, 5, 8, 11]);
    assert_eq!(harness.assigned[&ProxyId(0)], harness.assigned[&ProxyId(3)]);
}

#[test]
fn tables_are_shared_below_four_servers_per_zone_with_hysteresis() {
    let mut harness = Harness::running(settings(), 11);
    assert_eq!(harness.servers_of_zone(0).len(), 11);
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[endpoint(11, 2)])]);
    harness.run_for(SECOND, |_| Vec::new());
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
    let removed = |n: u8| Endpoint { state: EndpointState::Removed, ..endpoint(n, u16::from(n % 3)) };
    harness.decide(&[endpoint_list(
        ListUpdate::Delta,
        &[removed(11), removed(10), removed(9), removed(8), removed(7)],
    )]);
    harness.run_for(3 * SECOND, |_| Vec::new());
    assert!(harness.servers_of_zone(0).len() < 7, "still by zone");
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[removed(6)])]);
    harness.run_for(3 * SECOND, |_| Vec::new());
    assert_eq!(harness.servers_of_zone(0), [0, 1, 2, 3, 4, 5]);
}

#[test]
fn zone_borrows_only_above_the_threshold_and_as_few_servers_as_suffice() {
    let mut harness = Harness::running(settings(), 12);
    // Zone 0 has 0.4 of the load: 4.8 of 12 servers expected, 4 held: within the threshold of 25 %.
    let loads = |harness: &mut Harness, zone0: u32| {
        let events: Vec<_> = (0..6).map(|p| client_stats(p, if p % 3 == 0 { zone0 } else { 30 })).collect();
        (0..40).for_each(|_| drop(harness.decide(&events)));
        harness.run_for(3 * SECOND, |_| Vec::new());
    };
    loads(&mut harness, 40);
    assert_eq!(harness.servers_of_zone(0).len(), 4);
    // 0.5 of the load: 6 expected; one borrowed server lowers the utilization to 6/5 = 1.2.
    loads(&mut harness, 60);
    assert_eq!(harness.servers_of_zone(0).len(), 5);
    assert_eq!(harness.servers_of_zone(1).len() + harness.servers_of_zone(2).len(), 7);
    // Equal loads again: the lent server returns.
    loads(&mut harness, 30);
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

/// Guards against lending to a zone without connected proxies. Zones in a network partition still counted
/// with their share of the load and borrowed servers that no proxy used (site brandt-stock, scenario big-1).
#[test]
fn zone_without_connected_proxies_borrows_nothing() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(2 * SECOND, |_| (0..6).map(|p| client_stats(p, 30)).collect());
    harness.decide(&[1, 2, 4, 5].map(|proxy| Event::ProxyDisconnected { proxy: ProxyId(proxy) }));
    harness.run_for(6 * SECOND, |_| {
        let cut = (0..12).filter(|n| n % 3 != 0);
        cut.map(|n| probe_result(n, ProbeOutcome::Unreachable)).collect()
    });
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

#[test]
fn no_server_is_lent_during_the_delay_after_the_start() {
    let mut harness = Harness::new(settings());
    let entries: Vec<_> = (0..12).map(|n| endpoint(n, u16::from(n % 3))).collect();
    harness.decide(&[endpoint_list(ListUpdate::Cached, &entries), proxy_connected(0, 0)]);
    assert_eq!(
        harness.servers_of_zone(0),
        [0, 3, 6, 9],
        "the first proxy that connects does not count as the whole load"
    );
}
