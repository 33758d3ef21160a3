//! Active health checks: when servers become unhealthy by their probes, and healthy again.

use stepspur::interface::*;

use crate::common::*;

/// Guards against the ejection of busy servers. Where probes wait in the same queue as requests (site
/// hobart-intake), busy servers failed them and were ejected.
#[test]
fn server_that_serves_requests_stays_healthy_while_its_probes_fail() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(8 * SECOND, |_| {
        let mut events = successful_stats(12, 300_000);
        events.push(probe_result(3, ProbeOutcome::Timeout));
        events
    });
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

#[test]
fn server_whose_probes_fail_is_ejected_and_returns_by_slow_start() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(4 * SECOND, |_| vec![probe_result(3, ProbeOutcome::Unreachable)]);
    assert_eq!(harness.servers_of_zone(0), [0, 6, 9]);
    harness.run_for(2 * SECOND, |_| vec![probe_result(3, ProbeOutcome::Ok)]);
    let back = harness.weight(0, 3);
    assert!(back > 0.0 && back < 0.3, "{back}");
}

#[test]
fn no_server_is_ejected_when_most_probes_fail() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(6 * SECOND, |_| (0..12).map(|n| probe_result(n, ProbeOutcome::Timeout)).collect());
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

#[test]
fn two_failed_probes_eject_no_server() {
    let mut harness = Harness::running(settings(), 12);
    harness.decide(&[probe_result(3, ProbeOutcome::Timeout)]);
    harness.decide(&[probe_result(3, ProbeOutcome::Ok)]);
    harness.decide(&[probe_result(3, ProbeOutcome::Timeout)]);
    harness.run_for(3 * SECOND, |_| successful_stats(12, 200_000));
    assert_eq!(harness.servers_of_zone(0), [0, 3, 6, 9]);
}

/// Guards against the exclusion of healthy servers after a partition. While a zone is unreachable together
/// with its proxies, all its probes fail; that says nothing about the servers' health for the zone's own
/// proxies.
#[test]
fn zone_that_reconnects_after_a_partition_gets_its_own_servers() {
    let mut harness = Harness::running(settings(), 12);
    harness.decide(&[
        Event::ProxyDisconnected { proxy: ProxyId(2) },
        Event::ProxyDisconnected { proxy: ProxyId(5) },
    ]);
    harness
        .run_for(5 * SECOND, |_| [2, 5, 8, 11].map(|n| probe_result(n, ProbeOutcome::Unreachable)).to_vec());
    harness.decide(&[proxy_connected(2, 2)]);
    assert!(harness.servers_of_zone(2).iter().any(|n| n % 3 == 2), "{:?}", harness.servers_of_zone(2));
}
