//! Injects random faults into whole members and checks that the clients' operations stay linearizable and
//! that all members reach the same state. Each seed gives one run; more seeds than the default of 60:
//! `SEEDS=5000 cargo test --release -p stepspur-fault-tests --test random`.

use std::time::Duration;

use stepspur_consensus::MemberId;
use stepspur_fault_tests::{Cluster, ClusterSettings, Op};
use tokio::time::sleep;

/// Injects ten faults, each followed by operations of three concurrent clients. Returns the history with the
/// final state, as text, and the number of operations.
async fn run_faults(seed: u64) -> (String, usize) {
    let settings = ClusterSettings {
        learners: seed % 2,
        voters: 3 + 2 * (seed % 2),
        max_log_entries: 16,
        snapshot_chunk_bytes: 1_024,
    };
    let mut cluster = Cluster::start(seed, settings.clone()).await;
    let within = Duration::from_millis(700);
    for _ in 0..10 {
        let voter = MemberId(1 + cluster.random_below(settings.voters));
        let other = MemberId(1 + cluster.random_below(settings.voters));
        match cluster.random_below(8) {
            0 => cluster.set_partitioned(voter, true),
            1 => cluster.wire().set_blocked(voter, other, true),
            2 => cluster.wire().set_delay(voter, other, Duration::from_millis(150)),
            3 => cluster.disk(voter).set_write_latency(Duration::from_millis(400)),
            4 => cluster.wire().reset(voter, other),
            5 => cluster.heal(),
            _ => {
                if cluster.running().contains(&voter) {
                    cluster.kill(voter).await;
                } else {
                    cluster.start_member(voter).await;
                }
            }
        }
        // Three concurrent clients, each at a random running member.
        let running = cluster.running();
        let mut clients = Vec::new();
        for _ in 0..3 {
            let Some(member) = running.get(cluster.random_below(running.len().max(1) as u64) as usize) else {
                break;
            };
            let (name, adds) =
                (["north", "south"][cluster.random_below(2) as usize], cluster.random_below(3) > 0);
            clients.push((cluster.client(*member), name, adds.then(|| 1 + cluster.random_below(9) as u32)));
        }
        let invoked_at = cluster.elapsed();
        let tasks = clients.into_iter().map(|(client, name, amount)| {
            tokio::spawn(async move {
                let result = match amount {
                    Some(amount) => {
                        stepspur_fault_tests::add(&client, client.new_operation_id(), name, amount, within)
                            .await
                    }
                    None => stepspur_fault_tests::read(&client, name, within).await,
                };
                (name, amount.map_or(Op::Read, Op::Add), result, tokio::time::Instant::now())
            })
        });
        for task in tasks.collect::<Vec<_>>() {
            let (name, op, result, at) = task.await.expect("the client task ends");
            cluster.record_at(name, op, invoked_at, &result, at);
        }
        sleep(Duration::from_millis(cluster.random_below(900))).await;
    }
    cluster.heal();
    for id in cluster.ids().into_iter().filter(|id| !cluster.running().contains(id)).collect::<Vec<_>>() {
        cluster.start_member(id).await;
    }
    cluster.wait_for_leader(&[]).await;
    cluster.wait_until_states_agree().await;
    for name in ["north", "south"] {
        for id in cluster.ids() {
            cluster.read(id, name, Duration::from_secs(10)).await.expect("a healed cluster answers");
        }
    }
    if let Err(violation) = cluster.history().check_linearizable() {
        panic!("seed {seed}: {violation}");
    }
    let digests = cluster.client(MemberId(1)).registry().digests();
    (format!("{:?} {digests:?}", cluster.history()), cluster.history().len())
}

fn run(seed: u64) -> (String, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(run_faults(seed))
}

#[test]
fn histories_under_random_faults_are_linearizable_and_all_members_end_in_the_same_state() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let operations: usize = (0..seeds).map(|seed| run(seed).1).sum();
    println!("{seeds} seeds, {operations} operations");
    assert!(operations as u64 > seeds * 15, "too few operations were recorded: {operations}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(run(11).0, run(11).0);
}
