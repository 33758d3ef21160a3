//! Consensus groups in virtual time: drifting clocks, slow disks, lost and late messages, cuts, stalls,
//! crashes.
//!
//! `SEEDS=10000 cargo test --release -p stepspur-consensus --test sim` simulates more than CI does.

mod world;

use stepspur_consensus::MembershipChange;
use world::{Plan, World, id};

fn seeds(default: u64) -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Random faults for 90 s, then none: no check fails, and in the end each role is held again.
#[test]
fn random_faults_violate_nothing_and_roles_are_held_again() {
    for seed in 0..seeds(150) {
        let voters = [3, 5, 4][seed as usize % 3];
        let mut world = World::new(Plan { voters, followers: 2, roles: 12, ..Plan::default() }, seed);
        world.random_faults(90_000_000);
        world.run(90_000_000);
        world.heal();
        world.run(30_000_000);
        world.assert_all_held_and_states_equal();
    }
}

#[test]
fn group_without_faults_elects_once_and_moves_no_role() {
    let mut world = World::new(Plan { voters: 5, followers: 3, roles: 50, ..Plan::default() }, 7);
    world.run(10_000_000);
    world.assert_all_held_and_states_equal();
    let (terms, grants) = (world.terms(), world.grants());
    world.run(600_000_000);
    assert_eq!((world.terms(), world.grants()), (terms, grants));
}

/// Pre-vote and check-quorum: the term stays while a link flaps twice a second for a minute.
#[test]
fn flapping_link_starts_no_election() {
    let mut world = World::new(Plan { voters: 5, ..Plan::default() }, 3);
    world.run(10_000_000);
    let leader = world.leader().unwrap();
    let (terms, other) = (world.terms(), (leader + 1) % 5);
    for _ in 0..120 {
        world.cut(other, None);
        world.run(250_000);
        world.heal();
        world.run(250_000);
    }
    assert_eq!(world.terms(), terms);
}

/// A member that receives nothing does not disrupt a leader, and a leader that receives nothing steps down.
#[test]
fn one_way_link_keeps_the_leader_unless_it_is_the_deaf_one() {
    let mut world = World::new(Plan { voters: 3, roles: 6, ..Plan::default() }, 5);
    world.run(10_000_000);
    let leader = world.leader().unwrap();
    let terms = world.terms();
    world.deafen((leader + 1) % 3);
    world.run(20_000_000);
    assert_eq!(world.terms(), terms, "a deaf member does not pass its pre-vote");
    world.heal();
    world.run(5_000_000);
    world.deafen(leader);
    world.run(20_000_000);
    assert_ne!(world.leader(), Some(leader), "a deaf leader steps down");
    world.heal();
    world.run(10_000_000);
    world.assert_all_held_and_states_equal();
}

/// The roles of a leader and a holder that are cut from the majority go to others, and never has one two
/// holders.
#[test]
fn leader_cut_from_the_majority_renews_nothing() {
    for seed in 0..20 {
        let mut world = World::new(Plan { voters: 5, roles: 20, ..Plan::default() }, seed);
        world.run(10_000_000);
        let leader = world.leader().unwrap();
        world.cut(leader, Some((leader + 1) % 5));
        world.run(30_000_000);
        assert!(world.held_by(leader) == 0 && world.held_by((leader + 1) % 5) == 0);
        world.heal();
        world.run(10_000_000);
        world.assert_all_held_and_states_equal();
    }
}

#[test]
fn even_split_of_four_grants_nothing() {
    let mut world = World::new(Plan { voters: 4, roles: 8, ..Plan::default() }, 11);
    world.run(10_000_000);
    world.split(&[0, 1]);
    world.run(20_000_000);
    assert_eq!((0..4).map(|k| world.held_by(k)).sum::<usize>(), 0);
    world.heal();
    world.run(10_000_000);
    world.assert_all_held_and_states_equal();
}

