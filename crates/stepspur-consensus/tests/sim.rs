//! Consensus groups in virtual time, with drifting clocks, slow or failed disks, lost and delayed messages,
//! partitions, stalled processes and crashes. The simulation checks its invariants at each step.
//!
//! `SEEDS=10000 cargo test --release -p stepspur-consensus --test sim` runs more seeds than CI does.

mod simulation;

use simulation::{Simulation, SimulationConfig, id};
use stepspur_consensus::MembershipChange;

/// Returns the number of seeds to run: the environment variable `SEEDS`, or `default`.
fn seeds(default: u64) -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A combination of faults could violate an invariant, such as two holders of a role, or leave a role without
/// a holder after the faults have ended. Faults last for 90 s.
#[test]
fn random_faults_violate_no_invariant_and_roles_are_held_again() {
    for seed in 0..seeds(150) {
        let voters = [3, 5, 4][seed as usize % 3];
        let mut simulation = Simulation::new(
            SimulationConfig { voters, followers: 2, roles: 12, ..SimulationConfig::default() },
            seed,
        );
        simulation.random_faults(90_000_000);
        simulation.run(90_000_000);
        simulation.heal();
        simulation.run(30_000_000);
        simulation.assert_all_held_and_states_equal();
    }
}

/// A heartbeat or renewal that is late by normal delays could cause an election or move a role for no reason.
#[test]
fn group_without_faults_elects_once_and_moves_no_role() {
    let mut simulation = Simulation::new(
        SimulationConfig { voters: 5, followers: 3, roles: 50, ..SimulationConfig::default() },
        7,
    );
    simulation.run(10_000_000);
    simulation.assert_all_held_and_states_equal();
    let (terms, grants) = (simulation.terms(), simulation.grants());
    simulation.run(600_000_000);
    assert_eq!((simulation.terms(), simulation.grants()), (terms, grants));
}

/// Without pre-vote and check-quorum, a member whose links fail twice per second for a minute would increase
/// its term again and again and force the leader to step down.
#[test]
fn flapping_link_starts_no_election() {
    let mut simulation = Simulation::new(SimulationConfig { voters: 5, ..SimulationConfig::default() }, 3);
    simulation.run(10_000_000);
    let leader = simulation.leader().unwrap();
    let (terms, other) = (simulation.terms(), (leader + 1) % 5);
    for _ in 0..120 {
        simulation.isolate(other, None);
        simulation.run(250_000);
        simulation.heal();
        simulation.run(250_000);
    }
    assert_eq!(simulation.terms(), terms);
}

/// A member that receives nothing but can send could disrupt the leader by its elections. A leader that
/// receives nothing could suppress elections by its heartbeats although it can commit nothing.
#[test]
fn one_way_link_deposes_only_a_leader_that_receives_nothing() {
    let mut simulation =
        Simulation::new(SimulationConfig { voters: 3, roles: 6, ..SimulationConfig::default() }, 5);
    simulation.run(10_000_000);
    let leader = simulation.leader().unwrap();
    let terms = simulation.terms();
    simulation.cut_inbound((leader + 1) % 3);
    simulation.run(20_000_000);
    assert_eq!(simulation.terms(), terms, "a member that receives nothing gets no pre-votes");
    simulation.heal();
    simulation.run(5_000_000);
    simulation.cut_inbound(leader);
    simulation.run(20_000_000);
    assert_ne!(simulation.leader(), Some(leader), "a leader that receives nothing steps down");
    simulation.heal();
    simulation.run(10_000_000);
    simulation.assert_all_held_and_states_equal();
}

/// A leader in a minority could go on to renew leases, for itself and the other member there, while the
/// majority grants the roles to others.
#[test]
fn leader_in_a_minority_renews_no_lease() {
    for seed in 0..20 {
        let mut simulation =
            Simulation::new(SimulationConfig { voters: 5, roles: 20, ..SimulationConfig::default() }, seed);
        simulation.run(10_000_000);
        let leader = simulation.leader().unwrap();
        simulation.isolate(leader, Some((leader + 1) % 5));
        simulation.run(30_000_000);
        assert!(simulation.held_by(leader) == 0 && simulation.held_by((leader + 1) % 5) == 0);
        simulation.heal();
        simulation.run(10_000_000);
        simulation.assert_all_held_and_states_equal();
    }
}

/// Neither half of an even partition has a majority, so no lease may be granted or renewed in either.
#[test]
fn even_partition_of_four_grants_nothing() {
    let mut simulation =
        Simulation::new(SimulationConfig { voters: 4, roles: 8, ..SimulationConfig::default() }, 11);
    simulation.run(10_000_000);
    simulation.partition(&[0, 1]);
    simulation.run(20_000_000);
    assert_eq!((0..4).map(|k| simulation.held_by(k)).sum::<usize>(), 0);
    simulation.heal();
    simulation.run(10_000_000);
    simulation.assert_all_held_and_states_equal();
}

