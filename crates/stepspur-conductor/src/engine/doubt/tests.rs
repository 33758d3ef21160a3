use std::time::Duration;

use super::*;

#[test]
fn a_list_that_loses_much_is_believed_only_in_time() {
    let set =
        MassRemovalGuard { loss_max: 0.5, confirm_after: Duration::from_micros(100), empty_allowed: false };
    let servers = |n: u8| (0..n).map(|k| ServerId([10, 0, 0, k, 0, 80])).collect::<BTreeSet<_>>();
    let ready = servers(10);
    // Servers named, time, what is made of it.
    let cases = [
        (10, 0, Taken::Whole),
        (5, 10, Taken::Whole),
        (4, 20, Taken::Named { lacking: 6 }),
        (4, 119, Taken::Named { lacking: 6 }),
        (9, 120, Taken::Whole),
        (0, 130, Taken::Named { lacking: 10 }),
        (0, 900, Taken::Named { lacking: 10 }),
        (4, 901, Taken::Whole),
    ];
    let mut doubter = MassRemovalDetector::new(set.clone());
    for (named, now, taken) in cases {
        assert_eq!(doubter.judge(ListUpdate::Full, &ready, &servers(named), now), taken, "{named} at {now}");
    }
    assert_eq!(doubter.judge(ListUpdate::Delta, &ready, &servers(0), 0), Taken::Whole);
    let mut open = MassRemovalDetector::new(MassRemovalGuard { empty_allowed: true, ..set });
    assert_eq!(open.judge(ListUpdate::Full, &ready, &servers(0), 0), Taken::Named { lacking: 10 });
    assert_eq!(open.judge(ListUpdate::Full, &ready, &servers(0), 100), Taken::Whole);
}
