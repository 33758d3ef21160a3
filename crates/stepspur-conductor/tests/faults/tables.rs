//! Changes while tables wait in the channel, and servers that are removed, ejected or forgotten.

use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::engine::{Input, Operation};
use stepspur_proto::{FromProxy, from_proxy, v1};

use crate::common::engine_harness::{EPOCH, SECOND};
use crate::common::{address, nodes, probe_target};
use crate::fixture::{
    busy_channel, connect_many, entry_with_state, four_classes, removed, running, slow_channel,
};

/// Guards against a new proxy that gets the table from before a drain in the same batch of events.
#[test]
fn a_drain_in_the_batch_of_a_connection_reaches_the_new_proxy() {
    let mut harness = running(four_classes());
    harness.connect(5, "p5", "a");
    harness.change_list(ListUpdate::Delta, entry_with_state(2, EndpointState::Draining));
    harness.run_for(SECOND);
    assert!(!harness.usable_servers(5).contains(&address(2)) && !harness.usable_servers(5).is_empty());
    harness.finish();
}

/// Guards against a proxy that receives a queued table after the drain of one of its servers.
#[test]
fn a_drain_reaches_a_proxy_whose_table_waits_in_the_channel() {
    let mut harness = running(slow_channel());
    harness.connect(5, "p5", "a");
    harness.run_for(SECOND / 100);
    assert!(harness.engine.stats().channel.pending_lines > 0.0);
    harness.change_list(ListUpdate::Delta, entry_with_state(2, EndpointState::Draining));
    harness.run_for(4 * SECOND);
    assert!(!harness.usable_servers(5).contains(&address(2)) && !harness.usable_servers(5).is_empty());
    harness.finish();
}

/// Guards against a list that reverts an operator's drain because both are in one batch.
#[test]
fn an_operators_drain_outlasts_a_list_in_the_same_batch() {
    let mut harness = running(four_classes());
    harness.engine.operate(harness.now, Operation::Drain { server: address(2), on: true }).unwrap();
    harness.rules.set_actual_states(harness.now, &entry_with_state(2, EndpointState::Draining));
    harness.send_list(ListUpdate::Full, nodes(8));
    harness.run_for(3 * SECOND);
    assert!(!harness.usable_servers(1).contains(&address(2)), "the override outlasts the list");
    harness.finish();
}

/// Guards against a forgotten server that late probe results, reports and removals make known again.
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

/// Guards against a list that reverts an operator's override, and against lifting an override that was not
/// set.
#[test]
fn an_override_applies_whatever_the_list_says_until_it_is_lifted() {
    let mut harness = running(four_classes());
    let server = address(2);
    harness.engine.operate(harness.now, Operation::Withdraw { server, on: true }).unwrap();
    harness.rules.set_actual_states(harness.now, &entry_with_state(2, EndpointState::Removed));
    harness.run_for(SECOND);
    // Lifting a drain that was not requested does not lift the removal.
    harness.engine.operate(harness.now, Operation::Drain { server, on: false }).unwrap();
    harness.send_list(ListUpdate::Full, nodes(8));
    harness.run_for(4 * SECOND);
    assert!(!harness.usable_servers(1).contains(&server), "removed");
    harness.engine.operate(harness.now, Operation::Withdraw { server, on: false }).unwrap();
    harness.rules.set_actual_states(harness.now, &entry_with_state(2, EndpointState::Ready));
    harness.run_for(4 * SECOND);
    assert!(harness.usable_servers(1).contains(&server), "used again");
    harness.finish();
}

/// Guards against a removal that is delayed because the queue is full of tables.
#[test]
fn a_removal_and_its_ejection_fit_the_queue_while_tables_wait() {
    let mut harness = running(busy_channel());
    connect_many(&mut harness);
    // Proxies with a queued table and those without a table must both be informed that one of their servers
    // is removed.
    harness.change_list(ListUpdate::Delta, removed([2]));
    harness.run_for(5 * SECOND);
    assert!((1..30).all(|k| !harness.usable_servers(k).contains(&address(2))));
    harness.finish();
}

/// Guards against unbounded memory: the ejection of a removed server must end, so that the server is
/// forgotten.
#[test]
fn a_server_ejected_when_it_was_removed_is_forgotten() {
    let mut harness = running(busy_channel());
    connect_many(&mut harness);
    // The server is removed while some proxies wait for a table, so it is ejected at them.
    harness.change_list(ListUpdate::Delta, removed([3]));
    harness.run_for(SECOND);
    assert!(harness.engine.stats().ejected > 0, "ejected");
    harness.run_for(700 * SECOND);
    assert_eq!((harness.engine.stats().ejected, harness.engine.stats().servers.total), (0, 7));
    harness.finish();
}

/// Guards against unbounded memory with `drain_binds_alone`: servers that lists omit leave the tables in the
/// end and are forgotten.
#[test]
fn servers_that_lists_lack_are_forgotten_where_absence_is_advisory() {
    let mut set = four_classes();
    set.fleet.drain_binds_alone = true;
    let mut harness = running(set);
    harness.send_list(ListUpdate::Full, nodes(6));
    harness.run_for(SECOND);
    assert_eq!(harness.usable_servers(1).len(), 4, "a server that a list omits may stay");
    harness.run_for(1300 * SECOND);
    assert_eq!((harness.usable_servers(1).len(), harness.engine.stats().servers.total), (3, 6));
    harness.finish();
}
