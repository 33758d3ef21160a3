//! Reports and declarations with implausible numbers.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stepspur::interface::*;

use crate::common::*;

/// The largest factor by which one report may move the part of a zone's servers: a proxy's rate may double.
const MAX_MOVED_SERVERS: usize = 1;

fn usual_reports() -> Vec<Event> {
    successful_stats(18, 200_000).into_iter().chain((0..6).map(|p| client_stats(p, 20))).collect()
}

fn running() -> Harness {
    let mut harness = Harness::running(settings(), 18);
    harness.run_for(6 * SECOND, |_| usual_reports());
    harness
}

/// The largest number of servers that any zone loses within 10 s after these events.
fn servers_lost(events: &[Event]) -> usize {
    let mut harness = running();
    let before: Vec<usize> = (0..3).map(|zone| harness.servers_of_zone(zone).len()).collect();
    harness.decide(events);
    let mut lost = 0;
    for _ in 0..40 {
        harness.run_for(250_000, |_| usual_reports());
        for zone in 0..3 {
            let now = harness.servers_of_zone(zone).len();
            lost = lost.max(before[usize::from(zone)].saturating_sub(now));
        }
    }
    lost
}

/// Guards against one report that moves the fleet: a count of 1e9 requests in one report gave the zone of its
/// proxy nearly all servers of the others (review/9).
#[test]
fn one_spoilt_count_of_requests_moves_no_servers_between_zones() {
    assert!(servers_lost(&[client_stats(0, 1_000_000_000)]) <= MAX_MOVED_SERVERS);
}

/// Guards against a proxy that declares an implausible rate when it connects and has not reported yet.
#[test]
fn one_spoilt_declared_rate_moves_no_servers_between_zones() {
    let joins = Event::ProxyConnected {
        proxy: ProxyId(6),
        zone: ZoneId(0),
        usual_request_rate: 1e300,
        has_only_static_tables: true,
    };
    // A further proxy with four times the mean rate has a part of 0.4.
    assert!(servers_lost(&[joins]) <= 2 * MAX_MOVED_SERVERS);
}

/// Guards against one report about a server that changes admission for the fleet: counts, the time that they
/// cover and the mean latency.
#[test]
fn one_spoilt_report_about_a_server_leaves_admission_and_weights() {
    let spoilt = [
        upstream_stats(0, 0, 1_000_000_000, 0, 200_000),
        upstream_stats(0, 0, 20, 0, 1_000_000_000_000),
        Event::UpstreamStats {
            server: server_id(0),
            zone: ZoneId(0),
            period: 1_000_000_000_000,
            attempts: 20,
            failed_attempts: 0,
            latency: 200_000,
            load: Vec::new(),
        },
    ];
    for report in spoilt {
        let mut harness = running();
        let levels = harness.admission.clone();
        harness.decide(std::slice::from_ref(&report));
        harness.run_for(3 * SECOND, |_| usual_reports());
        assert_eq!(harness.admission, levels, "{report:?}");
        // From here on all attempts are slow. What counts is that this is seen as soon as without the report.
        harness.run_for(8 * SECOND, |_| successful_stats(18, 1_500_000));
        assert_ne!(harness.admission, levels, "overload is not seen after {report:?}");
        let tables = harness.tables.values().filter(|lines| !lines.is_empty());
        assert!(tables.clone().all(|lines| lines.len() >= 4), "{report:?}");
    }
}

#[test]
fn any_single_report_of_requests_moves_at_most_a_server() {
    let config = Config { cases: 100, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let report = (0u16..6, 0u8..2, prop_oneof![1u64..1_000, 1_000u64..100_000_000], any::<u32>());
    runner
        .run(&report, |(proxy, class, period, requests)| {
            let report = Event::ClientStats {
                proxy: ProxyId(proxy),
                class: ClassId(class),
                period,
                requests,
                unanswered: 0,
            };
            prop_assert!(servers_lost(&[report]) <= MAX_MOVED_SERVERS);
            Ok(())
        })
        .unwrap();
}

/// A real surge is believed: within three reports a proxy's rate grows sixfold.
#[test]
fn a_lasting_surge_moves_servers_to_its_zone() {
    let mut harness = running();
    let surge = |_: &Harness| {
        let requests = (0..6).map(|p| client_stats(p, if p % 3 == 0 { 120 } else { 20 }));
        successful_stats(18, 200_000).into_iter().chain(requests).collect()
    };
    harness.run_for(8 * SECOND, surge);
    assert!(harness.servers_of_zone(0).len() >= 9, "{:?}", harness.servers_of_zone(0));
}
