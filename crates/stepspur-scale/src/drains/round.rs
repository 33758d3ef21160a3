//! One round: a conductor of one arm, all its proxies, and drains one after the other.

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

/// Whatever a round waits for comes within this.
const PATIENCE: Duration = Duration::from_secs(60);
/// Drains at the start of a round that are not counted.
const WARM_UP: u32 = 3;
/// Before each drain a pause is drawn up to this, so that drains meet reports, changes and the engine's own
/// times at any place.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);
/// Requests a second that each proxy tells.
const REQUESTS_PER_PROXY: usize = 1;
/// Of so many servers of a zone one may drain at a time: then all are listed as ready again.
const SERVERS_A_DRAINING_ONE: usize = 5;
/// Changes of tables that may wait, of each proxy.
const TABLE_CHANGES_OF_PROXY: usize = 4;

/// What all rounds have in common.
#[derive(Clone, Debug)]
pub(super) struct RoundSettings {
    /// The real program.
    pub program: PathBuf,
    /// Servers that the list names.
    pub servers: usize,
    /// Proxies of the conductor.
    pub proxies: usize,
    /// Drains that are counted.
    pub drains: u32,
    /// Where draws start.
    pub seed: u64,
}

impl RoundSettings {
    fn setup(&self) -> Setup {
        Setup {
            servers: self.servers,
            proxies: self.proxies,
            requests_per_proxy: REQUESTS_PER_PROXY,
            probing: false,
            events: false,
            window: Duration::ZERO,
            seed: self.seed,
        }
    }

    /// Changes for the conductor of all rounds: of its classes, and of its last server, which no drain takes.
    ///
    /// # Errors
    /// Too few servers.
    pub(super) fn schedule(&self) -> anyhow::Result<Schedule> {
        let fleet = conductor::settings()?.fleet;
        let zones = fleet.zones.len();
        ensure!(self.servers >= 3 * zones, "{zones} zones need {} servers", 3 * zones);
        let classes = fleet.classes.into_iter().map(|class| class.name).collect();
        Ok(Schedule::new(classes, conductor::unused_address(self.servers - 1)))
    }
}

/// A round under way. Dropping it kills its conductor.
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
    /// Drains so far, of which the first are not counted.
    turn: usize,
    /// Servers that are draining.
    draining: Vec<usize>,
}

/// What a round measured.
#[derive(Clone, Debug)]
pub(super) struct Measured {
    /// Its arm.
    pub arm: Arm,
    /// From the list's change to the last proxy's reading, of each drain.
    pub last: Vec<Micros>,
    /// To each proxy's reading, of all drains.
    pub each: Vec<Micros>,
    /// Processor time of the conductor from the list's change to the last proxy's reading, of all drains.
    pub cpu: Duration,
    /// Changes that were agreed meanwhile.
    pub changes_agreed: u64,
    /// Orders of levels that each proxy read meanwhile, in the mean.
    pub levels_ordered: f64,
}

/// What one drain took.
struct Drain {
    each: Vec<Micros>,
    cpu: Duration,
}

