//! Aims, exponents and what a report says.

use std::collections::BTreeMap;

use super::super::judge::Verdict;
use super::super::latency::{Spread, Travel};
use super::super::measure::{Role, RoleUsage};
use super::{Fleet, FullStart, MEAN, Machine, Phase, Report, Swap, exponent, growth};

fn report(conductors: usize, most_ms: f64, leader_cpu: f64) -> Report {
    let in_force = Spread { count: 200, p50_ms: 10.0, p99_ms: 50.0, most_ms };
    let leader = RoleUsage { members: 1, cpu_percent: leader_cpu, ..RoleUsage::default() };
    let phase = Phase {
        name: MEAN.into(),
        travel: Travel { in_force, ..Travel::default() },
        usage: BTreeMap::from([(Role::Leader, leader)]),
        ..Phase::default()
    };
    Report {
        seed: 1,
        machine: Machine::default(),
        fleet: Fleet { conductors, ..Fleet::default() },
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
fn an_aim_is_met_below_its_figure_and_missed_at_it() {
    let aims = report(2_400, 1_000.0, 1.0).aims();
    let met = |what: &str| aims.iter().find(|aim| aim.what.contains(what)).map(|aim| aim.met);
    assert_eq!(met("mean: in force at the last"), Some(false));
    assert_eq!(met("last hollow conductor"), Some(true));
    assert_eq!(met("last real conductor"), Some(false));
    let text = report(2_400, 1_000.0, 1.0).to_string();
    assert!(text.contains("MISSED mean: in force at the last, ms: 1000.0, aim under 1000.0"), "{text}");
}

#[test]
fn exponents_are_slopes_of_logarithms() {
    let square: Vec<(f64, f64)> = [150.0, 300.0, 2_400.0].iter().map(|x| (*x, x * x)).collect();
    assert!((exponent(&square).unwrap() - 2.0).abs() < 1e-9);
    let flat = [(150.0, 3.0), (2_400.0, 3.0)];
    assert!(exponent(&flat).unwrap().abs() < 1e-9);
    assert_eq!(exponent(&flat[..1]), None);
    // A figure of nothing has no logarithm.
    assert_eq!(exponent(&[(150.0, 0.0), (300.0, 1.0)]), None);
    let grown = growth(&[report(150, 1.0, 2.0), report(300, 1.0, 4.0)]);
    assert!((grown[0].exponent.unwrap() - 1.0).abs() < 1e-9, "{:?}", grown[0]);
}

#[test]
fn a_report_is_read_back_as_it_was_written() {
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
