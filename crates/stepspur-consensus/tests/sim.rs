//! Councils in virtual time: drifting clocks, slow disks, lost and late messages, cuts, stalls, crashes.
//!
//! `SEEDS=10000 cargo test --release -p stepspur-consensus --test sim` plays more than CI does.

mod world;

use world::{Plan, World};

fn seeds(usual: u64) -> u64 {
    std::env::var("SEEDS").ok().and_then(|many| many.parse().ok()).unwrap_or(usual)
}

/// Random faults for a minute and a half, then peace: nothing is broken, and in the end each duty is held again.
#[test]
fn random_faults_break_nothing_and_duties_are_held_again() {
    for seed in 0..seeds(150) {
        let voters = [3, 5, 4][seed as usize % 3];
        let mut world = World::new(Plan { voters, followers: 2, duties: 12, ..Plan::default() }, seed);
        world.faults(90_000_000);
        world.run(90_000_000);
        world.heal();
        world.run(30_000_000);
        world.all_held_and_alike();
    }
}

#[test]
fn without_faults_there_is_one_election_and_no_duty_changes_hands() {
    let mut world = World::new(Plan { voters: 5, followers: 3, duties: 50, ..Plan::default() }, 7);
    world.run(10_000_000);
    world.all_held_and_alike();
    let (terms, changes) = (world.terms(), world.changes());
    world.run(600_000_000);
    assert_eq!((world.terms(), world.changes()), (terms, changes));
}