/// A holder whose process is stalled past its lease could resume and act on a role that was granted to
/// another member in the meantime.
#[test]
fn holder_stalled_past_its_lease_may_not_act_afterwards() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(
            SimulationConfig { voters: 3, followers: 2, roles: 10, ..SimulationConfig::default() },
            seed,
        );
        simulation.run(10_000_000);
        let holder = (0..5).max_by_key(|k| simulation.held_by(*k)).unwrap();
        assert!(simulation.held_by(holder) > 0);
        simulation.stall(holder, 20_000_000);
        simulation.run(20_000_001);
        assert_eq!(simulation.held_by(holder), 0);
        simulation.run(15_000_000);
        simulation.assert_all_held_and_states_equal();
    }
}

/// After a crash of all members, a group could forget committed entries or reuse fencing tokens. The members
/// are restarted one after the other, in an order that depends on the seed.
#[test]
fn members_killed_at_once_recover_from_their_disks() {
    for seed in 0..20 {
        let mut simulation =
            Simulation::new(SimulationConfig { voters: 5, roles: 10, ..SimulationConfig::default() }, seed);
        simulation.run(10_000_000);
        let (token, applied) = (simulation.highest_token(), simulation.last_applied());
        (0..5).for_each(|k| simulation.crash(k));
        simulation.run(1_000_000);
        for k in 0..5 {
            simulation.start((k + seed as usize) % 5);
            simulation.run(200_000);
        }
        simulation.run(20_000_000);
        simulation.assert_all_held_and_states_equal();
        assert!(simulation.last_applied() > applied);
        assert!(simulation.highest_token() >= token);
    }
}

/// Membership changes during crashes and partitions could form two majorities, or never complete. The voters
/// change from three to five and back to three.
#[test]
fn membership_changes_under_faults_commit() {
    let changes = [
        MembershipChange::Add(id(3)),
        MembershipChange::Add(id(4)),
        MembershipChange::Remove(id(0)),
        MembershipChange::Remove(id(1)),
    ];
    for seed in 0..seeds(30).min(300) {
        let mut simulation = Simulation::new(
            SimulationConfig { voters: 3, spares: 2, roles: 6, ..SimulationConfig::default() },
            seed,
        );
        simulation.run(10_000_000);
        simulation.random_faults(60_000_000);
        for change in changes {
            simulation.change_membership(change);
            simulation.run(15_000_000);
        }
        simulation.heal();
        simulation.run(30_000_000);
        for change in changes {
            simulation.change_membership_until_committed(change);
        }
        simulation.run(20_000_000);
        simulation.assert_all_held_and_states_equal();
        assert_eq!(simulation.voters(), [2, 3, 4]);
    }
}

/// The loss of a holder must not move roles of other members, and its own must move within 15 s even with a
/// thousand roles. The holder with the most roles of five conductors crashes.
#[test]
fn roles_of_a_dead_holder_move_and_no_others() {
    let mut simulation = Simulation::new(
        SimulationConfig { voters: 5, roles: 1000, heavy_first_weight: true, ..SimulationConfig::default() },
        1,
    );
    simulation.run(20_000_000);
    simulation.assert_all_held_and_states_equal();
    let dead = (0..5).max_by_key(|k| simulation.held_by(*k)).unwrap();
    let (held, grants) = (simulation.held_by(dead), simulation.grants());
    assert!(held > 300, "{held}");
    simulation.crash(dead);
    simulation.run(15_000_000);
    assert_eq!((0..5).map(|k| simulation.held_by(k)).sum::<usize>(), 1000);
    assert_eq!(simulation.grants() - grants, held as u64, "only roles of the dead holder move");
}

/// A checker that detects no violation would make all other tests here pass. Clocks that drift far beyond the
/// configured bound must lead to violations that it detects.
#[test]
fn clocks_beyond_the_configured_drift_are_detected() {
    let detected = (0..40).any(|seed| {
        let plan = SimulationConfig {
            voters: 3,
            roles: 12,
            clock_drift_ppm: 400_000,
            panics_on_violation: false,
            ..SimulationConfig::default()
        };
        let mut simulation = Simulation::new(plan, seed);
        simulation.random_faults(90_000_000);
        simulation.run(90_000_000);
        simulation.has_violations()
    });
    assert!(detected, "forty runs with clocks 40% off, and no violation");
}

/// A leader whose disk does not complete writes could keep the leadership and block the group. A member with
/// a stalled or failed disk must not lead, and the others must go on.
#[test]
fn member_with_a_failed_or_stalled_disk_does_not_lead() {
    let mut simulation =
        Simulation::new(SimulationConfig { voters: 3, roles: 6, ..SimulationConfig::default() }, 2);
    simulation.run(10_000_000);
    let leader = simulation.leader().unwrap();
    simulation.set_write_duration(leader, None);
    simulation.declare("after");
    simulation.run(20_000_000);
    assert!(
        simulation.leader().is_some_and(|now| now != leader),
        "another member leads, as the disk is stalled"
    );
    simulation.set_write_duration(leader, Some(2_000));
    simulation.run(10_000_000);
    simulation.fail_disk((leader + 1) % 3);
    simulation.run(20_000_000);
    assert!(
        simulation.leader().is_some_and(|now| now != (leader + 1) % 3),
        "another member leads, as the disk has failed"
    );
    simulation.assert_all_held_and_states_equal();
}
