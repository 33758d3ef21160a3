//! Division of a zone into subsets, and the subsets that servers and proxies join.

use stepspur::interface::*;

use crate::common::*;

/// Guards against exhausted connections. In a fleet of full size, hundreds of proxies with one zone's table
/// used up the servers' connections, and each request opened a new one.
#[test]
fn zone_with_too_many_proxies_for_its_connections_is_divided_into_sticky_subsets() {
    assert_eq!(harness_with_subsets(6).servers_of_zone(0).len(), 10, "few proxies: one table a zone");
    let mut harness = harness_with_subsets(60);
    let tables: std::collections::BTreeSet<_> = harness.assigned.values().copied().collect();
    assert_eq!(tables.len(), 15, "20 proxies a zone, 4 a subset");
    for zone in 0..3u16 {
        let own = |n: &u8| u16::from(n % 3) == zone;
        assert!(harness.servers_of_zone(zone).iter().all(own), "{:?}", harness.servers_of_zone(zone));
        assert_eq!(harness.servers_of_zone(zone).len(), 2);
    }
    let before = harness.assigned.clone();
    harness.decide(&[Event::ProxyDisconnected { proxy: ProxyId(7) }]);
    harness.decide(&[proxy_connected(7, 1)]);
    harness.run_for(5 * SECOND, |_| Vec::new());
    assert_eq!(harness.assigned, before, "subsets are sticky");
}

/// Guards against subsets that depend on servers of other zones. In a release, new servers joined the subset
/// with the largest deficit of any zone; when a zone was then partitioned, only warming servers were left in
/// some of its subsets.
#[test]
fn new_servers_of_a_zone_without_deficit_join_its_own_subsets() {
    let mut harness = harness_with_subsets(60);
    let started_at = harness.now - 30 * SECOND;
    let new: Vec<_> = (30..42).map(|n| Endpoint { started_at, ..endpoint(n, u16::from(n % 3)) }).collect();
    harness.decide(&[endpoint_list(ListUpdate::Delta, &new)]);
    harness.run_for(2 * SECOND, |_| Vec::new());
    for (proxy, table) in &harness.assigned {
        let zone = u8::try_from(proxy.0 % 3).unwrap();
        assert!(harness.tables[table].keys().all(|server| server.0[3] % 3 == zone), "{proxy:?}");
    }
}
