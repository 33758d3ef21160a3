//! Outlier detection: ejections and lower weights by the proxies' measurements.

use crate::common::*;

#[test]
fn server_that_fails_all_attempts_is_ejected_and_returns_later() {
    let mut harness = Harness::running(settings(), 12);
    harness.decide(&successful_stats(12, 200_000));
    harness.decide(&[upstream_stats(3, 0, 6, 6, 0)]);
    harness.run_for(250_000, |_| Vec::new());
    assert_eq!(harness.servers_of_zone(0), [0, 6, 9]);
    harness.run_for(3 * SECOND, |_| Vec::new());
    assert_eq!(harness.servers_of_zone(0), [0, 6, 9]);
    harness.run_for(2 * SECOND, |_| Vec::new());
    let back = harness.weight(0, 3);
    assert!(back > 0.0 && back < 0.6, "{back}");
}

#[test]
fn server_that_fails_for_one_zone_stays_in_use_by_the_others() {
    let mut harness = Harness::running(settings(), 11);
    harness.decide(&successful_stats(11, 200_000));
    harness.decide(&[upstream_stats(3, 1, 6, 6, 0)]);
    assert_eq!(harness.servers_of_zone(0).len(), 11, "one table for all: zone 0 keeps the server");
}

#[test]
fn congested_fleet_ejects_no_servers() {
    let mut harness = Harness::running(settings(), 12);
    harness
        .run_for(6 * SECOND, |_| (0..12).map(|n| upstream_stats(n, u16::from(n % 3), 20, 20, 0)).collect());
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

#[test]
fn slow_server_loses_weight_and_regains_it() {
    let mut harness = Harness::running(settings(), 12);
    let slow = |latency| {
        move |_: &Harness| {
            let mut events = successful_stats(12, 200_000);
            events.push(upstream_stats(3, 0, 60, 0, latency));
            events
        }
    };
    harness.run_for(8 * SECOND, slow(1_500_000));
    let lowered = harness.weight(0, 3);
    assert!(lowered < 0.8 && lowered > 0.1, "{lowered}");
    harness.run_for(20 * SECOND, slow(200_000));
    assert!(harness.weight(0, 3) > 0.9);
}
