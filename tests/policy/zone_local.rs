//! Zone-local classes: each table contains servers of the zones whose proxies use it.

use stepspur::interface::*;

use crate::common::*;

/// Settings whose class 0 is zone-local.
fn zone_local_settings() -> Settings {
    let mut set = settings();
    set.classes[0].zone_local = true;
    set
}

/// A harness with 30 warm servers and 60 proxies in three zones, so that each zone has five subsets of two
/// servers.
fn harness_with_small_subsets() -> Harness {
    harness_with_subsets_of(Settings { proxy_count: 60, ..zone_local_settings() })
}

/// The servers in the table of a proxy that run in the proxy's zone.
fn own_zone_servers(harness: &Harness, proxy: u16) -> Vec<u8> {
    let table = &harness.tables[&harness.assigned[&ProxyId(proxy)]];
    table.keys().map(|server| server.0[3]).filter(|n| u16::from(*n) % 3 == proxy % 3).collect()
}

/// The first table that contains server `n`.
fn table_with_server(harness: &Harness, n: u8) -> TableId {
    let mut tables = harness.tables.iter().filter(|(_, lines)| lines.contains_key(&server_id(n)));
    *tables.next().expect("a table with the server").0
}

/// The servers that share a subset with server 0, itself included.
fn subset_of_first_server(harness: &Harness) -> Vec<u8> {
    let table = table_with_server(harness, 0);
    harness.tables[&table].keys().map(|server| server.0[3]).collect()
}

/// Reports of one second in which these servers, all of zone 0, fail 10 attempts, and time out their probes.
fn hanging(servers: &[u8]) -> Vec<Event> {
    let mut events: Vec<Event> = servers.iter().map(|n| upstream_stats(*n, 0, 10, 10, 0)).collect();
    events.extend(servers.iter().map(|n| probe_result(*n, ProbeOutcome::Timeout)));
    events
}

fn in_state(n: u8, state: EndpointState) -> Endpoint {
    Endpoint { state, ..endpoint(n, u16::from(n % 3)) }
}

/// Guards against proxies without a server for a zone-local class while all servers of their subset hang: the
/// subset was filled from other zones alone, though its own zone had eight servers left.
#[test]
fn subset_whose_servers_hang_uses_the_other_subsets_of_its_zone() {
    let mut harness = harness_with_small_subsets();
    let subset = subset_of_first_server(&harness);
    assert_eq!(subset.len(), 2, "{subset:?}");
    harness.run_for(4 * SECOND, |_| hanging(&subset));
    for proxy in (0..60).step_by(3) {
        let own = own_zone_servers(&harness, proxy);
        let hanging = own.iter().filter(|n| subset.contains(n)).count();
        assert!(!own.is_empty() && hanging == 0, "proxy {proxy}: {own:?}, hanging {subset:?}");
    }
}

/// Guards against all servers of the fleet in the table of a subset without requests: no load is covered
/// without any server.
#[test]
fn subset_without_load_uses_one_server_of_its_zone() {
    let mut harness = harness_with_small_subsets();
    let subset = subset_of_first_server(&harness);
    let table = table_with_server(&harness, 0);
    let is_idle = |p: u16| harness.assigned[&ProxyId(p)] == table;
    let requests: Vec<_> = (0..60).map(|p| client_stats(p, if is_idle(p) { 0 } else { 30 })).collect();
    harness.decide(&requests);
    let gone: Vec<_> = subset.iter().map(|n| in_state(*n, EndpointState::Removed)).collect();
    harness.decide(&[endpoint_list(ListUpdate::Delta, &gone)]);
    let left: Vec<u8> = harness.tables[&table].keys().map(|id| id.0[3]).collect();
    assert!(left.len() == 1 && left[0].is_multiple_of(3), "{left:?}");
}

/// Guards against the same gap where a wrong list calls all but one server of a zone gone: the tables of the
/// subsets that lost all of theirs must use the one that is left.
#[test]
fn last_listed_server_of_a_zone_is_in_all_tables_of_the_zone() {
    let mut harness = harness_with_small_subsets();
    let gone: Vec<_> = (1..10).map(|k| in_state(3 * k, EndpointState::Removed)).collect();
    harness.decide(&[endpoint_list(ListUpdate::Delta, &gone)]);
    for proxy in (0..60).step_by(3) {
        assert_eq!(own_zone_servers(&harness, proxy), [0], "proxy {proxy}");
        let table = &harness.tables[&harness.assigned[&ProxyId(proxy)]];
        assert_eq!(table[&server_id(0)], 1.0, "proxy {proxy}: its full weight");
    }
}

/// Guards against classes that other zones may serve on the one server that is left in a zone: its subsets
/// still spill over to other zones.
#[test]
fn zone_with_too_little_weight_still_spills_over_to_other_zones() {
    let mut harness = harness_with_small_subsets();
    let gone: Vec<_> = (1..10).map(|k| in_state(3 * k, EndpointState::Removed)).collect();
    harness.decide(&[endpoint_list(ListUpdate::Delta, &gone)]);
    let spilled = (0..60).step_by(3).filter(|proxy| {
        harness.tables[&harness.assigned[&ProxyId(*proxy)]].keys().any(|server| server.0[3] % 3 != 0)
    });
    assert!(spilled.count() >= 16, "all subsets but the one of the server that is left");
}

/// Guards against proxies without a server for a zone-local class while all servers of their zone fail their
/// health checks: the warm ones stay in the table, with little weight for the other classes.
#[test]
fn zone_without_usable_servers_keeps_its_warm_ones_with_little_weight() {
    let mut harness = Harness::running(zone_local_settings(), 12);
    let cold = Endpoint { started_at: harness.now, ..endpoint(0, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[cold])]);
    harness.run_for(4 * SECOND, |_| hanging(&[0, 3, 6, 9]));
    assert_eq!(own_zone_servers(&harness, 0), [3, 6, 9], "the cold server is spared");
    let table = &harness.tables[&harness.assigned[&ProxyId(0)]];
    let own: f32 = [3, 6, 9].map(|n| harness.weight(0, n)).iter().sum();
    assert!(own <= 0.051 * (table.values().sum::<f32>() - own), "{table:?}");
}

