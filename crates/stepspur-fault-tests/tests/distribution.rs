//! Distributes configuration to forty subscribers, with one kind of fault per test and random faults in the
//! last one, on a paused clock. Guards against a subscriber that stays behind or differs from the committed
//! documents after a fault, a version that decreases, and a version that is reported as applied where it is
//! not.

use std::time::Duration;

use stepspur_distribution::document::{Change, Key};
use stepspur_distribution::scope_store::StoredScope;
use stepspur_distribution::subscriber::SubscriberStatus;
use stepspur_distribution::version::Version;
use stepspur_fault_tests::distribution::{ControlFleet, REGIONS};

const SUBSCRIBER_COUNT: usize = 40;
/// Time limit within which a change is applied at all connected subscribers.
const APPLY_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for subscribers that lose their control member: three keep-alive intervals to detect it, 3 s
/// for the longest backoff, and two dials of 2 s each.
const FAILOVER_LIMIT: Duration = Duration::from_secs(3 + 3 + 4);
/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_secs(30);

/// A fleet in which eight versions are applied everywhere.
async fn fleet(seed: u64) -> ControlFleet {
    let mut fleet = ControlFleet::start(seed, SUBSCRIBER_COUNT).await;
    fleet.propose_random(8).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    fleet
}

/// Checks that no invariant was violated, that enough claims were checked, and that all control members have
/// the committed documents.
async fn assert_invariants_hold(fleet: &mut ControlFleet) {
    fleet.wait_until_control_agrees().await;
    let violations = fleet.violations();
    assert!(violations.is_empty(), "{violations:?}");
    assert!(fleet.claim_count() > 100, "only {} claims were checked", fleet.claim_count());
}

/// Subscribers that are connected to this control member.
fn connected_to(fleet: &ControlFleet, id: u64) -> Vec<String> {
    let address = fleet.control_address(id);
    fleet.subscriber_names().into_iter().filter(|name| fleet.status(name).control == Some(address)).collect()
}

