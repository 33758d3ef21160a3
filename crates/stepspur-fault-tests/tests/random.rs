//! Random faults over whole members, by seed: `SEEDS=5000 cargo test --release -p stepspur-fault-tests --test random`.

use std::time::Duration;

use stepspur_consensus::MemberId;
use stepspur_fault_tests::{Fleet, Op, Shape};
use tokio::time::sleep;

/// A course of ten faults under three clients; gives what was asked and answered, and the books at the end.
async fn course(seed: u64) -> (String, usize) {
    let shape = Shape { learners: seed % 2, voters: 3 + 2 * (seed % 2), log_max: 16, chunk: 1_024 };
    let mut fleet = Fleet::start(seed, shape.clone()).await;
    let within = Duration::from_millis(700);
    for _ in 0..10 {
        let voter = MemberId(1 + fleet.draw(shape.voters));
        let other = MemberId(1 + fleet.draw(shape.voters));
        match fleet.draw(8) {
            0 => fleet.cut_off(voter, true),
            1 => fleet.wire().silence(voter, other, true),
            2 => fleet.wire().slow(voter, other, Duration::from_millis(150)),
            3 => fleet.image(voter).takes(Duration::from_millis(400)),
            4 => fleet.wire().tear(voter, other),
            5 => fleet.heal(),
            _ => {
                if fleet.running().contains(&voter) {
                    fleet.kill(voter).await;
                } else {
                    fleet.begin(voter).await;
                }
            }
        }
        // Three clients at once, each at a member of its own.
        let running = fleet.running();
        let mut clients = Vec::new();
        for _ in 0..3 {
            let Some(at) = running.get(fleet.draw(running.len().max(1) as u64) as usize) else { break };
            let (name, adds) = (["north", "south"][fleet.draw(2) as usize], fleet.draw(3) > 0);
            clients.push((fleet.shared(*at), name, adds.then(|| 1 + fleet.draw(9) as u32)));
        }
        let from = fleet.elapsed();
        let asked = clients.into_iter().map(|(shared, name, more)| {
            tokio::spawn(async move {
                let told = match more {
                    Some(more) => {
                        stepspur_fault_tests::add(&shared, shared.new_id(), name, more, within).await
                    }
                    None => stepspur_fault_tests::read(&shared, name, within).await,
                };
                (name, more.map_or(Op::Read, Op::Add), told, tokio::time::Instant::now())
            })
        });
        for client in asked.collect::<Vec<_>>() {
            let (name, op, told, at) = client.await.expect("a client ends");
            fleet.keep_at(name, op, from, &told, at);
        }
        sleep(Duration::from_millis(fleet.draw(900))).await;
    }
    fleet.heal();
    for id in fleet.ids().into_iter().filter(|id| !fleet.running().contains(id)).collect::<Vec<_>>() {
        fleet.begin(id).await;
    }
    fleet.leader(&[]).await;
    fleet.agrees().await;
    for name in ["north", "south"] {
        for id in fleet.ids() {
            fleet.read(id, name, Duration::from_secs(10)).await.expect("a healed fleet answers");
        }
    }
    if let Err(broken) = fleet.history().judge() {
        panic!("seed {seed}: {broken}");
    }
    let digests = fleet.shared(MemberId(1)).registry().digests();
    (format!("{:?} {digests:?}", fleet.history()), fleet.history().len())
}

fn run(seed: u64) -> (String, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(course(seed))
}

#[test]
fn every_history_under_random_faults_is_linearizable_and_all_members_end_alike() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let asked: usize = (0..seeds).map(|seed| run(seed).1).sum();
    println!("{seeds} seeds, {asked} operations");
    assert!(asked as u64 > seeds * 15, "clients are answered: {asked}");
}

#[test]
fn the_same_seed_gives_the_same_course() {
    assert_eq!(run(11).0, run(11).0);
}