/// Terms stay while a link flaps twice a second for a minute: pre-vote and check-quorum.
#[test]
fn a_flapping_link_starts_no_election() {
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

/// One that hears nobody and is heard by all, and the reverse: neither takes the lead from a majority.
#[test]
fn a_one_way_link_takes_no_lead_and_a_leader_that_hears_nobody_gives_it_up() {
    let mut world = World::new(Plan { voters: 3, duties: 6, ..Plan::default() }, 5);
    world.run(10_000_000);
    let leader = world.leader().unwrap();
    let terms = world.terms();
    world.deaf((leader + 1) % 3);
    world.run(20_000_000);
    assert_eq!(world.terms(), terms, "one that hears nobody asks before it stands");
    world.heal();
    world.run(5_000_000);
    world.deaf(leader);
    world.run(20_000_000);
    assert_ne!(world.leader(), Some(leader), "a leader that hears no majority steps down");
    world.heal();
    world.run(10_000_000);
    world.all_held_and_alike();
}

/// A leader with its holders cut from the majority: its duties go to others, and never two hold one.
#[test]
fn a_leader_cut_from_the_majority_renews_nothing() {
    for seed in 0..20 {
        let mut world = World::new(Plan { voters: 5, duties: 20, ..Plan::default() }, seed);
        world.run(10_000_000);
        let leader = world.leader().unwrap();
        world.cut(leader, Some((leader + 1) % 5));
        world.run(30_000_000);
        assert!(world.held_by(leader) == 0 && world.held_by((leader + 1) % 5) == 0);
        world.heal();
        world.run(10_000_000);
        world.all_held_and_alike();
    }
}

#[test]
fn an_even_split_of_four_grants_nothing() {
    let mut world = World::new(Plan { voters: 4, duties: 8, ..Plan::default() }, 11);
    world.run(10_000_000);
    world.split(&[0, 1]);
    world.run(20_000_000);
    assert_eq!((0..4).map(|k| world.held_by(k)).sum::<usize>(), 0);
    world.heal();
    world.run(10_000_000);
    world.all_held_and_alike();
}

/// A holder stopped past its lease that wakes up holds nothing, and its token is lower than the next one's.
#[test]
fn a_holder_that_is_stopped_past_its_lease_wakes_without_it() {
    for seed in 0..20 {
        let mut world = World::new(Plan { voters: 3, followers: 2, duties: 10, ..Plan::default() }, seed);
        world.run(10_000_000);
        let holder = (0..5).max_by_key(|k| world.held_by(*k)).unwrap();
        assert!(world.held_by(holder) > 0);
        world.stall(holder, 20_000_000);
        world.run(20_000_001);
        assert_eq!(world.held_by(holder), 0);
        world.run(15_000_000);
        world.all_held_and_alike();
    }
}

/// All killed at once and started in any order: terms and tokens rise, nothing agreed is lost.
#[test]
fn all_killed_at_once_go_on_from_their_disks() {
    for seed in 0..20 {
        let mut world = World::new(Plan { voters: 5, duties: 10, ..Plan::default() }, seed);
        world.run(10_000_000);
        let (token, agreed) = (world.highest_token(), world.agreed());
        (0..5).for_each(|k| world.crash(k));
        world.run(1_000_000);
        for k in 0..5 {
            world.start((k + seed as usize) % 5);
            world.run(200_000);
        }
        world.run(20_000_000);
        world.all_held_and_alike();
        assert!(world.agreed() > agreed);
        assert!(world.highest_token() >= token);
    }
}

/// From three to five and back while members crash and links break.
#[test]
fn members_change_under_faults() {
    for seed in 0..seeds(30).min(300) {
        let mut world = World::new(Plan { voters: 3, spare: 2, duties: 6, ..Plan::default() }, seed);
        world.run(10_000_000);
        world.faults(60_000_000);
        for (add, member) in [(true, 3), (true, 4), (false, 0), (false, 1)] {
            world.change(add, member);
            world.run(15_000_000);
        }
        world.heal();
        world.run(30_000_000);
        for (add, member) in [(true, 3), (true, 4), (false, 0), (false, 1)] {
            world.change_surely(add, member);
        }
        world.run(20_000_000);
        world.all_held_and_alike();
        assert_eq!(world.voters(), [2, 3, 4]);
    }
}

/// A thousand duties on five conductors while the holder of most dies: what it held moves within its bound.
#[test]
fn a_thousand_duties_move_when_their_holder_dies_and_no_others() {
    let mut world = World::new(Plan { voters: 5, duties: 1000, heavy: true, ..Plan::default() }, 1);
    world.run(20_000_000);
    world.all_held_and_alike();
    let dead = (0..5).max_by_key(|k| world.held_by(*k)).unwrap();
    let (held, changes) = (world.held_by(dead), world.changes());
    assert!(held > 300, "{held}");
    world.crash(dead);
    world.run(15_000_000);
    assert_eq!((0..5).map(|k| world.held_by(k)).sum::<usize>(), 1000);
    assert_eq!(world.changes() - changes, held as u64, "only what the dead one held has moved");
}

/// The judge must catch clocks that drift beyond the stated bound.
#[test]
fn clocks_beyond_the_stated_drift_are_caught() {
    let caught = (0..40).any(|seed| {
        let plan = Plan { voters: 3, duties: 12, drift: 400_000, checked: false, ..Plan::default() };
        let mut world = World::new(plan, seed);
        world.faults(90_000_000);
        world.run(90_000_000);
        world.broken()
    });
    assert!(caught, "forty runs with clocks 40% off, and never two holders at once");
}

/// A disk that fails retires its member; the others go on.
#[test]
fn a_disk_that_fails_or_stalls_costs_its_member_the_lead_and_nothing_else() {
    let mut world = World::new(Plan { voters: 3, duties: 6, ..Plan::default() }, 2);
    world.run(10_000_000);
    let leader = world.leader().unwrap();
    world.disk(leader, None);
    world.declare("after");
    world.run(20_000_000);
    assert!(world.leader().is_some_and(|now| now != leader), "a stalled disk");
    world.disk(leader, Some(2_000));
    world.run(10_000_000);
    world.fail_disk((leader + 1) % 3);
    world.run(20_000_000);
    assert!(world.leader().is_some_and(|now| now != (leader + 1) % 3), "a failed one");
    world.all_held_and_alike();
}
