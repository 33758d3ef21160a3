//! Measures how fast drains reach proxies, and how fast all proxies rejoin after the conductor is killed.

use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::launch::Running;
use stepspur_emulator::usage::Usage;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::conductor::{BenchConductor, usage};
use super::settings::BenchArgs;
use super::stream::{Observation, discard_pending, wait_tables, wait_weighted};
use super::times::DeliveryTimes;
use super::{OBSERVATION_CAPACITY, WAIT_TIMEOUT};

/// Pause between the last join and the measurement of memory: memory used only by the joins is freed.
const MEMORY_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Results of drains and a rejoin.
pub(super) struct Drains {
    /// From the change of the list until proxies have read the order.
    pub times: DeliveryTimes,
    /// Processor time of the conductor over all drains, in seconds.
    pub cpu_s: f64,
    /// The conductor's usage before any proxy has joined.
    pub before: Usage,
    /// The conductor's usage once all proxies have their tables.
    pub with_proxies: Usage,
    /// The rejoin of all proxies after a kill.
    pub rejoin: Rejoin,
}

/// Cost of the rejoin of all proxies to a restarted conductor.
pub(super) struct Rejoin {
    /// From its start until all have their tables, in seconds.
    pub took_s: f64,
    /// Its processor time, in seconds.
    pub cpu_s: f64,
}

/// Drains servers in consecutive rounds, then kills and restarts the conductor and joins all proxies again.
pub(super) async fn measure(args: &BenchArgs) -> anyhow::Result<Drains> {
    let conductor = BenchConductor::new(args).await?;
    let running = conductor.start_with_list().await?;
    let before = usage(&running)?;
    let (observer, mut observations) = mpsc::channel(OBSERVATION_CAPACITY);
    let mut streams = conductor.join(running.address, args.proxies, &observer).await?;
    wait_tables(&mut observations, args.proxies).await?;
    sleep(MEMORY_SETTLE_TIME).await;
    let with_proxies = usage(&running)?;

    let (mut times, mut cpu_s) = (DeliveryTimes::new()?, 0.0);
    for round in 0..args.rounds {
        cpu_s += drain(args, &conductor, &running, round, &mut observations, &mut times).await?;
    }

    running.kill().await;
    streams.shutdown().await;
    discard_pending(&mut observations);
    let rejoin = rejoin(args, &conductor, &observer, &mut observations).await?;
    conductor.stop();
    Ok(Drains { times, cpu_s, before, with_proxies, rejoin })
}

/// Drains one server of each zone at once, and returns the conductor's processor time in seconds. Returns
/// when the servers are back in all tables and the conductor waits for the next change.
async fn drain(
    args: &BenchArgs,
    conductor: &BenchConductor,
    running: &Running,
    round: usize,
    observations: &mut mpsc::Receiver<Observation>,
    times: &mut DeliveryTimes,
) -> anyhow::Result<f64> {
    let drained = drained_servers(round, args.servers, conductor.config.fleet.zones.len());
    discard_pending(observations);
    let cpu_before = usage(running)?.cpu_s;
    let from = Instant::now();
    conductor.set_states(drained.clone(), EndpointRecordState::Draining);
    times.collect(from, observations, args.proxies).await?;
    let cpu_s = usage(running)?.cpu_s - cpu_before;
    let polls = conductor.registry.polls();
    conductor.set_states(drained, EndpointRecordState::Ready);
    wait_weighted(observations, args.proxies).await?;
    timeout(WAIT_TIMEOUT, conductor.registry.wait_until_polled(polls))
        .await
        .context("the conductor did not read the list again in time")?;
    Ok(cpu_s)
}

/// The servers to drain in a round: one of each zone, round-robin over the first half of the list.
fn drained_servers(round: usize, servers: usize, zones: usize) -> Vec<usize> {
    let groups = (servers / zones / 2).max(1);
    let first = (round % groups) * zones;
    (first..first + zones).collect()
}

/// Starts the conductor again and joins all proxies.
async fn rejoin(
    args: &BenchArgs,
    conductor: &BenchConductor,
    observer: &mpsc::Sender<Observation>,
    observations: &mut mpsc::Receiver<Observation>,
) -> anyhow::Result<Rejoin> {
    let from = Instant::now();
    let running = conductor.start().await?;
    let streams = conductor.join(running.address, args.proxies, observer).await?;
    wait_tables(observations, args.proxies).await?;
    let rejoin = Rejoin { took_s: from.elapsed().as_secs_f64(), cpu_s: usage(&running)?.cpu_s };
    drop(streams);
    running.kill().await;
    Ok(rejoin)
}
