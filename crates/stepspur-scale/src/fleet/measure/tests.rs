//! Tests of the sums of process samples.

use std::collections::BTreeMap;

use super::{Role, UsageSample, UsageSpan, WatchedProcess, usage_by_role};
use crate::fleet::sockets::Traffic;
use crate::traffic::HEADER_BYTES;

fn span(cpu_s: f64, bytes: u64) -> UsageSpan {
    let traffic = Traffic { read: bytes, written: 0, messages: 1, segments: 2 };
    UsageSpan { seconds: 1.0, cpu_s, resident: 60_000_000, traffic, to_control: Traffic::default() }
}

#[test]
fn means_and_worst_seconds_are_per_member() {
    let control = WatchedProcess { role: Role::Control, members: 1 };
    let hollow = WatchedProcess { role: Role::HollowConductor, members: 60 };
    let mut of_hollow = span(0.6, 6_000);
    of_hollow.to_control = of_hollow.traffic;
    let seconds: Vec<UsageSample> = vec![
        BTreeMap::from([
            (1, (control, span(0.1, 1_000))),
            (2, (control, span(0.3, 0))),
            (3, (hollow, of_hollow)),
        ]),
        BTreeMap::from([(1, (control, span(0.0, 0))), (2, (control, span(0.0, 0)))]),
    ];
    let usage = usage_by_role(&seconds);
    let control = usage[&Role::Control];
    assert_eq!(control.members, 2);
    assert!((control.cpu_percent - 10.0).abs() < 1e-9 && (control.cpu_percent_worst - 30.0).abs() < 1e-9);
    assert!((control.bytes_per_s - 250.0).abs() < 1e-9);
    assert!((control.bytes_per_s_worst - (1_000 + 2 * HEADER_BYTES) as f64).abs() < 1e-9);
    let hollow = usage[&Role::HollowConductor];
    assert_eq!(hollow.members, 60);
    assert!((hollow.cpu_percent - 1.0).abs() < 1e-9 && (hollow.resident_mb - 1.0).abs() < 1e-9);
    assert!((hollow.bytes_per_s - 100.0).abs() < 1e-9);
}

#[test]
fn only_traffic_with_control_counts_for_conductors() {
    let real = WatchedProcess { role: Role::RealConductor, members: 1 };
    let seconds: Vec<UsageSample> = vec![BTreeMap::from([(1, (real, span(0.01, 9_000)))])];
    assert_eq!(usage_by_role(&seconds)[&Role::RealConductor].bytes_per_s, 0.0);
}
