//! Changes while tables wait in the channel, and servers that are removed, ejected or forgotten.

use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::engine::{Input, Operation};
use stepspur_proto::{FromProxy, from_proxy, v1};

use crate::common::engine_harness::{EPOCH, SECOND};
use crate::common::{address, nodes, probe_target};
use crate::fixture::{
    busy_channel, connect_many, entry_with_state, four_classes, removed, running, slow_channel,
};

#[test]
fn a_drain_in_the_batch_of_a_connection_reaches_the_new_proxy() {
    let mut harness = running(four_classes());
    harness.connect(5, "p5", "a");
    harness.change_list(ListUpdate::Delta, entry_with_state(2, EndpointState::Draining));
    harness.run_for(SECOND);
    assert!(!harness.usable_servers(5).contains(&address(2)) && !harness.usable_servers(5).is_empty());
    harness.finish();
}

#[test]
fn a_drain_while_the_table_waits_in_the_channel() {
    let mut harness = running(slow_channel());
    harness.connect(5, "p5", "a");
    harness.run_for(SECOND / 100);
    assert!(harness.engine.stats().channel.pending_lines > 0.0);
    harness.change_list(ListUpdate::Delta, entry_with_state(2, EndpointState::Draining));
    harness.run_for(4 * SECOND);
    assert!(!harness.usable_servers(5).contains(&address(2)) && !harness.usable_servers(5).is_empty());
    harness.finish();
}

#[test]
fn an_operators_drain_while_a_list_waits_for_its_batch() {
    let mut harness = running(four_classes());
    harness.engine.operate(harness.now, Operation::Drain { server: address(2), on: true }).unwrap();
    harness.rules.truth(harness.now, &entry_with_state(2, EndpointState::Draining));
    harness.send_list(ListUpdate::Full, nodes(8));
    harness.run_for(3 * SECOND);
    assert!(!harness.usable_servers(1).contains(&address(2)), "the override outlasts the list");
    harness.finish();
}

#[test]
fn events_of_a_forgotten_server_change_nothing() {
    let mut harness = running(four_classes());
    harness.change_list(ListUpdate::Delta, removed([2]));
    harness.run_for(700 * SECOND);
    assert_eq!(harness.engine.stats().servers.total, 7, "forgotten");
    let report = v1::Report {
        period_us: SECOND,
        met: vec![v1::Met { server: Some(address(2).into()), total: 3, ..Default::default() }],
        ..Default::default()
    };
    for _ in 0..2 {
        let (outcome, load) = (ProbeOutcome::Ok, vec![]);
        let target = probe_target(2, 0);
        harness.engine.handle(harness.now, Input::ProbeResult { target, outcome, latency: 1, load });
        harness.send_frame(1, FromProxy::new(EPOCH, 0, from_proxy::Kind::Report(report.clone())));
        harness.send_list(ListUpdate::Delta, removed([2]));
        harness.run_for(SECOND);
    }
    assert!(harness.engine.operate(harness.now, Operation::Drain { server: address(9), on: true }).is_err());
    assert!((1..5).all(|k| !harness.usable_servers(k).contains(&address(2))));
    harness.finish();
}

#[test]
fn an_override_applies_whatever_the_list_says_until_it_is_lifted() {
    let mut harness = running(four_classes());
    let server = address(2);
    harness.engine.operate(harness.now, Operation::Withdraw { server, on: true }).unwrap();
    harness.rules.truth(harness.now, &entry_with_state(2, EndpointState::Removed));
    harness.run_for(SECOND);
    // Lifting a drain that was not requested does not lift the removal.
    harness.engine.operate(harness.now, Operation::Drain { server, on: false }).unwrap();
    harness.send_list(ListUpdate::Full, nodes(8));
    harness.run_for(4 * SECOND);
    assert!(!harness.usable_servers(1).contains(&server), "removed");
    harness.engine.operate(harness.now, Operation::Withdraw { server, on: false }).unwrap();
    harness.rules.truth(harness.now, &entry_with_state(2, EndpointState::Ready));
    harness.run_for(4 * SECOND);
    assert!(harness.usable_servers(1).contains(&server), "used again");
    harness.finish();
}

#[test]
fn a_removal_and_its_ejection_fit_the_queue_while_tables_wait() {
    let mut harness = running(busy_channel());
    connect_many(&mut harness);
    // Proxies with a table in the queue and those without one must both learn that a server of theirs is
    // removed.
    harness.change_list(ListUpdate::Delta, removed([2]));
    harness.run_for(5 * SECOND);
    assert!((1..30).all(|k| !harness.usable_servers(k).contains(&address(2))));
    harness.finish();
}

#[test]
fn a_server_ejected_when_it_was_removed_is_forgotten() {
    let mut harness = running(busy_channel());
    connect_many(&mut harness);
    // Proxies wait for a table while the server is removed: it is ejected at them.
    harness.change_list(ListUpdate::Delta, removed([3]));
    harness.run_for(SECOND);
    assert!(harness.engine.stats().ejected > 0, "ejected");
    harness.run_for(700 * SECOND);
    assert_eq!((harness.engine.stats().ejected, harness.engine.stats().servers.total), (0, 7));
    harness.finish();
}

#[test]
fn servers_that_lists_lack_are_forgotten_where_absence_is_advisory() {
    let mut set = four_classes();
    set.fleet.drain_binds_alone = true;
    let mut harness = running(set);
    harness.send_list(ListUpdate::Full, nodes(6));
    harness.run_for(SECOND);
    assert_eq!(harness.usable_servers(1).len(), 4, "a server that a list lacks may stay");
    harness.run_for(1300 * SECOND);
    assert_eq!((harness.usable_servers(1).len(), harness.engine.stats().servers.total), (3, 6));
    harness.finish();
}
