//! What members cost that have nothing to do, and how soon a follower has what is agreed: the program's own tasks on a
//! paused clock. The clock moves on only when the runtime's thread parks, so each park is one wake for a time.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stepspur_consensus::MemberId;
use stepspur_fault_tests::{Fleet, Shape};
use tokio::time::{Instant, sleep};

const SETTLING: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(10);
/// Wakes a second of one member: a leader's turns, heartbeats, a fetch, and what the network in memory adds to each.
const WAKES_MOST: u64 = 25;

/// Runs on a thread of its own clock; gives how often it may be asked that it was parked.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Arc<AtomicU64>) -> F) {
    let parked = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&parked);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .on_thread_park(move || _ = counter.fetch_add(1, Ordering::Relaxed))
        .build()
        .expect("a runtime");
    runtime.block_on(test(parked));
}

/// Wakes a second of all members together while nothing is asked of them.
async fn idle_wakes(parked: &AtomicU64) -> u64 {
    sleep(SETTLING).await;
    let before = parked.load(Ordering::Relaxed);
    sleep(IDLE).await;
    (parked.load(Ordering::Relaxed) - before) / IDLE.as_secs()
}

/// Nobody may wait in vain for a member's state.
async fn until(
    fleet: &Fleet,
    id: MemberId,
    what: &str,
    wanted: impl Fn(&stepspur_consensus_node::Status) -> bool,
) {
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        let status = fleet.shared(id).node().status().await.expect("it runs");
        if wanted(&status) {
            return;
        }
        assert!(Instant::now() < end, "in vain: {what}; {status:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn idle_voters_wake_seldom() {
    run(async |parked| {
        let fleet = Fleet::start(1, Shape { voters: 3, ..Shape::default() }).await;
        fleet.leader(&[]).await;
        let wakes = idle_wakes(&parked).await;
        println!("three voters: {wakes} wakes a second");
        assert!(wakes <= 3 * WAKES_MOST, "{wakes} wakes a second");
    });
}

#[test]
fn an_idle_follower_wakes_seldom() {
    run(async |parked| {
        let fleet = Fleet::start(1, Shape { voters: 3, learners: 1, ..Shape::default() }).await;
        fleet.leader(&[]).await;
        let wakes = idle_wakes(&parked).await;
        println!("three voters and a follower: {wakes} wakes a second");
        assert!(wakes <= 4 * WAKES_MOST, "{wakes} wakes a second");
    });
}

#[test]
fn an_idle_member_whose_disk_has_failed_wakes_seldom_and_follows() {
    run(async |parked| {
        let mut fleet = Fleet::start(1, Shape { voters: 3, ..Shape::default() }).await;
        let leader = fleet.leader(&[]).await;
        let retired = MemberId(leader.0 % 3 + 1);
        fleet.image(retired).fail("gone");
        let within = Duration::from_secs(5);
        fleet.add(leader, "north", 1, within).await.expect("two are a majority");
        until(&fleet, retired, "it retires", |status| status.is_halted).await;
        let wakes = idle_wakes(&parked).await;
        println!("two voters and one whose disk has failed: {wakes} wakes a second");
        assert!(wakes <= 3 * WAKES_MOST, "{wakes} wakes a second");
        fleet.add(leader, "north", 1, within).await.expect("two are a majority");
        fleet.agrees().await;
    });
}

#[test]
fn followers_have_what_is_agreed_soon() {
    const CHANGES: u32 = 50;
    run(async |_| {
        for learners in [1, 10] {
            let mut fleet = Fleet::start(1, Shape { voters: 3, learners, ..Shape::default() }).await;
            let leader = fleet.leader(&[]).await;
            sleep(SETTLING).await;
            let (mut sum, mut most) = (Duration::ZERO, Duration::ZERO);
            for change in 0..CHANGES {
                // At another place of each fetch's span every time.
                sleep(Duration::from_millis(u64::from(change) * 37 % 1_000)).await;
                fleet.add(leader, "north", 1, Duration::from_secs(5)).await.expect("agreed");
                let agreed = fleet.shared(leader).registry().applied();
                let from = Instant::now();
                for id in 4..=3 + learners {
                    let mut applied = fleet.shared(MemberId(id)).node().applied();
                    applied.wait_for(|at| at.index >= agreed).await.expect("it runs");
                }
                sum += from.elapsed();
                most = most.max(from.elapsed());
            }
            let mean = sum / CHANGES;
            println!("{learners} followers: the last has it after {mean:?} in the mean, {most:?} at most");
            assert!(mean < Duration::from_millis(20), "{learners} followers: {mean:?} in the mean");
            assert!(most < Duration::from_millis(100), "{learners} followers: {most:?} at most");
        }
    });
}
