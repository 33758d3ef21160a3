//! Servers that start, return or warm up.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn new_server_starts_after_the_hold_off_and_reaches_full_weight() {
    let mut harness = Harness::running(settings(), 12);
    let new = Endpoint { started_at: harness.now, ..endpoint(12, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[new])]);
    harness.run_for(SECOND, |_| Vec::new());
    assert_eq!(harness.weight(0, 12), 0.0, "nothing during the hold-off");
    harness.run_for(2 * SECOND, |_| Vec::new());
    let early = harness.weight(0, 12);
    assert!(early > 0.0 && early < 0.25, "{early}");
    harness.run_for(6 * SECOND, |_| Vec::new());
    assert!(harness.weight(0, 12) > early);
    harness.run_for(12 * SECOND, |_| Vec::new());
    assert!(harness.weight(0, 12) > 0.92, "full, but for a change not worth a message");
}

#[test]
fn restarted_server_loses_its_weight_at_once() {
    let mut harness = Harness::running(settings(), 12);
    let back = Endpoint { started_at: harness.now, ..endpoint(3, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[back])]);
    assert!(harness.weight(0, 3) <= 0.25, "{}", harness.weight(0, 3));
}

/// Found on drawn release days: under congestion proxies avoid servers after a run of failures, and a
/// server that has just started takes their share.
#[test]
fn congested_fleet_holds_back_warming_servers() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(4 * SECOND, |_| successful_stats(12, 1_500_000));
    let warming = Endpoint { started_at: harness.now - 4 * SECOND, ..endpoint(12, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[warming])]);
    harness.run_for(2 * SECOND, |_| successful_stats(12, 1_500_000));
    assert_eq!(harness.weight(0, 12), 0.0);
    harness.run_for(6 * SECOND, |_| successful_stats(12, 200_000));
    assert!(harness.weight(0, 12) > 0.0);
}

/// Found on two drawn days of overload on which reports became three seconds late: congestion showed when
/// the warming servers had already collapsed.
#[test]
fn warming_servers_are_held_back_after_a_gap_in_reports() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(4 * SECOND, |_| successful_stats(12, 200_000));
    let warming = Endpoint { started_at: harness.now, ..endpoint(12, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[warming])]);
    // No report for so long that the latency ratio is unknown; then some like those before.
    harness.run_for(4 * SECOND, |_| Vec::new());
    harness.run_for(3 * SECOND, |_| successful_stats(12, 200_000));
    assert_eq!(harness.weight(0, 12), 0.0);
    harness.run_for(16 * SECOND, |_| successful_stats(12, 200_000));
    assert!(harness.weight(0, 12) > 0.9, "and warm in its time");
}

/// Found on a drawn release day of hobart-intake: one zone was congested in a fleet that was not.
#[test]
fn congested_zone_holds_back_warming_servers() {
    let mut harness = Harness::running(settings(), 15);
    let one_zone = |_: &Harness| {
        (0..15)
            .map(|n| upstream_stats(n, u16::from(n % 3), 20, 0, if n % 3 == 0 { 1_500_000 } else { 200_000 }))
            .collect()
    };
    harness.run_for(4 * SECOND, one_zone);
    let warming = Endpoint { started_at: harness.now - 4 * SECOND, ..endpoint(15, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[warming])]);
    harness.run_for(2 * SECOND, one_zone);
    assert_eq!(harness.weight(0, 15), 0.0);
}

/// Found on a recorded release under overload at hobart-intake-later: servers four fifths warm got the
/// share of those that proxies avoided.
#[test]
fn nearly_warm_servers_are_held_back_by_congestion_but_not_by_overload() {
    let weight_of = |latency| {
        let mut harness = Harness::running(settings(), 12);
        harness.run_for(4 * SECOND, |_| successful_stats(12, latency));
        let nearly = Endpoint { started_at: harness.now - 12 * SECOND, ..endpoint(12, 0) };
        harness.decide(&[endpoint_list(ListUpdate::Delta, &[nearly])]);
        harness.run_for(SECOND, |_| successful_stats(12, latency));
        harness.weight(0, 12)
    };
    assert!(weight_of(700_000) > 0.0, "overloaded");
    assert_eq!(weight_of(1_500_000), 0.0, "congested");
}

/// Found on a drawn release with two bursts at once at hobart-intake-later: requests show congestion
/// before attempts do.
#[test]
fn surge_of_requests_lowers_the_weight_of_warming_servers() {
    let weight_of = |surge: u32| {
        let mut harness = Harness::running(settings(), 12);
        let events = |total: u32| (0..6).map(move |p| client_stats(p, total));
        harness
            .run_for(8 * SECOND, |_| successful_stats(12, 200_000).into_iter().chain(events(20)).collect());
        let warming = Endpoint { started_at: harness.now - 8 * SECOND, ..endpoint(12, 0) };
        harness.decide(&[endpoint_list(ListUpdate::Delta, &[warming])]);
        harness.run_for(3 * SECOND, |_| {
            successful_stats(12, 200_000).into_iter().chain(events(20 * surge)).collect()
        });
        harness.weight(0, 12)
    };
    assert!(weight_of(4) < 0.8 * weight_of(1), "{} {}", weight_of(4), weight_of(1));
}
