//! Limits the wake-ups of idle members and the delay after which learners apply committed entries. Guards
//! against timers and polls that cost CPU in an idle fleet. The paused clock advances only when the runtime's
//! thread parks, so each park counts as one wake-up.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stepspur_consensus::MemberId;
use stepspur_fault_tests::{Cluster, ClusterSettings};
use tokio::time::{Instant, sleep};

/// Time for elections and connections before a measurement.
const SETTLING: Duration = Duration::from_secs(5);
/// Duration of a measurement.
const IDLE: Duration = Duration::from_secs(10);
/// Maximum wake-ups per second of one member: ticks of a leader, heartbeats, a fetch, and what the in-memory
/// network adds to each.
const MAX_WAKES_PER_SECOND: u64 = 25;

/// Runs a test on a runtime with its own paused clock and passes it the number of parks so far.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Arc<AtomicU64>) -> F) {
    let park_count = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&park_count);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .on_thread_park(move || _ = counter.fetch_add(1, Ordering::Relaxed))
        .build()
        .expect("a runtime");
    runtime.block_on(test(park_count));
}

/// Wake-ups per second of all members together without any requests.
async fn idle_wakes_per_second(park_count: &AtomicU64) -> u64 {
    sleep(SETTLING).await;
    let before = park_count.load(Ordering::Relaxed);
    sleep(IDLE).await;
    (park_count.load(Ordering::Relaxed) - before) / IDLE.as_secs()
}

/// Waits until a member's status meets a condition, for at most 60 s.
async fn wait_for_status(
    cluster: &Cluster,
    id: MemberId,
    condition: &str,
    is_met: impl Fn(&stepspur_consensus_node::Status) -> bool,
) {
    let deadline = Instant::now() + Duration::from_secs(60);
    loop {
        let status = cluster.client(id).node().status().await.expect("the member runs");
        if is_met(&status) {
            return;
        }
        assert!(Instant::now() < deadline, "member {id} does not reach: {condition}; {status:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn idle_voters_stay_below_the_wake_limit() {
    run(async |park_count| {
        let cluster = Cluster::start(1, ClusterSettings { voters: 3, ..ClusterSettings::default() }).await;
        cluster.wait_for_leader(&[]).await;
        let wakes = idle_wakes_per_second(&park_count).await;
        println!("three voters: {wakes} wake-ups per second");
        assert!(wakes <= 3 * MAX_WAKES_PER_SECOND, "{wakes} wake-ups per second");
    });
}

#[test]
fn an_idle_learner_stays_below_the_wake_limit() {
    run(async |park_count| {
        let cluster =
            Cluster::start(1, ClusterSettings { voters: 3, learners: 1, ..ClusterSettings::default() }).await;
        cluster.wait_for_leader(&[]).await;
        let wakes = idle_wakes_per_second(&park_count).await;
        println!("three voters and a learner: {wakes} wake-ups per second");
        assert!(wakes <= 4 * MAX_WAKES_PER_SECOND, "{wakes} wake-ups per second");
    });
}

#[test]
fn an_idle_member_with_a_failed_disk_stays_below_the_wake_limit_and_still_applies_entries() {
    run(async |park_count| {
        let mut cluster =
            Cluster::start(1, ClusterSettings { voters: 3, ..ClusterSettings::default() }).await;
        let leader = cluster.wait_for_leader(&[]).await;
        let halted = MemberId(leader.0 % 3 + 1);
        cluster.disk(halted).fail_writes("no such device");
        let within = Duration::from_secs(5);
        cluster.add(leader, "north", 1, within).await.expect("two are a majority");
        wait_for_status(&cluster, halted, "it halts", |status| status.is_halted).await;
        let wakes = idle_wakes_per_second(&park_count).await;
        println!("two voters and one whose disk has failed: {wakes} wake-ups per second");
        assert!(wakes <= 3 * MAX_WAKES_PER_SECOND, "{wakes} wake-ups per second");
        cluster.add(leader, "north", 1, within).await.expect("two are a majority");
        cluster.wait_until_states_agree().await;
    });
}

#[test]
fn learners_apply_committed_entries_soon() {
    const CHANGES: u32 = 50;
    run(async |_| {
        for learners in [1, 10] {
            let mut cluster =
                Cluster::start(1, ClusterSettings { voters: 3, learners, ..ClusterSettings::default() })
                    .await;
            let leader = cluster.wait_for_leader(&[]).await;
            sleep(SETTLING).await;
            let (mut sum, mut max) = (Duration::ZERO, Duration::ZERO);
            for change in 0..CHANGES {
                // Commits at a different phase of the learners' fetch interval each time.
                sleep(Duration::from_millis(u64::from(change) * 37 % 1_000)).await;
                cluster.add(leader, "north", 1, Duration::from_secs(5)).await.expect("committed");
                let committed = cluster.client(leader).registry().applied();
                let start = Instant::now();
                for id in 4..=3 + learners {
                    let mut applied = cluster.client(MemberId(id)).node().applied();
                    applied.wait_for(|at| at.index >= committed).await.expect("the member runs");
                }
                sum += start.elapsed();
                max = max.max(start.elapsed());
            }
            let mean = sum / CHANGES;
            println!(
                "{learners} learners: the last applies an entry after {mean:?} on average, {max:?} at most"
            );
            assert!(mean < Duration::from_millis(20), "{learners} learners: {mean:?} on average");
            assert!(max < Duration::from_millis(100), "{learners} learners: {max:?} at most");
        }
    });
}
