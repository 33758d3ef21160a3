//! Invalid values in the endpoint list, the settings and the wall clock.

use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::{DiscoveredEndpoint, Input, Operation};

use crate::common::engine_harness::{EngineHarness, SECOND};
use crate::common::{address, nodes};
use crate::fixture::{entry_with_state, four_classes, invalid_entries, restarted, running};

/// Guards against tables without servers: a list with NaN, infinite, negative or extreme weights must not
/// remove servers.
#[test]
fn invalid_weights_leave_every_proxy_its_table() {
    let mut harness = running(four_classes());
    for weight in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e308, 1e-300] {
        let invalid = nodes(8).into_iter().map(|node| DiscoveredEndpoint { weight, ..node });
        harness.send_list(ListUpdate::Full, invalid.collect());
        harness.run_for(5 * SECOND);
        assert!(
            (1..5).all(|k| harness.usable_servers(k).len() == 4),
            "weight {weight}: {:?}",
            harness.usable_servers(1)
        );
    }
    harness.finish();
}

/// Guards against one server that gets nearly all requests, or none, because of an extreme weight in the
/// list.
#[test]
fn an_extreme_weight_does_not_starve_the_other_servers() {
    let mut harness = running(four_classes());
    for weight in [1e308, 1e-300] {
        let mut extreme = nodes(8);
        extreme[0].weight = weight;
        harness.send_list(ListUpdate::Full, extreme);
        harness.run_for(5 * SECOND);
        assert!((1..5).all(|k| !harness.usable_servers(k).is_empty()), "weight {weight}");
        let all: f64 = harness.rules.usable_servers(1).values().sum();
        assert!(harness.rules.usable_servers(1).values().all(|w| *w < 0.999 * all), "weight {weight}");
    }
    harness.finish();
}

/// Guards against a warm-up that restarts with every update: a server with a wrong clock lists a start in the
/// future, which is replaced by the current time.
#[test]
fn a_start_in_the_future_causes_one_warm_up() {
    let mut harness = running(four_classes());
    let ahead = harness.now + 1_000_000 * SECOND;
    for _ in 0..15 {
        harness.change_list(ListUpdate::Delta, vec![restarted(0, ahead)]);
        harness.run_for(2 * SECOND);
    }
    assert!(
        harness.rules.usable_servers(1)[&address(0)] > 0.9,
        "full weight after its warm-up time: {:?}",
        harness.rules.usable_servers(1)
    );
    harness.finish();
}

/// Guards against an override that fails, or a server that stays unused after it, when the listed start is
/// the highest possible value.
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

/// Guards against requests to a draining server that a complete list contains a second time as ready.
#[test]
fn a_list_that_names_a_server_twice_keeps_its_drain() {
    let mut harness = running(four_classes());
    let twice = [entry_with_state(2, EndpointState::Draining), nodes(8)].concat();
    harness.rules.set_actual_states(harness.now, &twice[..1]);
    harness.send_list(ListUpdate::Full, twice);
    harness.run_for(5 * SECOND);
    assert!(!harness.usable_servers(1).contains(&address(2)));
    assert_eq!(invalid_entries(&harness), 1);
    harness.finish();
}

/// Guards against a conductor that starts with a queue in which no table has space.
#[test]
fn a_queue_smaller_than_a_table_is_an_invalid_setting() {
    let mut harness = running(four_classes());
    let mut set = four_classes();
    set.channel.waiting_max = 10.0;
    assert!(set.invalid_settings().iter().any(|f| f.key == "channel"), "{:?}", set.invalid_settings());
    harness.run_for(SECOND);
    harness.finish();
}

/// Shows a known limitation, which the expected violation of rule 1 records: if the table of a deployment
/// exceeds the queue, its proxies get no table. Only `unbound` on the status page shows it.
#[test]
#[should_panic(expected = "1, every proxy has a server")]
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

/// Guards against a restart that looks like an old one: after the wall clock is set back, listed starts are
/// earlier than the engine's time suggests.
#[test]
fn a_start_listed_after_the_wall_clock_was_set_back_warms_up() {
    let mut harness = running(four_classes());
    let back = 500 * SECOND;
    harness.rules.set_actual_states(harness.now, &[restarted(0, harness.now)]);
    harness.engine.handle(harness.now, Input::WallClock { unix: harness.now - back });
    // One start, listed twice by clocks that differ slightly.
    for _ in 0..2 {
        harness.send_list(ListUpdate::Delta, vec![restarted(0, harness.now - back)]);
        harness.run_for(SECOND / 2);
        assert!(
            harness.rules.usable_servers(1).get(&address(0)).is_none_or(|w| *w < 0.3),
            "{:?}",
            harness.rules.usable_servers(1)
        );
    }
    harness.run_for(20 * SECOND);
    assert!(harness.rules.usable_servers(1)[&address(0)] > 0.9);
    harness.finish();
}

/// Shows a known limitation, which the expected violation of rule 5 records: the decision module's flow
/// control does not count the updates that operators cause.
#[test]
#[should_panic(expected = "5, bounded queue")]
fn an_operator_who_changes_a_level_continuously_keeps_the_queue_short() {
    let mut harness = running(four_classes());
    for k in 0..60 {
        let share = if k % 2 == 0 { 0.5 } else { 1.0 };
        harness.engine.operate(harness.now, Operation::Level { class: "read".into(), share }).unwrap();
        harness.run_for(SECOND / 20);
    }
    harness.finish();
}
