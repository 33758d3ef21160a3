use std::time::Duration;

use super::*;

fn servers(count: u8) -> BTreeSet<ServerId> {
    (0..count).map(|k| ServerId([10, 0, 0, k, 0, 80])).collect()
}

/// Guards against the removal of most servers by a registry that restarts empty, and against a real loss that
/// is never applied.
#[test]
fn mass_removal_is_accepted_only_after_confirmation() {
    let settings =
        MassRemovalGuard { loss_max: 0.5, confirm_after: Duration::from_micros(100), empty_allowed: false };
    let ready = servers(10);
    // Number of listed servers, time in microseconds, verdict.
    let cases = [
        (10, 0, Verdict::Accepted),
        (5, 10, Verdict::Accepted),
        (4, 20, Verdict::RemovalsWithheld { missing_ready: 6 }),
        (4, 119, Verdict::RemovalsWithheld { missing_ready: 6 }),
        (9, 120, Verdict::Accepted),
        (0, 130, Verdict::RemovalsWithheld { missing_ready: 10 }),
        (0, 900, Verdict::RemovalsWithheld { missing_ready: 10 }),
        (4, 901, Verdict::Accepted),
    ];
    let mut detector = MassRemovalDetector::new(settings.clone());
    for (listed, now, verdict) in cases {
        let checked = detector.check(ListUpdate::Full, &ready, &servers(listed), now);
        assert_eq!(checked, verdict, "{listed} servers listed at {now}");
    }
    assert_eq!(detector.check(ListUpdate::Delta, &ready, &servers(0), 0), Verdict::Accepted);
    let mut permissive = MassRemovalDetector::new(MassRemovalGuard { empty_allowed: true, ..settings });
    let withheld = Verdict::RemovalsWithheld { missing_ready: 10 };
    assert_eq!(permissive.check(ListUpdate::Full, &ready, &servers(0), 0), withheld);
    assert_eq!(permissive.check(ListUpdate::Full, &ready, &servers(0), 100), Verdict::Accepted);
}
