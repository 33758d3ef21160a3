//! Admission control: shedding under overload, and recovery.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn overload_sheds_the_least_valuable_class_first() {
    let mut harness = Harness::running(settings(), 12);
    let table = harness.assigned[&ProxyId(0)];
    harness.run_for(3 * SECOND, |_| successful_stats(12, 750_000));
    assert!(harness.admission[&(table, ClassId(0))].1 < 0.9);
    assert_eq!(harness.admission[&(table, ClassId(1))].1, 1.0, "only the least valuable class is shed");
    harness.run_for(40 * SECOND, |_| successful_stats(12, 1_200_000));
    // Each of a client's three attempts is admitted or rejected independently: a level of 0.26 admits 0.6 of
    // the requests.
    assert!(harness.admission[&(table, ClassId(0))].1 < 0.1);
    assert!(harness.admission[&(table, ClassId(1))].1 > 0.2);
    harness.run_for(60 * SECOND, |_| successful_stats(12, 150_000));
    assert_eq!(harness.admission[&(table, ClassId(0))].1, 1.0);
}

/// Guards against the end of shedding by an absence of reports. Under congestion reports were late, which
/// counted as recovery: admission, retries and warming servers were all restored at once.
#[test]
fn missing_reports_do_not_end_overload() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(8 * SECOND, |_| successful_stats(12, 1_500_000));
    harness.run_for(3 * SECOND, |_| Vec::new());
    let table = harness.assigned[&ProxyId(0)];
    let overloaded = harness.admission.clone();
    assert!(overloaded[&(table, ClassId(0))].1 < 1.0);
    harness.run_for(10 * SECOND, |_| Vec::new());
    assert_eq!(harness.admission, overloaded);
}

/// Guards against shedding by too little evidence. A restarted conductor received reports of three slow
/// requests from its first proxies, admitted half, and limited all proxies that connected later to that for
/// nine seconds.
#[test]
fn few_slow_attempts_shed_nothing() {
    let mut harness = Harness::running(settings(), 12);
    let table = harness.assigned[&ProxyId(0)];
    harness
        .run_for(6 * SECOND, |_| (0..3).map(|n| upstream_stats(n, u16::from(n), 1, 0, 1_300_000)).collect());
    assert_eq!(harness.admission[&(table, ClassId(0))].1, 1.0);
    harness.run_for(6 * SECOND, |_| successful_stats(12, 1_300_000));
    assert!(harness.admission[&(table, ClassId(0))].1 < 0.9, "enough attempts show overload");
}

#[test]
fn faults_of_a_few_servers_shed_nothing() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(10 * SECOND, |_| {
        let mut events = successful_stats(12, 200_000);
        events.extend([upstream_stats(0, 0, 20, 20, 0), upstream_stats(1, 1, 20, 10, 2_000_000)]);
        events
    });
    assert_eq!(harness.admission[&(harness.assigned[&ProxyId(0)], ClassId(0))].1, 1.0);
}

#[test]
fn levels_are_requests_per_second_in_that_admission_mode() {
    let mut harness =
        Harness::running(Settings { admission_mode: AdmissionMode::RequestsPerSecond, ..settings() }, 12);
    let table = harness.assigned[&ProxyId(0)];
    assert!(harness.admission[&(table, ClassId(0))].1 >= 1e6);
    harness.run_for(30 * SECOND, |_| {
        let mut events = successful_stats(12, 1_200_000);
        events.extend((0..6).map(|p| client_stats(p, 40)));
        events
    });
    let level = harness.admission[&(table, ClassId(0))].1;
    assert!(level > 0.0 && level < 40.0, "{level}");
}