impl Round {
    /// Starts a conductor of this arm and joins its proxies. Draws depend on the pair, and are the same in
    /// both arms.
    ///
    /// # Errors
    /// A process that does not start, or proxies that do not join in time.
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
        let (tell, table_changes) = mpsc::channel(settings.proxies.max(1) * TABLE_CHANGES_OF_PROXY);
        let hollow = bench.join(running.address, Some(tell)).await?;
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
            turn: 0,
            draining: Vec::new(),
        })
    }

    /// Drains servers while changes are agreed on, and ends the round.
    ///
    /// # Errors
    /// A drain that does not reach all proxies, changes that are not agreed or do not come where they should.
    pub(super) async fn measure(mut self, changes: &mut Changes) -> anyhow::Result<Measured> {
        dropping(&mut self.table_changes, changes.next()).await?;
        if self.arm == Arm::On {
            let all = self.hollow.levels() + self.proxies as u64;
            let levelled = dropping(&mut self.table_changes, self.hollow.levelled(all, PATIENCE));
            levelled.await.context("changes do not come to the proxies")?;
        }
        for _ in 0..WARM_UP {
            self.next_drain().await?;
        }
        let (agreed, levels) = (changes.agreed(), self.hollow.levels());
        let (mut last, mut each, mut cpu) = (Vec::new(), Vec::new(), Duration::ZERO);
        for _ in 0..self.drains {
            let drain = self.next_drain().await?;
            last.extend(drain.each.iter().max());
            each.extend(drain.each);
            cpu += drain.cpu;
        }
        let levels_ordered = (self.hollow.levels() - levels) as f64 / self.proxies.max(1) as f64;
        let changes_agreed = changes.agreed() - agreed;
        let arm = self.arm;
        self.stop().await;
        Ok(Measured { arm, last, each, cpu, changes_agreed, levels_ordered })
    }

    /// Waits for a while that is drawn, and drains.
    async fn next_drain(&mut self) -> anyhow::Result<Drain> {
        if self.draining.len() >= self.draining_most() {
            self.take_back().await?;
        }
        let pause = LONGEST_PAUSE.mul_f64(self.random.random::<f64>());
        dropping(&mut self.table_changes, sleep(pause)).await;
        self.drain().await
    }

    /// Drains one server of each zone at once. It ends when the conductor waits for the next change of its
    /// list.
    async fn drain(&mut self) -> anyhow::Result<Drain> {
        let picked = self.picked();
        self.turn += 1;
        self.draining.extend(&picked);
        let pid = self.running.pid().context("the conductor has ended")?;
        let (polls, cpu, from) = (self.bench.registry.polls(), usage::thread_cpu_time(pid)?, Instant::now());
        self.bench.set_states(picked.clone(), EndpointRecordState::Draining);
        let each =
            self.read_by_all(&picked, false, from).await.context("a drain did not reach all proxies")?;
        let cpu = usage::thread_cpu_time(pid)?.saturating_sub(cpu);
        self.polled(polls).await?;
        Ok(Drain { each, cpu })
    }

    /// Lists the servers that drain as ready, and waits until they are back in all tables.
    async fn take_back(&mut self) -> anyhow::Result<()> {
        let draining = std::mem::take(&mut self.draining);
        let (polls, from) = (self.bench.registry.polls(), Instant::now());
        self.bench.set_states(draining.clone(), EndpointRecordState::Ready);
        self.read_by_all(&draining, true, from).await.context("servers did not come back to all proxies")?;
        self.polled(polls).await
    }

    /// One server of each zone, taken in turn from all but the last of each.
    fn picked(&self) -> Vec<usize> {
        let zones = self.zones();
        let first = self.turn % self.turns() * zones;
        (first..first + zones).collect()
    }

    fn turns(&self) -> usize {
        (self.servers / self.zones() - 1).max(1)
    }

    fn draining_most(&self) -> usize {
        (self.turns() / SERVERS_A_DRAINING_ONE).max(1) * self.zones()
    }

    fn zones(&self) -> usize {
        self.bench.config.fleet.zones.len()
    }

    /// Waits until the conductor waits for the next change of its list by a later poll than these.
    async fn polled(&mut self, polls: u64) -> anyhow::Result<()> {
        let polled = timeout(PATIENCE, self.bench.registry.polled(polls));
        dropping(&mut self.table_changes, polled).await.context("the list is not read any more")
    }

    /// Waits until each proxy has read of all these servers of its zone that they are used, or are not any
    /// more: the times to each.
    async fn read_by_all(
        &mut self,
        servers: &[usize],
        used: bool,
        from: Instant,
    ) -> anyhow::Result<Vec<Micros>> {
        let mut awaited = self.awaited(servers);
        let mut times = Vec::with_capacity(awaited.len());
        let all = async {
            while !awaited.is_empty() {
                let change = self.table_changes.recv().await.context("all streams have ended")?;
                if change.used == used && awaited.remove(&(change.proxy, change.server)) {
                    let span = change.at.saturating_duration_since(from);
                    times.push(span.as_micros() as Micros);
                }
            }
            anyhow::Ok(())
        };
        timeout(PATIENCE, all).await.with_context(|| format!("within {PATIENCE:?}"))??;
        Ok(times)
    }

    /// Each proxy with each of these servers that is of its zone.
    fn awaited(&self, servers: &[usize]) -> BTreeSet<(usize, SocketAddr)> {
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

/// Waits for something while changes of tables are dropped, so that none holds a proxy up.
async fn dropping<T>(table_changes: &mut mpsc::Receiver<TableChange>, awaited: impl Future<Output = T>) -> T {
    tokio::pin!(awaited);
    loop {
        tokio::select! {
            done = &mut awaited => return done,
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
