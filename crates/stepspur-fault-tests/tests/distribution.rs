//! Configuration to forty subscribers under one fault each, on the paused clock. After each fault every attached
//! subscriber has what was agreed on, no version went back, and nothing was said to be in force that was not.

use std::time::Duration;

use stepspur_distribution::document::{Change, Key};
use stepspur_distribution::scope_store::StoredScope;
use stepspur_distribution::subscriber::SubscriberStatus;
use stepspur_distribution::version::Version;
use stepspur_fault_tests::distribution::{ControlFleet, REGIONS};

const SUBSCRIBERS: usize = 40;
/// A change is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(5);
/// A subscriber finds that its control member is gone by three spans of silence, and another one within the longest
/// backoff and two dials.
const ELSEWHERE: Duration = Duration::from_secs(3 + 3 + 4);
/// How long a fault lasts.
const FAULT: Duration = Duration::from_secs(30);

/// A fleet in which some versions are in force everywhere.
async fn fleet(seed: u64) -> ControlFleet {
    let mut fleet = ControlFleet::start(seed, SUBSCRIBERS).await;
    fleet.propose_drawn(8).await;
    fleet.settles(IN_FORCE, &[]).await;
    fleet
}

/// Nothing is broken, the answers were looked at, and all control members hold what was agreed on.
async fn sound(fleet: &mut ControlFleet) {
    fleet.books_agree().await;
    let broken = fleet.verdict();
    assert!(broken.is_empty(), "{broken:?}");
    assert!(fleet.claims() > 100, "{} claims", fleet.claims());
}

/// Subscribers that are attached to this control member.
fn attached_to(fleet: &ControlFleet, id: u64) -> Vec<String> {
    let address = fleet.control_address(id);
    fleet.names().into_iter().filter(|name| fleet.status(name).control == Some(address)).collect()
}