/// Guards against cuts by measurements that are older than the last cut, which happened with reports five
/// seconds late (site profili-sicilia-later).
#[test]
fn no_second_cut_before_late_reports_can_show_the_first() {
    let cuts = |period| {
        let mut harness = Harness::running(settings(), 12);
        let report = move |n: u8, latency| Event::UpstreamStats {
            server: server_id(n),
            zone: ZoneId(u16::from(n % 3)),
            period,
            attempts: 20,
            failed_attempts: 0,
            latency,
            load: Vec::new(),
        };
        harness.run_for(10 * SECOND, |_| (0..12).map(|n| report(n, 200_000)).collect());
        let sent = harness.run_for(9 * SECOND, |_| (0..12).map(|n| report(n, 700_000)).collect());
        let lower =
            |a: &Action| matches!(a, Action::SetAdmission { table: TableId(0), level, .. } if *level < 1.0);
        count(&sent, lower)
    };
    assert!(cuts(5 * SECOND) < cuts(SECOND));
}

/// Guards against a first cut that blocks a deeper one. The first reports of a surge showed a latency just
/// above the limit, the cut was below half a percent, and no further cut was made for six seconds, until the
/// surge was over.
#[test]
fn cut_deepens_while_latency_grows() {
    let level = |latencies: &[Micros]| {
        let mut harness = Harness::running(settings(), 12);
        for latency in latencies {
            harness.run_for(SECOND, |_| successful_stats(12, *latency));
        }
        let table = harness.assigned[&ProxyId(0)];
        (harness.admission[&(table, ClassId(0))].1, harness.admission[&(table, ClassId(1))].1)
    };
    let (slight, grown) = (level(&[610_000; 3]), level(&[610_000, 1_500_000, 1_500_000]));
    assert!(grown.0 < 0.6 * slight.0, "{grown:?} after {slight:?}");
    assert!(grown.0 >= level(&[1_500_000; 3]).0, "no deeper than with that latency from the start");
}

/// Guards against shedding after congestion is over: latency shows its end seconds late, the servers' queue
/// lengths show it at once.
#[test]
fn slow_responses_shed_nothing_while_servers_report_no_queues() {
    let set = Settings { load_columns: vec!["busy".into(), "q".into()], ..settings() };
    let shed = |queue: f32, errors: u32| {
        let mut harness = Harness::running(set.clone(), 12);
        harness.run_for(6 * SECOND, |_| {
            let all_events = |n: u8| Event::UpstreamStats {
                server: server_id(n),
                zone: ZoneId(u16::from(n % 3)),
                period: SECOND,
                attempts: 20,
                failed_attempts: errors,
                latency: 900_000,
                load: vec![0.9, queue],
            };
            (0..12).map(all_events).collect()
        });
        harness.admission[&(harness.assigned[&ProxyId(0)], ClassId(0))].1
    };
    assert_eq!(shed(0.2, 0), 1.0);
    assert_eq!(shed(0.2, 4), 1.0, "queues in responses are trusted however many attempts fail");
    assert!(shed(4.0, 0) < 0.9);
}

/// Guards against shedding by late reports of a surge that is over, where only probes carry load reports and
/// their queue lengths were ignored. Queue lengths are weighted by attempts, as idle servers of a release
/// have empty queues. They are not evidence of recovery in a fleet that rejects requests.
#[test]
fn queues_in_probe_reports_are_weighted_by_attempts_and_trusted_while_few_fail() {
    // Queue length at the servers that get attempts, and at idle ones; failed attempts of 20; whether
    // requests are shed.
    let cases = [(0.0, 0.0, 0, false), (9.0, 0.0, 0, true), (0.0, 9.0, 0, false), (0.0, 0.0, 8, true)];
    for (busy, idle, failed, sheds) in cases {
        let set = Settings { load_columns: vec!["q".into()], ..settings() };
        let mut harness = Harness::running(set, 15);
        harness.run_for(8 * SECOND, |_| {
            let measured = (0..6).map(|n| upstream_stats(n, u16::from(n % 3), 20, failed, 1_300_000));
            let all_events = (0..15).map(|n| probe_result_with_queue(n, if n < 6 { busy } else { idle }));
            measured.chain(all_events).collect()
        });
        let level = harness.admission[&(harness.assigned[&ProxyId(0)], ClassId(0))].1;
        assert_eq!(level < 0.9, sheds, "{busy} {idle} {failed}: {level}");
    }
}
