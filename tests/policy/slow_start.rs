//! Slow start, and protection of servers that warm up.

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
    assert!(harness.weight(0, 12) > 0.92, "full weight, except for a change below the publishing threshold");
}

#[test]
fn restarted_server_loses_its_weight_at_once() {
    let mut harness = Harness::running(settings(), 12);
    let back = Endpoint { started_at: harness.now, ..endpoint(3, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[back])]);
    assert!(harness.weight(0, 3) <= 0.25, "{}", harness.weight(0, 3));
}

/// Guards against overload of servers that have just started. Under congestion proxies avoid servers after
/// consecutive failures, and a warming server got the load of those.
#[test]
fn congested_fleet_excludes_warming_servers() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(4 * SECOND, |_| successful_stats(12, 1_500_000));
    let warming = Endpoint { started_at: harness.now - 4 * SECOND, ..endpoint(12, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[warming])]);
    harness.run_for(2 * SECOND, |_| successful_stats(12, 1_500_000));
    assert_eq!(harness.weight(0, 12), 0.0);
    harness.run_for(6 * SECOND, |_| successful_stats(12, 200_000));
    assert!(harness.weight(0, 12) > 0.0);
}

/// Guards against the collapse of warming servers while reports are late. In two scenarios of overload
/// reports were three seconds late, so that congestion was recognized after the warming servers had
/// collapsed.
#[test]
fn warming_servers_are_excluded_after_a_gap_in_reports() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(4 * SECOND, |_| successful_stats(12, 200_000));
    let warming = Endpoint { started_at: harness.now, ..endpoint(12, 0) };
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[warming])]);
    // No reports for long enough that the latency ratio is unknown, then reports of the same latency as
    // before.
    harness.run_for(4 * SECOND, |_| Vec::new());
    harness.run_for(3 * SECOND, |_| successful_stats(12, 200_000));
    assert_eq!(harness.weight(0, 12), 0.0);
    harness.run_for(16 * SECOND, |_| successful_stats(12, 200_000));
    assert!(harness.weight(0, 12) > 0.9, "it reaches its full weight after the warm-up time");
}

/// Guards against overload of warming servers by one congested zone in a fleet that is not congested (site
/// hobart-intake, during a release).
#[test]
fn congested_zone_excludes_warming_servers() {
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

/// Guards against overload of nearly warm servers under congestion. In a release under overload, servers at
/// four fifths of their warm-up time got the load of those that proxies avoided (site hobart-intake-later).
#[test]
fn nearly_warm_servers_are_excluded_under_congestion_but_not_under_overload() {
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

/// Guards against a late reaction to a surge: the request rate shows it before the latency of attempts does
/// (site hobart-intake-later, a release with two bursts at once).
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
