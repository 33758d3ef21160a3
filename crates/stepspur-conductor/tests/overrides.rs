//! Tests of overrides of servers that no list has contained yet: distributed configuration is applied before
//! the first list is read.

mod common;

use common::engine_harness::{EngineHarness, SECOND};
use common::{address, all, config, nodes, with_state};
use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::{Operation, OperationError, OverrideState};

/// Number of servers.
const COUNT: usize = 8;
/// Index of the overridden server.
const OVERRIDDEN: usize = 2;

fn override_server(state: OverrideState, on: bool) -> Operation {
    Operation::Override { server: address(OVERRIDDEN), state, on }
}

/// Sends the first list, in which the overridden server is ready whatever its actual state, and connects a
/// proxy of its zone.
fn send_first_list(harness: &mut EngineHarness, actual: EndpointState) {
    harness.rules.set_actual_states(harness.now, &with_state(nodes(COUNT), OVERRIDDEN, actual));
    harness.send_list(ListUpdate::Full, nodes(COUNT));
    harness.connect(1, "p", "a");
}

/// Returns true if the proxy may send requests to the overridden server.
fn is_used(harness: &EngineHarness) -> bool {
    harness.usable_servers(1).contains(&address(OVERRIDDEN))
}

/// Guards against a server that is used although the configuration overrides its state: the override arrives
/// before any list contains the server.
#[test]
fn an_override_before_the_first_list_applies_from_it_on() {
    for (state, listed) in
        [(OverrideState::Draining, EndpointState::Draining), (OverrideState::Removed, EndpointState::Removed)]
    {
        let mut harness = EngineHarness::new(config());
        harness.engine.operate(harness.now, override_server(state, true)).unwrap();
        send_first_list(&mut harness, listed);
        for _ in 0..50 {
            harness.run_for(SECOND / 10);
            assert!(!is_used(&harness), "{state:?}: no table contains it");
        }
        assert!(!harness.usable_servers(1).is_empty(), "the proxy has a table");
        harness.engine.operate(harness.now, override_server(state, false)).unwrap();
        harness.rules.set_actual_states(harness.now, &nodes(COUNT));
        harness.run_for(5 * SECOND);
        assert!(is_used(&harness), "{state:?}: used again");
        harness.finish();
    }
}

/// Guards against an override that is lost when the first list does not contain its server.
#[test]
fn an_override_applies_once_a_later_list_names_the_server() {
    let mut harness = EngineHarness::new(config());
    let others = || nodes(COUNT).into_iter().filter(|node| node.address != address(OVERRIDDEN)).collect();
    harness.change_list(ListUpdate::Full, others());
    harness.connect(1, "p", "a");
    harness.run_for(SECOND);
    harness.engine.operate(harness.now, override_server(OverrideState::Draining, true)).unwrap();
    harness.run_for(SECOND);
    harness
        .rules
        .set_actual_states(harness.now, &with_state(nodes(COUNT), OVERRIDDEN, EndpointState::Draining));
    harness.send_list(ListUpdate::Full, nodes(COUNT));
    for _ in 0..50 {
        harness.run_for(SECOND / 10);
        assert!(!is_used(&harness));
    }
    harness.finish();
}

/// Guards against the wrong override among several of one server, and against one that outlasts its lifting.
#[test]
fn the_last_override_of_an_unlisted_server_applies_until_it_is_lifted() {
    let mut harness = EngineHarness::new(config());
    for operation in
        [override_server(OverrideState::Draining, true), override_server(OverrideState::Removed, true)]
    {
        harness.engine.operate(harness.now, operation).unwrap();
    }
    // Lifting a drain that was replaced does not lift the removal.
    harness.engine.operate(harness.now, override_server(OverrideState::Draining, false)).unwrap();
    send_first_list(&mut harness, EndpointState::Removed);
    harness.run_for(2 * SECOND);
    assert!(!is_used(&harness));
    harness.finish();

    let mut harness = EngineHarness::new(config());
    harness.engine.operate(harness.now, override_server(OverrideState::Draining, true)).unwrap();
    harness.engine.operate(harness.now, override_server(OverrideState::Draining, false)).unwrap();
    let again = harness.engine.operate(harness.now, override_server(OverrideState::Draining, false));
    assert_eq!(again, Err(OperationError::UnknownServer), "there is no override");
    send_first_list(&mut harness, EndpointState::Ready);
    harness.run_for(2 * SECOND);
    assert_eq!(harness.usable_servers(1), all(COUNT).into_iter().filter(|at| at.port() % 2 == 0).collect());
    harness.finish();
}

/// Guards against an operator's mistyped address that is accepted and applies later: only the configuration
/// may override unlisted servers.
#[test]
fn an_operation_on_an_unlisted_server_is_rejected() {
    let mut harness = EngineHarness::new(config());
    let server = address(OVERRIDDEN);
    for operation in [Operation::Drain { server, on: true }, Operation::Withdraw { server, on: true }] {
        assert_eq!(harness.engine.operate(harness.now, operation), Err(OperationError::UnknownServer));
    }
    send_first_list(&mut harness, EndpointState::Ready);
    harness.run_for(2 * SECOND);
    assert!(is_used(&harness), "there was no override");
    harness.finish();
}

/// Guards against unbounded memory: no list removes the override of a server that no list ever contains.
#[test]
fn overrides_of_unlisted_servers_are_bounded() {
    const MAX_UNLISTED: usize = 65_536;
    let mut harness = EngineHarness::new(config());
    let mut override_server = |k: usize| {
        let [_, high, middle, low] = (k as u32).to_be_bytes();
        let server = (std::net::Ipv4Addr::new(10, high, middle, low), 80).into();
        harness
            .engine
            .operate(harness.now, Operation::Override { server, state: OverrideState::Draining, on: true })
    };
    assert!((0..MAX_UNLISTED).all(|k| override_server(k).is_ok()));
    assert_eq!(override_server(MAX_UNLISTED), Err(OperationError::TooManyOverrides));
    assert_eq!(override_server(0), Ok(()), "a server that is already overridden");
}
