use std::time::Duration;

use super::{Report, Setting};
use crate::drains::arm::{Arm, order};
use crate::drains::round::Measured;
use crate::fleet::report::Machine;

fn round(arm: Arm, last: [u64; 3], cpu_ms: u64) -> Measured {
    let each = last.iter().flat_map(|last| [last / 2, *last]).collect();
    let cpu = Duration::from_millis(cpu_ms);
    Measured { arm, last: last.to_vec(), each, cpu, changes_agreed: 4, levels_ordered: 3.0 }
}

fn report(rounds: &[Measured]) -> Report {
    let setting =
        Setting { servers: 9, proxies: 2, rounds: 2, drains: 3, controls: 1, changes_per_s: 1.0, seed: 1 };
    Report::new(Machine::default(), setting, rounds)
}

#[test]
fn arms_are_summed_over_their_rounds_and_compared() {
    let rounds = [
        round(Arm::On, [10_000, 12_000, 14_000], 60),
        round(Arm::Off, [8_000, 10_000, 12_000], 45),
        round(Arm::Off, [9_000, 10_000, 11_000], 45),
        round(Arm::On, [11_000, 11_000, 20_000], 66),
    ];
    let report = report(&rounds);
    let on = &report.on;
    assert_eq!((on.last.count, on.last.p50_ms, on.last.most_ms), (6, 11.0, 20.0));
    assert_eq!((on.last_mean_ms, on.cpu_ms), (13.0, 21.0));
    assert_eq!(on.round_medians_ms, [12.0, 11.0]);
    assert_eq!((on.each.count, on.changes_agreed, on.levels_ordered), (12, 8, 6.0));
    let off = &report.off;
    assert_eq!((off.last.p50_ms, off.last.p99_ms, off.last_mean_ms, off.cpu_ms), (10.0, 12.0, 10.0, 15.0));
    let ratios = &report.ratios;
    assert_eq!((ratios.last_p50, ratios.last_mean, ratios.cpu), (1.1, 1.3, 1.4));
    assert_eq!(ratios.pairs, [1.2, 1.1]);
    assert!(
        report.to_string().ends_with("ratio of the medians to the last 1.100, aim 1.05: missed"),
        "{report}"
    );
}

#[test]
fn ratio_equal_to_the_limit_is_accepted() {
    let rounds = [round(Arm::On, [10_500; 3], 1), round(Arm::Off, [10_000; 3], 1)];
    let report = report(&rounds);
    assert!(
        report.to_string().ends_with("ratio of the medians to the last 1.050, aim 1.05: kept"),
        "{report}"
    );
}

#[test]
fn pairs_alternate_the_first_arm() {
    assert_eq!(order(0), [Arm::On, Arm::Off]);
    assert_eq!(order(1), [Arm::Off, Arm::On]);
    assert_eq!(order(2), order(0));
}
