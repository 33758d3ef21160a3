//! One round: starts a conductor of one arm, joins its proxies and drains servers one after the other.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, ensure};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::launch::Running;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::arm::Arm;
use super::changes::{Changes, Schedule};
use super::control::ControlMembers;
use crate::fleet::history::Micros;
use crate::fleet::latency::Spread;
use crate::hollow::proxies::{HollowProxies, TableChange};
use crate::slopes::conductor::{self, Bench, Setup};
use crate::usage;

/// Time limit for every wait of a round.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Drains at the start of a round that do not count.
const WARM_UP_DRAINS: u32 = 3;
/// Longest random pause before a drain, so that drains fall at any point relative to reports, configuration
/// changes and the engine's periodic work.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// Requests per second that each proxy reports.
const REQUESTS_PER_S_PER_PROXY: usize = 1;
/// At most one in this many servers of a zone drains at a time; at the limit, all are set to ready again.
const SERVERS_PER_DRAINING_SERVER: usize = 5;
/// Capacity of the channel of table changes, for each proxy.
const TABLE_CHANGE_CAPACITY_PER_PROXY: usize = 4;

/// Parameters that all rounds share.
#[derive(Clone, Debug)]
pub(super) struct RoundSettings {
    /// Path of the real program.
    pub program: PathBuf,
    /// Servers in the list.
    pub servers: usize,
    /// Proxies that join the conductor.
    pub proxies: usize,
    /// Drains that count.
    pub drains: u32,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl RoundSettings {
    fn setup(&self) -> Setup {
        Setup {
            servers: self.servers,
            proxies: self.proxies,
            requests_per_proxy: REQUESTS_PER_S_PER_PROXY,
            probing: false,
            events: false,
            window: Duration::ZERO,
            seed: self.seed,
        }
    }

    /// Schedule of configuration changes for the conductors of all rounds: of their classes, and of the last
    /// server, which no measured drain uses.
    ///
    /// # Errors
    /// If there are too few servers.
    pub(super) fn schedule(&self) -> anyhow::Result<Schedule> {
        let fleet = conductor::base_config()?.fleet;
        let zones = fleet.zones.len();
        ensure!(self.servers >= 3 * zones, "{zones} zones need {} servers", 3 * zones);
        let classes = fleet.classes.into_iter().map(|class| class.name).collect();
        Ok(Schedule::new(classes, conductor::unused_address(self.servers - 1)))
    }
}

/// A running round. Dropping it kills its conductor.
pub(super) struct Round {
    arm: Arm,
    drains: u32,
    proxies: usize,
    servers: usize,
    bench: Bench,
    running: Running,
    hollow: HollowProxies,
    table_changes: mpsc::Receiver<TableChange>,
    random: ChaCha8Rng,
    /// Drains so far, including those that do not count.
    drains_started: usize,
    /// Numbers of the servers that are listed as draining.
    draining: Vec<usize>,
}

/// Results of a round.
#[derive(Clone, Debug)]
pub(super) struct Measured {
    /// Arm of the round.
    pub arm: Arm,
    /// For each drain, time from the change of the list until the last proxy read the order, in microseconds.
    pub last: Vec<Micros>,
    /// For all drains, time until each proxy read the order, in microseconds.
    pub each: Vec<Micros>,
    /// CPU time of the conductor from the change of the list until the last proxy read the order, summed over
    /// the drains.
    pub cpu: Duration,
    /// Configuration changes committed during the drains.
    pub changes_agreed: u64,
    /// Orders with admission levels that a proxy read during the drains, mean over the proxies.
    pub levels_ordered: f64,
}

/// Results of one drain.
struct DrainResult {
    each: Vec<Micros>,
    cpu: Duration,
}

impl Round {
    /// Starts a conductor of this arm and joins its proxies. Random numbers depend on the pair and are the
    /// same in both arms.
    ///
    /// # Errors
    /// If a process does not start, or proxies do not join in time.
    pub(super) async fn start(
        settings: &RoundSettings,
        arm: Arm,
        pair: u32,
        controls: &ControlMembers,
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let mut bench = Bench::new(settings.program.clone(), settings.setup()).await?;
        if arm == Arm::On {
            bench.config.distribution = Some(controls.subscription(folder.join("measured.redb")));
        }
        let running = bench.launcher.start(&bench.config).await?;
        let (table_change_sender, table_changes) =
            mpsc::channel(settings.proxies.max(1) * TABLE_CHANGE_CAPACITY_PER_PROXY);
        let hollow = bench.join(running.address, Some(table_change_sender)).await?;
        Ok(Self {
            arm,
            drains: settings.drains,
            proxies: settings.proxies,
            servers: settings.servers,
            bench,
            running,
            hollow,
            table_changes,
            random: ChaCha8Rng::seed_from_u64(settings.seed ^ (u64::from(pair) << 32)),
            drains_started: 0,
            draining: Vec::new(),
        })
    }

    /// Drains servers while configuration changes are committed, then ends the round.
    ///
    /// # Errors
    /// If a drain does not reach all proxies, or changes are not committed or, in the arm "on", do not reach
    /// all proxies.
    pub(super) async fn measure(mut self, changes: &mut Changes) -> anyhow::Result<Measured> {
        discarding_changes(&mut self.table_changes, changes.next()).await?;
        if self.arm == Arm::On {
            let all = self.hollow.levels() + self.proxies as u64;
            let levels_read =
                discarding_changes(&mut self.table_changes, self.hollow.wait_for_levels(all, WAIT_TIMEOUT));
            levels_read.await.context("configuration changes did not reach all proxies")?;
        }
        for _ in 0..WARM_UP_DRAINS {
            self.next_drain().await?;
        }
        let (agreed, levels) = (changes.committed(), self.hollow.levels());
        let (mut last, mut each, mut cpu) = (Vec::new(), Vec::new(), Duration::ZERO);
        for _ in 0..self.drains {
            let drain = self.next_drain().await?;
            last.extend(drain.each.iter().max());
            each.extend(drain.each);
            cpu += drain.cpu;
        }
        let levels_ordered = (self.hollow.levels() - levels) as f64 / self.proxies.max(1) as f64;
        let changes_agreed = changes.committed() - agreed;
        let arm = self.arm;
        self.stop().await;
        Ok(Measured { arm, last, each, cpu, changes_agreed, levels_ordered })
    }

