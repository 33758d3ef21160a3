//! Configuration holds servers that no list has named yet, as it is applied before the first list is read.

mod common;

use common::day::{Day, SECOND};
use common::{address, all, config, nodes, with_state};
use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::{Operation, OperationError, OverrideState};

const COUNT: usize = 8;
const HELD: usize = 2;

fn hold(kind: OverrideState, on: bool) -> Operation {
    Operation::Override { server: address(HELD), state: kind, on }
}

/// The first list comes, in which the held server is ready, and a proxy of its zone joins.
fn begin(day: &mut Day, held: EndpointState) {
    day.rules.truth(day.now, &with_state(nodes(COUNT), HELD, held));
    day.say(ListUpdate::Full, nodes(COUNT));
    day.join(1, "p", "a");
}

fn is_used(day: &Day) -> bool {
    day.names(1).contains(&address(HELD))
}

#[test]
fn a_hold_before_the_first_list_is_in_force_from_it_on() {
    for (kind, state) in
        [(OverrideState::Draining, EndpointState::Draining), (OverrideState::Removed, EndpointState::Removed)]
    {
        let mut day = Day::new(config());
        day.engine.operate(day.now, hold(kind, true)).unwrap();
        begin(&mut day, state);
        for _ in 0..50 {
            day.run(SECOND / 10);
            assert!(!is_used(&day), "{kind:?}: no table has ever named it");
        }
        assert!(!day.names(1).is_empty(), "it has a table");
        day.engine.operate(day.now, hold(kind, false)).unwrap();
        day.rules.truth(day.now, &nodes(COUNT));
        day.run(5 * SECOND);
        assert!(is_used(&day), "{kind:?}: and back");
        day.close();
    }
}

#[test]
fn a_hold_stands_until_a_later_list_names_the_server() {
    let mut day = Day::new(config());
    let others = || nodes(COUNT).into_iter().filter(|node| node.address != address(HELD)).collect();
    day.list(ListUpdate::Full, others());
    day.join(1, "p", "a");
    day.run(SECOND);
    day.engine.operate(day.now, hold(OverrideState::Draining, true)).unwrap();
    day.run(SECOND);
    day.rules.truth(day.now, &with_state(nodes(COUNT), HELD, EndpointState::Draining));
    day.say(ListUpdate::Full, nodes(COUNT));
    for _ in 0..50 {
        day.run(SECOND / 10);
        assert!(!is_used(&day));
    }
    day.close();
}

#[test]
fn the_last_hold_of_an_unlisted_server_counts_and_a_lifted_one_is_gone() {
    let mut day = Day::new(config());
    for operation in [hold(OverrideState::Draining, true), hold(OverrideState::Removed, true)] {
        day.engine.operate(day.now, operation).unwrap();
    }
    // The end of a drain that was replaced lifts no withdrawal.
    day.engine.operate(day.now, hold(OverrideState::Draining, false)).unwrap();
    begin(&mut day, EndpointState::Removed);
    day.run(2 * SECOND);
    assert!(!is_used(&day));
    day.close();

    let mut day = Day::new(config());
    day.engine.operate(day.now, hold(OverrideState::Draining, true)).unwrap();
    day.engine.operate(day.now, hold(OverrideState::Draining, false)).unwrap();
    let again = day.engine.operate(day.now, hold(OverrideState::Draining, false));
    assert_eq!(again, Err(OperationError::UnknownServer), "nothing is held");
    begin(&mut day, EndpointState::Ready);
    day.run(2 * SECOND);
    assert_eq!(day.names(1), all(COUNT).into_iter().filter(|at| at.port() % 2 == 0).collect());
    day.close();
}

#[test]
fn an_operators_order_for_a_server_that_no_list_names_is_refused() {
    let mut day = Day::new(config());
    let server = address(HELD);
    for operation in [Operation::Drain { server, on: true }, Operation::Withdraw { server, on: true }] {
        assert_eq!(day.engine.operate(day.now, operation), Err(OperationError::UnknownServer));
    }
    begin(&mut day, EndpointState::Ready);
    day.run(2 * SECOND);
    assert!(is_used(&day), "nothing was held");
    day.close();
}

#[test]
fn unlisted_servers_that_are_held_are_bounded() {
    const MOST: usize = 65_536;
    let mut day = Day::new(config());
    let mut hold = |k: usize| {
        let [_, high, middle, low] = (k as u32).to_be_bytes();
        let server = (std::net::Ipv4Addr::new(10, high, middle, low), 80).into();
        day.engine.operate(day.now, Operation::Override { server, state: OverrideState::Draining, on: true })
    };
    assert!((0..MOST).all(|k| hold(k).is_ok()));
    assert_eq!(hold(MOST), Err(OperationError::TooManyOverrides));
    assert_eq!(hold(0), Ok(()), "one that is held already");
}
