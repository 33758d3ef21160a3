//! Sharded deployments: assignment of servers to shards.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn shard_keeps_its_server_until_it_drains() {
    let set = Settings { shard_count: 4, ..settings() };
    let mut harness = Harness::new(set);
    let entries: Vec<_> = (0..3).map(|n| endpoint(n, u16::from(n))).collect();
    let (shard, weight) = (TableId(1), 1.0);
    let with_stored_line = harness.decide(&[
        endpoint_list(ListUpdate::Cached, &entries),
        Event::ShardAssignment { shard, granted: true },
        Event::StoredWeight { shard, server: server_id(0), weight },
    ]);
    assert_eq!(count(&with_stored_line, |a| matches!(a, Action::SetWeight { .. })), 0);
    let after_drain = harness.decide(&[endpoint_list(
        ListUpdate::Delta,
        &[Endpoint { state: EndpointState::Draining, ..endpoint(0, 0) }],
    )]);
    let lines: Vec<_> = after_drain.iter().filter(|a| matches!(a, Action::SetWeight { .. })).collect();
    assert!(matches!(lines[0], Action::SetWeight { server, weight: 0.0, .. } if *server == server_id(0)));
    assert!(matches!(lines[1], Action::SetWeight { server, weight: 1.0, .. } if *server != server_id(0)));
}

#[test]
fn single_writer_shard_gets_a_new_server_only_after_the_last_writes() {
    let set = Settings {
        shard_count: 4,
        single_writer: true,
        disconnected_write_period: 2 * SECOND,
        max_write_duration: 3 * SECOND,
        ..settings()
    };
    let mut harness = Harness::new(set);
    let (shard, weight) = (TableId(1), 1.0);
    harness.decide(&[
        endpoint_list(ListUpdate::Cached, &[endpoint(0, 0), endpoint(1, 1)]),
        Event::ShardAssignment { shard, granted: true },
        Event::StoredWeight { shard, server: server_id(0), weight },
    ]);
    harness.decide(&[endpoint_list(
        ListUpdate::Delta,
        &[Endpoint { state: EndpointState::Draining, ..endpoint(0, 0) }],
    )]);
    let placed = |a: &Action| matches!(a, Action::SetWeight { weight, .. } if *weight > 0.0);
    assert_eq!(count(&harness.run_for(3 * SECOND, |_| Vec::new()), placed), 0);
    assert_eq!(count(&harness.run_for(SECOND, |_| Vec::new()), placed), 1);
}

/// Guards against proxies without a server for a zone-local class: a shard had one server, in one zone, while
/// proxies of all zones use its table.
#[test]
fn shard_with_a_zone_local_class_has_a_server_in_each_zone() {
    let mut set = Settings { shard_count: 4, ..settings() };
    set.classes[0].zone_local = true;
    let mut harness = Harness::new(set);
    let entries: Vec<_> = (0..6).map(|n| endpoint(n, u16::from(n % 3))).collect();
    let shard = TableId(1);
    harness.decide(&[
        endpoint_list(ListUpdate::Cached, &entries),
        Event::ShardAssignment { shard, granted: true },
        Event::StoredWeight { shard, server: server_id(0), weight: 1.0 },
    ]);
    let zones = |harness: &Harness| -> Vec<u8> {
        harness.tables[&shard].keys().filter(|id| id.0[3] != 0).map(|id| id.0[3] % 3).collect()
    };
    assert_eq!(zones(&harness), [1, 2], "beside the stored server of zone 0");
    let drain = Endpoint { state: EndpointState::Draining, ..endpoint(0, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[drain])]);
    assert_eq!(harness.tables[&shard].get(&server_id(3)), Some(&1.0), "the other server of zone 0");
}