#[tokio::test(start_paused = true)]
async fn changes_are_in_force_everywhere_and_the_leader_says_so() {
    let mut fleet = fleet(1).await;
    for _ in 0..10 {
        let version = fleet.propose_drawn(1).await;
        fleet.settles(IN_FORCE, &[]).await;
        fleet.everywhere(version, IN_FORCE).await;
    }
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_changes_is_in_force_everywhere() {
    let mut fleet = fleet(2).await;
    // Ten a second for a minute, as far as proposals one after the other allow.
    for _ in 0..60 {
        fleet.propose_drawn(10).await;
        fleet.settles(IN_FORCE, &[]).await;
    }
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_control_member_is_killed() {
    let mut fleet = fleet(3).await;
    let leader = fleet.leader(&[]).await;
    for id in fleet.control_ids().into_iter().filter(|id| *id != leader).collect::<Vec<_>>() {
        let lost = attached_to(&fleet, id);
        assert!(!lost.is_empty(), "nobody is attached to {id}");
        fleet.kill_control(id).await;
        fleet.propose_drawn(3).await;
        fleet.settles(IN_FORCE, &lost).await;
        let took = fleet.settles(ELSEWHERE, &[]).await;
        println!("{id}: its {} subscribers are level elsewhere after {took:?} more", lost.len());
        fleet.begin_control(id).await;
        fleet.propose_drawn(3).await;
        fleet.settles(IN_FORCE, &[]).await;
    }
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn the_leader_is_killed_in_mid_change() {
    let mut fleet = fleet(4).await;
    for _ in 0..5 {
        let leader = fleet.leader(&[]).await;
        fleet.kill_in_mid_change(leader).await;
        fleet.propose_drawn(3).await;
        fleet.settles(ELSEWHERE, &[]).await;
        fleet.begin_control(leader).await;
        fleet.propose_drawn(2).await;
        fleet.settles(IN_FORCE, &[]).await;
    }
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_region_is_cut_off_and_healed() {
    for region in ["south", "west", "island"] {
        let mut fleet = fleet(5).await;
        let leader = fleet.leader(&[]).await;
        if fleet.control_host(leader).region == region {
            fleet.kill_control(leader).await;
            fleet.leader(&[leader]).await;
            fleet.begin_control(leader).await;
            fleet.settles(ELSEWHERE, &[]).await;
        }
        let (lost, before) = (fleet.names_in(region), fleet.head());
        fleet.network().cut(region, true);
        for _ in 0..10 {
            fleet.propose_drawn(2).await;
            fleet.settles(IN_FORCE, &lost).await;
            fleet.pass(FAULT / 10).await;
        }
        for name in &lost {
            assert!(fleet.status(name).applied_version <= before, "{name} in {region} hears nothing");
        }
        fleet.network().cut(region, false);
        let took = fleet.settles(IN_FORCE, &[]).await;
        println!("{region}: level {took:?} after it was healed");
        sound(&mut fleet).await;
    }
}

#[tokio::test(start_paused = true)]
async fn the_leaders_region_is_cut_off_and_healed() {
    let mut fleet = fleet(6).await;
    let leader = fleet.leader(&[]).await;
    let region = fleet.control_host(leader).region;
    let lost = fleet.names_in(&region);
    fleet.network().cut(&region, true);
    fleet.leader(&[leader]).await;
    fleet.propose_drawn(10).await;
    fleet.settles(ELSEWHERE, &lost).await;
    fleet.pass(FAULT).await;
    fleet.network().cut(&region, false);
    fleet.settles(IN_FORCE, &[]).await;
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn all_control_is_away() {
    let mut fleet = fleet(7).await;
    let before: Vec<_> = fleet.names().iter().map(|name| fleet.engine(name).acts_by()).collect();
    for id in fleet.control_ids() {
        fleet.kill_control(id).await;
    }
    fleet.pass(FAULT).await;
    for (name, before) in fleet.names().into_iter().zip(before) {
        let SubscriberStatus { control, age_s, .. } = fleet.status(&name);
        assert_eq!((control, fleet.engine(&name).acts_by()), (None, before), "{name}");
        assert!(age_s.is_some_and(|age| (29.0..35.0).contains(&age)), "{name}: {age_s:?}");
    }
    all_control(&mut fleet).await;
    fleet.settles(ELSEWHERE, &[]).await;
    fleet.propose_drawn(3).await;
    fleet.settles(IN_FORCE, &[]).await;
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_tenth_of_the_subscribers_is_restarted_under_changes() {
    let mut fleet = fleet(8).await;
    for round in 0..5 {
        let restarted: Vec<String> = fleet.names().into_iter().skip(round).step_by(10).collect();
        for name in &restarted {
            fleet.end_subscriber(name).await;
        }
        fleet.propose_drawn(2).await;
        for name in &restarted {
            fleet.begin_subscriber(name).await;
        }
        fleet.propose_drawn(2).await;
        fleet.settles(IN_FORCE, &[]).await;
    }
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_control_member_stalls() {
    let mut fleet = fleet(9).await;
    let leader = fleet.leader(&[]).await;
    let stalled = fleet.control_ids().into_iter().find(|id| *id != leader).expect("there are five");
    let lost = attached_to(&fleet, stalled);
    fleet.network().stall(&fleet.control_host(stalled), true);
    fleet.propose_drawn(5).await;
    fleet.settles(IN_FORCE, &lost).await;
    fleet.settles(ELSEWHERE, &[]).await;
    fleet.network().stall(&fleet.control_host(stalled), false);
    fleet.propose_drawn(5).await;
    fleet.settles(IN_FORCE, &[]).await;
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_subscriber_holds_up_nobody_and_catches_up() {
    let mut fleet = fleet(10).await;
    let slow = vec![fleet.names()[7].clone()];
    fleet.network().slow(&fleet.host(&slow[0]), Duration::from_millis(700));
    fleet.engine(&slow[0]).takes(Duration::from_millis(300));
    for _ in 0..20 {
        fleet.propose_drawn(5).await;
        fleet.settles(IN_FORCE, &slow).await;
    }
    fleet.network().heal();
    fleet.engine(&slow[0]).takes(Duration::ZERO);
    fleet.settles(ELSEWHERE, &[]).await;
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn slow_engines_are_not_said_to_act_before_they_do() {
    let mut fleet = fleet(12).await;
    for name in fleet.names() {
        fleet.engine(&name).takes(Duration::from_millis(900));
    }
    for _ in 0..10 {
        fleet.propose_drawn(1).await;
        fleet.pass(Duration::from_secs(3)).await;
    }
    fleet.settles(ELSEWHERE, &[]).await;
    sound(&mut fleet).await;
}

#[tokio::test(start_paused = true)]
async fn an_older_disk_is_put_back() {
    let mut fleet = fleet(11).await;
    let name = fleet.names()[3].clone();
    let older = fleet.kept(&name);
    fleet.propose_drawn(20).await;
    // Something that the older disk holds stands no longer.
    let lifted = older.as_ref().and_then(|kept| kept.documents.first()).expect("it holds a document").clone();
    let Key { scope, target } = lifted.key;
    fleet.propose(vec![Change { scope, target, setting: None }]).await;
    fleet.settles(IN_FORCE, &[]).await;
    fleet.put_back(&name, older.clone()).await;
    fleet.settles(IN_FORCE, &[]).await;
    fleet.put_back(&name, None).await;
    fleet.settles(IN_FORCE, &[]).await;
    // As after its interest has grown: old documents are in force, and all is asked for.
    let older = older.map(|kept| StoredScope { version: Version::NONE, ..kept });
    fleet.put_back(&name, older).await;
    fleet.settles(IN_FORCE, &[]).await;
    fleet.propose_drawn(3).await;
    fleet.settles(IN_FORCE, &[]).await;
    sound(&mut fleet).await;
}

/// Some faults, by the seed, then all is healed.
async fn course(seed: u64) -> (Version, usize) {
    let mut fleet = fleet(seed).await;
    for _ in 0..8 {
        fault(&mut fleet).await;
        let versions = 1 + fleet.draw(3) as usize;
        fleet.propose_drawn(versions).await;
        let span = Duration::from_millis(fleet.draw(6_000));
        fleet.pass(span).await;
    }
    all_control(&mut fleet).await;
    for name in fleet.names() {
        fleet.begin_subscriber(&name).await;
    }
    fleet.propose_drawn(1).await;
    fleet.settles(ELSEWHERE, &[]).await;
    sound(&mut fleet).await;
    (fleet.head(), fleet.claims())
}

/// Heals the network, and starts all control members that are away.
async fn all_control(fleet: &mut ControlFleet) {
    fleet.network().heal();
    for id in fleet.control_ids() {
        fleet.begin_control(id).await;
    }
}

/// A fault that leaves two voters who reach each other.
async fn fault(fleet: &mut ControlFleet) {
    let names = fleet.names();
    let name = names[fleet.draw(names.len() as u64) as usize].clone();
    let control = 1 + fleet.draw(5);
    match fleet.draw(8) {
        0 => {
            all_control(fleet).await;
            fleet.kill_control(control).await;
        }
        1 => {
            all_control(fleet).await;
            let region = REGIONS[fleet.draw(REGIONS.len() as u64) as usize];
            fleet.network().cut(region, true);
        }
        2 => fleet.end_subscriber(&name).await,
        3 => fleet.begin_subscriber(&name).await,
        4 => {
            let older = fleet.kept(&name);
            fleet.propose_drawn(1).await;
            fleet.put_back(&name, older).await;
        }
        5 => {
            let delay = Duration::from_millis(fleet.draw(500));
            fleet.network().slow(&fleet.host(&name), delay);
        }
        6 => {
            all_control(fleet).await;
            fleet.network().stall(&fleet.control_host(control), true);
        }
        _ => fleet.network().heal(),
    }
}

#[test]
fn random_faults_by_seed() {
    let seeds = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(6);
    for seed in 100..100 + seeds {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        let (head, claims) = runtime.expect("a runtime").block_on(course(seed));
        println!("seed {seed}: up to version {head}, {claims} claims");
    }
}
