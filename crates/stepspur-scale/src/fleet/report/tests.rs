//! Tests of targets, exponents and the text of a report.

use std::collections::BTreeMap;

use super::super::checker::Verdict;
use super::super::latency::{PropagationTimes, Spread};
use super::super::measure::{Role, RoleUsage};
use super::super::members::{MemberUsage, PeerUsage};
use super::super::peers::PeerKind;
use super::{Fleet, FullStart, MEAN, Machine, Phase, Report, Swap, growth};

fn report(conductors: usize, most_ms: f64, leader_cpu: f64) -> Report {
    let in_force = Spread { count: 200, p50_ms: 10.0, p99_ms: 50.0, most_ms };
    let leader = RoleUsage { members: 1, cpu_percent: leader_cpu, ..RoleUsage::default() };
    let phase = Phase {
        name: MEAN.into(),
        travel: PropagationTimes { in_force, ..PropagationTimes::default() },
        usage: BTreeMap::from([(Role::Leader, leader)]),
        ..Phase::default()
    };
    Report {
        seed: 1,
        machine: Machine::default(),
        fleet: Fleet { conductors, ..Fleet::default() },
        ask_every_ms: 200,
        mean_pace_per_s: 1.0,
        burst_pace_per_s: 10.0,
        start: FullStart { hollow_ms: 29_999.0, real_ms: 30_000.0, ..FullStart::default() },
        phases: vec![phase],
        swap: None,
        probes_per_s: 0.0,
        probe_bytes_per_s: 0.0,
        memory_mb: 0.0,
        look_most_ms: 0.0,
        verdict: Verdict::default(),
    }
}

#[test]
fn a_target_is_met_below_its_bound_and_missed_at_it() {
    let target_results = report(2_400, 1_000.0, 1.0).target_results();
    let met =
        |what: &str| target_results.iter().find(|result| result.what.contains(what)).map(|result| result.met);
    assert_eq!(met("mean: in force at the last"), Some(false));
    assert_eq!(met("last hollow conductor"), Some(true));
    assert_eq!(met("last real conductor"), Some(false));
    let text = report(2_400, 1_000.0, 1.0).to_string();
    assert!(text.contains("MISSED mean: in force at the last, ms: 1000.0, aim under 1000.0"), "{text}");
}

#[test]
fn growth_has_the_exponent_of_each_figure_and_of_the_leader_by_kind_of_peer() {
    let mut runs = [report(150, 1.0, 2.0), report(300, 1.0, 4.0)];
    for (run, bytes) in runs.iter_mut().zip([100.0, 400.0]) {
        let usage =
            PeerUsage { bytes_per_s_with_headers: bytes, segments_per_s: 5.0, ..PeerUsage::default() };
        let peers = BTreeMap::from([(PeerKind::Subscribers, usage)]);
        let leader = MemberUsage { member: 1, votes: true, leads: true, peers, ..MemberUsage::default() };
        run.phases[0].members = vec![leader];
    }
    let growths = growth(&runs);
    let exponent = |what: &str| {
        let found = growths.iter().find(|growths| growths.what == what);
        found.unwrap_or_else(|| panic!("no {what}: {growths:?}")).exponent.unwrap()
    };
    assert!((exponent("leader: percent of a core") - 1.0).abs() < 1e-9);
    assert!((exponent("leader: bytes a second with subscribers") - 2.0).abs() < 1e-9);
    assert!(exponent("leader: segments a second with subscribers").abs() < 1e-9);
    assert!(
        growths.iter().all(|growths| !growths.what.contains("operators")),
        "a kind of peer without traffic has no growth"
    );
    let text = runs[0].to_string();
    let matches_row =
        |line: &str| line.split_whitespace().eq(["leader", "subscribers", "0.0", "0", "100", "5.0", "0.0"]);
    assert!(text.lines().any(matches_row), "{text}");
}

#[test]
fn a_report_survives_a_json_round_trip() {
    let mut report = report(150, 12.5, 1.0);
    report.swap = Some(Swap {
        conductors: 20,
        real_bytes_per_s: 100.0,
        hollow_bytes_per_s: 105.0,
        real_messages_per_s: 2.0,
        hollow_messages_per_s: 1.9,
    });
    let (bytes, messages) = report.swap.unwrap().off_by();
    assert!((bytes - 0.05).abs() < 1e-9 && (messages - 0.05).abs() < 1e-9);
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}