    /// Waits for a random pause, then drains.
    async fn next_drain(&mut self) -> anyhow::Result<DrainResult> {
        if self.draining.len() >= self.max_draining() {
            self.return_to_ready().await?;
        }
        let pause = MAX_PAUSE.mul_f64(self.random.random::<f64>());
        discarding_changes(&mut self.table_changes, sleep(pause)).await;
        self.drain().await
    }

    /// Drains one server of each zone at the same time. Returns when the conductor polls the list for the
    /// next change.
    async fn drain(&mut self) -> anyhow::Result<DrainResult> {
        let drained = self.next_servers();
        self.drains_started += 1;
        self.draining.extend(&drained);
        let pid = self.running.pid().context("the conductor has ended")?;
        let (polls, cpu, from) = (self.bench.registry.polls(), usage::thread_cpu_time(pid)?, Instant::now());
        self.bench.set_states(drained.clone(), EndpointRecordState::Draining);
        let each =
            self.wait_until_read(&drained, false, from).await.context("a drain did not reach all proxies")?;
        let cpu = usage::thread_cpu_time(pid)?.saturating_sub(cpu);
        self.wait_for_poll(polls).await?;
        Ok(DrainResult { each, cpu })
    }

    /// Sets all draining servers to ready, and waits until they are in all tables again.
    async fn return_to_ready(&mut self) -> anyhow::Result<()> {
        let draining = std::mem::take(&mut self.draining);
        let (polls, from) = (self.bench.registry.polls(), Instant::now());
        self.bench.set_states(draining.clone(), EndpointRecordState::Ready);
        self.wait_until_read(&draining, true, from)
            .await
            .context("servers set to ready did not return to the tables of all proxies")?;
        self.wait_for_poll(polls).await
    }

    /// The next server of each zone, in rotation over all but the last of each zone.
    fn next_servers(&self) -> Vec<usize> {
        let zones = self.zones();
        let first = self.drains_started % self.rotation_length() * zones;
        (first..first + zones).collect()
    }

    /// Servers of each zone that the rotation uses.
    fn rotation_length(&self) -> usize {
        (self.servers / self.zones() - 1).max(1)
    }

    /// Most servers that may drain at a time, over all zones.
    fn max_draining(&self) -> usize {
        (self.rotation_length() / SERVERS_PER_DRAINING_SERVER).max(1) * self.zones()
    }

    fn zones(&self) -> usize {
        self.bench.config.fleet.zones.len()
    }

    /// Waits until the conductor has polled its list again since the count of polls was `polls`.
    async fn wait_for_poll(&mut self, polls: u64) -> anyhow::Result<()> {
        let polled = timeout(WAIT_TIMEOUT, self.bench.registry.wait_until_polled(polls));
        discarding_changes(&mut self.table_changes, polled)
            .await
            .context("the conductor no longer polls the server list")
    }

    /// Waits until each proxy has read, for each of these servers in its own zone, that the server is used
    /// (or, with `used` false, no longer used). Returns the times from `from` to each reading.
    async fn wait_until_read(
        &mut self,
        servers: &[usize],
        used: bool,
        from: Instant,
    ) -> anyhow::Result<Vec<Micros>> {
        let mut expected = self.expected(servers);
        let mut times = Vec::with_capacity(expected.len());
        let all = async {
            while !expected.is_empty() {
                let change = self.table_changes.recv().await.context("all streams have ended")?;
                if change.used == used && expected.remove(&(change.proxy, change.server)) {
                    let span = change.at.saturating_duration_since(from);
                    times.push(span.as_micros() as Micros);
                }
            }
            anyhow::Ok(())
        };
        timeout(WAIT_TIMEOUT, all).await.with_context(|| format!("within {WAIT_TIMEOUT:?}"))??;
        Ok(times)
    }

    /// Pairs of each proxy with each of these servers in its own zone.
    fn expected(&self, servers: &[usize]) -> BTreeSet<(usize, SocketAddr)> {
        let zones = self.zones();
        let of_zone = |proxy: usize| servers.iter().filter(move |server| *server % zones == proxy % zones);
        let of_proxy = |proxy: usize| of_zone(proxy).map(move |server| (proxy, self.bench.address(*server)));
        (0..self.proxies).flat_map(of_proxy).collect()
    }

    async fn stop(self) {
        self.hollow.stop().await;
        self.running.terminate().await;
        self.bench.stop().await;
    }
}

/// Waits for `expected` while discarding table changes, so that a full channel does not block the proxies.
async fn discarding_changes<T>(
    table_changes: &mut mpsc::Receiver<TableChange>,
    expected: impl Future<Output = T>,
) -> T {
    tokio::pin!(expected);
    loop {
        tokio::select! {
            done = &mut expected => return done,
            Some(_) = table_changes.recv() => {}
        }
    }
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Spread { count, p50_ms, p99_ms, most_ms } = Spread::of(self.last.clone());
        write!(
            f,
            "{count} drains to the last proxy in {p50_ms:.2} ms (p50), {p99_ms:.2} (p99), {most_ms:.2} (most); \
             {} changes agreed, {:.1} orders of levels at each proxy",
            self.changes_agreed, self.levels_ordered
        )
    }
}