/// A holder that is stalled past its lease holds nothing when it wakes up.
#[test]
fn holder_stalled_past_its_lease_wakes_without_it() {
    for seed in 0..20 {
        let mut world = World::new(Plan { voters: 3, followers: 2, roles: 10, ..Plan::default() }, seed);
        world.run(10_000_000);
        let holder = (0..5).max_by_key(|k| world.held_by(*k)).unwrap();
        assert!(world.held_by(holder) > 0);
        world.stall(holder, 20_000_000);
        world.run(20_000_001);
        assert_eq!(world.held_by(holder), 0);
        world.run(15_000_000);
        world.assert_all_held_and_states_equal();
    }
}

/// All members are killed at once and started in any order: terms and tokens rise, nothing committed is lost.
#[test]
fn members_killed_at_once_recover_from_their_disks() {
    for seed in 0..20 {
        let mut world = World::new(Plan { voters: 5, roles: 10, ..Plan::default() }, seed);
        world.run(10_000_000);
        let (token, applied) = (world.highest_token(), world.last_applied());
        (0..5).for_each(|k| world.crash(k));
        world.run(1_000_000);
        for k in 0..5 {
            world.start((k + seed as usize) % 5);
            world.run(200_000);
        }
        world.run(20_000_000);
        world.assert_all_held_and_states_equal();
        assert!(world.last_applied() > applied);
        assert!(world.highest_token() >= token);
    }
}

/// From three voters to five and back while members crash and links break.
#[test]
fn membership_changes_under_faults_commit() {
    let changes = [
        MembershipChange::Add(id(3)),
        MembershipChange::Add(id(4)),
        MembershipChange::Remove(id(0)),
        MembershipChange::Remove(id(1)),
    ];
    for seed in 0..seeds(30).min(300) {
        let mut world = World::new(Plan { voters: 3, spares: 2, roles: 6, ..Plan::default() }, seed);
        world.run(10_000_000);
        world.random_faults(60_000_000);
        for change in changes {
            world.change_membership(change);
            world.run(15_000_000);
        }
        world.heal();
        world.run(30_000_000);
        for change in changes {
            world.change_membership_until_committed(change);
        }
        world.run(20_000_000);
        world.assert_all_held_and_states_equal();
        assert_eq!(world.voters(), [2, 3, 4]);
    }
}

/// A thousand roles on five conductors, and the holder of most dies: only its roles move, within 15 s.
#[test]
fn roles_of_a_dead_holder_move_and_no_others() {
    let mut world = World::new(Plan { voters: 5, roles: 1000, heavy: true, ..Plan::default() }, 1);
    world.run(20_000_000);
    world.assert_all_held_and_states_equal();
    let dead = (0..5).max_by_key(|k| world.held_by(*k)).unwrap();
    let (held, grants) = (world.held_by(dead), world.grants());
    assert!(held > 300, "{held}");
    world.crash(dead);
    world.run(15_000_000);
    assert_eq!((0..5).map(|k| world.held_by(k)).sum::<usize>(), 1000);
    assert_eq!(world.grants() - grants, held as u64, "only roles of the dead holder move");
}

/// The checker must detect clocks that drift beyond the configured bound.
#[test]
fn clocks_beyond_the_configured_drift_are_detected() {
    let caught = (0..40).any(|seed| {
        let plan = Plan {
            voters: 3,
            roles: 12,
            clock_drift_ppm: 400_000,
            panics_on_violation: false,
            ..Plan::default()
        };
        let mut world = World::new(plan, seed);
        world.random_faults(90_000_000);
        world.run(90_000_000);
        world.has_violations()
    });
    assert!(caught, "forty runs with clocks 40% off, and no violation");
}

/// A member with a stalled or failed disk steps down; the others go on.
#[test]
fn failed_or_stalled_disk_costs_its_member_only_the_leadership() {
    let mut world = World::new(Plan { voters: 3, roles: 6, ..Plan::default() }, 2);
    world.run(10_000_000);
    let leader = world.leader().unwrap();
    world.set_write_duration(leader, None);
    world.declare("after");
    world.run(20_000_000);
    assert!(world.leader().is_some_and(|now| now != leader), "a stalled disk");
    world.set_write_duration(leader, Some(2_000));
    world.run(10_000_000);
    world.fail_disk((leader + 1) % 3);
    world.run(20_000_000);
    assert!(world.leader().is_some_and(|now| now != (leader + 1) % 3), "a failed one");
    world.assert_all_held_and_states_equal();
}
