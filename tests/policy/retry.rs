//! The retry policy of each class.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn retry_policy_follows_the_idempotency_of_the_class() {
    let mut set = settings();
    set.classes[1].idempotency = Idempotency::IdempotencyKey;
    let level = |set: Settings, class| {
        let harness = Harness::running(set, 12);
        harness.admission[&(harness.assigned[&ProxyId(0)], ClassId(class))].0
    };
    assert_eq!(level(settings(), 0), RetryPolicy::Once);
    assert_eq!(level(settings(), 1), RetryPolicy::IfNeverStarted);
    assert_eq!(level(set.clone(), 1), RetryPolicy::Once);
    set.classes[1].dedup_scope = DedupScope::Cell;
    assert_eq!(level(set.clone(), 1), RetryPolicy::IfNeverStarted);
    (set.classes[1].dedup_scope, set.classes[1].dedup_window) = (DedupScope::All, 2 * SECOND);
    assert_eq!(
        level(set, 1),
        RetryPolicy::IfNeverStarted,
        "the deduplication window may end before the last retry"
    );
}

#[test]
fn retries_stop_as_latency_grows() {
    let mut harness = Harness::running(settings(), 12);
    harness.run_for(4 * SECOND, |_| successful_stats(12, 500_000));
    assert_eq!(
        harness.admission[&(harness.assigned[&ProxyId(0)], ClassId(0))].0,
        RetryPolicy::IfNeverStarted
    );
    harness.run_for(6 * SECOND, |_| successful_stats(12, 900_000));
    assert_eq!(harness.admission[&(harness.assigned[&ProxyId(0)], ClassId(0))].0, RetryPolicy::Never);
}
