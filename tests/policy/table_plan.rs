//! The planned servers and weights of a table.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn tables_carry_listed_weights_and_1_for_invalid_ones() {
    let mut harness = Harness::new(settings());
    let heavy = Endpoint { weight: 2.5, ..endpoint(1, 0) };
    let invalid = Endpoint { weight: f64::NAN, ..endpoint(2, 0) };
    harness.decide(&[
        endpoint_list(ListUpdate::Cached, &[endpoint(0, 0), heavy, invalid]),
        proxy_connected(0, 0),
    ]);
    assert_eq!((harness.weight(0, 0), harness.weight(0, 1), harness.weight(0, 2)), (1.0, 2.5, 1.0));
}

#[test]
fn zone_whose_servers_all_drain_gets_servers_of_other_zones() {
    let mut harness = Harness::running(settings(), 15);
    let drains: Vec<_> =
        [0, 3, 6, 9, 12].map(|n| Endpoint { state: EndpointState::Draining, ..endpoint(n, 0) }).to_vec();
    harness.decide(&[endpoint_list(ListUpdate::Delta, &drains)]);
    let left = harness.servers_of_zone(0);
    assert!(!left.is_empty() && left.iter().all(|n| n % 3 != 0), "{left:?}");
}

/// Guards against a zone's load on few cold servers. Conductors restarted while all servers of a zone
/// restarted, too, and assigned the zone's proxies to two servers that had just started.
#[test]
fn zone_of_cold_servers_spills_over_to_warm_ones_after_a_start() {
    let mut harness = Harness::new(settings());
    let mut entries: Vec<_> = (0..12).filter(|n| n % 3 != 2).map(|n| endpoint(n, u16::from(n % 3))).collect();
    entries.extend([2, 5, 8, 11].map(|n| Endpoint { started_at: START - SECOND, ..endpoint(n, 2) }));
    let mut events = vec![endpoint_list(ListUpdate::Cached, &entries)];
    events.extend((0..6).map(|p| proxy_connected(p, p % 3)));
    harness.decide(&events);
    let warm = harness.servers_of_zone(2).into_iter().filter(|n| n % 3 != 2).count();
    assert!(warm >= 4, "{:?}", harness.servers_of_zone(2));
    assert!(harness.weight(2, 2) < 0.3 * harness.weight(2, 0));
}

/// Guards against long tables: a subset that has lost its few servers must use those of its siblings, not of
/// the whole fleet.
#[test]
fn subset_that_loses_its_servers_gets_those_of_its_siblings() {
    let mut harness = harness_with_subsets(60);
    let lost = harness.servers_of_zone(0);
    let drains: Vec<_> =
        lost.iter().map(|n| Endpoint { state: EndpointState::Draining, ..endpoint(*n, 0) }).collect();
    harness.decide(&[endpoint_list(ListUpdate::Delta, &drains)]);
    let now = harness.servers_of_zone(0);
    assert!(!now.is_empty() && now.len() <= 6 && lost.iter().all(|n| !now.contains(n)), "{now:?}");
}

/// Guards against a subset that depends on its warming servers. During a release under overload all warm
/// servers of a zone restarted at once, and the subset's warming servers got its whole load (site
/// hobart-intake-later).
#[test]
fn subset_with_warming_servers_gets_two_warm_ones_of_other_zones() {
    let mut harness = harness_with_subsets(60);
    let subset = harness.servers_of_zone(0);
    let warming = Endpoint { started_at: harness.now - 4 * SECOND, ..endpoint(subset[0], 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[warming])]);
    let far: Vec<u8> = harness.servers_of_zone(0).into_iter().filter(|n| n % 3 != 0).collect();
    assert_eq!(far.len(), 2, "{:?}", harness.servers_of_zone(0));
    let share = harness.weight(0, far[0]) / harness.weight(0, subset[1]);
    assert!(share > 0.0 && share < 0.3, "{share}");
}