#[tokio::test(start_paused = true)]
async fn changes_are_applied_and_reported_as_applied_everywhere() {
    let mut fleet = fleet(1).await;
    for _ in 0..10 {
        let version = fleet.propose_random(1).await;
        fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
        fleet.wait_until_applied_everywhere(version, APPLY_LIMIT).await;
    }
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_changes_is_applied_everywhere() {
    let mut fleet = fleet(2).await;
    // 600 versions: ten a second for a minute, as far as sequential proposals allow.
    for _ in 0..60 {
        fleet.propose_random(10).await;
        fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    }
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn subscribers_fail_over_when_a_control_member_is_killed() {
    let mut fleet = fleet(3).await;
    let leader = fleet.wait_for_leader(&[]).await;
    for id in fleet.control_ids().into_iter().filter(|id| *id != leader).collect::<Vec<_>>() {
        let disconnected = connected_to(&fleet, id);
        assert!(!disconnected.is_empty(), "no subscriber is connected to control member {id}");
        fleet.kill_control(id).await;
        fleet.propose_random(3).await;
        fleet.wait_until_in_sync(APPLY_LIMIT, &disconnected).await;
        let took = fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
        println!(
            "control member {id}: its {} subscribers are in sync through others after {took:?} more",
            disconnected.len()
        );
        fleet.start_control(id).await;
        fleet.propose_random(3).await;
        fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    }
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_survives_a_crash_of_the_leader_during_its_proposal() {
    let mut fleet = fleet(4).await;
    for _ in 0..5 {
        let leader = fleet.wait_for_leader(&[]).await;
        fleet.kill_during_proposal(leader).await;
        fleet.propose_random(3).await;
        fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
        fleet.start_control(leader).await;
        fleet.propose_random(2).await;
        fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    }
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_region_catches_up_after_it_is_healed() {
    for region in ["south", "west", "island"] {
        let mut fleet = fleet(5).await;
        let leader = fleet.wait_for_leader(&[]).await;
        if fleet.control_host(leader).region == region {
            fleet.kill_control(leader).await;
            fleet.wait_for_leader(&[leader]).await;
            fleet.start_control(leader).await;
            fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
        }
        let (disconnected, before) = (fleet.subscriber_names_in(region), fleet.last_version());
        fleet.network().set_partitioned(region, true);
        for _ in 0..10 {
            fleet.propose_random(2).await;
            fleet.wait_until_in_sync(APPLY_LIMIT, &disconnected).await;
            fleet.run_for(FAULT_DURATION / 10).await;
        }
        for name in &disconnected {
            assert!(
                fleet.status(name).applied_version <= before,
                "{name} in the partitioned region {region} received a change"
            );
        }
        fleet.network().set_partitioned(region, false);
        let took = fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
        println!("{region}: in sync {took:?} after the partition ended");
        assert_invariants_hold(&mut fleet).await;
    }
}

#[tokio::test(start_paused = true)]
async fn changes_continue_when_the_leaders_region_is_partitioned() {
    let mut fleet = fleet(6).await;
    let leader = fleet.wait_for_leader(&[]).await;
    let region = fleet.control_host(leader).region;
    let disconnected = fleet.subscriber_names_in(&region);
    fleet.network().set_partitioned(&region, true);
    fleet.wait_for_leader(&[leader]).await;
    fleet.propose_random(10).await;
    fleet.wait_until_in_sync(FAILOVER_LIMIT, &disconnected).await;
    fleet.run_for(FAULT_DURATION).await;
    fleet.network().set_partitioned(&region, false);
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn engines_keep_their_documents_while_all_control_members_are_down() {
    let mut fleet = fleet(7).await;
    let before: Vec<_> = fleet.subscriber_names().iter().map(|name| fleet.engine(name).in_effect()).collect();
    for id in fleet.control_ids() {
        fleet.kill_control(id).await;
    }
    fleet.run_for(FAULT_DURATION).await;
    for (name, before) in fleet.subscriber_names().into_iter().zip(before) {
        let SubscriberStatus { control, age_s, .. } = fleet.status(&name);
        assert_eq!((control, fleet.engine(&name).in_effect()), (None, before), "{name}");
        assert!(age_s.is_some_and(|age| (29.0..35.0).contains(&age)), "{name}: {age_s:?}");
    }
    heal_control(&mut fleet).await;
    fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
    fleet.propose_random(3).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_tenth_of_the_subscribers_restarts_during_changes() {
    let mut fleet = fleet(8).await;
    for round in 0..5 {
        let restarted: Vec<String> = fleet.subscriber_names().into_iter().skip(round).step_by(10).collect();
        for name in &restarted {
            fleet.stop_subscriber(name).await;
        }
        fleet.propose_random(2).await;
        for name in &restarted {
            fleet.start_subscriber(name).await;
        }
        fleet.propose_random(2).await;
        fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    }
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn subscribers_fail_over_when_a_control_member_stalls() {
    let mut fleet = fleet(9).await;
    let leader = fleet.wait_for_leader(&[]).await;
    let stalled =
        fleet.control_ids().into_iter().find(|id| *id != leader).expect("there are five control members");
    let disconnected = connected_to(&fleet, stalled);
    fleet.network().set_stalled(&fleet.control_host(stalled), true);
    fleet.propose_random(5).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &disconnected).await;
    fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
    fleet.network().set_stalled(&fleet.control_host(stalled), false);
    fleet.propose_random(5).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_subscriber_delays_no_other_and_catches_up() {
    let mut fleet = fleet(10).await;
    let slow = vec![fleet.subscriber_names()[7].clone()];
    fleet.network().set_delay(&fleet.subscriber_host(&slow[0]), Duration::from_millis(700));
    fleet.engine(&slow[0]).set_apply_latency(Duration::from_millis(300));
    for _ in 0..20 {
        fleet.propose_random(5).await;
        fleet.wait_until_in_sync(APPLY_LIMIT, &slow).await;
    }
    fleet.network().heal();
    fleet.engine(&slow[0]).set_apply_latency(Duration::ZERO);
    fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_version_is_not_reported_as_applied_before_slow_engines_apply_it() {
    let mut fleet = fleet(12).await;
    for name in fleet.subscriber_names() {
        fleet.engine(&name).set_apply_latency(Duration::from_millis(900));
    }
    for _ in 0..10 {
        fleet.propose_random(1).await;
        fleet.run_for(Duration::from_secs(3)).await;
    }
    fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
    assert_invariants_hold(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_subscriber_recovers_from_an_older_or_empty_disk() {
    let mut fleet = fleet(11).await;
    let name = fleet.subscriber_names()[3].clone();
    let older = fleet.stored(&name);
    fleet.propose_random(20).await;
    // Removes a document that the older disk still holds.
    let removed = older
        .as_ref()
        .and_then(|stored| stored.documents.first())
        .expect("the disk holds a document")
        .clone();
    let Key { scope, target } = removed.key;
    fleet.propose(vec![Change { scope, target, setting: None }]).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    fleet.restore_disk(&name, older.clone()).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    fleet.restore_disk(&name, None).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    // As after an extension of its interest: old documents are in effect, and it requests all documents.
    let older = older.map(|stored| StoredScope { version: Version::NONE, ..stored });
    fleet.restore_disk(&name, older).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    fleet.propose_random(3).await;
    fleet.wait_until_in_sync(APPLY_LIMIT, &[]).await;
    assert_invariants_hold(&mut fleet).await;
}

/// Injects eight random faults, heals all, and returns the last version and the number of claims.
async fn run_random_faults(seed: u64) -> (Version, usize) {
    let mut fleet = fleet(seed).await;
    for _ in 0..8 {
        inject_random_fault(&mut fleet).await;
        let versions = 1 + fleet.random_below(3) as usize;
        fleet.propose_random(versions).await;
        let span = Duration::from_millis(fleet.random_below(6_000));
        fleet.run_for(span).await;
    }
    heal_control(&mut fleet).await;
    for name in fleet.subscriber_names() {
        fleet.start_subscriber(&name).await;
    }
    fleet.propose_random(1).await;
    fleet.wait_until_in_sync(FAILOVER_LIMIT, &[]).await;
    assert_invariants_hold(&mut fleet).await;
    (fleet.last_version(), fleet.claim_count())
}

/// Heals the network and starts all control members that do not run.
async fn heal_control(fleet: &mut ControlFleet) {
    fleet.network().heal();
    for id in fleet.control_ids() {
        fleet.start_control(id).await;
    }
}

/// Injects a random fault that leaves a majority of voters connected to each other.
async fn inject_random_fault(fleet: &mut ControlFleet) {
    let names = fleet.subscriber_names();
    let name = names[fleet.random_below(names.len() as u64) as usize].clone();
    let control = 1 + fleet.random_below(5);
    match fleet.random_below(8) {
        0 => {
            heal_control(fleet).await;
            fleet.kill_control(control).await;
        }
        1 => {
            heal_control(fleet).await;
            let region = REGIONS[fleet.random_below(REGIONS.len() as u64) as usize];
            fleet.network().set_partitioned(region, true);
        }
        2 => fleet.stop_subscriber(&name).await,
        3 => fleet.start_subscriber(&name).await,
        4 => {
            let older = fleet.stored(&name);
            fleet.propose_random(1).await;
            fleet.restore_disk(&name, older).await;
        }
        5 => {
            let delay = Duration::from_millis(fleet.random_below(500));
            fleet.network().set_delay(&fleet.subscriber_host(&name), delay);
        }
        6 => {
            heal_control(fleet).await;
            fleet.network().set_stalled(&fleet.control_host(control), true);
        }
        _ => fleet.network().heal(),
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    let seeds = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(6);
    for seed in 100..100 + seeds {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let (last_version, claims) = runtime.expect("a runtime").block_on(run_random_faults(seed));
        println!("seed {seed}: last version {last_version}, {claims} claims");
    }
}
