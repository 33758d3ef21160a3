//! Events out of order, late or repeated.

use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::{DiscoveredEndpoint, ServerCounts};
use stepspur_proto::{FromProxy, from_proxy, v1};

use crate::common::engine_harness::{EPOCH, EngineHarness, SECOND};
use crate::common::{address, all, nodes};
use crate::fixture::{entry_with_state, four_classes, removed, restarted, running};

/// Guards against a late entry about an earlier process of a restarted server, whose state does not apply to
/// the new process.
#[test]
fn an_entry_with_an_earlier_start_changes_nothing() {
    let mut harness = running(four_classes());
    let (early, late) = (harness.now - 100 * SECOND, harness.now);
    harness.change_list(ListUpdate::Delta, vec![restarted(0, late)]);
    harness.run_for(SECOND);
    for state in [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed] {
        for started in [early, 0] {
            let old = DiscoveredEndpoint { state, ..restarted(0, started) };
            // An entry without a start is not stale, so its state would be applied.
            if started > 0 || state == EndpointState::Ready {
                harness.send_list(ListUpdate::Delta, vec![old]);
            }
        }
        harness.run_for(SECOND / 2);
    }
    assert!(harness.rules.usable_servers(1).get(&address(0)).is_none_or(|w| *w < 0.6), "still warming up");
    harness.run_for(20 * SECOND);
    assert!(harness.rules.usable_servers(1)[&address(0)] > 0.9, "warm after its warm-up time");
    harness.finish();
}

/// Guards against a complete list from a stale cache that describes an earlier process of a restarted server.
#[test]
fn a_complete_list_with_an_earlier_start_changes_nothing() {
    let mut harness = running(four_classes());
    harness.change_list(ListUpdate::Delta, vec![restarted(0, harness.now)]);
    harness.run_for(SECOND);
    let mut stale = nodes(8);
    (stale[0].started, stale[0].state) = (harness.now - 100 * SECOND, EndpointState::Draining);
    harness.send_list(ListUpdate::Full, stale);
    harness.run_for(20 * SECOND);
    assert!(harness.rules.usable_servers(1)[&address(0)] > 0.9);
    harness.finish();
}

/// Guards against more load on a server that warms up while the reports that would show its overload are
/// delayed.
#[test]
fn missing_reports_delay_the_use_of_a_restarted_server() {
    let mut harness = running(four_classes());
    let report = |harness: &mut EngineHarness| {
        for stream in 1..5 {
            let met = harness.usable_servers(stream).into_iter().map(|server| v1::Met {
                server: Some(server.into()),
                total: 20,
                latency_us: 200_000,
                ..Default::default()
            });
            let report = v1::Report { period_us: SECOND, met: met.collect(), ..Default::default() };
            harness.send_frame(stream, FromProxy::new(EPOCH, 0, from_proxy::Kind::Report(report)));
        }
        harness.run_for(SECOND);
    };
    (0..5).for_each(|_| report(&mut harness));
    harness.change_list(ListUpdate::Delta, vec![restarted(0, harness.now)]);
    harness.run_for(4 * SECOND);
    (0..2).for_each(|_| report(&mut harness));
    assert!(!harness.usable_servers(1).contains(&address(0)), "reports after a gap may be delayed");
    (0..10).for_each(|_| report(&mut harness));
    assert!(harness.usable_servers(1).contains(&address(0)));
    harness.finish();
}

/// Guards against a source that repeats its entries: a repeated restart must not restart the warm-up.
#[test]
fn repeated_events_count_once() {
    let mut harness = running(four_classes());
    let restart = vec![restarted(0, harness.now)];
    for _ in 0..12 {
        harness.change_list(
            ListUpdate::Delta,
            [restart.clone(), entry_with_state(2, EndpointState::Draining)].concat(),
        );
        harness.send_list(ListUpdate::Delta, removed([4]));
        harness.rules.set_actual_states(harness.now, &removed([4]));
        harness.run_for(2 * SECOND);
    }
    assert!(
        harness.rules.usable_servers(1)[&address(0)] > 0.9,
        "a repeated entry does not restart the warm-up: {:?}",
        harness.rules.usable_servers(1)
    );
    assert_eq!(harness.engine.stats().servers, ServerCounts { ready: 6, draining: 1, total: 8 });
    harness.finish();
}

/// Guards against a server in the tables whose first entry is a drain or a removal.
#[test]
fn a_drain_of_an_unknown_server_changes_no_table() {
    let mut harness = running(four_classes());
    harness.change_list(ListUpdate::Delta, entry_with_state(9, EndpointState::Draining));
    harness.change_list(ListUpdate::Delta, removed([11]));
    harness.run_for(3 * SECOND);
    assert!((1..5).all(|k| harness.usable_servers(k).is_subset(&all(8))));
    harness.finish();
}
