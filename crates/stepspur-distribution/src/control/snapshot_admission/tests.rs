use tokio::task::JoinSet;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn admit_by_two_requesters_alternates_at_the_rate_limit() {
    let admission = Arc::new(SnapshotAdmission::new(1_000));
    // The rate is used up, so that both requesters below have to wait.
    admission.admit(500).await;
    let (began, mut tasks) = (Instant::now(), JoinSet::new());
    for name in ["a", "b"] {
        let admission = Arc::clone(&admission);
        tasks.spawn(async move {
            let mut times = Vec::new();
            for _ in 0..3 {
                admission.admit(500).await;
                times.push((began.elapsed(), name));
            }
            times
        });
    }
    let mut times: Vec<_> = tasks.join_all().await.into_iter().flatten().collect();
    times.sort();
    let order: Vec<&str> = times.iter().map(|(_, name)| *name).collect();
    assert!(order.windows(2).all(|two| two[0] != two[1]), "{order:?}");
    let last = times.last().unwrap().0;
    assert!((SECOND * 3..SECOND * 31 / 10).contains(&last), "{last:?}");
}

#[tokio::test(start_paused = true)]
async fn admit_that_is_dropped_uses_no_rate() {
    let admission = SnapshotAdmission::new(1_000);
    admission.admit(1_000).await;
    let (began, short) = (Instant::now(), SECOND / 2);
    assert!(tokio::time::timeout(short, admission.admit(100_000)).await.is_err());
    admission.admit(1).await;
    assert!(began.elapsed() < SECOND * 11 / 10, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn reserve_memory_beyond_the_limit_waits_and_a_larger_snapshot_takes_all() {
    let admission = SnapshotAdmission::new(1_000);
    let all = admission.reserve_memory(usize::MAX).await.unwrap();
    assert!(tokio::time::timeout(SECOND, admission.reserve_memory(1)).await.is_err());
    drop(all);
    let one = admission.reserve_memory(1).await.unwrap();
    let other = admission.reserve_memory(PERMIT_BYTES * (MAX_PERMITS as usize - 1)).await.unwrap();
    assert!(tokio::time::timeout(SECOND, admission.reserve_memory(1)).await.is_err());
    drop((one, other));
}