/// Guards against a shared table from which the failures of one zone's proxies remove another zone's only
/// server, though it answers that zone.
#[test]
fn shared_table_keeps_the_servers_that_answer_their_own_zone() {
    let mut harness = Harness::running(zone_local_settings(), 3);
    harness.run_for(4 * SECOND, |_| {
        let mut events = successful_stats(3, 20_000);
        events.extend([1, 2].map(|zone| upstream_stats(0, zone, 10, 10, 0)));
        events
    });
    let weight = harness.weight(0, 0);
    assert!(weight > 0.3, "not only as a fallback: {weight}");
}

/// Guards against a proxy that joins a shared table while no other proxy of its zone is connected and the
/// table contains no server of its zone.
#[test]
fn first_proxy_of_a_zone_is_assigned_to_a_shared_table_with_servers_of_its_zone() {
    let mut harness = Harness::running(zone_local_settings(), 3);
    harness.decide(&[0, 3].map(|proxy| Event::ProxyDisconnected { proxy: ProxyId(proxy) }));
    harness.run_for(4 * SECOND, |_| vec![probe_result(0, ProbeOutcome::Timeout)]);
    assert!(!harness.tables[&harness.assigned[&ProxyId(1)]].contains_key(&server_id(0)), "unhealthy");
    harness.decide(&[proxy_connected(0, 0)]);
    assert_eq!(own_zone_servers(&harness, 0), [0]);
}

/// Guards against tables whose only servers of a zone hang until flow control permits routine changes: the
/// servers that replace them are as urgent as the fill of an empty table.
#[test]
fn servers_that_replace_the_last_ones_of_a_zone_use_the_reserved_messages() {
    let set = Settings { proxy_count: 24, min_server_connections: 20.0, ..zone_local_settings() };
    let mut harness = Harness::new(Settings { max_messages_per_window: 12, ..set });
    let entries: Vec<_> = (0..72).map(|n| endpoint(n, u16::from(n % 3))).collect();
    let mut events = vec![endpoint_list(ListUpdate::Cached, &entries)];
    events.extend((0..24).map(|p| proxy_connected(p, p % 3)));
    harness.decide(&events);
    harness.run_for(12 * SECOND, |_| Vec::new());
    let subset = subset_of_first_server(&harness);
    assert_eq!(subset.len(), 12, "two subsets in the zone");
    // Nine urgent messages, which is all that faults may use, leave server 0 alone in its subset.
    let drains: Vec<_> = subset[1..].iter().map(|n| in_state(*n, EndpointState::Draining)).collect();
    let (at_once, one_by_one) = drains.split_at(3);
    harness.decide(&[endpoint_list(ListUpdate::Delta, at_once)]);
    for drain in one_by_one {
        harness.run_for(SECOND / 8, |_| Vec::new());
        harness.decide(&[endpoint_list(ListUpdate::Delta, std::slice::from_ref(drain))]);
    }
    let table = table_with_server(&harness, 0);
    assert_eq!(harness.tables[&table].len(), 1);
    harness.run_for(3 * SECOND, |_| hanging(&[0]));
    let left: Vec<u8> = harness.tables[&table].keys().map(|id| id.0[3]).collect();
    assert!(left.iter().any(|n| *n != 0 && n % 3 == 0), "{left:?}");
}

/// Guards against a proxy that joins in the middle and is assigned to a table without servers for its
/// zone-local classes, while flow control delays the table's update.
#[test]
fn joining_proxy_waits_until_its_table_contains_servers_of_its_zone() {
    let mut harness = Harness::running(Settings { max_messages_per_window: 4, ..zone_local_settings() }, 12);
    harness.run_for(10 * SECOND, |_| Vec::new());
    // Three urgent messages, after which the proxies of the table get none for the rest of the window.
    for drained in [&[0][..], &[3], &[6, 9]] {
        let drains: Vec<_> = drained.iter().map(|n| in_state(*n, EndpointState::Draining)).collect();
        harness.decide(&[endpoint_list(ListUpdate::Delta, &drains)]);
        harness.run_for(SECOND / 4, |_| Vec::new());
    }
    assert!(own_zone_servers(&harness, 0).is_empty(), "all drain");
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[endpoint(0, 0)]), proxy_connected(9, 0)]);
    assert!(!harness.assigned.contains_key(&ProxyId(9)), "the table has no server of the zone yet");
    harness.run_for(11 * SECOND, |_| Vec::new());
    assert_eq!(own_zone_servers(&harness, 9), [0]);
}

/// Guards against warming servers that get all requests of a zone-local class when the warm servers of their
/// subset fail at once: warm servers of other zones may not serve that class.
#[test]
fn subset_with_warming_servers_adds_warm_ones_of_its_own_zone() {
    let mut harness = harness_with_small_subsets();
    let subset = subset_of_first_server(&harness);
    let restarted = Endpoint { started_at: harness.now, ..endpoint(subset[0], 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[restarted])]);
    harness.run_for(4 * SECOND, |_| Vec::new());
    let table = harness.tables.values().find(|lines| lines.contains_key(&server_id(subset[1])));
    let added: Vec<u8> = table.unwrap().keys().map(|id| id.0[3]).filter(|n| !subset.contains(n)).collect();
    assert!(added.len() == 2 && added.iter().all(|n| n % 3 == 0), "{added:?}");
}
