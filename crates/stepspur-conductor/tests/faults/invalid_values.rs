//! Invalid values in the endpoint list, the settings and the wall clock.

use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::{DiscoveredEndpoint, Input, Operation};

use crate::common::engine_harness::{EngineHarness, SECOND};
use crate::common::{address, nodes};
use crate::fixture::{entry_with_state, four_classes, invalid_entries, restarted, running};

#[test]
fn invalid_weights_leave_every_proxy_its_table() {
    let mut harness = running(four_classes());
    for weight in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e308, 1e-300] {
        let odd = nodes(8).into_iter().map(|node| DiscoveredEndpoint { weight, ..node });
        harness.send_list(ListUpdate::Full, odd.collect());
        harness.run_for(5 * SECOND);
        assert!(
            (1..5).all(|k| harness.usable_servers(k).len() == 4),
            "weight {weight}: {:?}",
            harness.usable_servers(1)
        );
    }
    harness.finish();
}

#[test]
fn an_extreme_weight_does_not_starve_the_other_servers() {
    let mut harness = running(four_classes());
    for weight in [1e308, 1e-300] {
        let mut odd = nodes(8);
        odd[0].weight = weight;
        harness.send_list(ListUpdate::Full, odd);
        harness.run_for(5 * SECOND);
        assert!((1..5).all(|k| !harness.usable_servers(k).is_empty()), "weight {weight}");
        let all: f64 = harness.rules.held(1).values().sum();
        assert!(harness.rules.held(1).values().all(|w| *w < 0.999 * all), "weight {weight}");
    }
    harness.finish();
}

#[test]
fn a_start_in_the_future_is_a_single_start() {
    let mut harness = running(four_classes());
    let ahead = harness.now + 1_000_000 * SECOND;
    for _ in 0..15 {
        harness.change_list(ListUpdate::Delta, vec![restarted(0, ahead)]);
        harness.run_for(2 * SECOND);
    }
    assert!(
        harness.rules.held(1)[&address(0)] > 0.9,
        "warm after its cold time: {:?}",
        harness.rules.held(1)
    );
    harness.finish();
}

#[test]
fn an_operator_drains_a_server_whose_start_is_in_the_future() {
    let mut harness = running(four_classes());
    harness.send_list(ListUpdate::Delta, vec![restarted(0, u64::MAX)]);
    harness.run_for(SECOND);
    for on in [true, false] {
        harness.engine.operate(harness.now, Operation::Drain { server: address(0), on }).unwrap();
        harness.run_for(30 * SECOND);
    }
    assert!(harness.usable_servers(1).contains(&address(0)), "it is used again once the override is lifted");
    harness.finish();
}

#[test]
fn a_list_that_names_a_server_twice_keeps_its_drain() {
    let mut harness = running(four_classes());
    let twice = [entry_with_state(2, EndpointState::Draining), nodes(8)].concat();
    harness.rules.truth(harness.now, &twice[..1]);
    harness.send_list(ListUpdate::Full, twice);
    harness.run_for(5 * SECOND);
    assert!(!harness.usable_servers(1).contains(&address(2)));
    assert_eq!(invalid_entries(&harness), 1);
    harness.finish();
}

#[test]
fn a_queue_smaller_than_a_table_is_an_invalid_setting() {
    let mut harness = running(four_classes());
    let mut set = four_classes();
    set.channel.waiting_max = 10.0;
    assert!(set.faults().iter().any(|f| f.key == "channel"), "{:?}", set.faults());
    harness.run_for(SECOND);
    harness.finish();
}

/// No table of this deployment fits into the queue; only `unbound` on the status page shows it.
#[test]
#[should_panic(expected = "1, no bare proxy")]
fn a_table_larger_than_the_queue_still_reaches_its_proxy() {
    let mut harness = running(four_classes());
    harness.run_for(SECOND);
    let mut set = four_classes();
    set.channel.waiting_max = 50.0;
    let mut wide = EngineHarness::new(set);
    wide.change_list(ListUpdate::Full, nodes(200));
    wide.connect(1, "p", "a");
    wide.run_for(10 * SECOND);
    wide.finish();
    harness.finish();
}

#[test]
fn a_start_listed_after_the_wall_clock_was_set_back_warms_up() {
    let mut harness = running(four_classes());
    let back = 500 * SECOND;
    harness.rules.truth(harness.now, &[restarted(0, harness.now)]);
    harness.engine.handle(harness.now, Input::WallClock { unix: harness.now - back });
    // The same start, listed twice by clocks that differ a little.
    for _ in 0..2 {
        harness.send_list(ListUpdate::Delta, vec![restarted(0, harness.now - back)]);
        harness.run_for(SECOND / 2);
        assert!(
            harness.rules.held(1).get(&address(0)).is_none_or(|w| *w < 0.3),
            "{:?}",
            harness.rules.held(1)
        );
    }
    harness.run_for(20 * SECOND);
    assert!(harness.rules.held(1)[&address(0)] > 0.9);
    harness.finish();
}

/// Updates that operators cause are not counted by the decision module's flow control.
#[test]
#[should_panic(expected = "5, short queue")]
fn an_operator_who_changes_a_level_continuously_keeps_the_queue_short() {
    let mut harness = running(four_classes());
    for k in 0..60 {
        let share = if k % 2 == 0 { 0.5 } else { 1.0 };
        harness.engine.operate(harness.now, Operation::Level { class: "read".into(), share }).unwrap();
        harness.run_for(SECOND / 20);
    }
    harness.finish();
}
