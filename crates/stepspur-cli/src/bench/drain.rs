//! Drains of servers as proxies learn of them, and the rejoin of all proxies after a kill.

use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::launch::Running;
use stepspur_emulator::usage::Usage;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::conductor::{BenchConductor, usage};
use super::settings::BenchArgs;
use super::stream::{Observation, forget, wait_bound, wait_weighted};
use super::times::Times;
use super::{OBSERVATIONS_WAITING_MOST, PATIENCE};

/// From the last join to the look at the conductor's memory: what the joins took for a moment is given back.
const MEMORY_SETTLES: Duration = Duration::from_secs(3);

/// What drains and a rejoin took.
pub(super) struct Drains {
    /// From the list's change to the proxies' reading.
    pub times: Times,
    /// Processor time of the conductor over all drains, in seconds.
    pub cpu_s: f64,
    /// The conductor before any proxy.
    pub before: Usage,
    /// The conductor with all proxies bound.
    pub with_proxies: Usage,
    /// All proxies joined again after a kill.
    pub rejoin: Rejoin,
}

/// All proxies joined a conductor that was started anew.
pub(super) struct Rejoin {
    /// From its start until all have their tables, in seconds.
    pub took_s: f64,
    /// Its processor time, in seconds.
    pub cpu_s: f64,
}

/// Drains servers one round after the other, then kills the conductor and has all proxies join again.
pub(super) async fn measure(args: &BenchArgs) -> anyhow::Result<Drains> {
    let conductor = BenchConductor::new(args).await?;
    let running = conductor.start_with_list().await?;
    let before = usage(&running)?;
    let (observer, mut observations) = mpsc::channel(OBSERVATIONS_WAITING_MOST);
    let mut streams = conductor.join(running.address, args.proxies, &observer).await?;
    wait_bound(&mut observations, args.proxies).await?;
    sleep(MEMORY_SETTLES).await;
    let with_proxies = usage(&running)?;

    let (mut times, mut cpu_s) = (Times::new()?, 0.0);
    for round in 0..args.rounds {
        cpu_s += drain(args, &conductor, &running, round, &mut observations, &mut times).await?;
    }

    running.kill().await;
    streams.shutdown().await;
    forget(&mut observations);
    let rejoin = rejoin(args, &conductor, &observer, &mut observations).await?;
    conductor.stop();
    Ok(Drains { times, cpu_s, before, with_proxies, rejoin })
}

/// Drains one server of each zone at once, and gives the conductor's processor time in seconds. It ends when the
/// servers are back in all tables and the conductor waits for the next change.
async fn drain(
    args: &BenchArgs,
    conductor: &BenchConductor,
    running: &Running,
    round: usize,
    observations: &mut mpsc::Receiver<Observation>,
    times: &mut Times,
) -> anyhow::Result<f64> {
    let picked = picked(round, args.servers, conductor.config.fleet.zones.len());
    forget(observations);
    let cpu_before = usage(running)?.cpu_s;
    let from = Instant::now();
    conductor.set_states(picked.clone(), EndpointRecordState::Draining);
    times.collect(from, observations, args.proxies).await?;
    let cpu_s = usage(running)?.cpu_s - cpu_before;
    let polls = conductor.registry.polls();
    conductor.set_states(picked, EndpointRecordState::Ready);
    wait_weighted(observations, args.proxies).await?;
    timeout(PATIENCE, conductor.registry.polled(polls)).await.context("the list is not read any more")?;
    Ok(cpu_s)
}

/// One server of each zone; servers are taken in turn from the first half of the list.
fn picked(round: usize, servers: usize, zones: usize) -> Vec<usize> {
    let turns = (servers / zones / 2).max(1);
    let first = (round % turns) * zones;
    (first..first + zones).collect()
}

async fn rejoin(
    args: &BenchArgs,
    conductor: &BenchConductor,
    observer: &mpsc::Sender<Observation>,
    observations: &mut mpsc::Receiver<Observation>,
) -> anyhow::Result<Rejoin> {
    let from = Instant::now();
    let running = conductor.start().await?;
    let streams = conductor.join(running.address, args.proxies, observer).await?;
    wait_bound(observations, args.proxies).await?;
    let rejoin = Rejoin { took_s: from.elapsed().as_secs_f64(), cpu_s: usage(&running)?.cpu_s };
    drop(streams);
    running.kill().await;
    Ok(rejoin)
}
