//! Sharded deployments: assignment of servers to shards.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
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
    // A disconnected proxy writes for 2 s, each write lasts up to 3 s, and messages are up to 0.5 s late.
    assert_eq!(count(&harness.run_for(5_250_000, |_| Vec::new()), is_placement), 0);
    assert_eq!(count(&harness.run_for(500_000, |_| Vec::new()), is_placement), 1);
}

fn is_placement(action: &Action) -> bool {
    matches!(action, Action::SetWeight { weight, .. } if *weight > 0.0)
}

/// A harness whose shard 1 has the server 0 of six, with these connected proxies. Writes last up to 3 s, and
/// disconnected proxies write for 2 s.
fn single_writer_harness(proxies: u16) -> Harness {
    let set = Settings {
        shard_count: 4,
        single_writer: true,
        disconnected_write_period: 2 * SECOND,
        max_write_duration: 3 * SECOND,
        proxy_count: u32::from(proxies),
        ..settings()
    };
    let mut harness = Harness::new(set);
    let entries: Vec<_> = (0..6).map(|n| endpoint(n, u16::from(n % 3))).collect();
    let mut events = vec![
        endpoint_list(ListUpdate::Cached, &entries),
        Event::ShardAssignment { shard: TableId(1), granted: true },
        Event::StoredWeight { shard: TableId(1), server: server_id(0), weight: 1.0 },
    ];
    events.extend((0..proxies).map(|proxy| proxy_connected(proxy, proxy % 3)));
    harness.decide(&events);
    harness.run_for(10 * SECOND, |_| Vec::new());
    harness
}

/// Drains server 0 and returns the nonce of the removal.
fn drain(harness: &mut Harness) -> u32 {
    let drain = Endpoint { state: EndpointState::Draining, ..endpoint(0, 0) };
    let actions = harness.decide(&[endpoint_list(ListUpdate::Delta, &[drain])]);
    let nonces =
        actions.iter().filter_map(|a| if let Action::RequestAck { nonce } = a { Some(*nonce) } else { None });
    nonces.map(u32::from).next().expect("the removal asks for an acknowledgement")
}

fn acknowledged(proxy: u16, nonce: u32) -> Event {
    Event::Acknowledged { proxy: ProxyId(proxy), nonce, latency: 0 }
}

/// Guards against a handover whose time runs from the removal's order, while a proxy gets it late.
#[test]
fn single_writer_shard_waits_until_each_proxy_has_confirmed_the_removal() {
    let mut harness = single_writer_harness(2);
    let nonce = drain(&mut harness);
    harness.decide(&[acknowledged(0, nonce)]);
    assert_eq!(count(&harness.run_for(8 * SECOND, |_| Vec::new()), is_placement), 0, "proxy 1 may write");
    harness.decide(&[acknowledged(1, nonce)]);
    assert_eq!(count(&harness.run_for(2_750_000, |_| Vec::new()), is_placement), 0, "its last write");
    assert_eq!(count(&harness.run_for(500_000, |_| Vec::new()), is_placement), 1);
}

/// Guards against two writers after a proxy has lost its stream: it goes on writing, and each write lasts. The
/// handover waited only for the longer of the two times (review/8).
#[test]
fn single_writer_shard_waits_for_a_proxy_that_disconnects_before_it_confirms() {
    let mut harness = single_writer_harness(2);
    let nonce = drain(&mut harness);
    harness.decide(&[acknowledged(0, nonce), Event::ProxyDisconnected { proxy: ProxyId(1) }]);
    assert_eq!(count(&harness.run_for(5_250_000, |_| Vec::new()), is_placement), 0);
    assert_eq!(count(&harness.run_for(500_000, |_| Vec::new()), is_placement), 1);
}

/// What a proxy does after the drain of a shard's server.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    Confirms,
    Disconnects,
}

/// For any times at which proxies confirm or disconnect, no write to the removed server is in hand when the
/// shard gets the next one.
#[test]
fn no_write_to_a_removed_server_is_in_hand_when_the_next_one_is_assigned() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let reaction = prop_oneof![Just(Reaction::Confirms), Just(Reaction::Disconnects)];
    let reactions = prop::collection::vec((reaction, 1u64..40), 1..6);
    runner
        .run(&reactions, |reactions| {
            let mut harness = single_writer_harness(reactions.len() as u16);
            let nonce = drain(&mut harness);
            let drained_at = harness.now;
            let mut last_write_ends_at = 0;
            for step in 1..100 {
                harness.now = drained_at + step * 250_000;
                let mut events = Vec::new();
                for (proxy, (reaction, _)) in (0..).zip(&reactions).filter(|(_, (_, at))| *at == step) {
                    let writes_for = match reaction {
                        Reaction::Confirms => 0,
                        Reaction::Disconnects => 2 * SECOND,
                    };
                    last_write_ends_at = last_write_ends_at.max(harness.now + writes_for + 3 * SECOND);
                    events.push(match reaction {
                        Reaction::Confirms => acknowledged(proxy, nonce),
                        Reaction::Disconnects => Event::ProxyDisconnected { proxy: ProxyId(proxy) },
                    });
                }
                let placed = count(&harness.decide(&events), is_placement) > 0;
                let all_reacted = reactions.iter().all(|(_, at)| *at <= step);
                prop_assert!(!placed || all_reacted && harness.now >= last_write_ends_at);
                if placed {
                    return Ok(());
                }
            }
            Err(TestCaseError::fail("the shard never gets a server"))
        })
        .unwrap();
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
